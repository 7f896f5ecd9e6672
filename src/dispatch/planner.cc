/// @file
/// The planner's pass, from its units to its plan.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/planner.h"

#include <algorithm>
#include <utility>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

const char* ToString(WaitReason reason) {
  switch (reason) {
    case WaitReason::kBehindOthers:
      return "others that do not fit go first";
    case WaitReason::kNoTickets:
      return "no runner has a ticket for the step";
    case WaitReason::kNoCapacity:
      return "no room";
    case WaitReason::kNothingMakesWay:
      return "no room, and not enough may make way";
    case WaitReason::kRoomIsMade:
      return "others make way";
    case WaitReason::kRoomIsKept:
      return "runners are kept free for the gang";
  }
  return "";
}

QueuePolicy PolicyOf(const Job& job, const Catalog& catalog) {
  const Queue* queue = catalog.Find(job.spec().queue);
  return queue == nullptr ? job.spec().policy : queue->policy;
}

Planner::Pass::Pass(Planner* planner, TimePoint now, std::int64_t wall_ms,
                    const Catalog& catalog, const RunTimeEstimator& times,
                    const TicketCache& advice, JobRegistry* jobs, Fleet* fleet)
    : planner_(*planner),
      options_(planner->options_),
      now_(now),
      wall_ms_(wall_ms),
      catalog_(catalog),
      times_(times),
      advice_(advice),
      jobs_(*jobs),
      seating_(fleet->Candidates(now, catalog.drained_halls)),
      knows_free_room_(fleet->KnowsFreeCapacity(now)),
      knows_rooms_(fleet->KnowsCapacities(now)) {
  planner_.next_at_ = kNever;
}

Plan Planner::Pass::Decide() {
  SetUrgentRacksApart();
  CollectUnits();
  SortUnits();
  ++planner_.passes_;
  for (Unit& unit : units_) {
    if (IsBlocked(unit)) {
      NoteWait(unit, WaitReason::kBehindOthers);
    } else if (IsDue(unit)) {
      Place(&unit);
    } else {
      KeepWait(unit);
    }
  }
  DropOldClaims();
  plan_.steps_waiting = static_cast<int>(waits_.size());
  plan_.idle_accelerators = MeasureIdleRoom();
  planner_.waits_ = std::move(waits_);
  return std::move(plan_);
}

IdleAccelerators Planner::Pass::MeasureIdleRoom() {
  std::map<const Runner*, std::int64_t> assigned;
  for (const Assignment& assignment : plan_.assignments) {
    const Job* job = jobs_.Find(assignment.task.job);
    assigned[assignment.runner] +=
        job->step_spec(assignment.task.step).need.accelerators;
  }
  IdleAccelerators room;
  for (const Candidate& seat : seating_.seats()) {
    const std::int64_t idle = std::max<std::int64_t>(
        0, seat.runner->free_capacity().accelerators - assigned[seat.runner]);
    const std::int64_t open =
        std::clamp<std::int64_t>(seat.room.accelerators, 0, idle);
    room.all += seat.runner->info().room.accelerators;
    room.kept += idle - open;
    (seat.urgent_rack ? room.urgent_racks : room.open) += open;
  }
  return room;
}

void Planner::Pass::NoteWait(const Unit& unit, WaitReason reason) {
  waits_[unit.key] = reason;
  const auto before = planner_.waits_.find(unit.key);
  if (before != planner_.waits_.end() && before->second == reason) return;
  plan_.waits.push_back(
      {unit.key, reason, static_cast<int>(unit.waiting.size())});
}

void Planner::Pass::KeepWait(const Unit& unit) {
  const auto before = planner_.waits_.find(unit.key);
  if (before != planner_.waits_.end()) waits_.insert(*before);
}

void Planner::Pass::WakeAt(TimePoint at) {
  if (at > now_) planner_.next_at_ = std::min(planner_.next_at_, at);
}

Plan Planner::Decide(TimePoint now, std::int64_t wall_ms,
                     const Catalog& catalog, const RunTimeEstimator& times,
                     const TicketCache& advice, JobRegistry* jobs,
                     Fleet* fleet) {
  return Pass(this, now, wall_ms, catalog, times, advice, jobs, fleet).Decide();
}

}  // namespace limeledge::dispatch
