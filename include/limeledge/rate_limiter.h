/// @file
/// A token bucket that shares a budget a second between members.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_RATE_LIMITER_H_
#define LIMELEDGE_RATE_LIMITER_H_

#include "limeledge/clock.h"

namespace limeledge {

/// Allows `per_second` units a second on average and `burst` at once.
///
///     RateLimiter limiter(100, 20);
///     if (limiter.Take(now, rows)) Send(rows);
///
/// Thread safety: none; use it from one thread.
class RateLimiter {
 public:
  /// Precondition: `per_second` and `burst` are positive.
  RateLimiter(double per_second, double burst);

  /// Changes the rate; what has been saved up stays, up to the new burst.
  void SetRate(double per_second, double burst);

  /// Takes `units` and returns true when at least one unit is there; a large
  /// request may leave a debt that later calls pay off.
  bool Take(TimePoint now, double units);

  /// True when `Take` would succeed now.
  bool ReadyAt(TimePoint now);

  double available() const { return available_; }

 private:
  void Refill(TimePoint now);

  double per_second_;
  double burst_;
  double available_;
  TimePoint last_;
  bool started_ = false;
};

}  // namespace limeledge

#endif  // LIMELEDGE_RATE_LIMITER_H_
