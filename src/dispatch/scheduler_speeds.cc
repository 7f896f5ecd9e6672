/// @file
/// Measurements of the lasting speeds of runners, and when they are in use.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cmath>
#include <set>

#include "absl/strings/str_cat.h"
#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

constexpr int kComplete = 100;
// Reported progress is rounded down to whole percent.
constexpr int kTwiceRounding = 1;
// Deviations of the log pace that a runner may lie from the mean without being
// an exception.
constexpr double kUsualDeviations = 2;
// Speeds stay in use until the spread falls below this part of the limit, so
// that an estimate near the limit does not switch them on and off.
constexpr double kReleaseShare = 0.75;
// Each call takes a copy of all ids. In this time a few runners are replaced,
// whose estimates take a few hundred bytes each.
constexpr Duration kSpeedCleanupInterval{10000};

/// The logarithm of the smallest factor by which an urgent run may take longer
/// than expected; nothing if no queue is urgent.
std::optional<double> SmallestUrgentSlack(const Catalog& catalog) {
  std::optional<double> smallest;
  for (const Queue& queue : catalog.queues) {
    const bool limits = queue.policy.priority == 0 && queue.policy.stretch > 1;
    if (!limits) continue;
    const double slack = std::log(queue.policy.stretch);
    smallest = smallest.has_value() ? std::min(*smallest, slack) : slack;
  }
  return smallest;
}

}  // namespace

void Scheduler::MeasureSpeed(Context& ctx, const Runner& runner, const Job& job,
                             const TaskName& name, Run* run, bool ended) {
  const StepSpec& step = job.step_spec(name.step);
  if (options_.runner_speeds == RunnerSpeedUse::kOff) return;
  if (!run->began_near_data || step.long_running) return;
  // What a job that is over told was kept already. Its runs that have yet to
  // stop would count twice.
  if (IsFinal(job.state())) return;
  const int percent = ended ? kComplete : run->percent;
  // A measurement is repeated when it has become about twice as precise.
  const bool due = ended || percent >= 2 * run->speed_percent;
  if (!due || percent < options_.min_learn_percent) return;
  TimePoint started_at = run->started_at;
  std::optional<GangRunners> gang;
  if (step.gang) {
    // One member measures for all.
    if (name.index != 0 && !ended) return;
    gang = FindGangRunners(job, name, run->number);
    if (!gang.has_value()) return;
    started_at = gang->started_at;
  }
  run->speed_percent = percent;
  constexpr std::int64_t kTwiceComplete = std::int64_t{2} * kComplete;
  const std::int64_t worked =
      ended ? kTwiceComplete : std::int64_t{2} * percent + kTwiceRounding;
  const Duration duration = (ctx.now() - started_at) * kTwiceComplete / worked;
  const QueueId& queue = job.spec().queue;
  if (gang.has_value()) {
    speeds_.RecordGang(ctx.now(), {name.job, name.occurrence, name.step}, queue,
                       gang->runners, step.estimate, duration);
  } else {
    speeds_.RecordTask(ctx.now(), name, queue, runner.incarnation(),
                       step.estimate, duration);
  }
}

std::optional<Scheduler::GangRunners> Scheduler::FindGangRunners(
    const Job& job, const TaskName& name, int number) {
  const Step& step = job.occurrences()[name.occurrence].steps[name.step];
  GangRunners gang;
  TaskName member = name;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    member.index = static_cast<int>(i);
    const Task& task = step.tasks[i];
    if (task.run != number) return std::nullopt;
    const auto found = fleet_.runners().find(task.incarnation.runner);
    if (found == fleet_.runners().end()) return std::nullopt;
    Runner* runner = found->second.get();
    if (runner->incarnation() != task.incarnation) return std::nullopt;
    gang.runners.push_back(task.incarnation);
    // The run of a member that has just ended may be gone.
    const Run* run = runner->FindRun(member, number);
    if (run == nullptr) continue;
    if (run->phase != RunPhase::kRunning) return std::nullopt;
    gang.started_at = std::max(gang.started_at, run->started_at);
  }
  return gang;
}

void Scheduler::DropSpeedsOfGoneRunners(Context& ctx) {
  // While the list is not known, a runner may be missing that is present.
  if (ctx.now() < next_speed_cleanup_at_) return;
  if (!fleet_.KnowsCapacities(ctx.now())) return;
  next_speed_cleanup_at_ = ctx.now() + kSpeedCleanupInterval;
  std::set<IncarnationId> present;
  for (const auto& [id, runner] : fleet_.runners()) {
    present.insert(runner->incarnation());
  }
  speeds_.RetainOnly(present);
}

bool Scheduler::ShouldUseSpeeds() {
  if (options_.runner_speeds == RunnerSpeedUse::kOff) return false;
  if (options_.runner_speeds == RunnerSpeedUse::kOn) return true;
  const std::optional<double> slack = SmallestUrgentSlack(*catalog_);
  if (!slack.has_value()) return false;
  const double release = *slack * kReleaseShare;
  const double limit = speeds_in_use_ ? release : *slack;
  if (kUsualDeviations * speeds_.Spread() > limit) {
    speed_use_decided_ = true;
    return true;
  }
  if (speed_use_decided_ || !speed_keeper_.restored()) return false;
  // The first measurements give a lower bound on the spread that is far too
  // low, so they must not end the use of speeds.
  speed_use_decided_ = kUsualDeviations * speeds_.MaxSpread() <= release;
  return !speed_use_decided_;
}

void Scheduler::UpdateSpeedUse(Context& ctx) {
  const bool in_use = ShouldUseSpeeds();
  if (in_use == speeds_in_use_) return;
  speeds_in_use_ = in_use;
  ctx.Log(LogId::kSpeedsInUse,
          {{"in_use", in_use ? "yes" : "no"},
           {"spread", absl::StrCat(speeds_.Spread())},
           {"measured", std::to_string(speeds_.measured_runners())}});
}

}  // namespace limeledge::dispatch
