/// @file
/// Runners that restart under the same id: handling of the previous
/// incarnation.
//
// The next incarnation of a runner shares no state with the previous one. All
// state of the previous incarnation ends here, and the next one gets a new
// object. Calls that were sent to the previous incarnation without an answer
// may still be carried out by the next one, until it has received a call with a
// higher fencing token: the poll that follows at once. A task whose start may
// be carried out that way is stopped there before it starts elsewhere. Waiting
// until the start can no longer arrive would delay the task by 12.5 s, whereas
// a stop takes one round trip.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

bool Reports(const RunnerPolled& answer, const TaskName& name, int number) {
  const auto matches = [&](const auto& reported) {
    return reported.task == name && reported.run == number;
  };
  return std::any_of(answer.running.begin(), answer.running.end(), matches) ||
         std::any_of(answer.ended.begin(), answer.ended.end(), matches);
}

/// True if the incarnation that answered the poll may have begun the run after
/// it answered. The clock of a previous incarnation that began the run is
/// usually far ahead.
bool MayHaveBegunAfter(const RunnerPolled& poll, TimePoint poll_sent_at,
                       const Run& run, TimePoint now) {
  if (!run.start_answer.has_value()) return false;
  const StartAnswer& start = *run.start_answer;
  const Duration longest = OnSlowClock(now - poll_sent_at);
  return start.at >= poll_sent_at &&
         start.clock_ms <= poll.clock_ms + longest.ms();
}

/// What becomes of the runs of an incarnation that is over.
struct CarriedRunCounts {
  std::size_t lost = 0;
  std::size_t kept = 0;
  std::size_t to_be_ruled_out = 0;
};

/// Describes the next incarnation for logs: when it began, what becomes of the
/// runs of the previous one, and which calls to that one it may have carried
/// out.
std::vector<LogField> DescribeNext(TimePoint now, Runner* previous,
                                   const RunnerPolled& answer,
                                   const CarriedRunCounts& runs) {
  const std::optional<Duration> heard = AgeOfLatestAnswer(*previous, now);
  const UnattributedGrants& grants = previous->unattributed_grants();
  const auto starts_in_flight = std::count_if(
      previous->runs().begin(), previous->runs().end(),
      [](const auto& run) { return run.second.phase == RunPhase::kStarting; });
  const std::size_t starts_unanswered =
      previous->late_orders.StartsArrivingAfter(now).size();
  return {
      {"runner", previous->id().value()},
      {"born", ToString(answer.start_time)},
      {"before", ToString(previous->incarnation().start_time)},
      {"lives", std::to_string(previous->incarnations() + 1)},
      {"lost", std::to_string(runs.lost)},
      {"kept", std::to_string(runs.kept)},
      {"to_be_ruled_out", std::to_string(runs.to_be_ruled_out)},
      {"clock_ms", std::to_string(answer.clock_ms)},
      {"heard_ms_ago", heard.has_value() ? std::to_string(heard->ms()) : ""},
      {"starts_answered", std::to_string(grants.starts_answered)},
      {"starts_answered_by_another",
       std::to_string(grants.starts_answered_by_another)},
      {"starts_in_flight", std::to_string(starts_in_flight)},
      {"starts_unanswered", std::to_string(starts_unanswered)},
      {"poll_grants_lease", previous->poll_grants_lease ? "yes" : "no"},
      {"poll_unanswered_ms_ago", MsSince(grants.poll_unanswered_at, now)}};
}

}  // namespace

Scheduler::CarriedRunStatus Scheduler::ClassifyRun(TimePoint now,
                                                   const Runner& previous,
                                                   const TaskName& name,
                                                   const Run& run,
                                                   const RunnerPolled& answer) {
  if (NeverBegan(run.phase)) return CarriedRunStatus::kNeverStarted;
  if (Reports(answer, name, run.number)) return CarriedRunStatus::kMayExist;
  // `HandleUnreportedRuns` compares the run with the incarnation it was stored
  // for.
  if (run.phase == RunPhase::kInherited) return CarriedRunStatus::kMayExist;
  if (MayHaveBegunAfter(answer, previous.poll_sent_at, run, now)) {
    return CarriedRunStatus::kMayExist;
  }
  // A start without an answer may have crashed the previous incarnation.
  const bool may_start_late =
      run.phase == RunPhase::kStarting ||
      previous.late_orders.MayArrive({name, run.number}, now);
  return may_start_late ? CarriedRunStatus::kLostButMayStart
                        : CarriedRunStatus::kLost;
}

