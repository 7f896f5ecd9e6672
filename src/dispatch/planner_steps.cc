/// @file
/// The planner's units: which steps have tasks to start, and in which order.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

namespace {

std::int64_t Accelerators(const JobSpec& spec) {
  std::int64_t most = 0;
  for (const StepSpec& step : spec.steps) {
    most = std::max(most, step.need.accelerators * step.count);
  }
  return most * spec.occurrences();
}

}  // namespace

void Planner::Pass::SetUrgentRacksApart() {
  std::vector<std::int64_t> size_of_rack(seating_.racks());
  std::map<std::string_view, std::size_t> number_of_rack;
  std::int64_t runners = 0;
  std::int64_t all = 0;
  std::int64_t free = 0;
  for (const Candidate& seat : seating_.seats()) {
    if (size_of_rack[seat.rack_number]++ == 0) {
      number_of_rack[seat.rack] = seat.rack_number;
    }
    ++runners;
    all += seat.runner->info().room.accelerators;
    free += seat.room.accelerators;
  }
  const double used = static_cast<double>(all - free);
  idle_ = used < options_.idle_share * static_cast<double>(all);
  double left = options_.urgent_share * static_cast<double>(runners);
  std::vector<bool> is_urgent(seating_.racks());
  for (const auto& [rack, number] : number_of_rack) {
    const auto size = static_cast<double>(size_of_rack[number]);
    left -= size;
    // Rounded to the nearest number of racks.
    if (left < -size / 2) break;
    is_urgent[number] = true;
  }
  for (Candidate& seat : seating_.seats()) {
    seat.urgent_rack = is_urgent[seat.rack_number];
    if (seat.urgent_rack) urgent_room_ += seat.runner->info().room;
  }
}

std::set<JobId> Planner::Pass::FindEntitled() {
  std::map<std::string, std::vector<const Job*>> urgent;
  for (const JobId& id : jobs_.active()) {
    const Job* job = jobs_.Find(id);
    if (PolicyOf(*job, catalog_).priority != 0) continue;
    urgent[job->spec().workspace.value()].push_back(job);
  }
  std::set<JobId> entitled;
  for (auto& [name, jobs] : urgent) {
    const auto found = catalog_.workspaces.find(WorkspaceId(name));
    if (found == catalog_.workspaces.end()) continue;
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
      return a->spec().accepted_wall_ms < b->spec().accepted_wall_ms;
    });
    std::int64_t left = found->second.guaranteed_accelerators;
    for (const Job* job : jobs) {
      const std::int64_t need = Accelerators(job->spec());
      if (need > left) continue;
      left -= need;
      entitled.insert(job->spec().id);
    }
  }
  return entitled;
}

void Planner::Pass::CollectUnits() {
  entitled_ = FindEntitled();
  for (const JobId& id : jobs_.active()) {
    Job* job = jobs_.Find(id);
    if (IsFinal(job->state()) || job->cancel_requested()) continue;
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

bool Planner::Pass::MayOverfill(const ServiceId& service) const {
  if (jobs_.HasReadAllPartitions() && knows_rooms_) return false;
  const auto found = catalog_.services.find(service);
  return found == catalog_.services.end() || !found->second.enforces_capacity;
}

void Planner::Pass::CollectStep(Job* job, int number, int index) {
  Occurrence& occurrence = job->occurrences()[number];
  Step& step = occurrence.steps[index];
  Unit unit;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const Task& task = step.tasks[i];
    const bool waits = task.phase == TaskPhase::kWaiting && !task.held_back;
    if (waits) unit.waiting.push_back(static_cast<int>(i));
  }
  if (unit.waiting.empty()) {
    step.ready = false;
    return;
  }
  if (!step.ready) {
    step.ready = true;
    step.ready_since = now_;
  }
  unit.key = {job->spec().id, number, index};
  unit.job = job;
  unit.step = &step;
  unit.spec = &job->step_spec(index);
  // A gang starts anew only when the last of its old runs is over.
  if (unit.spec->gang && unit.waiting.size() != step.tasks.size()) return;
  unit.policy = PolicyOf(*job, catalog_);
  if (MayOverfill(unit.policy.service)) return;
  SetOrder(occurrence, index, &unit);
  units_.push_back(std::move(unit));
}

void Planner::Pass::SetOrder(const Occurrence& occurrence, int step,
                             Unit* unit) {
  const JobSpec& spec = unit->job->spec();
  unit->rank.entitled = entitled_.count(spec.id) != 0;
  unit->rank.guarantee_runs_out =
      unit->rank.entitled &&
      now_ - unit->step->ready_since >= options_.reservation_time;
  unit->rank.name = unit->key;
  unit->rank.priority = unit->policy.priority;
  unit->rank.accepted_wall_ms = spec.accepted_wall_ms;
  const std::int64_t from =
      std::max(spec.accepted_wall_ms, occurrence.due_wall_ms);
  const std::int64_t chain =
      times_.Expect(spec.queue, unit->job->critical_path()).ms();
  const double stretched = unit->policy.stretch * static_cast<double>(chain);
  const std::int64_t objective =
      static_cast<std::int64_t>(stretched) + unit->policy.slack.ms();
  unit->rank.deadline_wall_ms = from + objective;
  const Duration left =
      times_.Expect(spec.queue, unit->job->CriticalPathFrom(step));
  unit->latest_start_wall_ms = unit->rank.deadline_wall_ms - left.ms();
  unit->rank.outlook = OutlookOf(*unit, objective);
}

Outlook Planner::Pass::OutlookOf(const Unit& unit,
                                 std::int64_t objective) const {
  const std::int64_t missed_by = wall_ms_ - unit.latest_start_wall_ms;
  if (missed_by <= 0) return Outlook::kInTime;
  if (missed_by > objective * (options_.worthless_after - 1)) {
    return Outlook::kHopeless;
  }
  if (missed_by > objective * (options_.overdue_after - 1)) {
    return Outlook::kOverdue;
  }
  return Outlook::kLate;
}

void Planner::Pass::SortUnits() {
  const PlanningPolicy& policy = *options_.policy;
  std::sort(units_.begin(), units_.end(),
            [&policy](const Unit& a, const Unit& b) {
              return IsPlacedBefore(policy, a.rank, b.rank);
            });
}

}  // namespace limeledge::dispatch
