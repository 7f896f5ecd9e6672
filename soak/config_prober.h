/// @file
/// Checks that each node uses the newest configuration.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_CONFIG_PROBER_H_
#define LIMELEDGE_SOAK_CONFIG_PROBER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "soak/node_client.h"
#include "soak/node_process.h"
#include "soak/soak_platform.h"

namespace limeledge::soak {

/// Requests routes that configuration versions add and drop, and reports a node
/// that reverts to an older version or does not apply a new one in time.
///
/// Thread safety: none; use it from one thread.
class ConfigProber {
 public:
  /// All arguments must outlive this object; `nodes` must not change.
  ConfigProber(const Experiment& experiment, SoakPlatform* platform,
               const Nodes* nodes, const FaultLog* faults, NodeClient* client);

  /// Probes every node once.
  void ProbeAll();

 private:
  /// Last observations of a node.
  struct Seen {
    /// Incarnation of the node that was observed.
    std::size_t incarnation = 0;
    /// Newest version that the node has applied, and when this was first seen.
    std::int64_t version = 0;
    TimePoint at;
  };

  void Probe(NodeProcess* node, Seen* seen);
  /// Requests a route that the version which the node has shown does not have.
  void ProbeDroppedRoute(NodeProcess* node, const Seen& seen);
  /// Reports an answer by an older version than the node has shown, unless the
  /// call was sent at about the time at which that version was shown.
  void CheckReverted(NodeProcess* node, const Seen& seen, TimePoint sent_at);
  /// Reports a node without the route of the newest version, unless the version
  /// is too recent or a fault excuses the node.
  void CheckOverdue(NodeProcess* node, const ConfigWrite& newest,
                    TimePoint sent_at);

  bool checks_times_;
  SoakPlatform* platform_;
  const Nodes* nodes_;
  const FaultLog* faults_;
  NodeClient* client_;
  SteadyClock clock_;
  /// One for each node, in the same order.
  std::vector<Seen> seen_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_CONFIG_PROBER_H_
