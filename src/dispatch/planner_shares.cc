/// @file
/// Shares of the workspaces and the selection of urgent steps in a planning
/// pass.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstddef>
#include <limits>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

namespace {

// Larger than the priority of any queue. Work of such a priority preempts
// nothing and is preempted by any other.
constexpr int kWorthlessPriority = std::numeric_limits<int>::max() / 2;
// Releases of capacity are added up in intervals of this length, up to that
// time. Urgent steps are late long before.
constexpr std::int64_t kReleaseIntervalMs = 200;
constexpr std::size_t kReleaseIntervals = 50;

/// A job's attributes that decide how its runs are counted.
struct RunCounting {
  WorkspaceUse* use = nullptr;
  bool urgent = false;
};

/// Capacity released in each interval, by service.
using ReleaseTable = std::map<ServiceId, std::vector<Resources>>;

Resources operator*(Resources one, int count) {
  one.cpu_millis *= count;
  one.memory_mb *= count;
  one.accelerators *= count;
  return one;
}

}  // namespace

void Planner::CountUse(TimePoint now, const Catalog& catalog, JobRegistry* jobs,
                       const Fleet& fleet) {
  if (!options_.policy->SharesCapacity()) return;
  if (use_counted_at_.has_value() &&
      now - *use_counted_at_ < options_.use_count_interval) {
    return;
  }
  use_counted_at_ = now;
  std::map<WorkspaceId, WorkspaceUse> uses;
  for (const auto& [id, workspace] : catalog.workspaces) {
    uses[id].guaranteed_accelerators = workspace.guaranteed_accelerators;
  }
  std::unordered_map<const Job*, RunCounting> counting;
  Resources total;
  ReleaseTable releases;
  room_.clear();
  for (const auto& [id, runner] : fleet.runners()) {
    if (runner->listed()) {
      total += runner->info().room;
      room_[runner->info().service].all += runner->info().room;
    }
    std::vector<Resources>& released = releases[runner->info().service];
    released.resize(kReleaseIntervals);
    const Job* job = nullptr;
    RunCounting* counted = nullptr;
    for (const auto& [name, run] : runner->runs()) {
      if (job == nullptr || job->spec().id != name.job) {
        job = jobs->Find(name.job);
        if (job == nullptr) continue;
        counted = &counting[job];
        if (counted->use == nullptr) {
          counted->use = &uses[job->spec().workspace];
          counted->urgent = PolicyOf(*job, catalog).priority == 0;
        }
      }
      counted->use->used += run.need;
      // Candidates hold what is being stopped as `releasing`.
      if (run.stopping) continue;
      std::optional<Duration> left = TimeLeft(run, now);
      if (!left.has_value()) continue;
      const bool preempts =
          !counted->urgent && job->step_spec(name.step).preemptible();
      if (preempts) left = std::min(*left, options_.reservation_time);
      const auto interval = static_cast<std::size_t>(
          std::max<std::int64_t>(0, left->ms()) / kReleaseIntervalMs);
      if (interval < kReleaseIntervals) released[interval] += run.need;
    }
  }
  shares_.Record(now, uses, total);
  for (auto& [service, room] : room_) {
    const std::vector<Resources>& released = releases[service];
    for (std::size_t i = 0; i < released.size(); ++i) {
      if (released[i] == Resources()) continue;
      const Duration after(static_cast<std::int64_t>(i + 1) *
                           kReleaseIntervalMs);
      room.releases.push_back({now + after, released[i]});
    }
  }
}

Resources Planner::Pass::NeedOf(const PendingStep& pending) {
  return pending.spec->room() * static_cast<int>(pending.waiting.size());
}

void Planner::Pass::DemoteIfWorthless(PendingStep* pending) const {
  StepRank& rank = pending->rank;
  if (rank.within_guarantee) return;
  if (rank.deadline_status != DeadlineStatus::kWorthless) return;
  pending->policy.priority += kWorthlessPriority;
  rank.priority = pending->policy.priority;
}

