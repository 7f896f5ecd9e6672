/// @file
/// Stride scheduling of waiting requests.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/request_queue.h"

#include <algorithm>

namespace limeledge {

void RequestQueue::Push(RequestHandle request, int priority,
                        const WorkspaceId& workspace, int weight) {
  LaneOf(priority, workspace, weight).requests.push_back(request);
  ++levels_[priority].size;
  ++by_workspace_[workspace];
  ++size_;
}

void RequestQueue::PushFront(RequestHandle request, int priority,
                             const WorkspaceId& workspace, int weight) {
  LaneOf(priority, workspace, weight).requests.push_front(request);
  ++levels_[priority].size;
  ++by_workspace_[workspace];
  ++size_;
}

std::optional<RequestHandle> RequestQueue::Pop() {
  for (auto& [priority, level] : levels_) {
    if (level.size == 0) continue;
    auto next = level.lanes.end();
    for (auto it = level.lanes.begin(); it != level.lanes.end(); ++it) {
      if (it->second.requests.empty()) continue;
      const bool earlier =
          next == level.lanes.end() || it->second.pass < next->second.pass;
      if (earlier) next = it;
    }
    Lane& lane = next->second;
    const RequestHandle request = lane.requests.front();
    lane.requests.pop_front();
    level.pass = lane.pass;
    lane.pass += 1.0 / lane.weight;
    --level.size;
    --by_workspace_[next->first];
    --size_;
    if (lane.requests.empty() && level.size == 0) level.lanes.clear();
    return request;
  }
  return std::nullopt;
}

void RequestQueue::Remove(RequestHandle request, int priority,
                          const WorkspaceId& workspace) {
  const auto level = levels_.find(priority);
  if (level == levels_.end()) return;
  const auto lane = level->second.lanes.find(workspace);
  if (lane == level->second.lanes.end()) return;
  std::deque<RequestHandle>& requests = lane->second.requests;
  const auto it = std::find(requests.begin(), requests.end(), request);
  if (it == requests.end()) return;
  requests.erase(it);
  --level->second.size;
  --by_workspace_[workspace];
  --size_;
}

std::size_t RequestQueue::SizeOf(const WorkspaceId& workspace) const {
  const auto it = by_workspace_.find(workspace);
  return it == by_workspace_.end() ? 0 : it->second;
}

std::size_t RequestQueue::AheadOf(int priority) const {
  std::size_t ahead = 0;
  for (const auto& [level_priority, level] : levels_) {
    if (level_priority > priority) break;
    ahead += level.size;
  }
  return ahead;
}

RequestQueue::Lane& RequestQueue::LaneOf(int priority,
                                         const WorkspaceId& workspace,
                                         int weight) {
  Level& level = levels_[priority];
  Lane& lane = level.lanes[workspace];
  lane.weight = weight;
  // A lane that was idle does not save up turns.
  if (lane.requests.empty()) lane.pass = std::max(lane.pass, level.pass);
  return lane;
}

}  // namespace limeledge
