/// @file
/// JSON-RPC between daemons; a plain interface over libjson-rpc-cpp.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_RPC_H_
#define LIMELEDGE_SRC_DAEMON_RPC_H_

#include <functional>
#include <memory>
#include <string>

// libjson-rpc-cpp's headers are C++14 at most, so rpc.cc is compiled as C++14
// and this header uses nothing newer.

namespace limeledge {

/// Path of the peer interface.
constexpr char kRpcPath[] = "/rpc";
constexpr char kHeartbeatMethod[] = "heartbeat";
constexpr char kSettingsMethod[] = "settings";

/// Carries one request text to the peer and brings the response text back;
/// false when there is none.
using RpcTransport =
    std::function<bool(const std::string& request, std::string* response)>;

/// Calls `method` with `message`, a JSON object; `result` is a JSON object.
/// Returns false when the call failed in any way. Safe from any thread.
bool CallRpc(const RpcTransport& transport, const std::string& method,
             const std::string& message, std::string* result);

/// Handles one method: JSON object in, JSON object out; false to refuse.
using RpcHandler =
    std::function<bool(const std::string& message, std::string* result)>;

/// Serves the peer methods.
///
/// Thread safety: `Handle` from any thread.
class RpcServer {
 public:
  RpcServer(RpcHandler heartbeat, RpcHandler settings);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /// Returns the response to one request text.
  std::string Handle(const std::string& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_RPC_H_
