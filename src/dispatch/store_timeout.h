/// @file
/// Adaptive timeouts for calls to the store.
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
  /// A call that takes this many times the usual latency counts as lost: its
  /// connection or its answer was.
  int latency_multiple = 10;
  /// Lower limit. A store that has just become sixty times as slow answers a
  /// read within this time, which adapts the usual latency; repeated writes
  /// would slow it down further.
  Duration min{300};
  /// Lower limit for a read that only finds out whether the store answers.
  Duration min_probe{100};
  /// Upper limit. A store sixty times as slow as usual still answers within it.
  Duration max{1200};
  /// Weight of a fast answer after slow ones, in percent; a slow answer counts
  /// fully at once.
  int fast_answer_weight_percent = 20;
};

/// The store counts as unavailable after this many consecutive calls without an
/// answer; a single one may have been lost with its connection.
inline constexpr int kMaxUnanswered = 2;

/// Observes this node's calls to the store and computes the timeout for the
/// next one.
///
/// Thread safety: none; use it from one thread.
class StoreTimeout {
 public:
  explicit StoreTimeout(StoreTimeoutOptions options = {}) : options_(options) {}

  /// Records that a call was sent.
  void Sent(Ticket ticket, TimePoint now) { sent_[ticket] = now; }
  /// Records the end of a call; `answered` if the store reported its outcome.
  void Ended(Ticket ticket, TimePoint now, bool answered);

  /// When the store last reported the outcome of a call.
  TimePoint answered_at() const { return answered_at_; }
  /// When the first unanswered call of the present series was sent; empty if
  /// the latest call was answered.
  std::optional<TimePoint> failing_since() const { return failing_since_; }

  /// Timeout for a call that was sent `attempts` times before without an
  /// answer. It doubles with each of them, so that a store that has just become
  /// slow still answers in time.
  Duration For(int attempts = 0) const;
  /// Timeout for a read on whose answer a caller waits, and which is repeated
  /// with `For` if it gets none.
  Duration ForProbe() const;

 private:
  StoreTimeoutOptions options_;
  std::map<Ticket, TimePoint> sent_;
  Duration usual_latency_;
  TimePoint answered_at_;
  std::optional<TimePoint> failing_since_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_STORE_TIMEOUT_H_
