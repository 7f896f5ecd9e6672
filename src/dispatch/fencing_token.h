/// @file
/// Tokens by which runners reject outdated calls.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_FENCING_TOKEN_H_
#define LIMELEDGE_SRC_DISPATCH_FENCING_TOKEN_H_

#include <cstdint>
#include <tuple>

#include "limeledge/base.h"

namespace limeledge::dispatch {

/// Counts the runner restarts that a scheduler has noticed.
using FenceGeneration = Number<struct FenceGenerationTag>;

/// The token that a call to a runner carries. Once a runner has received a
/// call, it rejects every call with a lower token and does nothing for it.
///
/// A new scheduler has a higher epoch, so that calls of its predecessors are
/// rejected. A scheduler raises the generation when a runner has restarted:
/// the next incarnation has seen no token at all, and would carry out late
/// calls that were sent to the previous one.
///
/// Thread safety: a plain value; distinct objects may be used concurrently.
struct FencingToken {
  /// Generations beyond the maximum are not distinguished.
  static constexpr FenceGeneration kMaxGeneration{999'999};

  Epoch epoch;
  FenceGeneration generation;

  /// The token as one integer, in the same order as the tokens. Precondition:
  /// the generation is at most `kMaxGeneration`.
  std::int64_t value() const {
    return epoch.value() * kMaxGeneration.Next().value() + generation.value();
  }

  friend bool operator==(const FencingToken& a, const FencingToken& b) {
    return a.epoch == b.epoch && a.generation == b.generation;
  }
  friend bool operator!=(const FencingToken& a, const FencingToken& b) {
    return !(a == b);
  }
  friend bool operator<(const FencingToken& a, const FencingToken& b) {
    return std::tie(a.epoch, a.generation) < std::tie(b.epoch, b.generation);
  }
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_FENCING_TOKEN_H_
