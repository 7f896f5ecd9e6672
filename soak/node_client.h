/// @file
/// Calls to nodes, and the check that nodes answer every call they receive.
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

/// HTTP statuses that the soak test distinguishes.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusUnknownKey = 401;
inline constexpr int kStatusNoRoute = 404;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusTooMany = 429;
inline constexpr int kStatusNotTaken = 503;

/// Response timeout of callers.
inline constexpr Duration kCallTimeout{5000};

/// Result of one call to a node.
struct NodeReply {
  HttpReply http;
  TimePoint sent_at;

  /// Returns true if the node answered with this status.
  bool Is(int status) const {
    return http.outcome == HttpOutcome::kAnswered && http.status == status;
  }
};

/// Calls nodes as callers do, and reports calls that a node received but did
/// not answer although no fault excuses it.
///
/// Thread safety: all methods from any thread.
class NodeClient {
 public:
  /// All arguments must outlive this object.
  NodeClient(SoakPlatform* platform, const FaultLog* faults)
      : platform_(platform), faults_(faults) {}

  /// Calls the node through its proxy, which may inject faults; returns within
  /// `kCallTimeout`.
  NodeReply Call(NodeProcess* node, const std::string& method,
                 const std::string& path, const std::string& body,
                 const std::string& key);
  /// Calls the node and leaves without a response after `patience`.
  NodeReply CallAndLeave(NodeProcess* node, const std::string& method,
                         const std::string& path, const std::string& body,
                         const std::string& key, Duration patience);
  /// Reports a call without a response, unless a fault or the end of the node
  /// excuses it. `what` describes the call.
  void CheckCut(NodeProcess* node, TimePoint sent_at, const std::string& what);

 private:
  NodeReply Send(NodeProcess* node, const std::string& method,
                 const std::string& path, const std::string& body,
                 const std::string& key, Duration timeout);

  SoakPlatform* platform_;
  const FaultLog* faults_;
  HttpClient http_;
  SteadyClock clock_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_NODE_CLIENT_H_
