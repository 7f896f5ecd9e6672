/// @file
/// Limits on how many tasks of a step a planning pass makes unavailable.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <cstddef>
#include <map>
#include <vector>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

namespace {

// Number of selections of runs that are tried before one is within the limits.
constexpr int kMaxAlternatives = 32;
// A lasting task is at work once it reports this progress.
constexpr int kAtWorkPercent = 100;

}  // namespace

int Planner::Pass::UnavailabilityLeft(const StepName& step) {
  const auto known = unavailability_left_.find(step);
  if (known != unavailability_left_.end()) return known->second;
  const Job* job = jobs_.Find(step.job);
  const std::vector<Task>& tasks =
      job->occurrences()[step.occurrence].steps[step.step].tasks;
  int left = job->step_spec(step.step).max_unavailable;
  TaskName name{step.job, step.occurrence, step.step};
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    name.index = static_cast<int>(i);
    if (!IsAtWork(name, tasks[i])) --left;
  }
  return unavailability_left_[step] = left;
}

bool Planner::Pass::IsAtWork(const TaskName& name, const Task& task) const {
  if (task.phase != TaskPhase::kAssigned) return false;
  if (preempted_.count(name) != 0) return false;
  const auto found = fleet_.runners().find(task.incarnation.runner);
  if (found == fleet_.runners().end() || !found->second->reachable()) {
    return false;
  }
  const Run* run = found->second->FindRun(name, task.run);
  return run != nullptr && run->phase == RunPhase::kRunning && !run->stopping &&
         run->percent >= kAtWorkPercent;
}

const TaskName* Planner::Pass::FindVictimBeyondLimit(
    const std::vector<PreemptionOption>& options) {
  std::map<StepName, int> stopped;
  for (const PreemptionOption& option : options) {
    for (const TaskName& victim : option.victims) {
      const Job* job = jobs_.Find(victim.job);
      if (!job->step_spec(victim.step).limits_unavailability()) continue;
      const StepName step{victim.job, victim.occurrence, victim.step};
      if (++stopped[step] > UnavailabilityLeft(step)) return &victim;
    }
  }
  return nullptr;
}

std::vector<Planner::Pass::PreemptionOption>
Planner::Pass::CheapestAllowedOptions(const PendingStep& pending,
                                      const std::vector<Candidate*>& candidates,
                                      const PlacementRequest& request) {
  spared_.clear();
  for (int i = 0; i < kMaxAlternatives; ++i) {
    std::vector<PreemptionOption> options =
        CheapestOptions(pending, candidates, request);
    const TaskName* beyond = FindVictimBeyondLimit(options);
    if (beyond == nullptr) return options;
    // Other runs may make way in its place.
    spared_.insert(*beyond);
  }
  return {};
}

}  // namespace limeledge::dispatch
