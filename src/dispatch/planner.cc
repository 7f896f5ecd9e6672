/// @file
/// The steps of a planning pass and its report.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/planner.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "dispatch/planner_pass.h"
#include "dispatch/suspect_isolation.h"

namespace limeledge::dispatch {

namespace {

// A pass that has not enough time for all steps uses one part in this many for
// those that it did not get to in their order.
constexpr std::int64_t kLooksOfLeftSteps = 4;

}  // namespace

const char* ToString(WaitReason reason) {
  switch (reason) {
    case WaitReason::kBlockedByEarlierStep:
      return "others that do not fit go first";
    case WaitReason::kNoTickets:
      return "no runner has a ticket for the step";
    case WaitReason::kNoCapacity:
      return "no room";
    case WaitReason::kNotEnoughPreemptible:
      return "no room, and not enough may make way";
    case WaitReason::kPreempting:
      return "others make way";
    case WaitReason::kReserved:
      return "runners are kept free for the gang";
  }
  return "";
}

const QueuePolicy& PolicyOf(const Job& job, const Catalog& catalog) {
  const Queue* queue = catalog.Find(job.spec().queue);
  return queue == nullptr ? job.spec().policy : queue->policy;
}

Planner::Pass::Pass(Planner* planner, TimePoint now, std::int64_t wall_ms,
                    const Catalog& catalog, const RunTimeEstimator& times,
                    const RunnerSpeeds* speeds, const TicketCache& advice,
                    JobRegistry* jobs, Fleet* fleet)
    : planner_(*planner),
      options_(planner->options_),
      now_(now),
      wall_ms_(wall_ms),
      catalog_(catalog),
      times_(times),
      speeds_(speeds),
      advice_(advice),
      jobs_(*jobs),
      pool_(fleet->Candidates(now, catalog.drained_halls)),
      runs_(pool_.candidates().size()),
      fleet_(*fleet),
      free_capacity_known_(fleet->KnowsFreeCapacity(now)),
      capacities_known_(fleet->KnowsCapacities(now)) {
  planner_.next_at_ = kNever;
  IsolateSuspects(now, jobs, &pool_);
}

Plan Planner::Pass::Decide() {
  SelectUrgentRacks();
  CollectPendingSteps();
  SetPaces();
  const bool shares_capacity = options_.policy->SharesCapacity();
  if (shares_capacity) SelectUrgentSteps();
  SortPendingSteps();
  if (shares_capacity && IsRoomShort()) {
    OrderByShares();
    SortPendingSteps();
  }
  ++planner_.passes_;
  TryLeftSteps(TryStepsInOrder());
  if (shares_capacity) RecordStarts();
  DropExpiredReservations();
  plan_.steps_waiting = static_cast<int>(waits_.size());
  plan_.idle_accelerators = MeasureIdleAccelerators();
  plan_.looks = looks_;
  planner_.waits_ = std::move(waits_);
  return std::move(plan_);
}

bool Planner::Pass::IsTriedInOrder(const PendingStep& pending) const {
  // Otherwise others would take the capacity that was freed for the step.
  const bool has_reservation = planner_.reservations_.count(pending.key) != 0;
  return pending.rank.within_guarantee || has_reservation ||
         looks_ <
             planner_.max_looks_ / kLooksOfLeftSteps * (kLooksOfLeftSteps - 1);
}

std::vector<Planner::PendingStep*> Planner::Pass::TryStepsInOrder() {
  std::vector<PendingStep*> left;
  for (PendingStep& pending : pending_steps_) {
    if (IsTriedInOrder(pending)) {
      Try(&pending);
    } else {
      left.push_back(&pending);
    }
  }
  return left;
}

void Planner::Pass::TryLeftSteps(std::vector<PendingStep*> left) {
  const std::optional<StepName> from =
      std::exchange(planner_.resume_at_, std::nullopt);
  const auto resumed = std::find_if(
      left.begin(), left.end(),
      [&from](const PendingStep* step) { return step->key == from; });
  if (resumed != left.end()) std::rotate(left.begin(), resumed, left.end());
  for (PendingStep* pending : left) {
    // One in any case, so that each step is tried in the end.
    if (pending == left.front() || looks_ < planner_.max_looks_) {
      Try(pending);
      continue;
    }
    if (!planner_.resume_at_.has_value()) planner_.resume_at_ = pending->key;
    KeepWaitReason(*pending);
  }
}

void Planner::Pass::Try(PendingStep* pending) {
  if (IsBlocked(*pending)) {
    RecordWait(*pending, WaitReason::kBlockedByEarlierStep);
  } else if (IsTriedInThisPass(*pending)) {
    Place(pending);
  } else {
    KeepWaitReason(*pending);
  }
}

IdleAccelerators Planner::Pass::MeasureIdleAccelerators() {
  std::unordered_map<const Runner*, std::int64_t> assigned;
  for (const Assignment& assignment : plan_.assignments) {
    const Job* job = jobs_.Find(assignment.task.job);
    assigned[assignment.runner] +=
        job->step_spec(assignment.task.step).need.accelerators;
  }
  IdleAccelerators room;
  CountLooksAtAll();
  for (const Candidate& candidate : pool_.candidates()) {
    const auto found = assigned.find(candidate.runner);
    const std::int64_t taken = found == assigned.end() ? 0 : found->second;
    const std::int64_t idle = std::max<std::int64_t>(
        0, candidate.runner->free_capacity().accelerators - taken);
    const std::int64_t open =
        std::clamp<std::int64_t>(candidate.room.accelerators, 0, idle);
    room.all += candidate.runner->info().room.accelerators;
    room.kept += idle - open;
    (candidate.reserved ? room.urgent_racks : room.open) += open;
  }
  return room;
}

void Planner::Pass::RecordWait(const PendingStep& pending, WaitReason reason) {
  waits_[pending.key] = reason;
  const auto before = planner_.waits_.find(pending.key);
  if (before != planner_.waits_.end() && before->second == reason) return;
  plan_.waits.push_back(
      {pending.key, reason, static_cast<int>(pending.waiting.size())});
}

void Planner::Pass::KeepWaitReason(const PendingStep& pending) {
  const auto before = planner_.waits_.find(pending.key);
  if (before != planner_.waits_.end()) waits_.insert(*before);
}

void Planner::Pass::WakeAt(TimePoint at) {
  if (at > now_) planner_.next_at_ = std::min(planner_.next_at_, at);
}

Plan Planner::Decide(TimePoint now, std::int64_t wall_ms,
                     const Catalog& catalog, const RunTimeEstimator& times,
                     const RunnerSpeeds* speeds, const TicketCache& advice,
                     JobRegistry* jobs, Fleet* fleet) {
  return Pass(this, now, wall_ms, catalog, times, speeds, advice, jobs, fleet)
      .Decide();
}

}  // namespace limeledge::dispatch
