/// @file
/// Answers from runners: completed orders, polls, and the ends of runs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

// Maximum number of ends that a runner reports in one answer.
constexpr std::size_t kMaxReportedEnds = 500;

/// Logs that runs on the runner are over, with what is known of the runner: how
/// long ago it answered this scheduler, its address in the list, until when it
/// may hold a lease that any scheduler granted, and what that is derived from.
/// `called` is the address whose answer ended the runs; empty if there was
/// none.
void LogRunnerLost(Context& ctx, const Runner& runner, EndEvidence evidence,
                   std::size_t runs, const std::string& called) {
  const std::optional<Duration> age = AgeOfLatestAnswer(runner, ctx.now());
  const RunnerLease& lease = runner.lease();
  const bool expired =
      lease.basis() != LeaseBasis::kNone && lease.expires_at() <= ctx.now();
  ctx.Log(LogId::kRunnerLost,
          {{"runner", runner.id().value()},
           {"reason", ToString(evidence)},
           {"runs", std::to_string(runs)},
           {"heard", runner.heard() ? "yes" : "no"},
           {"heard_ms_ago", age.has_value() ? std::to_string(age->ms()) : ""},
           {"listed", runner.listed() ? "yes" : "no"},
           {"called", called},
           {"entry_address", runner.listed() ? runner.info().address : ""},
           {"lease_left_ms", std::to_string(runner.LeaseLeft(ctx.now()).ms())},
           {"lease_expired_ms_ago",
            expired ? MsSince(lease.expires_at(), ctx.now()) : ""},
           {"lease_basis", ToString(lease.basis())},
           {"foreign_rejected_ms_ago",
            MsSince(runner.foreign_calls_rejected_at(), ctx.now())},
           {"first_clock_ms",
            runner.heard() ? std::to_string(runner.first_clock_ms()) : ""}});
}

/// What the loss of the runner means for its runs that count as over for this
/// reason. `unannounced`: how the runner was lost if it was not leaving.
RunnerLoss DescribeLoss(const Runner& runner, RunnerLossCause unannounced,
                        EndEvidence evidence) {
  RunnerLoss loss;
  loss.cause = runner.LeftAsAnnounced() ? RunnerLossCause::kLeft : unannounced;
  loss.evidence = evidence;
  return loss;
}

/// Minimum time between two starts of a lasting task that keeps ending: shorter
/// than the 6 s after which the platform counts it as missing.
constexpr Duration kMinRestartInterval{5000};

/// Spaces the starts of a lasting task after an end of its own. One that failed
/// on a single runner starts at once, on another one.
void SpaceStarts(const TaskName& name, RunEnd end, TimePoint started_at,
                 Job* job) {
  if (!job->step_spec(name.step).long_running) return;
  const Step& step = job->occurrences()[name.occurrence].steps[name.step];
  const bool repeated = end == RunEnd::kFailed && step.failed_on.size() > 1;
  if (!repeated && end != RunEnd::kDone && end != RunEnd::kLeaseExpired) return;
  job->Find(name)->blocked_until = started_at + kMinRestartInterval;
}

}  // namespace

const char* ToString(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kStaleRun:
      return "stale run";
    case OrderOutcome::kLeaseExpired:
      return "lease expired";
    case OrderOutcome::kNoCapacity:
      return "no room";
    case OrderOutcome::kInvalidTicket:
      return "no ticket";
    case OrderOutcome::kInvalid:
      return "invalid";
    case OrderOutcome::kUnhealthy:
      return "unhealthy";
    case OrderOutcome::kOtherIncarnation:
      return "other incarnation";
    case OrderOutcome::kNotSent:
      return "not sent";
    case OrderOutcome::kConnectionRefused:
      return "connection refused";
    case OrderOutcome::kLost:
      return "no answer";
  }
  return "";
}

