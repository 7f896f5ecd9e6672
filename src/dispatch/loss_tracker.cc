/// @file
/// The book of lost runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/loss_tracker.h"

#include <algorithm>
#include <utility>

namespace limeledge::dispatch {

namespace {

// Losses of runners that are remembered: more than a hall has runners.
constexpr std::size_t kMostLost = 400;

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
                                StartTime listed, TimePoint now) {
  const auto [it, added] = open_.emplace(loss.incarnation, Open());
  if (added) {
    it->second.address = loss.address;
    it->second.listed = listed;
    it->second.since = now;
  }
  it->second.tasks.insert(task);
}

std::vector<TaskName> LossTracker::Resolve(const IncarnationId& incarnation) {
  const auto found = open_.find(incarnation);
  if (found == open_.end()) return {};
  const std::set<TaskName> tasks = std::move(found->second.tasks);
  open_.erase(found);
  return {tasks.begin(), tasks.end()};
}

std::vector<IncarnationId> LossTracker::ReplacedAt(
    const std::string& address, const IncarnationId& living) const {
  std::vector<IncarnationId> lost;
  for (const auto& [incarnation, open] : open_) {
    if (address.empty() || open.address != address) continue;
    // An entry that was there when the life was lost tells of no later one.
    const bool same_runner = incarnation.runner == living.runner;
    const bool older = same_runner && living.start_time == open.listed;
    if (incarnation != living && !older) lost.push_back(incarnation);
  }
  return lost;
}

std::vector<IncarnationId> LossTracker::EarlierIncarnations(
    const IncarnationId& living) const {
  std::vector<IncarnationId> lost;
  for (const auto& [incarnation, open] : open_) {
    if (incarnation.runner == living.runner && incarnation != living)
      lost.push_back(incarnation);
  }
  return lost;
}

std::vector<IncarnationId> LossTracker::Overdue(TimePoint now) const {
  std::vector<IncarnationId> overdue;
  for (const auto& [incarnation, open] : open_) {
    if (now - open.since >= rules_.fate_timeout) overdue.push_back(incarnation);
  }
  return overdue;
}

void LossTracker::AddLostRunner(LostRunner lost) {
  lost_.push_back(std::move(lost));
  if (lost_.size() > kMostLost) lost_.pop_front();
}

std::vector<LostRunner> LossTracker::LostNear(TimePoint moment) const {
  std::vector<LostRunner> around;
  for (const LostRunner& lost : lost_) {
    const bool same_moment = lost.silent_since <= moment + rules_.same_moment &&
                             moment <= lost.silent_since + rules_.same_moment;
    if (same_moment) around.push_back(lost);
  }
  return around;
}

}  // namespace limeledge::dispatch
