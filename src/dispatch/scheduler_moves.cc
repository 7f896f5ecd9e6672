/// @file
/// Moves of runs by their expected gain: what is known of the runners, and
/// where a run would continue.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

constexpr double kComplete = 100;
// Standard deviation of the logarithm of one measured pace: estimates of run
// times are off by a factor of up to 1.6.
constexpr double kPaceDeviation = 0.45;
// Deviation of the difference of two times that are known to whole percent, in
// percent.
constexpr double kPercentDeviation = 0.41;
// Answers of busy runners come once a second; a measurement that is older than
// two of them says nothing about the present pace.
constexpr Duration kFreshPace{2500};
// A gang that takes less than this over the expected time shows that none of
// its runners is slow. A slower one does not show which of them is.
constexpr double kHealthyGangRatio = 1.5;
// Progress, in percent, from which an earlier pace of a run is known well
// enough to compare the present one with it.
constexpr int kMinOwnPercent = 5;
// One run alone does not make the lasting pace of its runner known.
constexpr int kMinMeasuredRuns = 2;

/// Relative deviation of a pace that was measured over `percent`.
double RoundingDeviation(int percent) {
  return kPercentDeviation / std::max(1, percent);
}

/// The run's measured pace as evidence about its runner; nothing if it says
/// nothing.
std::optional<double> EvidenceOf(const Run& run, bool gang, bool same_step,
                                 TimePoint now) {
  if (run.pace_ratio <= 0) return std::nullopt;
  if (now - run.pace_measured_at > kFreshPace) return std::nullopt;
  if (gang && run.pace_ratio > kHealthyGangRatio) return std::nullopt;
  // The estimate of the step may be wrong for all of its runs.
  if (same_step && !run.pace_compared) return std::nullopt;
  return std::log(run.pace_ratio);
}

/// Precondition: not empty. Of two values in the middle, the lower one.
double Median(std::vector<double>* values) {
  const auto last = static_cast<std::ptrdiff_t>(values->size()) - 1;
  const auto middle = values->begin() + last / 2;
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

/// True if the step may run on `runner`, in the rack of its data, or of the
/// member on `slow` if it is a gang that must not be spread.
bool IsNear(const StepSpec& step, const Runner& slow, const Runner& runner) {
  if (!step.required_label.empty() &&
      runner.info().labels.count(step.required_label) == 0) {
    return false;
  }
  if (step.gang && step.same_rack) return runner.rack() == slow.rack();
  return step.data_rack.empty() || runner.rack() == step.data_rack;
}

/// Time until the end of one run makes room; nothing if none does.
std::optional<Duration> TimeUntilRoom(const Candidate& candidate,
                                      const Resources& need, TimePoint now) {
  std::optional<Duration> until;
  for (const auto& [name, run] : candidate.runner->runs()) {
    Resources room = candidate.room;
    room += run.need;
    if (run.stopping || !need.Fits(room)) continue;
    const std::optional<Duration> left = TimeLeft(run, now);
    if (!left.has_value()) continue;
    until = std::min(until.value_or(*left), *left);
  }
  return until;
}

/// Sets the pace that is expected on one of the free runners, or on an average
/// one if none is free. `placed_with`: the log pace that the run was placed
/// with.
void SetPaceElsewhere(const std::vector<SpeedEstimate>& free, double spread,
                      double placed_with, MoveQuery* query) {
  query->pace_elsewhere = -placed_with;
  query->pace_elsewhere_deviation = spread;
  if (free.empty()) return;
  const auto count = static_cast<double>(free.size());
  double variance = 0;
  for (const SpeedEstimate& speed : free) {
    query->pace_elsewhere += speed.log_pace / count;
    variance += speed.deviation * speed.deviation / count;
  }
  query->pace_elsewhere_deviation = std::sqrt(variance);
}

}  // namespace

bool Scheduler::DecidesByGain() const {
  if (options_.moves_by_gain == MovesByGain::kAuto) return speeds_in_use_;
  return options_.moves_by_gain == MovesByGain::kOn;
}

void Scheduler::RecordPaceRatio(Context& ctx, Runner* runner, const Job& job,
                                const TaskName& name, Run* run, double ratio,
                                bool compared, int progress) {
  // A run that is being stopped does not advance any more.
  if (run->stopping) return;
  run->pace_ratio = ratio;
  run->pace_ratio_percent = progress;
  run->pace_measured_at = ctx.now();
  run->pace_compared = compared;
  const bool best = progress >= kMinOwnPercent &&
                    (run->best_pace_ratio <= 0 || ratio < run->best_pace_ratio);
  if (best) {
    run->best_pace_ratio = ratio;
    run->best_pace_percent = progress;
  }
  // A slow gang does not show which of its runners is slow.
  const bool gang = job.step_spec(name.step).gang;
  const bool is_evidence =
      !gang || ratio < std::min(kHealthyGangRatio, runner->slowness());
  if (is_evidence) runner->RecordPace(ratio, name.job);
  if (ratio < kSlowRunnerRatio) {
    // The slowness is over for this run, whatever others tell.
    runner->slow_since.reset();
  } else if (!runner->slow_since.has_value() && !gang) {
    runner->slow_since = ctx.now();
  }
}