Scheduler::LeaseStatus Scheduler::HandleFenced(
    const IncarnationId& asked, const FencingToken& fence) const {
  // The runner has restarted since the call was sent, and has received calls
  // of this scheduler that were meant for its present incarnation.
  if (fleet_.IsOutdated(asked.runner, fence.generation)) {
    return LeaseStatus::kHeld;
  }
  return LeaseStatus::kDeposed;
}

Scheduler::LeaseStatus Scheduler::Handle(Context& ctx,
                                         const StartRunCompleted& answer) {
  if (answer.fence.epoch != writer_.epoch()) return LeaseStatus::kHeld;
  if (answer.outcome == OrderOutcome::kFenced) {
    return HandleFenced(answer.asked, answer.fence);
  }
  Runner* runner = fleet_.Find(answer.asked);
  if (runner == nullptr) return LeaseStatus::kHeld;
  RecordOrderAnswered(runner);
  RecordOrderContact(ctx, runner, answer.outcome, answer.clock_ms,
                     answer.address);
  plan_due_ = true;
  Run* run = runner->FindRun(answer.task, answer.run);
  if (run == nullptr) return LeaseStatus::kHeld;
  RecordLateStart(ctx.now(), runner, answer, *run);
  RecordStartAnswer(ctx.now(), runner, answer, *run);
  run->answered_at = ctx.now();
  if (answer.outcome == OrderOutcome::kDone) {
    run->phase = RunPhase::kRunning;
    run->start_answer = {ctx.now(), answer.clock_ms};
    run->started_at = ctx.now();
    run->progressed_at = ctx.now();
    run->pace_measured_from = ctx.now();
    run->saved_at = ctx.now();
    RecordBegun(answer.task.job);
    if (WasBegunByOtherIncarnation(*run)) {
      fleet_.HandleOtherIncarnation(ctx.now(), runner);
      AssumeCallsToEarlierIncarnations(ctx.now(), runner);
    }
    if (run->stopping) RequestStop(ctx, runner, answer.task);
    return LeaseStatus::kHeld;
  }
  HandleFailedStart(ctx, runner, answer, run);
  return LeaseStatus::kHeld;
}

void Scheduler::RecordLateStart(TimePoint now, Runner* runner,
                                const StartRunCompleted& answer,
                                const Run& run) {
  const bool may_arrive_late =
      answer.earlier_attempt_pending || answer.outcome == OrderOutcome::kLost;
  if (!may_arrive_late) return;
  const TimePoint until = now + options_.fleet.late_call_window;
  runner->late_orders.RecordStart({answer.task, answer.run}, run.need, now,
                                  until);
  runner->late_orders.RecordGrant(until);
}

void Scheduler::HandleFailedStart(Context& ctx, Runner* runner,
                                  const StartRunCompleted& answer, Run* run) {
  ctx.Log(LogId::kStartFailed, {{"task", ToString(answer.task)},
                                {"run", std::to_string(answer.run)},
                                {"runner", answer.asked.runner.value()},
                                {"outcome", ToString(answer.outcome)}});
  if (answer.outcome == OrderOutcome::kOtherIncarnation) {
    // A start that another incarnation rejected never began, unless it had been
    // sent before to the previous incarnation, which did not answer.
    if (runner->reachable()) run->phase = RunPhase::kRefused;
    if (EndedByOtherIncarnation(ctx, runner, answer.address)) return;
    HandleMissedAnswer(ctx, runner);
  }
  if (answer.outcome == OrderOutcome::kLost) {
    // The start may still be carried out: the next poll shows it, or a stop
    // cancels it.
    run->phase = RunPhase::kUnconfirmed;
    HandleMissedAnswer(ctx, runner);
    return;
  }
  if (answer.outcome == OrderOutcome::kNotSent) HandleMissedAnswer(ctx, runner);
  if (answer.outcome == OrderOutcome::kUnhealthy) {
    BackOff(ctx, runner, options_.unhealthy_backoff, "reported unhealthy");
  }
  if (answer.outcome == OrderOutcome::kNoCapacity) {
    BackOff(ctx, runner, options_.no_capacity_backoff, "no room");
  }
  if (answer.earlier_attempt_pending) {
    // Only this attempt was rejected.
    run->phase = RunPhase::kUnconfirmed;
    RequestStop(ctx, runner, answer.task);
    StopGang(ctx, answer.task);
    return;
  }
  EndRun(ctx, runner, answer.task, RunEnd::kRejected, "");
  StopGang(ctx, answer.task);
}

