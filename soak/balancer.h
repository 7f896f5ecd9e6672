/// @file
/// Chooses the nodes that callers call, as a load balancer does.
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

/// Asks nodes whether they are ready, and spreads calls over those that are.
///
/// Thread safety: all methods from any thread.
class Balancer {
 public:
  /// Time between two rounds, and the longest wait for a node's answer.
  static constexpr Duration kInterval{400};

  /// `nodes` outlives this object and does not change. Precondition: there is
  /// at least one.
  explicit Balancer(const Nodes* nodes) : nodes_(nodes) {}

  /// Asks each node once.
  void Refresh();
  /// The next node in turn of those that were ready, or of all if none was.
  NodeProcess* Pick();

 private:
  const Nodes* nodes_;
  HttpClient http_;
  std::mutex mutex_;
  std::vector<NodeProcess*> ready_;
  /// Counts the picks.
  std::size_t next_ = 0;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_BALANCER_H_
