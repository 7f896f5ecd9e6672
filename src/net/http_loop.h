/// @file
/// An asynchronous HTTP client that runs on one thread.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_HTTP_LOOP_H_
#define LIMELEDGE_SRC_NET_HTTP_LOOP_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "limeledge/clock.h"
#include "net/http_call.h"

namespace limeledge {

/// Limits of an `HttpLoop`.
struct HttpLoopOptions {
  /// Connections that are idle for this long are closed. It must be shorter
  /// than the servers' keep-alive timeout: otherwise a call may use a
  /// connection that the server is about to close.
  Duration idle_timeout{10000};
  /// The maximum number of open connections. At the limit, a new connection
  /// replaces an idle one; if none is idle, the call is not sent.
  std::size_t max_connections = 3000;
};

/// An asynchronous HTTP client that runs all calls on one event loop thread and
/// reuses keep-alive connections. One thread per call would exceed the system's
/// thread limit at about a thousand runners, because nearly every runner has a
/// call in progress at any time. A call is never retried.
///
/// Thread safety: `Call` and `connections` may be called from any thread.
class HttpLoop {
 public:
  /// Receives the reply. Runs on the event loop thread and must not block.
  using Done = std::function<void(HttpReply)>;

  /// Receives the size of each finished call, under the same conditions as
  /// `Done`.
  using TrafficObserver = std::function<void(const HttpTraffic&)>;

  /// Throws `std::system_error` if the thread cannot be started.
  explicit HttpLoop(HttpLoopOptions options = {},
                    TrafficObserver observer = nullptr);
  /// Aborts the calls in progress without calling their `Done`.
  ~HttpLoop();
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  /// Sends a request and passes the reply to `done`. If sending cannot start
  /// within `send_within` from now, because the event loop is behind, the
  /// process was suspended or connecting took too long, the outcome is
  /// `kNotSent`.
  void Call(HttpCall call, Done done,
            std::optional<Duration> send_within = std::nullopt);

  /// The number of open connections, including idle ones.
  std::size_t connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_HTTP_LOOP_H_