Scheduler::LeaseStatus Scheduler::Handle(Context& ctx,
                                         const StopRunCompleted& answer) {
  if (answer.fence.epoch != writer_.epoch()) return LeaseStatus::kHeld;
  if (answer.outcome == OrderOutcome::kFenced) {
    return HandleFenced(answer.asked, answer.fence);
  }
  Runner* runner = fleet_.Find(answer.asked);
  if (runner == nullptr) return LeaseStatus::kHeld;
  RecordOrderAnswered(runner);
  RecordOrderContact(ctx, runner, answer.outcome, answer.clock_ms,
                     answer.address);
  if (answer.outcome == OrderOutcome::kOtherIncarnation &&
      EndedByOtherIncarnation(ctx, runner, answer.address)) {
    return LeaseStatus::kHeld;
  }
  const bool answered = answer.outcome == OrderOutcome::kDone ||
                        answer.outcome == OrderOutcome::kStaleRun;
  const auto orphan = runner->orphans().find({answer.task, answer.run});
  if (orphan != runner->orphans().end()) {
    orphan->second.stop.Answered(answered);
  }
  Run* run = runner->FindRun(answer.task, answer.run);
  if (run == nullptr) return LeaseStatus::kHeld;
  run->stop.Answered(answered);
  if (answered) {
    run->answered_at = ctx.now();
    run->stop_answered = true;
  } else {
    HandleMissedAnswer(ctx, runner);
  }
  return LeaseStatus::kHeld;
}

void Scheduler::EndRun(Context& ctx, Runner* runner, const TaskName& name,
                       RunEnd end, const std::string& checkpoint) {
  const auto found = runner->runs().find(name);
  if (found == runner->runs().end()) return;
  const int number = found->second.number;
  const std::optional<TimePoint> stop_sent = found->second.stop.sent_at();
  if (end == RunEnd::kStopped && stop_sent.has_value()) {
    const Duration took = ctx.now() - *stop_sent;
    longest_stop_ =
        std::max(longest_stop_, std::min(took, options_.stop_retry_interval));
  }
  const TimePoint started_at = found->second.started_at;
  const Duration ran = found->second.phase == RunPhase::kRunning
                           ? ctx.now() - started_at
                           : Duration(0);
  runner->Remove(name);
  plan_due_ = true;
  ctx.Log(LogId::kRunEnded, {{"task", ToString(name)},
                             {"run", std::to_string(number)},
                             {"runner", runner->id().value()},
                             {"end", ToString(end)},
                             {"saved", checkpoint.empty() ? "" : "yes"}});
  Job* job = jobs_.Find(name.job);
  if (job == nullptr) return;
  // For a lost run, `CountLoss` compares its duration with earlier losses.
  if (end != RunEnd::kLeaseExpired) {
    job->DropOutlivedLosses(name, ran, options_.loss);
  }
  if (!job->EndRun(name, number, end, checkpoint, MaxAttempts(*job))) return;
  SpaceStarts(name, end, started_at, job);
  UpdateJobState(ctx, job);
  ApplyLossPolicy(ctx, name);
}

void Scheduler::EndAllRuns(Context& ctx, Runner* runner, EndEvidence evidence,
                           const std::string& called) {
  if (!runner->ended) {
    LogRunnerLost(ctx, *runner, evidence, runner->runs().size(), called);
  }
  std::vector<TaskName> names;
  for (const auto& [name, run] : runner->runs()) names.push_back(name);
  RunnerLoss loss = DescribeLoss(*runner, RunnerLossCause::kCrashed, evidence);
  loss.called = called;
  MarkRunsLost(ctx, runner, names, std::move(loss));
  runner->ended = true;
  ResolveLosses(ctx, runner->incarnation(), IncarnationFate::kCrashed);
}

