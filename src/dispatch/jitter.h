/// @file
/// Pseudo-random fractions that spread the nodes' calls over time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_JITTER_H_
#define LIMELEDGE_SRC_DISPATCH_JITTER_H_

#include <cstdint>
#include <random>
#include <string>

#include "limeledge/clock.h"
#include "limeledge/rendezvous.h"

namespace limeledge::dispatch {

/// A sequence of random numbers that depends only on its seed, so that a
/// reducer stays deterministic, and that differs from node to node.
///
/// Thread safety: none; use it from one thread.
class Jitter {
 public:
  /// Instances with different seeds produce different sequences.
  explicit Jitter(const std::string& seed)
      : engine_(RendezvousWeight("jitter", InstanceId(seed))) {}

  std::uint64_t Next() { return engine_(); }
  /// Returns a duration in [0, `limit`). Precondition: `limit` is positive.
  Duration Below(Duration limit) {
    const auto range = static_cast<std::uint64_t>(limit.ms());
    return Duration(static_cast<std::int64_t>(engine_() % range));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_JITTER_H_
