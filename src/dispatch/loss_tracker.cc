/// @file
/// Tracks lost runners and unresolved losses of runs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/loss_tracker.h"

#include <algorithm>
#include <utility>

namespace limeledge::dispatch {

namespace {

// Number of lost runners that are kept: more than a hall has.
constexpr std::size_t kMaxLostRunners = 400;

}  // namespace

int CountUnexplained(const std::vector<LostRunner>& lost) {
  std::map<JobId, int> runners_of;
  for (const LostRunner& runner : lost) {
    for (const JobId& job : runner.recently_started_jobs) ++runners_of[job];
  }
  return static_cast<int>(std::count_if(
      lost.begin(), lost.end(), [&runners_of](const LostRunner& runner) {
        const bool shares_a_job = std::any_of(
            runner.recently_started_jobs.begin(),
            runner.recently_started_jobs.end(),
            [&](const JobId& job) { return runners_of.at(job) > 1; });
        return !runner.explained && !shares_a_job;
      }));
}

void LossTracker::AddUnresolved(const TaskName& task, const RunLoss& loss,
                                TimePoint now) {
  const auto [it, added] =
      unresolved_.emplace(loss.incarnation, UnresolvedLosses());
  if (added) {
    it->second.address = loss.address;
    it->second.since = now;
  }
  it->second.tasks.insert(task);
}

std::vector<TaskName> LossTracker::Resolve(const IncarnationId& incarnation) {
  const auto found = unresolved_.find(incarnation);
  if (found == unresolved_.end()) return {};
  const std::set<TaskName> tasks = std::move(found->second.tasks);
  unresolved_.erase(found);
  return {tasks.begin(), tasks.end()};
}

std::vector<IncarnationId> LossTracker::ReplacedAt(
    const std::string& address, const RunnerId& living) const {
  std::vector<IncarnationId> lost;
  for (const auto& [id, losses] : unresolved_) {
    if (address.empty() || losses.address != address) continue;
    if (id.runner != living) lost.push_back(id);
  }
  return lost;
}

std::vector<IncarnationId> LossTracker::EarlierIncarnations(
    const IncarnationId& living) const {
  std::vector<IncarnationId> lost;
  for (const auto& [id, losses] : unresolved_) {
    if (id.runner == living.runner && id != living) lost.push_back(id);
  }
  return lost;
}

std::vector<IncarnationId> LossTracker::Overdue(TimePoint now) const {
  std::vector<IncarnationId> overdue;
  for (const auto& [id, losses] : unresolved_) {
    if (now - losses.since >= rules_.fate_timeout) overdue.push_back(id);
  }
  return overdue;
}

void LossTracker::AddLostRunner(LostRunner lost) {
  lost_runners_.push_back(std::move(lost));
  if (lost_runners_.size() > kMaxLostRunners) lost_runners_.pop_front();
}

std::vector<LostRunner> LossTracker::LostNear(TimePoint moment) const {
  std::vector<LostRunner> near;
  for (const LostRunner& lost : lost_runners_) {
    const bool same_moment = lost.silent_since <= moment + rules_.same_moment &&
                             moment <= lost.silent_since + rules_.same_moment;
    if (same_moment) near.push_back(lost);
  }
  return near;
}

}  // namespace limeledge::dispatch
