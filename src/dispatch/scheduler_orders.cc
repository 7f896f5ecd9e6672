/// @file
/// Orders from the scheduler to runners: which ones are sent, in which order,
/// and which starts are dropped before they are sent.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

/// Describes the reason, for logs.
const char* ToString(StartDropReason reason) {
  switch (reason) {
    case StartDropReason::kJobFinished:
      return "its job has ended";
    case StartDropReason::kGangEnded:
      return "its gang's run has ended";
    case StartDropReason::kGangLate:
      return "the first member of its gang was started too long ago";
    case StartDropReason::kStopping:
      return "a stop was requested";
    case StartDropReason::kReleasing:
      return "the scheduler is releasing its lease";
    case StartDropReason::kDraining:
      return "its runner is shutting down";
    case StartDropReason::kHallDraining:
      return "its runner's hall is being drained";
    case StartDropReason::kRunnerUnreachable:
      return "its runner does not answer";
    case StartDropReason::kTicketExpired:
      return "its ticket has expired";
    case StartDropReason::kNoCapacity:
      return "its runner has no room for it any more";
    case StartDropReason::kAwaitingLeaseExpiry:
      return "its runner's lease has to expire first";
    case StartDropReason::kCapacityUnconfirmed:
      return "its runner's capacity was not confirmed recently";
    case StartDropReason::kTaskCrashesRunners:
      return "its task crashes runners";
    case StartDropReason::kNotStorable:
      return "the store rejects its job's progress";
    case StartDropReason::kOutdatedView:
      return "the scheduler's view of the jobs or runners is outdated";
    case StartDropReason::kSchedulerUnconfirmed:
      return "the store has not confirmed the scheduler lease recently";
  }
  return "";
}

/// True if a member of the gang ended or already belongs to another run.
bool HasGangEnded(const Job& job, const TaskName& name, int number) {
  if (!job.step_spec(name.step).gang) return false;
  const Step& step = job.occurrences()[name.occurrence].steps[name.step];
  return std::any_of(
      step.tasks.begin(), step.tasks.end(), [number](const Task& member) {
        return member.phase != TaskPhase::kAssigned || member.run != number;
      });
}

}  // namespace

void Scheduler::QueueStart(const TaskName& name, int number,
                           const IncarnationId& incarnation) {
  Runner* runner = fleet_.Find(incarnation);
  if (runner == nullptr) return;
  Run* run = runner->FindRun(name, number);
  if (run == nullptr) return;
  run->phase = RunPhase::kStored;
  runner->waiting_starts.emplace_back(name, number);
  orders_due_.insert(incarnation.runner);
}

void Scheduler::SendOrders(Context& ctx) {
  // Dropping a start may stop other members of its gang, also on other runners.
  while (!orders_due_.empty()) {
    const std::set<RunnerId> due = std::move(orders_due_);
    orders_due_.clear();
    for (const RunnerId& id : due) {
      Runner* runner = fleet_.FindPresent(id);
      if (runner != nullptr) SendNextOrder(ctx, runner);
    }
  }
}

// A runner carries out its orders one after the other, and an order without an
// answer takes a second. An order that was handed over early would be sent late
// and based on outdated state, so only one is in flight at a time. Members of a
// gang, however, wait on the runner until all of them are there.
void Scheduler::SendNextOrder(Context& ctx, Runner* runner) {
  // Dropping one member's start stops the other members, possibly on this
  // runner.
  while (DropStaleStarts(ctx, runner)) {
  }
  if (runner->orders_in_flight == 0 && SendNextStop(ctx, runner)) return;
  // The jobs of waiting starts may have been cancelled, and the runner may be
  // leaving.
  if (!jobs_are_current_ || !list_is_current_) return;
  while (!runner->waiting_starts.empty()) {
    const auto [name, number] = runner->waiting_starts.front();
    const std::pair<StepName, int> gang = {
        {name.job, name.occurrence, name.step}, number};
    if (runner->orders_in_flight > 0 && runner->gang_in_flight != gang) return;
    runner->waiting_starts.pop_front();
    Run* run = runner->FindRun(name, number);
    // The members that were sent just now take capacity too.
    const std::optional<StartDropReason> reason =
        FindDropReason(ctx.now(), *runner, name, *run);
    if (reason.has_value()) {
      DropStart(ctx, runner, name, *reason);
      orders_due_.insert(runner->id());
      return;
    }
    SendStart(ctx, runner, name, run);
  }
}

