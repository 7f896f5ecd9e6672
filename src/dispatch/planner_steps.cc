/// @file
/// The pending steps of a planning pass and their order.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

void Planner::Pass::SelectUrgentRacks() {
  std::vector<std::int64_t> size_of_rack(pool_.rack_count());
  std::map<std::string_view, std::size_t> number_of_rack;
  std::int64_t runners = 0;
  std::int64_t all = 0;
  std::int64_t free = 0;
  CountLooksAtAll();
  for (const Candidate& candidate : pool_.candidates()) {
    if (size_of_rack[candidate.rack_number]++ == 0) {
      number_of_rack[candidate.rack] = candidate.rack_number;
    }
    ++runners;
    all += candidate.runner->info().room.accelerators;
    free += candidate.room.accelerators;
  }
  const double used = static_cast<double>(all - free);
  mostly_idle_ = used < options_.idle_share * static_cast<double>(all);
  for (const auto& [rack, number] : number_of_rack) {
    racks_by_name_.push_back(number);
  }
  double left = options_.urgent_share * static_cast<double>(runners);
  std::vector<bool> is_urgent(pool_.rack_count());
  for (const auto& [rack, number] : number_of_rack) {
    const auto size = static_cast<double>(size_of_rack[number]);
    left -= size;
    // Rounds to the nearest number of racks.
    if (left < -size / 2) break;
    is_urgent[number] = true;
  }
  for (Candidate& candidate : pool_.candidates()) {
    candidate.reserved = is_urgent[candidate.rack_number];
    if (candidate.reserved) urgent_total_ += candidate.runner->info().room;
  }
}

std::set<JobId> Planner::Pass::FindJobsWithinGuarantee() {
  std::map<std::string, std::vector<const Job*>> urgent;
  for (const JobId& id : jobs_.active()) {
    const Job* job = jobs_.Find(id);
    if (PolicyOf(*job, catalog_).priority != 0) continue;
    urgent[job->spec().workspace.value()].push_back(job);
  }
  std::set<JobId> within_guarantee;
  for (auto& [name, jobs] : urgent) {
    const auto found = catalog_.workspaces.find(WorkspaceId(name));
    if (found == catalog_.workspaces.end()) continue;
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
      return a->spec().accepted_wall_ms < b->spec().accepted_wall_ms;
    });
    std::int64_t left = found->second.guaranteed_accelerators;
    for (const Job* job : jobs) {
      const std::int64_t need = PeakAccelerators(job->spec());
      if (need > left) continue;
      left -= need;
      within_guarantee.insert(job->spec().id);
    }
  }
  return within_guarantee;
}

void Planner::Pass::CollectPendingSteps() {
  jobs_within_guarantee_ = FindJobsWithinGuarantee();
  for (const JobId& id : jobs_.active()) {
    Job* job = jobs_.Find(id);
    if (IsFinal(job->state()) || job->cancel_requested()) continue;
    if (!job->storable()) continue;
    for (std::size_t k = 0; k < job->occurrences().size(); ++k) {
      CollectOccurrence(job, static_cast<int>(k));
    }
  }
}

void Planner::Pass::CollectOccurrence(Job* job, int number) {
  Occurrence& occurrence = job->occurrences()[number];
  if (occurrence.due_wall_ms > wall_ms_) {
    WakeAt(now_ + Duration(occurrence.due_wall_ms - wall_ms_));
    return;
  }
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    const int step = static_cast<int>(s);
    if (!job->StepIsReady(occurrence, step)) continue;
    CollectStep(job, number, step);
  }
}

bool Planner::Pass::MayOvercommit(const ServiceId& service) const {
  if (jobs_.HasReadAllPartitions() && capacities_known_) return false;
  const auto found = catalog_.services.find(service);
  return found == catalog_.services.end() || !found->second.enforces_capacity;
}

void Planner::Pass::CollectStep(Job* job, int number, int index) {
  Occurrence& occurrence = job->occurrences()[number];
  Step& step = occurrence.steps[index];
  PendingStep pending;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const Task& task = step.tasks[i];
    if (task.phase != TaskPhase::kWaiting || task.held_back) continue;
    if (now_ < task.blocked_until) {
      WakeAt(task.blocked_until);
      continue;
    }
    pending.waiting.push_back(static_cast<int>(i));
  }
  if (pending.waiting.empty()) {
    step.ready = false;
    return;
  }
  if (!step.ready) {
    step.ready = true;
    step.ready_since = now_;
  }
  pending.key = {job->spec().id, number, index};
  pending.job = job;
  pending.step = &step;
  pending.spec = &job->step_spec(index);
  // A gang restarts only after all its earlier runs have ended.
  if (pending.spec->gang && pending.waiting.size() != step.tasks.size()) return;
  pending.policy = PolicyOf(*job, catalog_);
  const TimePoint may_have_failed_until = job->MayHaveFailedUntil(
      occurrence, index, now_, pending.policy.max_attempts);
  if (may_have_failed_until > now_) {
    WakeAt(may_have_failed_until);
    return;
  }
  if (MayOvercommit(pending.policy.service)) return;
  SetRank(occurrence, index, &pending);
  pending_steps_.push_back(std::move(pending));
}

void Planner::Pass::SetRank(const Occurrence& occurrence, int step,
                            PendingStep* pending) {
  const JobSpec& spec = pending->job->spec();
  pending->rank.within_guarantee = jobs_within_guarantee_.count(spec.id) != 0;
  pending->rank.guarantee_expiring =
      pending->rank.within_guarantee &&
      now_ - pending->step->ready_since >= options_.reservation_time;
  pending->rank.name = pending->key;
  pending->rank.priority = pending->policy.priority;
  pending->rank.accepted_wall_ms = spec.accepted_wall_ms;
  const std::int64_t from =
      std::max(spec.accepted_wall_ms, occurrence.due_wall_ms);
  const std::int64_t chain =
      times_.ExpectedTime(spec.queue, pending->job->critical_path()).ms();
  const double stretched = pending->policy.stretch * static_cast<double>(chain);
  const std::int64_t objective =
      static_cast<std::int64_t>(stretched) + pending->policy.slack.ms();
  pending->from_wall_ms = from;
  pending->rank.deadline_wall_ms = from + objective;
  const Duration left =
      times_.ExpectedTime(spec.queue, pending->job->CriticalPathFrom(step));
  pending->latest_start_wall_ms = pending->rank.deadline_wall_ms - left.ms();
  pending->rank.deadline_status = DeadlineStatusOf(*pending, objective);
  if (options_.policy->SharesCapacity()) DemoteIfWorthless(pending);
}

DeadlineStatus Planner::Pass::DeadlineStatusOf(const PendingStep& pending,
                                               std::int64_t objective) const {
  const std::int64_t missed_by = wall_ms_ - pending.latest_start_wall_ms;
  if (missed_by <= 0) return DeadlineStatus::kOnTime;
  if (missed_by > objective * (options_.worthless_after - 1)) {
    return DeadlineStatus::kWorthless;
  }
  if (missed_by > objective * (options_.overdue_after - 1)) {
    return DeadlineStatus::kOverdue;
  }
  return DeadlineStatus::kLate;
}

void Planner::Pass::SortPendingSteps() {
  const PlanningPolicy& policy = *options_.policy;
  std::sort(pending_steps_.begin(), pending_steps_.end(),
            [&policy](const PendingStep& a, const PendingStep& b) {
              return IsPlacedBefore(policy, a.rank, b.rank);
            });
}

}  // namespace limeledge::dispatch
