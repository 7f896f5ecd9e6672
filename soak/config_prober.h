/// @file
/// Checks that each node acts by the newest configuration.
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

/// Asks nodes for routes that come and go with the configuration, and reports
/// a node that goes back to an older version or does not learn a new one in
/// time.
///
/// Thread safety: none; use it from one thread.
class ConfigProber {
 public:
  /// All that is given outlives this object; `nodes` does not change.
  ConfigProber(const Experiment& experiment, SoakPlatform* platform,
               const Nodes* nodes, const FaultLog* faults, NodeClient* client);

  /// Asks each node once.
  void ProbeAll();

 private:
  /// What was seen of a node.
  struct Seen {
    /// Number of the node's life that this is about.
    std::size_t incarnation = 0;
    /// The newest version that it knew, and since when.
    std::int64_t version = 0;
    TimePoint at;
  };

  void Probe(NodeProcess* node, Seen* seen);
  /// A node without the route of the newest version must have been told of it
  /// too lately, or be hit by a fault.
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
