/// @file
/// Progress of runs: pace measurements, and moves of runs that are slow,
/// stalled or on a draining runner.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

constexpr int kComplete = 100;

Duration OnAverageRunner(const Run& run, Duration duration) {
  return Duration(
      std::llround(static_cast<double>(duration.ms()) / run.expected_pace));
}

}  // namespace

void Scheduler::MeasurePace(Context& ctx, Runner* runner, Job* job,
                            const TaskName& name, Run* run) {
  const StepSpec& step = job->step_spec(name.step);
  if (step.long_running || run->pace_measured_from.ms() == 0) return;
  const Duration elapsed = ctx.now() - run->pace_measured_from;
  if (elapsed < options_.min_pace_interval) return;
  // A gang that has not begun reports no progress on any runner.
  if (run->percent == 0) return;
  const int progress = std::max(1, run->percent - run->pace_percent);
  const double duration_ms =
      static_cast<double>((elapsed * kComplete).ms()) / progress;
  run->pace_measured_from = ctx.now();
  run->pace_percent = run->percent;
  MeasureSpeed(ctx, *runner, *job, name, run, false);
  EvaluatePace(ctx, runner, job, name, run, duration_ms, progress);
  LearnRunTime(ctx, job, name, run);
}

void Scheduler::EvaluatePace(Context& ctx, Runner* runner, Job* job,
                             const TaskName& name, Run* run, double duration_ms,
                             int progress) {
  Step& step = job->occurrences()[name.occurrence].steps[name.step];
  const bool by_gain = DecidesByGain();
  // Members of a gang advance together, so that a comparison of their paces
  // says nothing about their runners.
  const bool comparable = !by_gain || !job->step_spec(name.step).gang;
  const Duration elsewhere =
      comparable ? step.observed_durations.MeanElsewhere(runner->id())
                 : Duration(0);
  const Duration measured(std::llround(duration_ms));
  if (elsewhere > Duration(0)) {
    runner->RecordUsualPace(duration_ms / static_cast<double>(elsewhere.ms()));
  }
  step.observed_durations.Record(runner->incarnation(), measured);
  const std::optional<double> factor =
      run_time_estimator_.UpperBoundFactor(job->spec().queue);
  if (!factor.has_value()) return;
  const Duration expected = std::max({run->expected, elsewhere, Duration(1)});
  const double ratio = duration_ms / static_cast<double>(expected.ms());
  if (by_gain) {
    RecordPaceRatio(ctx, runner, *job, name, run, ratio,
                    elsewhere > Duration(0), progress);
    ConsiderMove(ctx, runner, *job, name, run, duration_ms);
    return;
  }
  runner->RecordPace(ratio, job->spec().id);
  const double remaining = duration_ms * (kComplete - run->percent) / kComplete;
  // Measured durations of the step's other runs are more reliable than
  // estimates.
  const double max_ratio = elsewhere > Duration(0)
                               ? options_.slow_run_ratio
                               : std::max(*factor, options_.slow_run_ratio);
  const bool confirmed_by_others =
      elsewhere > Duration(0) || runner->IsSlowExcluding(job->spec().id);
  if (ratio > max_ratio && confirmed_by_others) {
    MoveOffSlowRunner(ctx, runner, name, *run,
                      Duration(std::llround(remaining)), expected);
  }
}

void Scheduler::LearnRunTime(Context& ctx, Job* job, const TaskName& name,
                             Run* run) {
  if (!run->usable_for_estimates || run->percent < options_.min_learn_percent) {
    return;
  }
  run->usable_for_estimates = false;
  Step& step = job->occurrences()[name.occurrence].steps[name.step];
  if (step.duration_known) return;
  step.duration_known = true;
  const Duration full_duration =
      (ctx.now() - run->started_at) * kComplete / run->percent;
  run_time_estimator_.AddSample(job->spec().queue,
                                job->step_spec(name.step).estimate,
                                OnAverageRunner(*run, full_duration));
}

