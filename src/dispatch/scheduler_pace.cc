/// @file
/// The pace of runs: what is learnt from it, and which runs are moved for it.
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

}  // namespace

void Scheduler::MeasurePace(Context& ctx, Runner* runner, Job* job,
                            const TaskName& name, Run* run) {
  const StepSpec& step = job->step_spec(name.step);
  if (step.long_running || run->pace_measured_from.ms() == 0) return;
  const Duration elapsed = ctx.now() - run->pace_measured_from;
  if (elapsed < options_.min_pace_interval) return;
  // A gang that has not begun shows no progress anywhere.
  if (run->percent == 0) return;
  const int done = std::max(1, run->percent - run->pace_percent);
  const double length = static_cast<double>((elapsed * kComplete).ms()) / done;
  run->pace_measured_from = ctx.now();
  run->pace_percent = run->percent;
  EvaluatePace(ctx, runner, job, name, *run, length);
  LearnRunTime(ctx, job, name, run);
}

void Scheduler::EvaluatePace(Context& ctx, Runner* runner, Job* job,
                             const TaskName& name, const Run& run,
                             double length) {
  Step& step = job->occurrences()[name.occurrence].steps[name.step];
  const Duration elsewhere = step.MeanDurationElsewhere(runner->incarnation());
  const Duration seen(std::llround(length));
  if (elsewhere > Duration(0)) {
    runner->RecordUsualPace(length / static_cast<double>(elsewhere.ms()));
  }
  Duration& shortest = step.observed_durations[runner->incarnation()];
  shortest = shortest == Duration(0) ? seen : std::min(shortest, seen);
  const std::optional<double> factor =
      times_.UpperBoundFactor(job->spec().queue);
  if (!factor.has_value()) return;
  const Duration expected = std::max({run.expected, elsewhere, Duration(1)});
  const double ratio = length / static_cast<double>(expected.ms());
  runner->RecordPace(ratio, job->spec().id);
  const double left = length * (kComplete - run.percent) / kComplete;
  // Known lengths of the step's other runs are a surer ground than guesses.
  const double bound = elsewhere > Duration(0)
                           ? options_.slow_run_ratio
                           : std::max(*factor, options_.slow_run_ratio);
  const bool told_by_others =
      elsewhere > Duration(0) || runner->IsSlowExcluding(job->spec().id);
  if (ratio > bound && told_by_others) {
    MoveOffSlowRunner(ctx, runner, name, run, Duration(std::llround(left)),
                      expected);
  }
}

void Scheduler::LearnRunTime(Context& ctx, Job* job, const TaskName& name,
                             Run* run) {
  if (!run->usable_for_estimates || run->percent < options_.min_learn_percent)
    return;
  run->usable_for_estimates = false;
  Step& step = job->occurrences()[name.occurrence].steps[name.step];
  if (step.duration_known) return;
  step.duration_known = true;
  const Duration whole =
      (ctx.now() - run->started_at) * kComplete / run->percent;
  times_.AddSample(job->spec().queue, job->step_spec(name.step).estimate,
                   whole);
}

void Scheduler::MoveOffSlowRunner(Context& ctx, Runner* runner,
                                  const TaskName& name, const Run& run,
                                  Duration left, Duration expected) {
  if (run.stopping || !runner->IsSlow()) return;
  if (run.number > options_.max_moves) return;
  const double anew =
      options_.min_move_gain * static_cast<double>(expected.ms());
  if (left < Duration(std::llround(anew)) + options_.move_cost) return;
  ctx.Log(LogId::kRunMoved, {{"task", ToString(name)},
                             {"runner", runner->id().value()},
                             {"percent", std::to_string(run.percent)},
                             {"left_ms", std::to_string(left.ms())},
                             {"slowness", absl::StrCat(runner->slowness())}});
  RequestStop(ctx, runner, name);
  StopGang(ctx, name);
}

void Scheduler::CheckRuns(Context& ctx) {
  for (auto& [id, runner] : fleet_.runners()) {
    runner->ReleaseDeferredAcknowledgements(ctx.now());
    if (runner->runs().empty()) continue;
    const bool silent = !runner->reachable();
    if (silent && ctx.now() >= runner->lease_expires_at()) {
      EndExpiredRuns(ctx, runner.get());
      continue;
    }
    std::vector<TaskName> names;
    for (const auto& [name, run] : runner->runs()) names.push_back(name);
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
  const Job* job = book_.Find(name.job);
  if (job == nullptr || job->step_spec(name.step).long_running) return;
  // A percent of a slow run takes its time.
  const Duration percent = run->expected / kComplete;
  const Duration patience =
      options_.stall_timeout + percent * options_.stall_timeout_percent;
  if (ctx.now() - run->progressed_at < patience) return;
  ctx.Log(LogId::kRunStalled, {{"task", ToString(name)},
                               {"runner", runner->id().value()},
                               {"percent", std::to_string(run->percent)}});
  BackOff(ctx, runner, options_.stall_backoff, "a run stands still");
  RequestStop(ctx, runner, name);
}

void Scheduler::CheckDraining(Context& ctx, Runner* runner,
                              const TaskName& name, const Run& run) {
  if (!runner->draining_since().has_value() || run.stopping) return;
  if (run.phase != RunPhase::kRunning) return;
  const Job* job = book_.Find(name.job);
  if (job == nullptr) return;
  const StepSpec& step = job->step_spec(name.step);
  // What saves nothing is lost either way: begun anew at once, it is not missed
  // only once its lease is over.
  const bool moves =
      step.saves_progress || (options_.move_unsaved_runs && !step.long_running);
  if (!moves) return;
  // A runner that only seems to leave is sound as far as anybody can tell.
  const bool said_so = runner->info().draining;
  if (!said_so && step.limits_unavailability()) return;
  if (ctx.now() + TimeLeft(run, ctx.now()) < runner->leaves_at) return;
  ctx.Log(LogId::kRunEvacuated, {{"task", ToString(name)},
                                 {"runner", runner->id().value()},
                                 {"percent", std::to_string(run.percent)}});
  RequestStop(ctx, runner, name);
}

}  // namespace limeledge::dispatch
