/// @file
/// Runs that were lost with their runners, and what they imply for their tasks.
//
// A task may crash every runner that starts it, together with all other runs
// there. Such a run never ends as a failure, because no runner is left to
// report one. Therefore the runners that the task loses are counted.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

/// Describes a lost runner and the recent starts that may explain its loss.
LostRunner DescribeLostRunner(const Runner& runner, TimePoint silent_since,
                              const LossRules& rules) {
  LostRunner lost;
  lost.incarnation = runner.incarnation();
  lost.silent_since = silent_since;
  for (const auto& [name, run] : runner.runs()) {
    const std::optional<Duration> lasted = TimeUntilSilence(run, silent_since);
    if (!lasted.has_value() || *lasted > rules.soon) continue;
    lost.recently_started_jobs.insert(name.job);
    lost.explained = lost.explained || *lasted <= rules.explained;
  }
  return lost;
}

/// Whether the incarnation is alive, for logs.
const char* ToString(IncarnationFate fate) {
  switch (fate) {
    case IncarnationFate::kAlive:
      return "yes";
    case IncarnationFate::kCrashed:
      return "no";
    case IncarnationFate::kPresumedCrashed:
      return "never heard of";
  }
  return "";
}

/// True if the answer to an order shows that the runner has taken note of the
/// order's fencing token. One that reports itself unhealthy has done nothing,
/// and one that finds the order invalid may not have read the token.
bool ShowsTokenWasNoted(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
    case OrderOutcome::kStaleRun:
    case OrderOutcome::kLeaseExpired:
    case OrderOutcome::kNoCapacity:
    case OrderOutcome::kInvalidTicket:
      return true;
    default:
      return false;
  }
}

/// The incarnation that the run was started on.
IncarnationId IncarnationOf(const Runner& runner, const Run& run) {
  const bool of_previous = IsOfEarlierIncarnation(runner, run);
  return {runner.id(), of_previous ? run.stored_incarnation
                                   : runner.incarnation().start_time};
}

/// Lists losses as "RUN@RUNNER", for logs.
std::string ListLosses(const std::vector<RunLoss>& losses) {
  std::string text;
  for (const RunLoss& loss : losses) {
    absl::StrAppend(&text, text.empty() ? "" : " ", loss.run, "@",
                    loss.incarnation.runner.value());
  }
  return text;
}

}  // namespace

const char* ToString(RunnerLossCause cause) {
  switch (cause) {
    case RunnerLossCause::kCrashed:
      return "crashed";
    case RunnerLossCause::kLeft:
      return "left";
    case RunnerLossCause::kUnknown:
      return "unknown";
  }
  return "";
}

const char* ToString(EndEvidence evidence) {
  switch (evidence) {
    case EndEvidence::kNone:
      return "";
    case EndEvidence::kOtherIncarnationAnswered:
      return "another incarnation answers at its address";
    case EndEvidence::kLostBeforeLoaded:
      return "it was lost before its runs were loaded";
    case EndEvidence::kLeaseExpired:
      return "its lease expired";
    case EndEvidence::kNextIncarnation:
      return "its next incarnation answered";
    case EndEvidence::kNotListed:
      return "it does not list the run";
  }
  return "";
}

void Scheduler::MarkRunsLost(Context& ctx, Runner* runner,
                             const std::vector<TaskName>& names,
                             RunnerLoss loss,
                             const std::vector<TaskName>& later) {
  loss.silent_since = runner->silent_since().value_or(ctx.now());
  if (loss.cause != RunnerLossCause::kLeft && !runner->ended) {
    losses_.AddLostRunner(
        DescribeLostRunner(*runner, loss.silent_since, options_.loss));
  }
  // Computed once for all runs, since it iterates over all runners.
  if (!names.empty()) loss.correlated = IsCorrelatedLoss(*runner);
  for (const TaskName& name : names) {
    const bool ends_later =
        std::find(later.begin(), later.end(), name) != later.end();
    RecordLostRun(ctx, *runner, name, loss,
                  ends_later ? EndEvidence::kNone : loss.evidence);
    runner->presumed_over.insert({name, runner->runs().at(name).number});
    if (ends_later) continue;
    EndRun(ctx, runner, name, RunEnd::kLeaseExpired, "");
    StopGang(ctx, name);
  }
}

