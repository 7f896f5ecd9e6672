/// @file
/// The book of lost runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/loss_book.h"

#include <utility>

namespace limeledge::dispatch {

namespace {

// Losses of runners that are remembered: more than a hall has runners.
constexpr std::size_t kMostLost = 400;

}  // namespace

void LossBook::NoteOpen(const TaskName& task, const RunLoss& loss,
                        TimePoint now) {
  const auto [it, added] = open_.emplace(loss.runner, Open());
  if (added) {
    it->second.address = loss.address;
    it->second.since = now;
  }
  it->second.tasks.insert(task);
}

std::vector<TaskName> LossBook::Close(const RunnerId& runner) {
  const auto found = open_.find(runner);
  if (found == open_.end()) return {};
  const std::set<TaskName> tasks = std::move(found->second.tasks);
  open_.erase(found);
  return {tasks.begin(), tasks.end()};
}

std::vector<RunnerId> LossBook::LostAt(const std::string& address,
                                       const RunnerId& living) const {
  std::vector<RunnerId> lost;
  for (const auto& [runner, open] : open_) {
    const bool same = !address.empty() && open.address == address;
    if (same && runner != living) lost.push_back(runner);
  }
  return lost;
}

std::vector<RunnerId> LossBook::Overdue(TimePoint now) const {
  std::vector<RunnerId> overdue;
  for (const auto& [runner, open] : open_) {
    if (now - open.since >= rules_.longest_doubt) overdue.push_back(runner);
  }
  return overdue;
}

void LossBook::NoteRunnerLost(const RunnerId& runner, TimePoint silent_since,
                              bool explained) {
  lost_.push_back({runner, silent_since, explained});
  if (lost_.size() > kMostLost) lost_.pop_front();
}

std::set<RunnerId> LossBook::UnexplainedAround(TimePoint moment,
                                               const RunnerId& besides) const {
  std::set<RunnerId> runners;
  for (const Lost& lost : lost_) {
    if (lost.explained || lost.runner == besides) continue;
    const Duration apart = lost.silent_since < moment
                               ? moment - lost.silent_since
                               : lost.silent_since - moment;
    if (apart <= rules_.same_moment) runners.insert(lost.runner);
  }
  return runners;
}

}  // namespace limeledge::dispatch
