/// @file
/// Calls at nodes, and the check that none of them is cut off.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_NODE_CLIENT_H_
#define LIMELEDGE_SOAK_NODE_CLIENT_H_

#include <string>

#include "net/http_client.h"
#include "soak/fault_log.h"
#include "soak/node_process.h"
#include "soak/soak_platform.h"

namespace limeledge::soak {

/// Statuses of the callers' protocol that the soak tells apart.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusUnknownKey = 401;
inline constexpr int kStatusNoRoute = 404;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusTooMany = 429;
inline constexpr int kStatusNotTaken = 503;

/// How long callers wait for an answer.
inline constexpr Duration kCallTimeout{5000};

/// Outcome of a call at one node.
struct NodeReply {
  HttpReply http;
  TimePoint sent_at;

  /// True if the node answered with this status.
  bool Is(int status) const {
    return http.outcome == HttpOutcome::kAnswered && http.status == status;
  }
};

/// Calls nodes as callers do, and reports calls that a node had and did not
/// answer though no fault excuses it.
///
/// Thread safety: all methods from any thread.
class NodeClient {
 public:
  /// All that is given outlives this object.
  NodeClient(SoakPlatform* platform, const FaultLog* faults)
      : platform_(platform), faults_(faults) {}

  /// Calls the node through the link that faults may hit; returns after
  /// `kCallTimeout` at the latest.
  NodeReply Call(NodeProcess* node, const std::string& method,
                 const std::string& path, const std::string& body,
                 const std::string& key);
  /// Reports a call that got no answer, unless a fault or the node's end
  /// excuses it. `what` names the call.
  void CheckCut(NodeProcess* node, TimePoint sent_at, const std::string& what);

 private:
  SoakPlatform* platform_;
  const FaultLog* faults_;
  HttpClient http_;
  SteadyClock clock_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_NODE_CLIENT_H_
