/// @file
/// API calls that wait until something is known that decides them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_HELD_CALLS_H_
#define LIMELEDGE_SRC_DISPATCH_HELD_CALLS_H_

#include <utility>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/event.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// Holds API calls for a limited time.
///
/// Thread safety: none; use it from one thread.
class HeldCalls {
 public:
  explicit HeldCalls(Duration max_hold) : max_hold_(max_hold) {}

  struct HeldCall {
    CallReceived call;
    TimePoint since;
  };

  void Hold(TimePoint now, CallReceived call) {
    held_.push_back({std::move(call), now});
  }
  /// Removes and returns the calls for which `is_ready(held_call)` returns true
  /// and those that were held for the maximum time. Their deadlines are reduced
  /// by the time for which they were held.
  template <typename IsReady>
  std::vector<HeldCall> Release(TimePoint now, const IsReady& is_ready) {
    std::vector<HeldCall> released;
    std::vector<HeldCall> kept;
    for (HeldCall& held : held_) {
      const bool expired = now - held.since >= max_hold_;
      if (expired || is_ready(held)) {
        held.call.deadline = held.call.deadline - (now - held.since);
        released.push_back(std::move(held));
      } else {
        kept.push_back(std::move(held));
      }
    }
    held_ = std::move(kept);
    return released;
  }
  /// When the longest-held call is released at the latest.
  TimePoint next_at() const {
    return held_.empty() ? kNever : held_.front().since + max_hold_;
  }
  bool empty() const { return held_.empty(); }

 private:
  Duration max_hold_;
  /// In the order of arrival.
  std::vector<HeldCall> held_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_HELD_CALLS_H_