bool Scheduler::EndedByOtherIncarnation(Context& ctx, Runner* runner,
                                        const std::string& address) {
  if (runner->HasAnsweredAt(address)) {
    EndAllRuns(ctx, runner, EndEvidence::kOtherIncarnationAnswered, address);
    return true;
  }
  // The known address and that of the entry are called in turn: one line each.
  constexpr int kAddresses = 2;
  if (runner->misses() < kAddresses) {
    ctx.Log(
        LogId::kOtherRunnerAnswered,
        {{"runner", runner->id().value()},
         {"called", address},
         {"runs", std::to_string(runner->runs().size())},
         {"lease_left_ms", std::to_string(runner->LeaseLeft(ctx.now()).ms())}});
  }
  return false;
}

void Scheduler::EndExpiredRuns(Context& ctx, Runner* runner) {
  std::vector<TaskName> expired;
  std::vector<TaskName> of_previous_incarnation;
  for (const auto& [name, run] : runner->runs()) {
    const bool may_still_start =
        run.phase == RunPhase::kUnconfirmed &&
        ctx.now() - run.answered_at < options_.fleet.late_call_window;
    if (may_still_start) continue;
    (IsOfEarlierIncarnation(*runner, run) ? of_previous_incarnation : expired)
        .push_back(name);
  }
  const std::size_t ended_count =
      expired.size() + of_previous_incarnation.size();
  if (ended_count == 0) return;
  LogRunnerLost(ctx, *runner, EndEvidence::kLeaseExpired, ended_count, "");
  // That this incarnation is shutting down says nothing about the previous one.
  if (!of_previous_incarnation.empty()) {
    RunnerLoss loss;
    loss.evidence = EndEvidence::kLeaseExpired;
    MarkRunsLost(ctx, runner, of_previous_incarnation, std::move(loss));
  }
  if (expired.empty()) return;
  MarkRunsLost(ctx, runner, expired,
               DescribeLoss(*runner, RunnerLossCause::kUnknown,
                            EndEvidence::kLeaseExpired));
}

Scheduler::LeaseStatus Scheduler::Handle(Context& ctx,
                                         const RunnerPolled& answer) {
  if (answer.fence.epoch != writer_.epoch()) return LeaseStatus::kHeld;
  if (answer.outcome == OrderOutcome::kFenced) {
    return HandleFenced(answer.asked, answer.fence);
  }
  Runner* runner = fleet_.Find(answer.asked);
  // A newer poll may have been sent since, because the list of runners named
  // another incarnation.
  const bool is_newest =
      runner != nullptr && answer.number == runner->poll_number;
  if (!is_newest) return LeaseStatus::kHeld;
  runner->poll_in_flight = false;
  if (answer.outcome == OrderOutcome::kOtherIncarnation &&
      EndedByOtherIncarnation(ctx, runner, answer.address)) {
    return LeaseStatus::kHeld;
  }
  if (answer.outcome != OrderOutcome::kDone) {
    HandleMissedPoll(ctx, runner, answer.outcome);
    return LeaseStatus::kHeld;
  }
  // A poll that was sent after an incarnation answered is itself answered by
  // that incarnation or a later one.
  if (answer.start_time != runner->incarnation().start_time) {
    runner = BeginIncarnation(ctx, runner, answer);
  } else {
    fleet_.HandleForeignCallsRejected(runner, ctx.now());
    runner->may_have_restarted = false;
  }
  if (!runner->reachable()) {
    ctx.Log(
        LogId::kRunnerHeard,
        {{"runner", runner->id().value()},
         {"born", ToString(answer.start_time)},
         {"clock_ms", std::to_string(answer.clock_ms)},
         {"rejects_foreign", runner->rejects_foreign_calls() ? "yes" : "no"}});
    plan_due_ = true;
  }
  RecordContact(ctx, runner, answer.clock_ms, answer.address);
  runner->delivered_acknowledgement =
      std::max(runner->delivered_acknowledgement, runner->poll_acknowledges);
  runner->next_poll_at = ctx.now();
  const bool all_handled = HandleEnds(ctx, runner, answer.ended) &&
                           answer.ended.size() < kMaxReportedEnds;
  for (const ReportedRun& run : answer.running) HandleRunning(ctx, runner, run);
  ForgetOrphans(runner, answer.running);
  // A run that is not reported as running may be among the ends that were not
  // handled.
  if (all_handled) HandleUnreportedRuns(ctx, runner, answer);
  return LeaseStatus::kHeld;
}

