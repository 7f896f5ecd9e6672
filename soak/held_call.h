/// @file
/// A call on a connection that was opened a while before.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_HELD_CALL_H_
#define LIMELEDGE_SOAK_HELD_CALL_H_

#include <string>

#include "limeledge/clock.h"

namespace limeledge::soak {

/// Opens a connection at once and uses it later, as clients do with kept
/// connections while a process stops.
///
/// Thread safety: none; use it from one thread.
class HeldCall {
 public:
  /// `address` is "HOST:PORT" of loopback.
  explicit HeldCall(const std::string& address);
  ~HeldCall();
  HeldCall(const HeldCall&) = delete;
  HeldCall& operator=(const HeldCall&) = delete;

  /// Sends a whole GET. Returns false if the connection was closed before.
  bool Send(const std::string& host, const std::string& key,
            const std::string& path);
  /// Waits for a whole answer.
  bool IsAnswered(Duration timeout);

 private:
  /// True if the other side has closed while nothing was asked.
  bool IsClosed() const;

  int socket_ = -1;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_HELD_CALL_H_
