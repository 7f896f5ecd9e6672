/// @file
/// How much a planning pass may look at, by what earlier passes took.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PASS_BUDGET_H_
#define LIMELEDGE_SRC_DISPATCH_PASS_BUDGET_H_

#include <cstdint>
#include <limits>

#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// Bounds the time of a planning pass. Everything else, such as answers of
/// runners and new jobs, waits for a pass; how long it takes depends on the
/// machine and on what waits, so that passes are bounded by what the previous
/// ones took.
///
/// Thread safety: none; use it from one thread.
class PassBudget {
 public:
  static constexpr std::int64_t kUnlimited =
      std::numeric_limits<std::int64_t>::max();

  /// Records that a batch of events with a pass that looked `looks` times took
  /// `taken`.
  void Record(std::int64_t looks, Duration taken);
  /// After so many looks, a pass tries only steps within a guarantee.
  std::int64_t max_looks() const { return max_looks_; }

 private:
  std::int64_t max_looks_ = kUnlimited;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PASS_BUDGET_H_
