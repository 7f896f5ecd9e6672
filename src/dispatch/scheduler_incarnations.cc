/// @file
/// Runners that start again under their ids: what becomes of the life before.
//
// A runner's next life holds and knows nothing of the one before. All that was
// known of that one ends here, in one place, and the next is a new object. What
// was sent to it and got no answer may still be carried out by the next, which
// is told not to before the same task starts elsewhere: waiting until it can
// not come any more would hold the task up for 12.5 s, a stop takes a round
// trip.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

bool Lists(const RunnerPolled& answer, const TaskName& name, int number) {
  const auto is_it = [&](const auto& listed) {
    return listed.task == name && listed.run == number;
  };
  return std::any_of(answer.running.begin(), answer.running.end(), is_it) ||
         std::any_of(answer.ended.begin(), answer.ended.end(), is_it);
}

}  // namespace

Scheduler::CarriedRunStatus Scheduler::ClassifyRun(TimePoint now,
                                                   const Runner& before,
                                                   const TaskName& name,
                                                   const Run& run,
                                                   const RunnerPolled& answer) {
  if (NeverBegan(run.phase)) return CarriedRunStatus::kNeverStarted;
  if (Lists(answer, name, run.number)) return CarriedRunStatus::kMayExist;
  // Judged by the life that it was stored for.
  if (run.phase == RunPhase::kInherited) return CarriedRunStatus::kMayExist;
  // A start without an answer may be what the life before went by.
  const bool may_start_late =
      run.phase == RunPhase::kStarting ||
      before.late_orders.MayArrive({name, run.number}, now);
  return may_start_late ? CarriedRunStatus::kLostButMayStart
                        : CarriedRunStatus::kLost;
}

Runner* Scheduler::BeginIncarnation(Context& ctx, Runner* before,
                                    const RunnerPolled& answer) {
  const IncarnationId old_life = before->incarnation();
  std::vector<TaskName> never;
  std::vector<TaskName> lost;
  std::vector<TaskName> moved;
  std::vector<TaskName> to_cancel;
  for (const auto& [name, run] : before->runs()) {
    switch (ClassifyRun(ctx.now(), *before, name, run, answer)) {
      case CarriedRunStatus::kNeverStarted:
        never.push_back(name);
        break;
      case CarriedRunStatus::kLost:
        lost.push_back(name);
        break;
      case CarriedRunStatus::kLostButMayStart:
        lost.push_back(name);
        to_cancel.push_back(name);
        break;
      case CarriedRunStatus::kMayExist:
        moved.push_back(name);
        break;
    }
  }
  ctx.Log(LogId::kRunnerBegan,
          {{"runner", old_life.runner.value()},
           {"born", ToString(answer.start_time)},
           {"before", ToString(old_life.start_time)},
           {"lives", std::to_string(before->incarnations() + 1)},
           {"lost", std::to_string(lost.size())},
           {"kept", std::to_string(moved.size())},
           {"to_be_ruled_out", std::to_string(to_cancel.size())}});
  const RunnerLossCause cause = before->LeftAsAnnounced()
                                    ? RunnerLossCause::kLeft
                                    : RunnerLossCause::kCrashed;
  MarkRunsLost(ctx, before, lost, cause, to_cancel);
  for (const TaskName& name : never) {
    EndRun(ctx, before, name, RunEnd::kRejected, "");
    StopGang(ctx, name);
  }
  ResolveLosses(ctx, old_life, IncarnationFate::kCrashed);
  Runner* next = CarryOverRuns(ctx, before, moved, to_cancel, answer);
  plan_due_ = true;
  return next;
}

Runner* Scheduler::CarryOverRuns(Context& ctx, Runner* before,
                                 const std::vector<TaskName>& moved,
                                 const std::vector<TaskName>& to_cancel,
                                 const RunnerPolled& answer) {
  // Ending runs may have ended members of their gangs here.
  const auto those_there = [before](const std::vector<TaskName>& names) {
    std::vector<std::pair<TaskName, Run>> runs;
    for (const TaskName& name : names) {
      const auto found = before->runs().find(name);
      if (found != before->runs().end()) runs.emplace_back(*found);
    }
    return runs;
  };
  const auto runs_there = those_there(moved);
  const auto runs_to_cancel = those_there(to_cancel);
  Runner* next = ReplaceIncarnation(ctx.now(), before, answer.start_time);
  for (const auto& [name, run] : runs_there) {
    AddCarriedRun(ctx, next, name, run, false);
  }
  for (const auto& [name, run] : runs_to_cancel) {
    AddCarriedRun(ctx, next, name, run, true);
  }
  for (const TaskName& name : to_cancel) RequestStop(ctx, next, name);
  CancelLateStarts(ctx, next);
  return next;
}

Runner* Scheduler::ReplaceIncarnation(TimePoint now, Runner* before,
                                      StartTime start_time) {
  const bool start_under_way = std::any_of(
      before->runs().begin(), before->runs().end(), [](const auto& entry) {
        return entry.second.phase == RunPhase::kStarting;
      });
  if (start_under_way) {
    before->late_orders.RecordGrant(now + options_.late_order_window);
  }
  const bool granted_now = before->poll_grants_lease;
  const TimePoint poll_sent_at = before->poll_sent_at;
  const PollNumber poll_number = before->poll_number;
  Runner* next = fleet_.StartIncarnation(before, start_time, now);
  // The look that told of it is its first one.
  next->poll_sent_at = poll_sent_at;
  next->poll_number = poll_number;
  next->RecordLateGrant(granted_now ? now : TimePoint(),
                        options_.fleet.longest_lease);
  return next;
}

void Scheduler::AddCarriedRun(Context& ctx, Runner* next, const TaskName& name,
                              Run run, bool lost) {
  // Its old life's time and progress say nothing here.
  if (run.phase != RunPhase::kInherited) run.phase = RunPhase::kUnconfirmed;
  run.counted_as_lost = run.counted_as_lost || lost;
  run.stop = StopRequest();
  run.stop_answered = false;
  run.percent = 0;
  run.pace_percent = 0;
  run.usable_for_estimates = false;
  run.answered_at = ctx.now();
  run.started_at = ctx.now();
  run.progressed_at = ctx.now();
  run.pace_measured_from = TimePoint();
  next->Add(name, run);
  Job* job = book_.Find(name.job);
  // The row of a run that is still to be judged goes on naming its life.
  if (job == nullptr || IsOfEarlierIncarnation(*next, run)) return;
  job->MoveRun(name, run.number, next->incarnation());
  MarkProgressChanged(name.job);
}

void Scheduler::CancelLateStarts(Context& ctx, Runner* next) {
  for (const auto& [key, start] :
       next->late_orders.StartsArrivingAfter(ctx.now())) {
    if (next->FindRun(key.first, key.second) != nullptr) continue;
    OrphanedRun& orphans = next->AddOrphan(key, start.need);
    orphans.may_start_late = true;
    orphans.stop.Request(ctx.now(), options_.stop_retry_interval);
  }
  orders_due_.insert(next->id());
}

}  // namespace limeledge::dispatch
