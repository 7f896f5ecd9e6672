/// @file
/// An HTTP call on a connection that was opened some time before.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_HELD_CALL_H_
#define LIMELEDGE_SOAK_HELD_CALL_H_

#include <string>

#include "limeledge/clock.h"

namespace limeledge::soak {

/// Opens a connection immediately and uses it later, as clients with keep-alive
/// connections do while a server shuts down.
///
/// Thread safety: none; use it from one thread.
class HeldCall {
 public:
  /// `address` is "HOST:PORT" on loopback.
  explicit HeldCall(const std::string& address);
  ~HeldCall();
  HeldCall(const HeldCall&) = delete;
  HeldCall& operator=(const HeldCall&) = delete;

  /// Sends a complete GET request. Returns false if the connection was already
  /// closed.
  bool Send(const std::string& host, const std::string& key,
            const std::string& path);
  /// Returns true if a complete response arrives within `timeout`.
  bool IsAnswered(Duration timeout);

 private:
  /// Returns true if the peer has closed the connection before a request was
  /// sent.
  bool IsClosed() const;

  int socket_ = -1;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_HELD_CALL_H_
