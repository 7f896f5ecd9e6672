/// @file
/// Requests that wait for a runner: by class, then fair between workspaces.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_REQUEST_QUEUE_H_
#define LIMELEDGE_SRC_CORE_REQUEST_QUEUE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "core/store_client.h"
#include "limeledge/base.h"

namespace limeledge {

/// Smaller priority numbers go first. Inside a priority the workspaces take
/// turns in proportion to their weights; inside a workspace the order is that
/// of arrival.
///
/// Thread safety: none; a plain value.
class RequestQueue {
 public:
  /// Adds a request at the end of its workspace. Precondition: weight > 0.
  void Push(RequestHandle request, int priority, const WorkspaceId& workspace,
            int weight);
  /// Puts a request back in front, as after a refusal.
  void PushFront(RequestHandle request, int priority,
                 const WorkspaceId& workspace, int weight);
  /// Takes the request that goes next.
  std::optional<RequestHandle> Pop();
  /// Removes a request wherever it is.
  void Remove(RequestHandle request, int priority,
              const WorkspaceId& workspace);

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /// Requests of one workspace that wait, of all priorities.
  std::size_t SizeOf(const WorkspaceId& workspace) const;
  /// Requests that go before a new one of this priority, at the least.
  std::size_t AheadOf(int priority) const;

 private:
  struct Lane {
    std::deque<RequestHandle> requests;
    /// Virtual time at which the lane is served next.
    double pass = 0;
    int weight = 1;
  };
  struct Level {
    std::map<WorkspaceId, Lane> lanes;
    double pass = 0;
    std::size_t size = 0;
  };

  Lane& LaneOf(int priority, const WorkspaceId& workspace, int weight);

  std::map<int, Level> levels_;
  std::map<WorkspaceId, std::size_t> by_workspace_;
  std::size_t size_ = 0;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_REQUEST_QUEUE_H_
