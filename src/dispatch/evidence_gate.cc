/// @file
/// Holds and releases API calls.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/evidence_gate.h"

#include <utility>

namespace limeledge::dispatch {

void EvidenceGate::Hold(TimePoint now, CallReceived call) {
  held_.push_back({std::move(call), now});
}

std::vector<EvidenceGate::ReleasedCall> EvidenceGate::Release(
    TimePoint now, TimePoint answered_at, bool known_lost) {
  std::vector<ReleasedCall> released;
  std::vector<HeldCall> kept;
  for (HeldCall& held : held_) {
    const bool answered = answered_at >= held.since;
    const bool expired = now - held.since >= options_.max_hold;
    if (answered || known_lost || expired) {
      // The time for which the call was held is lost to the caller.
      held.call.deadline = held.call.deadline - (now - held.since);
      released.push_back({std::move(held.call), answered && !known_lost});
    } else {
      kept.push_back(std::move(held));
    }
  }
  held_ = std::move(kept);
  return released;
}

TimePoint EvidenceGate::next_at() const {
  return held_.empty() ? kNever : held_.front().since + options_.max_hold;
}

}  // namespace limeledge::dispatch
