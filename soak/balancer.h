/// @file
/// Selects the node for each call, as a load balancer does.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_BALANCER_H_
#define LIMELEDGE_SOAK_BALANCER_H_

#include <cstddef>
#include <mutex>
#include <vector>

#include "net/http_client.h"
#include "soak/node_process.h"

namespace limeledge::soak {

/// Polls the readiness of all nodes and distributes calls over the ready ones.
///
/// Thread safety: all methods from any thread.
class Balancer {
 public:
  /// Polling interval, and the timeout of each readiness request.
  static constexpr Duration kInterval{400};

  /// `nodes` outlives this object and does not change. Precondition: there is
  /// at least one.
  explicit Balancer(const Nodes* nodes) : nodes_(nodes) {}

  /// Polls every node once.
  void Refresh();
  /// Returns the next ready node in round-robin order, or the next of all nodes
  /// if none was ready.
  NodeProcess* Pick();
  /// Returns the next node in round-robin order, ready or not: a connection
  /// that was opened before stays with its node.
  NodeProcess* PickAny();

 private:
  const Nodes* nodes_;
  HttpClient http_;
  std::mutex mutex_;
  std::vector<NodeProcess*> ready_;
  /// Number of calls of `Pick`.
  std::size_t next_ = 0;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_BALANCER_H_
