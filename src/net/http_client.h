/// @file
/// A blocking HTTP client with a pool of keep-alive connections.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_HTTP_CLIENT_H_
#define LIMELEDGE_SRC_NET_HTTP_CLIENT_H_

#include <httplib.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "limeledge/clock.h"
#include "net/http_call.h"

namespace limeledge {

/// A blocking HTTP client that reuses keep-alive connections. It never retries
/// a call.
///
/// Thread safety: `Call` may be called from any thread.
class HttpClient {
 public:
  /// Connections that are idle for `idle_timeout` are not reused. It must be
  /// shorter than the servers' keep-alive timeout: otherwise a call may use a
  /// connection that the server is about to close.
  explicit HttpClient(Duration idle_timeout = Duration(1000));

  /// Sends a request and waits for its response or a timeout.
  HttpReply Call(const HttpCall& call);

 private:
  struct IdleConnection {
    std::unique_ptr<httplib::Client> client;
    TimePoint idle_since;
  };

  /// Returns an idle connection to an address, or a client that connects with
  /// its first request. Null if the address is malformed.
  std::unique_ptr<httplib::Client> Acquire(const std::string& address);
  /// Returns a connection to the pool.
  void Release(const std::string& address,
               std::unique_ptr<httplib::Client> client);
  /// Closes the idle connections to an address. Called after a failed call,
  /// because the same fault may have broken all of them without closing them.
  void CloseIdle(const std::string& address);

  Duration idle_timeout_;
  SteadyClock clock_;
  std::mutex mutex_;
  std::map<std::string, std::vector<IdleConnection>> idle_connections_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_HTTP_CLIENT_H_
