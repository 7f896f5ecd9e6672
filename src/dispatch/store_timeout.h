/// @file
/// How long calls to the store are waited for, learnt from its answers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_STORE_TIMEOUT_H_
#define LIMELEDGE_SRC_DISPATCH_STORE_TIMEOUT_H_

#include <map>
#include <optional>

#include "dispatch/event.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

struct StoreTimeoutOptions {
  /// A call without an answer after this many times what answers usually take
  /// is taken for lost: its connection went silent, or its answer did.
  int times_usual = 10;
  /// Never less. A store that has just turned sixty times as slow answers a
  /// reading within this, which teaches its pace; writes that are sent again
  /// would make it slower still.
  Duration shortest{300};
  /// Never more. A store sixty times as slow as usual still answers.
  Duration longest{1200};
  /// Weight of a quick answer after slow ones, in percent; slow answers count
  /// at once.
  int fall_percent = 20;
};

/// The store counts as away after this many calls in a row without an answer:
/// a single one may have been lost with its connection.
inline constexpr int kMaxUnanswered = 2;

/// Watches the node's calls to the store and tells how long to wait for the
/// next one.
///
/// Thread safety: none; use it from one thread.
class StoreTimeout {
 public:
  explicit StoreTimeout(StoreTimeoutOptions options = {}) : options_(options) {}

  /// Notes that a call was sent.
  void Sent(Ticket ticket, TimePoint now) { sent_[ticket] = now; }
  /// Notes the end of a call; `answered` if the store told its outcome.
  void Ended(Ticket ticket, TimePoint now, bool answered);

  /// When the store last told the outcome of a call.
  TimePoint answered_at() const { return answered_at_; }
  /// When the first call was sent that got no answer since then; nothing while
  /// the newest one was answered.
  std::optional<TimePoint> failing_since() const { return failing_since_; }

  /// Bound on a call that was sent `tries` times before without an answer:
  /// doubles with each, so that a store that has just turned slow is met.
  Duration For(int tries = 0) const;

 private:
  StoreTimeoutOptions options_;
  std::map<Ticket, TimePoint> sent_;
  Duration usual_;
  TimePoint answered_at_;
  std::optional<TimePoint> failing_since_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_STORE_TIMEOUT_H_
