/// @file
/// Holds API calls while it is uncertain whether the store can be reached.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_EVIDENCE_GATE_H_
#define LIMELEDGE_SRC_DISPATCH_EVIDENCE_GATE_H_

#include <utility>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/held_calls.h"

namespace limeledge::dispatch {

struct EvidenceGateOptions {
  /// An answer of the store older than this does not show that the store can
  /// be reached now.
  Duration max_age{500};
  /// The longest time for which a call is held. A store that has just become
  /// slow answers a probe within it.
  Duration max_hold{600};
};

/// Holds the calls that reach a node whose last answer from the store is old,
/// until a probe shows whether the store answers.
///
/// Pattern: a node that gets a call every half minute would have to ask the
/// store several times a second to know of an outage in advance. Instead it
/// asks when a call arrives. Without the probe the call itself would be sent,
/// and if the store did not answer, its outcome would be unknown and the caller
/// would learn that only after the store's timeout.
///
/// Thread safety: none; use it from one thread.
class EvidenceGate {
 public:
  explicit EvidenceGate(EvidenceGateOptions options = {})
      : options_(options), held_(options.max_hold) {}

  /// True if an answer at `answered_at` shows that the store can be reached.
  bool IsFresh(TimePoint now, TimePoint answered_at) const {
    return now - answered_at <= options_.max_age;
  }

  /// A call that is no longer held.
  struct ReleasedCall {
    CallReceived call;
    /// The store has answered since the call arrived.
    bool store_answers = false;
  };

  /// Holds a call. The caller of this function sends a probe.
  void Hold(TimePoint now, CallReceived call) {
    held_.Hold(now, std::move(call));
  }
  /// Returns the calls that are no longer held: the store has answered since,
  /// or is `known_lost`, or they were held for the maximum time.
  std::vector<ReleasedCall> Release(TimePoint now, TimePoint answered_at,
                                    bool known_lost);
  /// When the longest-held call is released at the latest.
  TimePoint next_at() const { return held_.next_at(); }
  bool empty() const { return held_.empty(); }

 private:
  EvidenceGateOptions options_;
  HeldCalls held_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_EVIDENCE_GATE_H_
