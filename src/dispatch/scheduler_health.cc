/// @file
/// Runner health: back-off after failed runs, and retries of polls after missed
/// answers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

constexpr int kFailuresBeforeBackoff = 2;
constexpr int kMaxDoublings = 4;
constexpr int kHundred = 100;

}  // namespace

void Scheduler::UpdateRunnerHealth(Context& ctx, Runner* runner,
                                   const ReportedEnd& end, const Run& run) {
  const Duration elapsed = ctx.now() - run.started_at;
  const Duration early_failure_limit =
      std::max(options_.early_failure_limit,
               run.expected * options_.early_failure_percent / kHundred);
  if (end.end == RunEnd::kDone) {
    RecordSuccess(runner, run);
  } else if (end.end == RunEnd::kFailed) {
    // The end may be reported before the answer to the start arrives.
    const bool immediate =
        run.phase == RunPhase::kStarting ||
        (run.phase == RunPhase::kRunning && elapsed < early_failure_limit);
    RecordFailure(ctx, runner, end.task.job, immediate);
  }
}

void Scheduler::RecordSuccess(Runner* runner, const Run& run) {
  // A run that began before the last failure is no evidence that new runs
  // succeed.
  if (run.started_at < runner->failed_at) return;
  runner->consecutive_failures = 0;
  runner->failed_immediately = false;
  runner->suspect_until = TimePoint();
}

void Scheduler::RecordFailure(Context& ctx, Runner* runner, const JobId& job,
                              bool immediate) {
  runner->suspect_until = ctx.now() + options_.failure_penalty;
  runner->failed_at = ctx.now();
  if (immediate) {
    runner->failed_immediately = true;
    // Failures of runs that began together count as one.
    if (ctx.now() >= runner->backoff_until) ++runner->consecutive_failures;
    BackOffAfterFailures(ctx, runner, "a run failed right after its start");
    return;
  }
  // Repeated failures of one job are no evidence against the runner.
  if (runner->last_failed_job == job) return;
  runner->last_failed_job = job;
  ++runner->consecutive_failures;
  if (runner->consecutive_failures < kFailuresBeforeBackoff) return;
  BackOffAfterFailures(ctx, runner, "runs of several jobs failed");
}

void Scheduler::BackOffAfterFailures(Context& ctx, Runner* runner,
                                     const char* reason) {
  const int doublings = std::clamp(
      runner->consecutive_failures - kFailuresBeforeBackoff, 0, kMaxDoublings);
  const Duration pause = std::min(options_.unhealthy_backoff * (1 << doublings),
                                  options_.max_unhealthy_backoff);
  BackOff(ctx, runner, pause, reason);
}

void Scheduler::BackOff(Context& ctx, Runner* runner, Duration pause,
                        const char* reason) {
  runner->backoff_until = std::max(runner->backoff_until, ctx.now() + pause);
  ctx.Log(LogId::kRunnerAvoidedFor, {{"runner", runner->id().value()},
                                     {"pause_ms", std::to_string(pause.ms())},
                                     {"reason", reason}});
}

void Scheduler::HandleMissedPoll(Context& ctx, Runner* runner,
                                 OrderOutcome outcome) {
  if (outcome == OrderOutcome::kLost && runner->poll_grants_lease) {
    runner->late_orders.RecordGrant(ctx.now() +
                                    options_.fleet.late_call_window);
    runner->RecordUnansweredPoll(ctx.now());
  }
  const bool holds_inherited_runs =
      !runner->heard() && runner->misses() == 0 && !runner->runs().empty();
  if (holds_inherited_runs) {
    ctx.Log(
        LogId::kRunsHeld,
        {{"runner", runner->id().value()},
         {"born", ToString(runner->incarnation().start_time)},
         {"address", runner->address()},
         {"runs", std::to_string(runner->runs().size())},
         {"listed", runner->listed() ? "yes" : "no"},
         {"poll", ToString(outcome)},
         {"lease_left_ms", std::to_string(runner->LeaseLeft(ctx.now()).ms())},
         {"lease_basis", ToString(runner->lease().basis())}});
  }
  HandleMissedAnswer(ctx, runner);
}

void Scheduler::HandleMissedAnswer(Context& ctx, Runner* runner) {
  if (runner->reachable()) {
    ctx.Log(LogId::kRunnerSilent, {{"runner", runner->id().value()}});
  }
  runner->RecordMiss(ctx.now());
  // Queued starts on a silent runner are dropped and their tasks placed
  // elsewhere.
  orders_due_.insert(runner->id());
  const Duration pause = std::min(options_.fleet.retry_pause * runner->misses(),
                                  options_.fleet.longest_retry_pause);
  runner->next_poll_at = ctx.now() + pause;
}

}  // namespace limeledge::dispatch