Runner* Scheduler::BeginIncarnation(Context& ctx, Runner* previous,
                                    const RunnerPolled& answer) {
  const IncarnationId previous_incarnation = previous->incarnation();
  std::vector<TaskName> never_started;
  std::vector<TaskName> lost;
  std::vector<TaskName> carried;
  std::vector<TaskName> to_cancel;
  for (const auto& [name, run] : previous->runs()) {
    switch (ClassifyRun(ctx.now(), *previous, name, run, answer)) {
      case CarriedRunStatus::kNeverStarted:
        never_started.push_back(name);
        break;
      case CarriedRunStatus::kLost:
        lost.push_back(name);
        break;
      case CarriedRunStatus::kLostButMayStart:
        lost.push_back(name);
        to_cancel.push_back(name);
        break;
      case CarriedRunStatus::kMayExist:
        carried.push_back(name);
        break;
    }
  }
  ctx.Log(LogId::kRunnerBegan,
          DescribeNext(ctx.now(), previous, answer,
                       {lost.size(), carried.size(), to_cancel.size()}));
  RunnerLoss loss;
  loss.cause = previous->LeftAsAnnounced() ? RunnerLossCause::kLeft
                                           : RunnerLossCause::kCrashed;
  loss.evidence = EndEvidence::kNextIncarnation;
  MarkRunsLost(ctx, previous, lost, std::move(loss), to_cancel);
  for (const TaskName& name : never_started) {
    EndRun(ctx, previous, name, RunEnd::kRejected, "");
    StopGang(ctx, name);
  }
  ResolveLosses(ctx, previous_incarnation, IncarnationFate::kCrashed);
  Runner* next = CarryOverRuns(ctx, previous, carried, to_cancel, answer);
  plan_due_ = true;
  return next;
}

Runner* Scheduler::CarryOverRuns(Context& ctx, Runner* previous,
                                 const std::vector<TaskName>& carried,
                                 const std::vector<TaskName>& to_cancel,
                                 const RunnerPolled& answer) {
  // Ending the other runs may have ended members of their gangs here.
  const auto runs_present = [previous](const std::vector<TaskName>& names) {
    std::vector<std::pair<TaskName, Run>> runs;
    for (const TaskName& name : names) {
      const auto found = previous->runs().find(name);
      if (found != previous->runs().end()) runs.emplace_back(*found);
    }
    return runs;
  };
  const auto carried_runs = runs_present(carried);
  const auto runs_to_cancel = runs_present(to_cancel);
  Runner* next = ReplaceIncarnation(ctx.now(), previous, answer.start_time);
  for (const auto& [name, run] : carried_runs) {
    AddCarriedRun(ctx, next, name, run, false);
  }
  for (const auto& [name, run] : runs_to_cancel) {
    AddCarriedRun(ctx, next, name, run, true);
  }
  for (const TaskName& name : to_cancel) RequestStop(ctx, next, name);
  ReserveForLateStarts(ctx.now(), next);
  return next;
}

Runner* Scheduler::ReplaceIncarnation(TimePoint now, Runner* previous,
                                      StartTime start_time) {
  // The answer to a start in flight will not be handled. The start may reach
  // any later incarnation, not only the next one.
  const TimePoint latest_arrival = now + options_.fleet.late_call_window;
  for (const auto& [name, run] : previous->runs()) {
    if (run.phase != RunPhase::kStarting) continue;
    previous->late_orders.RecordStart({name, run.number}, run.need, now,
                                      latest_arrival);
    previous->late_orders.RecordGrant(latest_arrival);
  }
  const TimePoint poll_sent_at = previous->poll_sent_at;
  const PollNumber poll_number = previous->poll_number;
  Runner* next = fleet_.StartIncarnation(previous, start_time, now);
  // The poll whose answer revealed the next incarnation counts as its first.
  next->poll_sent_at = poll_sent_at;
  next->poll_number = poll_number;
  AssumeCallsToEarlierIncarnations(now, next);
  return next;
}

void Scheduler::AssumeCallsToEarlierIncarnations(TimePoint now,
                                                 Runner* runner) const {
  const TimePoint latest_arrival = now + options_.fleet.late_call_window;
  runner->AssumeForeignLeaseUntil(
      latest_arrival + OnSlowClock(options_.fleet.longest_lease),
      LeaseBasis::kCallToEarlierIncarnation);
}

void Scheduler::AddCarriedRun(Context& ctx, Runner* next, const TaskName& name,
                              Run run, bool lost) {
  // Times and progress from the previous incarnation do not apply to the next.
  if (run.phase != RunPhase::kInherited) run.phase = RunPhase::kUnconfirmed;
  run.counted_as_lost = run.counted_as_lost || lost;
  run.stop = StopRequest();
  run.stop_answered = false;
  run.percent = 0;
  run.pace_percent = 0;
  run.usable_for_estimates = false;
  run.answered_at = ctx.now();
  if (run.sent_at.has_value()) run.sent_at = ctx.now();
  run.clock_ms_at_send = 0;
  run.until_ms = 0;
  run.start_answer.reset();
  run.started_at = ctx.now();
  run.progressed_at = ctx.now();
  run.pace_measured_from = TimePoint();
  next->Add(name, run);
  Job* job = jobs_.Find(name.job);
  // The stored row of a run from an even earlier incarnation keeps naming that
  // one, until the run is resolved.
  if (job == nullptr || IsOfEarlierIncarnation(*next, run)) return;
  job->MoveRun(name, run.number, next->incarnation());
  MarkProgressDirty(name.job);
}

void Scheduler::ReserveForLateStarts(TimePoint now, Runner* next) {
  for (const auto& [key, start] : next->late_orders.StartsArrivingAfter(now)) {
    if (next->FindRun(key.first, key.second) != nullptr) continue;
    next->AddOrphan(key, start.need).may_start_late = true;
  }
}

}  // namespace limeledge::dispatch