void Planner::Pass::SelectUrgentSteps() {
  std::vector<UrgentStep> steps;
  std::vector<PendingStep*> urgent;
  for (PendingStep& pending : pending_steps_) {
    if (pending.policy.priority != 0) continue;
    StepRank& rank = pending.rank;
    const Duration objective(rank.deadline_wall_ms - pending.from_wall_ms);
    const Duration deferred =
        planner_.selection_.DeferredFor(pending.key, now_);
    if (deferred > Duration(0) && deferred >= objective) {
      rank.deadline_status = DeadlineStatus::kOverdue;
    }
    UrgentStep step;
    step.name = pending.key;
    step.service = pending.policy.service;
    step.need = NeedOf(pending);
    step.time = ExpectedTimeNear(pending);
    step.deadline = now_ + Duration(rank.deadline_wall_ms - wall_ms_);
    step.latest_start =
        now_ + Duration(pending.latest_start_wall_ms - wall_ms_);
    step.goes_first = rank.within_guarantee ||
                      rank.deadline_status == DeadlineStatus::kOverdue;
    steps.push_back(std::move(step));
    urgent.push_back(&pending);
  }
  if (!steps.empty()) {
    for (auto& [service, room] : planner_.room_) room.free = Resources();
    for (const Candidate& candidate : pool_.candidates()) {
      ServiceRoom& room = planner_.room_[candidate.runner->info().service];
      Resources free = candidate.room;
      free += candidate.releasing;
      room.free.cpu_millis += std::max<std::int64_t>(0, free.cpu_millis);
      room.free.memory_mb += std::max<std::int64_t>(0, free.memory_mb);
      room.free.accelerators += std::max<std::int64_t>(0, free.accelerators);
    }
  }
  plan_.deferrals = planner_.selection_.Select(now_, steps, planner_.room_);
  for (PendingStep* pending : urgent) {
    pending->rank.deferred = planner_.selection_.IsDeferred(pending->key);
  }
}

bool Planner::Pass::IsRoomShort() const {
  if (!planner_.waits_.empty()) return true;
  Resources needed;
  for (const PendingStep& pending : pending_steps_) needed += NeedOf(pending);
  Resources free;
  for (const Candidate& candidate : pool_.candidates()) free += candidate.room;
  return !needed.Fits(free);
}

void Planner::Pass::OrderByShares() {
  std::vector<ShareRequest> requests;
  requests.reserve(pending_steps_.size());
  using Group = std::tuple<bool, int, DeadlineStatus, bool>;
  Group previous;
  int group = 0;
  for (const PendingStep& pending : pending_steps_) {
    const StepRank& rank = pending.rank;
    const Group present(rank.within_guarantee, rank.priority,
                        rank.deadline_status, rank.deferred);
    if (!requests.empty() && present != previous) ++group;
    previous = present;
    ShareRequest request;
    request.workspace = pending.job->spec().workspace;
    request.need = NeedOf(pending);
    request.group = group;
    // Selected urgent steps are all in time in the order of their deadlines,
    // and perhaps only in that order.
    const bool selected = rank.priority == 0 && !rank.deferred &&
                          rank.deadline_status == DeadlineStatus::kOnTime;
    const bool overdue = rank.deadline_status == DeadlineStatus::kOverdue;
    request.reorders = !rank.within_guarantee && !selected && !overdue;
    requests.push_back(std::move(request));
  }
  const std::vector<int> positions = planner_.shares_.Order(requests);
  for (std::size_t i = 0; i < positions.size(); ++i) {
    PendingStep& pending = pending_steps_[i];
    const bool overdue =
        pending.rank.deadline_status == DeadlineStatus::kOverdue;
    // Shares no longer delay what is overdue. Gangs go first there: tasks
    // before a gang take each place that becomes free, and the gang is
    // worthless before it fits.
    pending.rank.share_position =
        overdue ? (pending.spec->gang ? 0 : 1) : positions[i];
  }
}

void Planner::Pass::RecordStarts() {
  for (const Assignment& assignment : plan_.assignments) {
    const Job* job = jobs_.Find(assignment.task.job);
    planner_.shares_.AddStarted(job->spec().workspace,
                                job->step_spec(assignment.task.step).room());
  }
}

}  // namespace limeledge::dispatch