std::vector<double> Scheduler::PacesOfOthers(TimePoint now,
                                             const Runner& runner,
                                             const TaskName& name) {
  std::vector<double> paces;
  for (const auto& [other, run] : runner.runs()) {
    const Job* job = jobs_.Find(other.job);
    if (job == nullptr || other == name) continue;
    const bool gang = job->step_spec(other.step).gang;
    const bool same_step = other.job == name.job && other.step == name.step;
    // Members of one gang advance together.
    if (same_step && gang) continue;
    const std::optional<double> pace = EvidenceOf(run, gang, same_step, now);
    if (pace.has_value()) paces.push_back(*pace);
  }
  return paces;
}

PaceKnowledge Scheduler::TransientPace(TimePoint now, const Runner& runner,
                                       const TaskName& name, const Run& run,
                                       bool gang) {
  PaceKnowledge known;
  std::vector<double> others = PacesOfOthers(now, runner, name);
  const bool compares_own =
      !gang && run.best_pace_ratio > 0 &&
      run.pace_ratio >= kSlowRunnerRatio * run.best_pace_ratio;
  double pace = std::log(runner.SlownessExcluding(name.job));
  double deviation = kPaceDeviation;
  if (!others.empty()) {
    pace = Median(&others);
    deviation /= std::sqrt(static_cast<double>(others.size()));
  } else if (compares_own) {
    // A task that became slow while it ran is not long by itself.
    pace = std::log(run.pace_ratio / run.best_pace_ratio);
    deviation = std::hypot(RoundingDeviation(run.pace_ratio_percent),
                           RoundingDeviation(run.best_pace_percent));
  }
  if (pace < std::log(kSlowRunnerRatio)) return known;
  known.transient = pace;
  known.deviation = deviation;
  if (runner.slow_since.has_value()) known.slow_for = now - *runner.slow_since;
  return known;
}

PaceKnowledge Scheduler::KnownPace(TimePoint now, const Runner& runner,
                                   const TaskName& name, const Run& run,
                                   bool gang) {
  PaceKnowledge known = TransientPace(now, runner, name, run, gang);
  if (!speeds_in_use_) return known;
  const SpeedEstimate speed = speeds_.EstimateOf(runner.incarnation());
  const double excess = speed.log_pace - std::log(run.expected_pace);
  if (speed.runs < kMinMeasuredRuns || excess <= 0) return known;
  known.lasting = excess;
  known.deviation = std::hypot(known.deviation, speed.deviation);
  return known;
}

std::optional<MoveQuery> Scheduler::MakeMoveQuery(TimePoint now, const Job& job,
                                                  const TaskName& name,
                                                  const Run& run,
                                                  double duration_ms) {
  MoveQuery query;
  query.remaining = Duration(
      std::llround(duration_ms * (kComplete - run.percent) / kComplete));
  query.remaining_deviation = RoundingDeviation(run.pace_ratio_percent);
  query.pace = std::log(run.pace_ratio);
  const Step& step = job.occurrences()[name.occurrence].steps[name.step];
  const bool gang = job.step_spec(name.step).gang;
  const int first = gang ? 0 : name.index;
  const int last = gang ? static_cast<int>(step.tasks.size()) - 1 : name.index;
  TaskName member = name;
  int saved = 0;
  for (member.index = first; member.index <= last; ++member.index) {
    Runner* runner = fleet_.Find(step.tasks[member.index].incarnation);
    const Run* own =
        runner == nullptr ? nullptr : runner->FindRun(member, run.number);
    if (own == nullptr || own->stopping) return std::nullopt;
    // A checkpoint of one member is one of the whole gang.
    saved = std::max(saved, own->saved_percent);
    query.runners.push_back(KnownPace(now, *runner, member, *own, gang));
  }
  query.unsaved = Duration(
      std::llround(duration_ms * std::max(0, run.percent - saved) / kComplete));
  return query;
}