bool Scheduler::HandleEnds(Context& ctx, Runner* runner,
                           const std::vector<ReportedEnd>& ends) {
  for (const ReportedEnd& end : ends) {
    if (end.end != RunEnd::kLeaseExpired) continue;
    runner->newest_expired_end =
        std::max(runner->newest_expired_end, end.number);
  }
  for (const ReportedEnd& end : ends) {
    if (!jobs_.HasReadPartitionOf(end.task.job)) {
      // The runner answers a poll immediately while it has unacknowledged ends,
      // so the next poll is delayed.
      runner->next_poll_at = ctx.now() + options_.fleet.unstored_end_wait;
      return false;
    }
    HandleEnd(ctx, runner, end);
  }
  return true;
}

void Scheduler::RecordBegun(const JobId& id) {
  Job* job = jobs_.Find(id);
  if (job != nullptr && job->RecordBegun()) MarkProgressDirty(id);
}

void Scheduler::HandleEnd(Context& ctx, Runner* runner,
                          const ReportedEnd& end) {
  if (end.number <= runner->newest_end) return;
  runner->newest_end = end.number;
  RecordBegun(end.task.job);
  Run* run = runner->FindRun(end.task, end.run);
  if (run == nullptr) {
    const bool presumed_over =
        runner->presumed_over.erase({end.task, end.run}) != 0;
    if (MustDeferAcknowledgement(*runner, end, presumed_over)) {
      const TimePoint until = runner->DeferAcknowledgement(
          end.number, ctx.now(), options_.fleet.run_lease);
      BackOff(ctx, runner, until - ctx.now(),
              "waiting for its lease to expire");
    } else if (presumed_over && end.number > runner->newest_expired_end) {
      CountLateFailure(ctx, end);
    }
    RecordReport(end);
    HandleLateEnd(ctx, *runner, end);
    Unblock(end.task);
  } else {
    UpdateRunnerHealth(ctx, runner, end, *run);
    const Job* job = jobs_.Find(end.task.job);
    if (end.end == RunEnd::kDone && job != nullptr) {
      MeasureSpeed(ctx, *runner, *job, end.task, run, true);
    }
    EndRun(ctx, runner, end.task, end.end, end.checkpoint);
  }
  // A job that was closed just now may not be stored either.
  const std::set<RowKey> rows = PendingProgressRowsOf(end.task);
  if (rows.empty()) return;
  runner->unstored_ends.insert(end.number);
  writer_.RunWhenAllStored(rows, [this, incarnation = runner->incarnation(),
                                  number = end.number](Context&) {
    Runner* runner_now = fleet_.Find(incarnation);
    if (runner_now != nullptr) runner_now->unstored_ends.erase(number);
  });
}

// Here the runner's lease seemed to have expired, and the task continued
// elsewhere. If the lease did expire on the runner, the platform ignores the
// end once it is acknowledged. An expired run among the later ends proves that.
// Without one, a late call may have renewed the lease, or the runner's clock
// may have been stopped, so the lease has to expire first. Runs that are active
// on the runner now must not expire with it, so nothing is deferred while there
// are any.
bool Scheduler::MustDeferAcknowledgement(const Runner& runner,
                                         const ReportedEnd& end,
                                         bool presumed_over) {
  if (end.end != RunEnd::kDone && end.end != RunEnd::kFailed) return false;
  if (end.number < runner.newest_expired_end) return false;
  const bool has_active_runs = std::any_of(
      runner.runs().begin(), runner.runs().end(), [](const auto& run) {
        return run.second.phase != RunPhase::kUnconfirmed;
      });
  if (has_active_runs) return false;
  Job* job = jobs_.Find(end.task.job);
  const Task* task = job == nullptr ? nullptr : job->Find(end.task);
  if (task == nullptr) return presumed_over;
  // The platform counts a failure that was not counted here once it is
  // acknowledged.
  const bool uncounted = presumed_over && end.end == RunEnd::kFailed;
  return uncounted || task->run > end.run;
}

