/// @file
/// What ends and silence tell the scheduler of runners: which ones rest, and
/// which are looked at later.
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
  const Duration lasted = ctx.now() - run.started_at;
  const Duration quick =
      std::max(options_.early_failure_limit,
               run.expected * options_.early_failure_percent / kHundred);
  if (end.end == RunEnd::kDone) {
    RecordSuccess(runner, run);
  } else if (end.end == RunEnd::kFailed) {
    // The end may be listed before the start's own answer comes.
    const bool at_once = run.phase == RunPhase::kStarting ||
                         (run.phase == RunPhase::kRunning && lasted < quick);
    RecordFailure(ctx, runner, end.task.job, at_once);
  }
}

void Scheduler::RecordSuccess(Runner* runner, const Run& run) {
  // What began before the last failure says nothing of what begins now.
  if (run.started_at < runner->failed_at) return;
  runner->consecutive_failures = 0;
  runner->failed_immediately = false;
  runner->suspect_until = TimePoint();
}

void Scheduler::RecordFailure(Context& ctx, Runner* runner, const JobId& job,
                              bool at_once) {
  runner->suspect_until = ctx.now() + options_.failure_penalty;
  runner->failed_at = ctx.now();
  if (at_once) {
    runner->failed_immediately = true;
    // Others that began with it tell nothing more.
    if (ctx.now() >= runner->backoff_until) ++runner->consecutive_failures;
    BackOffAfterFailures(ctx, runner, "a run failed as soon as it had begun");
    return;
  }
  // One job that fails again and again says nothing of the runner.
  if (runner->last_failed_job == job) return;
  runner->last_failed_job = job;
  ++runner->consecutive_failures;
  if (runner->consecutive_failures < kFailuresBeforeBackoff) return;
  BackOffAfterFailures(ctx, runner, "failed runs of several jobs");
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
    runner->late_orders.RecordGrant(ctx.now() + options_.late_order_window);
  }
  HandleMissedAnswer(ctx, runner);
}

void Scheduler::HandleMissedAnswer(Context& ctx, Runner* runner) {
  if (runner->reachable()) {
    ctx.Log(LogId::kRunnerSilent, {{"runner", runner->id().value()}});
  }
  runner->RecordMiss(ctx.now());
  // What waits to be started there is placed elsewhere.
  orders_due_.insert(runner->id());
  const Duration pause = std::min(options_.fleet.retry_pause * runner->misses(),
                                  options_.fleet.longest_retry_pause);
  runner->next_poll_at = ctx.now() + pause;
}

}  // namespace limeledge::dispatch