void Scheduler::RecordLostRun(Context& ctx, const Runner& runner,
                              const TaskName& name, const RunnerLoss& loss,
                              EndEvidence evidence) {
  const Run run = runner.runs().at(name);
  const std::optional<Duration> lasted =
      TimeUntilSilence(run, loss.silent_since);
  const std::optional<Duration> age = AgeOfLatestAnswer(runner, ctx.now());
  ctx.Log(
      LogId::kRunLost,
      {{"task", ToString(name)},
       {"run", std::to_string(run.number)},
       {"runner", runner.id().value()},
       {"born", ToString(IncarnationOf(runner, run).start_time)},
       {"evidence", ToString(evidence)},
       {"called", loss.called},
       {"heard_ms_ago", age.has_value() ? std::to_string(age->ms()) : ""},
       {"lease_left_ms", std::to_string(runner.LeaseLeft(ctx.now()).ms())},
       {"lease_basis", ToString(runner.lease().basis())},
       {"lasted_ms", lasted.has_value() ? std::to_string(lasted->ms()) : ""},
       {"runner_end", ToString(loss.cause)},
       {"with_others", loss.correlated ? "yes" : "no"}});
  CountLoss(ctx, runner, name, run, loss);
}

void Scheduler::CountLoss(Context& ctx, const Runner& runner,
                          const TaskName& name, const Run& run,
                          const RunnerLoss& loss) {
  Job* job = jobs_.Find(name.job);
  if (job == nullptr || loss.cause == RunnerLossCause::kLeft) return;
  // A run that never began can not have crashed its runner, and a start that
  // may arrive late counts only once.
  if (NeverBegan(run.phase) || run.counted_as_lost) return;
  const Duration healthy =
      TimeUntilSilence(run, runner.heard_at()).value_or(Duration(0));
  job->DropOutlivedLosses(name, healthy, options_.loss);
  const std::optional<Duration> lasted =
      TimeUntilSilence(run, loss.silent_since);
  const bool soon = lasted.has_value() && *lasted <= options_.loss.soon;
  RunLoss lost;
  lost.run = run.number;
  lost.incarnation = IncarnationOf(runner, run);
  lost.address = runner.known_address();
  // A task crashes its runner before its run would have ended.
  lost.lasted = lasted.value_or(run.expected);
  lost.crashed = loss.cause == RunnerLossCause::kCrashed;
  // A start without an answer may never have been carried out, and one that
  // another incarnation carried out says nothing of the lost one. Two of them
  // lost with their runners are no reason to fail a task.
  const bool began =
      run.phase == RunPhase::kRunning && !WasBegunByOtherIncarnation(run);
  // A task that lasts is not given up, so that its second loss already makes it
  // a suspect.
  const bool again = job->step_spec(name.step).long_running &&
                     !job->Find(name)->losses.empty();
  lost.suspicious = began && (soon || again) && !loss.correlated;
  if (!job->RecordLoss(name, lost)) return;
  if (lost.crashed) return;
  losses_.AddUnresolved(name, lost, ctx.now());
}

bool Scheduler::IsCorrelatedLoss(const Runner& runner) const {
  if (!runner.silent_since().has_value()) return false;
  const LossRules& rules = options_.loss;
  const TimePoint silent_since = *runner.silent_since();
  std::vector<LostRunner> lost = losses_.LostNear(silent_since);
  std::set<IncarnationId> known;
  for (const LostRunner& other : lost) known.insert(other.incarnation);
  for (const auto& [id, other] : fleet_.runners()) {
    const std::optional<TimePoint> since = other->silent_since();
    if (!since.has_value() || other->LeftAsAnnounced()) continue;
    const bool same_time = *since <= silent_since + rules.same_moment &&
                           silent_since <= *since + rules.same_moment;
    if (!same_time || !known.insert(other->incarnation()).second) continue;
    lost.push_back(DescribeLostRunner(*other, *since, rules));
  }
  return CountUnexplained(lost) >= rules.min_unexplained_crashes;
}