void Scheduler::Unblock(const TaskName& name) {
  Job* job = jobs_.Find(name.job);
  Task* task = job == nullptr ? nullptr : job->Find(name);
  if (task == nullptr) return;
  task->blocked_until = TimePoint();
  plan_due_ = true;
}

// The platform counts a failure that is acknowledged while the lease holds.
void Scheduler::CountLateFailure(Context& ctx, const ReportedEnd& end) {
  Job* job = jobs_.Find(end.task.job);
  if (job == nullptr || end.end != RunEnd::kFailed) return;
  if (job->RecordLateFailure(end.task, end.run, MaxAttempts(*job))) {
    UpdateJobState(ctx, job);
  }
}

void Scheduler::RecordReport(const ReportedEnd& end) {
  Job* job = jobs_.Find(end.task.job);
  if (job == nullptr || !job->RecordReport(end.task, end.run)) return;
  MarkProgressDirty(end.task.job);
  plan_due_ = true;
}

// A run that counted as expired, or that the next incarnation started late, may
// have succeeded after all. Its result is available, so another run of the task
// would only duplicate it.
void Scheduler::HandleLateEnd(Context& ctx, const Runner& runner,
                              const ReportedEnd& end) {
  Job* job = jobs_.Find(end.task.job);
  if (job == nullptr || end.end != RunEnd::kDone) return;
  const Task* task = job->Find(end.task);
  if (task == nullptr || end.run > task->run) return;
  Runner* current_runner = fleet_.Find(task->incarnation);
  if (!job->CompleteLate(end.task)) return;
  ctx.Log(LogId::kRunDoneLate,
          {{"task", ToString(end.task)},
           {"run", std::to_string(end.run)},
           {"runner", runner.id().value()},
           {"born", ToString(runner.incarnation().start_time)}});
  // The other members of a gang fail when this run is stopped.
  if (current_runner != nullptr) RequestStop(ctx, current_runner, end.task);
  UpdateJobState(ctx, job);
  plan_due_ = true;
}

void Scheduler::HandleRunning(Context& ctx, Runner* runner,
                              const ReportedRun& reported) {
  RecordBegun(reported.task.job);
  Run* run = runner->FindRun(reported.task, reported.run);
  if (run == nullptr && !jobs_.HasReadPartitionOf(reported.task.job)) return;
  if (run == nullptr) {
    // No task waits for this run. Polls may follow each other hundreds of times
    // a second; sending a stop for each would delay all other orders to the
    // runner.
    runner
        ->AddOrphan({reported.task, reported.run},
                    NeedOfOrphan(*runner, reported.task))
        .stop.Request(ctx.now(), options_.stop_retry_interval);
    orders_due_.insert(runner->id());
    Job* job = jobs_.Find(reported.task.job);
    Task* task = job == nullptr ? nullptr : job->Find(reported.task);
    if (task != nullptr) {
      task->blocked_until = ctx.now() + options_.stop_retry_interval;
    }
    return;
  }
  if (run->phase == RunPhase::kUnconfirmed) {
    // The start may have been carried out at any time since it was sent.
    run->started_at = ctx.now();
    run->progressed_at = ctx.now();
    run->saved_at = ctx.now();
  }
  const bool progressed = reported.percent != run->percent;
  if (progressed) run->progressed_at = ctx.now();
  RecordSave(reported.percent, reported.checkpoint, ctx.now(), run);
  run->percent = reported.percent;
  if (run->phase == RunPhase::kInherited ||
      run->phase == RunPhase::kUnconfirmed) {
    run->phase = RunPhase::kRunning;
  }
  Job* job = jobs_.Find(reported.task.job);
  if (job == nullptr) {
    RequestStop(ctx, runner, reported.task);
    return;
  }
  if (run->stopping) RequestStop(ctx, runner, reported.task);
  MeasurePace(ctx, runner, job, reported.task, run);
  if (reported.checkpoint.empty()) return;
  job->SaveProgress(reported.task, reported.checkpoint);
}