bool Scheduler::DropStaleStarts(Context& ctx, Runner* runner) {
  bool any_dropped = false;
  const auto waiting = std::move(runner->waiting_starts);
  runner->waiting_starts.clear();
  for (const auto& [name, number] : waiting) {
    const Run* run = runner->FindRun(name, number);
    if (run == nullptr) continue;
    const std::optional<StartDropReason> reason =
        FindDropReason(ctx.now(), *runner, name, *run);
    if (!reason.has_value()) {
      runner->waiting_starts.emplace_back(name, number);
      continue;
    }
    any_dropped = true;
    DropStart(ctx, runner, name, *reason);
  }
  return any_dropped;
}

std::optional<StartDropReason> Scheduler::FindDropReason(TimePoint now,
                                                         const Runner& runner,
                                                         const TaskName& name,
                                                         const Run& run) {
  const Job* job = jobs_.Find(name.job);
  if (job == nullptr) return StartDropReason::kJobFinished;
  const Task& task =
      job->occurrences()[name.occurrence].steps[name.step].tasks[name.index];
  // The run itself does not count as a failed start.
  const bool may_start =
      job->step_spec(name.step).long_running ||
      EvaluateLosses(task.losses, run.number - 1, options_.loss) ==
          LossVerdict::kMayStart;
  if (!may_start) {
    return StartDropReason::kTaskCrashesRunners;
  }
  if (run.stopping) return StartDropReason::kStopping;
  // A gang member that starts alone would hold its capacity for seconds, only
  // to fail.
  if (HasGangEnded(*job, name, run.number)) return StartDropReason::kGangEnded;
  if (IsGangLate(*job, name, run.number, now)) {
    return StartDropReason::kGangLate;
  }
  if (releasing_) return StartDropReason::kReleasing;
  // Members of its gang that were started must not wait for it in vain.
  if (AreViewsLongOutdated(now)) return StartDropReason::kOutdatedView;
  // A start renews the lease on all that runs there.
  if (!MayRenewLeases(now)) return StartDropReason::kSchedulerUnconfirmed;
  if (runner.draining_since().has_value()) return StartDropReason::kDraining;
  if (catalog_->drained_halls.count(runner.info().hall) != 0) {
    return StartDropReason::kHallDraining;
  }
  if (!runner.reachable()) return StartDropReason::kRunnerUnreachable;
  if (!runner.MayGrantLease(now)) return StartDropReason::kAwaitingLeaseExpiry;
  if (!runner.HasCapacityFor(run)) return StartDropReason::kNoCapacity;
  if (!EnforcesCapacity(runner) && !fleet_.KnowsCapacities(now)) {
    return StartDropReason::kCapacityUnconfirmed;
  }
  const bool ticket_expired = PolicyOf(*job, *catalog_).needs_advice &&
                              TicketOf(now, runner, name).empty();
  if (ticket_expired) return StartDropReason::kTicketExpired;
  return std::nullopt;
}

bool Scheduler::IsGangLate(const Job& job, const TaskName& name, int number,
                           TimePoint now) const {
  const std::optional<GangStart>& first =
      job.occurrences()[name.occurrence].steps[name.step].first_start;
  return first.has_value() && first->run == number &&
         now - first->sent_at > options_.max_gang_start;
}

std::string Scheduler::TicketOf(TimePoint now, const Runner& runner,
                                const TaskName& name) const {
  return ticket_cache_.TicketFor({name.job, name.occurrence, name.step},
                                 runner.incarnation(), now);
}

void Scheduler::DropStart(Context& ctx, Runner* runner, const TaskName& name,
                          StartDropReason reason) {
  ctx.Log(LogId::kStartGivenUp, {{"task", ToString(name)},
                                 {"runner", runner->id().value()},
                                 {"reason", ToString(reason)}});
  // The start was never sent, so the run did not begin.
  EndRun(ctx, runner, name, RunEnd::kRejected, "");
  StopGang(ctx, name);
}