void Scheduler::ConsiderMove(Context& ctx, Runner* runner, const Job& job,
                             const TaskName& name, Run* run,
                             double duration_ms) {
  const StepSpec& spec = job.step_spec(name.step);
  if (run->stopping || run->number > options_.max_moves) return;
  // The members advance together, so one of them decides for all.
  if (spec.gang && name.index != 0) return;
  std::optional<MoveQuery> query =
      MakeMoveQuery(ctx.now(), job, name, *run, duration_ms);
  if (!query.has_value()) return;
  MoveRules rules = options_.move_rules;
  if (longest_stop_ > Duration(0)) rules.stop_time = longest_stop_;
  MoveDecision decision = DecideMove(*query, rules);
  if (decision.verdict == MoveVerdict::kMove) {
    const Step& step = job.occurrences()[name.occurrence].steps[name.step];
    const int index = spec.gang ? decision.slow_runner : name.index;
    const Runner& slow = *fleet_.Find(step.tasks[index].incarnation);
    // Only now, since it visits all runners.
    if (FindPlaceElsewhere(ctx.now(), slow, job, spec, *run, &*query)) {
      decision = DecideMove(*query, rules);
    } else {
      decision.verdict = MoveVerdict::kNoGain;
    }
    if (decision.verdict == MoveVerdict::kMove) {
      decision.slow_runner = index;
      MoveByGain(ctx, runner, name, *run, decision, query->remaining, slow);
      return;
    }
  }
  const bool considered = decision.verdict == MoveVerdict::kNoGain ||
                          run->pace_ratio > options_.slow_run_ratio;
  if (!considered || run->move_declined) return;
  run->move_declined = true;
  ctx.Log(LogId::kMoveDeclined,
          {{"task", ToString(name)},
           {"runner", runner->id().value()},
           {"percent", std::to_string(run->percent)},
           {"reason", ToString(decision.verdict)},
           {"left_ms", std::to_string(query->remaining.ms())},
           {"here_ms", std::to_string(decision.here.ms())},
           {"elsewhere_ms", std::to_string(decision.elsewhere.ms())}});
}

bool Scheduler::FindPlaceElsewhere(TimePoint now, const Runner& slow,
                                   const Job& job, const StepSpec& step,
                                   const Run& run, MoveQuery* query) {
  const QueuePolicy policy = PolicyOf(job, *catalog_);
  const bool urgent = policy.priority == 0;
  // Capacity in the racks for urgent work and capacity that is reserved for
  // waiting steps is not free for other work.
  const std::int64_t idle =
      idle_accelerators_.open + (urgent ? idle_accelerators_.urgent_racks : 0);
  const bool has_room = run.need.accelerators <= idle;
  // Waiting steps would get what becomes free first.
  if (!has_room && !urgent && steps_waiting_ > 0) return false;
  std::vector<SpeedEstimate> paces;
  std::optional<Duration> wait;
  for (const Candidate& candidate :
       fleet_.Candidates(now, catalog_->drained_halls)) {
    const Runner& runner = *candidate.runner;
    const bool usable = runner.info().service == policy.service &&
                        runner.id() != slow.id() && !runner.IsSlow() &&
                        !candidate.suspect && IsNear(step, slow, runner);
    if (!usable) continue;
    if (has_room && run.need.Fits(candidate.room)) {
      paces.push_back(speeds_.EstimateOf(runner.incarnation()));
    } else if (paces.empty()) {
      const std::optional<Duration> until =
          TimeUntilRoom(candidate, run.need, now);
      if (until.has_value()) wait = std::min(wait.value_or(*until), *until);
    }
  }
  if (!paces.empty()) wait = Duration(0);
  if (!wait.has_value()) return false;
  query->wait = *wait;
  if (!speeds_in_use_) return true;
  SetPaceElsewhere(paces, speeds_.Spread(), std::log(run.expected_pace), query);
  // Work that is not urgent is placed on slow runners on purpose.
  if (!urgent) query->pace_elsewhere = std::max(query->pace_elsewhere, 0.0);
  return true;
}

void Scheduler::MoveByGain(Context& ctx, Runner* runner, const TaskName& name,
                           const Run& run, const MoveDecision& decision,
                           Duration remaining, const Runner& slow) {
  ctx.Log(LogId::kRunMoved,
          {{"task", ToString(name)},
           {"runner", runner->id().value()},
           {"percent", std::to_string(run.percent)},
           {"reason", ToString(decision.verdict)},
           {"left_ms", std::to_string(remaining.ms())},
           {"here_ms", std::to_string(decision.here.ms())},
           {"elsewhere_ms", std::to_string(decision.elsewhere.ms())},
           {"slow_member", std::to_string(decision.slow_runner)},
           {"slow_runner", slow.id().value()}});
  RequestStop(ctx, runner, name);
  StopGang(ctx, name);
}

void Scheduler::StopToMove(Context& ctx, Runner* runner, const TaskName& name) {
  RequestStop(ctx, runner, name);
  // The end of one member ends all. Stopped at once, the others do not go on
  // working in vain, and the planner knows that their capacity becomes free.
  if (DecidesByGain()) StopGang(ctx, name);
}

}  // namespace limeledge::dispatch
