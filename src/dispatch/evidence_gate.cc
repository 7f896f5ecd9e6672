/// @file
/// Holds and releases API calls.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/evidence_gate.h"

#include <utility>

namespace limeledge::dispatch {

std::vector<EvidenceGate::ReleasedCall> EvidenceGate::Release(
    TimePoint now, TimePoint answered_at, bool known_lost) {
  std::vector<ReleasedCall> released;
  const auto is_decided = [&](const HeldCalls::HeldCall& held) {
    return known_lost || answered_at >= held.since;
  };
  for (HeldCalls::HeldCall& held : held_.Release(now, is_decided)) {
    const bool answers = answered_at >= held.since && !known_lost;
    released.push_back({std::move(held.call), answers});
  }
  return released;
}

}  // namespace limeledge::dispatch
