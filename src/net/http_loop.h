/// @file
/// Many HTTP calls at once on one thread.
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

struct HttpLoopOptions {
  /// How long a kept connection may rest; less than the servers' own limit, or
  /// a call may meet a closed connection.
  Duration idle{10000};
  /// Connections that are open at once; those that rest make way for new ones.
  /// A call that finds no place is not sent.
  std::size_t max_connections = 3000;
};

/// Carries out HTTP calls on one thread, however many are under way: a thread
/// for each call would meet the system's bound at about a thousand runners,
/// each of which has a call under way nearly always. Connections are kept for
/// the next call. A call is never repeated by itself.
///
/// Thread safety: `Call` and `connections` from any thread.
class HttpLoop {
 public:
  /// Takes the reply; runs on the loop's thread and must not block.
  using Done = std::function<void(HttpReply)>;

  /// Throws `std::system_error` if no thread is to be had.
  explicit HttpLoop(HttpLoopOptions options = {});
  /// Calls under way are given up; their `Done` is not called.
  ~HttpLoop();
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  /// Carries a call out and hands its reply to `done`. A call that could not
  /// leave within `send_within` of now, since the loop was behind, the process
  /// stood still or connecting took long, is not sent any more.
  void Call(HttpCall call, Done done,
            std::optional<Duration> send_within = std::nullopt);

  /// Connections that are open now, kept ones included.
  std::size_t connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_HTTP_LOOP_H_