bool Scheduler::SendNextStop(Context& ctx, Runner* runner) {
  for (auto& [name, run] : runner->runs()) {
    if (!run.stop.queued()) continue;
    SendStop(ctx, runner, name, run.number, &run.stop);
    return true;
  }
  for (auto& [run, orphan] : runner->orphans()) {
    if (!orphan.stop.queued()) continue;
    SendStop(ctx, runner, run.first, run.second, &orphan.stop);
    return true;
  }
  return false;
}

void Scheduler::SendStart(Context& ctx, Runner* runner, const TaskName& name,
                          Run* run) {
  Job* job = jobs_.Find(name.job);
  run->phase = RunPhase::kStarting;
  run->sent_at = ctx.now();
  run->clock_ms_at_send = runner->heard_clock_ms();
  ++runner->orders_in_flight;
  runner->gang_in_flight.reset();
  if (job->step_spec(name.step).gang) {
    runner->gang_in_flight = {{name.job, name.occurrence, name.step},
                              run->number};
    job->RecordGangStart(name, run->number, ctx.now());
  }
  StartRun start;
  start.target = Fleet::TargetOf(*runner, writer_.epoch());
  start.task = name;
  start.run = run->number;
  start.payload = job->spec().payload;
  start.checkpoint = job->occurrences()[name.occurrence]
                         .steps[name.step]
                         .tasks[name.index]
                         .checkpoint;
  start.ticket = TicketOf(ctx.now(), *runner, name);
  run->until_ms = runner->GrantLease(ctx.now(), options_.fleet.run_lease);
  start.until_ms = run->until_ms;
  ctx.Emit(std::move(start));
}

void Scheduler::SendStop(Context& ctx, Runner* runner, const TaskName& name,
                         int number, StopRequest* stop) {
  stop->Sent(ctx.now());
  ++runner->orders_in_flight;
  runner->gang_in_flight.reset();
  ctx.Emit(StopRun{Fleet::TargetOf(*runner, writer_.epoch()), name, number});
}

void Scheduler::RecordOrderAnswered(Runner* runner) {
  --runner->orders_in_flight;
  orders_due_.insert(runner->id());
}

void Scheduler::RequestStop(Context& ctx, Runner* runner,
                            const TaskName& name) {
  const auto found = runner->runs().find(name);
  if (found == runner->runs().end()) return;
  Run& run = found->second;
  run.stopping = true;
  orders_due_.insert(runner->id());
  // A start that was not sent is dropped. A run whose start is in flight is
  // stopped as soon as the start is answered.
  const bool not_running =
      WasNeverSent(run.phase) || run.phase == RunPhase::kStarting;
  if (not_running || runner->address().empty()) return;
  run.stop.Request(ctx.now(), options_.stop_retry_interval);
}

void Scheduler::StopJob(Context& ctx, const JobId& job) {
  const TaskName first{job, 0, 0, 0};
  for (auto& [id, runner] : fleet_.runners()) {
    std::vector<TaskName> names;
    for (auto it = runner->runs().lower_bound(first);
         it != runner->runs().end() && it->first.job == job; ++it) {
      names.push_back(it->first);
    }
    for (const TaskName& name : names) RequestStop(ctx, runner.get(), name);
  }
}

void Scheduler::DropUnstoredRuns(Context& ctx, const JobId& job) {
  const TaskName first{job, 0, 0, 0};
  for (auto& [id, runner] : fleet_.runners()) {
    std::vector<TaskName> names;
    for (auto it = runner->runs().lower_bound(first);
         it != runner->runs().end() && it->first.job == job; ++it) {
      if (it->second.phase == RunPhase::kPlanned) names.push_back(it->first);
    }
    for (const TaskName& name : names) {
      DropStart(ctx, runner.get(), name, StartDropReason::kNotStorable);
    }
  }
}

void Scheduler::StopGang(Context& ctx, const TaskName& name) {
  Job* job = jobs_.Find(name.job);
  if (job == nullptr || !job->step_spec(name.step).gang) return;
  const Step& step = job->occurrences()[name.occurrence].steps[name.step];
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const Task& member = step.tasks[i];
    if (member.phase != TaskPhase::kAssigned) continue;
    Runner* runner = fleet_.Find(member.incarnation);
    TaskName other = name;
    other.index = static_cast<int>(i);
    if (runner != nullptr) RequestStop(ctx, runner, other);
  }
}

}  // namespace limeledge::dispatch