void Scheduler::MoveOffSlowRunner(Context& ctx, Runner* runner,
                                  const TaskName& name, const Run& run,
                                  Duration remaining, Duration expected) {
  if (run.stopping || !runner->IsSlow()) return;
  if (run.number > options_.max_moves) return;
  const double min_ms =
      options_.min_move_gain * static_cast<double>(expected.ms());
  if (remaining < Duration(std::llround(min_ms)) + options_.move_cost) return;
  ctx.Log(LogId::kRunMoved, {{"task", ToString(name)},
                             {"runner", runner->id().value()},
                             {"percent", std::to_string(run.percent)},
                             {"left_ms", std::to_string(remaining.ms())},
                             {"slowness", absl::StrCat(runner->slowness())}});
  RequestStop(ctx, runner, name);
  StopGang(ctx, name);
}

void Scheduler::CheckRuns(Context& ctx) {
  for (auto& [id, runner] : fleet_.runners()) {
    runner->ReleaseDeferredAcknowledgements(ctx.now());
    if (runner->runs().empty()) continue;
    const bool silent = !runner->reachable();
    if (silent && ctx.now() >= runner->lease().expires_at()) {
      EndExpiredRuns(ctx, runner.get());
      continue;
    }
    const bool drains = runner->draining_since().has_value();
    std::vector<TaskName> names;
    for (const auto& [name, run] : runner->runs()) {
      const bool may_have_stalled =
          ctx.now() - run.progressed_at >= options_.stall_timeout;
      if (drains || may_have_stalled) names.push_back(name);
    }
    for (const TaskName& name : names) {
      const auto found = runner->runs().find(name);
      if (found == runner->runs().end()) continue;
      CheckStall(ctx, runner.get(), name, &found->second);
      CheckDraining(ctx, runner.get(), name, found->second);
    }
  }
}

void Scheduler::CheckStall(Context& ctx, Runner* runner, const TaskName& name,
                           Run* run) {
  if (run->phase != RunPhase::kRunning || run->stopping) return;
  if (!runner->reachable() || run->percent >= kComplete) return;
  const Job* job = jobs_.Find(name.job);
  if (job == nullptr || job->step_spec(name.step).long_running) return;
  // Each percent of a long run takes longer.
  const Duration one_percent = run->expected / kComplete;
  const Duration timeout =
      options_.stall_timeout + one_percent * options_.stall_timeout_percent;
  if (ctx.now() - run->progressed_at < timeout) return;
  ctx.Log(LogId::kRunStalled, {{"task", ToString(name)},
                               {"runner", runner->id().value()},
                               {"percent", std::to_string(run->percent)}});
  BackOff(ctx, runner, options_.stall_backoff, "a run stalled");
  StopToMove(ctx, runner, name);
}

void Scheduler::CheckDraining(Context& ctx, Runner* runner,
                              const TaskName& name, const Run& run) {
  if (!runner->draining_since().has_value() || run.stopping) return;
  if (run.phase != RunPhase::kRunning) return;
  const Job* job = jobs_.Find(name.job);
  if (job == nullptr) return;
  const StepSpec& step = job->step_spec(name.step);
  // A run without checkpoints loses its progress either way. Stopped now, it
  // restarts immediately instead of only after its lease expired.
  const bool may_move =
      step.saves_progress || (options_.move_unsaved_runs && !step.long_running);
  if (!may_move) return;
  // A runner that only appears to be shutting down may well be healthy.
  const bool announced = runner->info().draining;
  if (!announced && step.limits_unavailability()) return;
  const std::optional<Duration> left = TimeLeft(run, ctx.now());
  if (left.has_value() && ctx.now() + *left < runner->leaves_at) return;
  ctx.Log(LogId::kRunEvacuated, {{"task", ToString(name)},
                                 {"runner", runner->id().value()},
                                 {"percent", std::to_string(run.percent)}});
  StopToMove(ctx, runner, name);
}

}  // namespace limeledge::dispatch