Resources Scheduler::NeedOfOrphan(const Runner& runner, const TaskName& name) {
  const Job* job = jobs_.Find(name.job);
  if (job != nullptr && job->HasStep(name.step)) {
    return job->step_spec(name.step).room();
  }
  // The resources of a closed job's tasks are no longer known. A runner that
  // does not enforce its capacity therefore gets no other runs beside this one.
  return EnforcesCapacity(runner) ? Resources() : runner.info().room;
}

bool Scheduler::EnforcesCapacity(const Runner& runner) const {
  const auto service = catalog_->services.find(runner.info().service);
  return service != catalog_->services.end() &&
         service->second.enforces_capacity;
}

void Scheduler::ForgetOrphans(Runner* runner,
                              const std::vector<ReportedRun>& running) {
  std::set<RunKey> reported;
  for (const ReportedRun& run : running) reported.insert({run.task, run.run});
  runner->RemoveOrphansExcept(reported);
}

void Scheduler::HandleUnreportedRuns(Context& ctx, Runner* runner,
                                     const RunnerPolled& answer) {
  std::set<TaskName> running;
  for (const ReportedRun& run : answer.running) running.insert(run.task);
  std::vector<TaskName> lost;
  std::vector<TaskName> unreported;
  std::vector<TaskName> unconfirmed;
  for (const auto& [name, run] : runner->runs()) {
    if (running.count(name) != 0) continue;
    // The poll may have been sent before the order was carried out.
    if (run.answered_at >= runner->poll_sent_at) continue;
    if (WasNeverSent(run.phase) || run.phase == RunPhase::kStarting) continue;
    const bool may_still_start =
        run.phase == RunPhase::kUnconfirmed && !run.stop_answered;
    if (may_still_start) {
      unconfirmed.push_back(name);
    } else {
      (IsOfEarlierIncarnation(*runner, run) ? lost : unreported)
          .push_back(name);
    }
  }
  // These runs were started by a previous scheduler on an earlier incarnation,
  // and were lost with it.
  if (!lost.empty()) {
    RunnerLoss loss;
    loss.cause = RunnerLossCause::kCrashed;
    loss.evidence = EndEvidence::kNextIncarnation;
    MarkRunsLost(ctx, runner, lost, std::move(loss));
  }
  for (const TaskName& name : unreported) EndUnreportedRun(ctx, runner, name);
  for (const TaskName& name : unconfirmed) {
    RequestStop(ctx, runner, name);
    StopGang(ctx, name);
  }
}

void Scheduler::EndUnreportedRun(Context& ctx, Runner* runner,
                                 const TaskName& name) {
  const auto found = runner->runs().find(name);
  if (found == runner->runs().end()) return;
  ctx.Log(LogId::kRunNotListed,
          {{"task", ToString(name)},
           {"run", std::to_string(found->second.number)},
           {"runner", runner->id().value()},
           {"born", ToString(runner->incarnation().start_time)},
           {"evidence", ToString(EndEvidence::kNotListed)},
           {"polled_ms_ago",
            std::to_string((ctx.now() - runner->poll_sent_at).ms())},
           {"lease_left_ms", std::to_string(runner->LeaseLeft(ctx.now()).ms())},
           {"newest_end", std::to_string(runner->newest_end)}});
  runner->presumed_over.insert({name, found->second.number});
  EndRun(ctx, runner, name, RunEnd::kLeaseExpired, "");
  StopGang(ctx, name);
}

}  // namespace limeledge::dispatch