void Scheduler::ResolveLosses(Context& ctx, const IncarnationId& lost,
                              IncarnationFate fate) {
  for (const TaskName& name : losses_.Resolve(lost)) {
    Job* job = jobs_.Find(name.job);
    if (job == nullptr || !job->ResolveLosses(name, lost, fate)) continue;
    ctx.Log(LogId::kLossSettled, {{"task", ToString(name)},
                                  {"runner", lost.runner.value()},
                                  {"born", ToString(lost.start_time)},
                                  {"lives", ToString(fate)}});
    MarkProgressDirty(name.job);
    ApplyLossPolicy(ctx, name);
    plan_due_ = true;
  }
}

void Scheduler::ResolveOverdueLosses(Context& ctx) {
  if (!losses_.HasUnresolved()) return;
  for (const IncarnationId& incarnation : losses_.Overdue(ctx.now())) {
    ResolveLosses(ctx, incarnation, IncarnationFate::kPresumedCrashed);
  }
}

void Scheduler::ApplyLossPolicy(Context& ctx, const TaskName& name) {
  Job* job = jobs_.Find(name.job);
  if (job == nullptr) return;
  Task* task = job->Find(name);
  if (job->step_spec(name.step).long_running) return;
  const LossVerdict verdict =
      EvaluateLosses(task->losses, task->run, options_.loss);
  task->held_back = verdict == LossVerdict::kMustWait;
  if (verdict != LossVerdict::kGivenUp || !job->FailWaitingTask(name)) return;
  ctx.Log(LogId::kTaskGivenUp, {{"job", name.job.value()},
                                {"task", ToString(name)},
                                {"runs", ListLosses(task->losses)}});
  UpdateJobState(ctx, job);
}

void Scheduler::InheritLosses(Context& ctx, const Job& job) {
  std::vector<TaskName> lost;
  for (std::size_t k = 0; k < job.occurrences().size(); ++k) {
    const std::vector<Step>& steps = job.occurrences()[k].steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      for (std::size_t i = 0; i < steps[s].tasks.size(); ++i) {
        const Task& task = steps[s].tasks[i];
        const TaskName name{job.spec().id, static_cast<int>(k),
                            static_cast<int>(s), static_cast<int>(i)};
        if (!task.losses.empty()) lost.push_back(name);
        for (const RunLoss& loss : task.losses) {
          if (loss.crashed) continue;
          losses_.AddUnresolved(name, loss, ctx.now());
        }
      }
    }
  }
  for (const TaskName& name : lost) ApplyLossPolicy(ctx, name);
}

void Scheduler::RecordContact(Context& ctx, Runner* runner,
                              std::int64_t clock_ms,
                              const std::string& address) {
  runner->RecordAnswer(ctx.now(), clock_ms);
  runner->RecordAddress(address);
  if (!losses_.HasUnresolved()) return;
  ResolveLosses(ctx, runner->incarnation(), IncarnationFate::kAlive);
  // An incarnation that was followed by another one is no longer running.
  for (const IncarnationId& predecessor :
       losses_.EarlierIncarnations(runner->incarnation())) {
    ResolveLosses(ctx, predecessor,
                  IsReported(predecessor.start_time) ? IncarnationFate::kCrashed
                                                     : IncarnationFate::kAlive);
  }
  // Nor is one that answered where this one answers now.
  for (const IncarnationId& replaced :
       losses_.ReplacedAt(address, runner->id())) {
    ResolveLosses(ctx, replaced, IncarnationFate::kCrashed);
  }
}

void Scheduler::RecordOrderContact(Context& ctx, Runner* runner,
                                   OrderOutcome outcome, std::int64_t clock_ms,
                                   const std::string& address) {
  if (IsReported(runner->incarnation().start_time) || clock_ms <= 0) return;
  // Otherwise the previous scheduler might still renew the runner's lease.
  if (!ShowsTokenWasNoted(outcome)) return;
  fleet_.HandleForeignCallsRejected(runner, ctx.now());
  RecordContact(ctx, runner, clock_ms, address);
}

void Scheduler::RecordStartAnswer(TimePoint now, Runner* runner,
                                  const StartRunCompleted& answer,
                                  const Run& run) const {
  if (!run.sent_at.has_value() || !ShowsTokenWasNoted(answer.outcome)) return;
  runner->RecordStartAnswer(now, run, answer.clock_ms,
                            options_.fleet.longest_lease);
}

}  // namespace limeledge::dispatch
