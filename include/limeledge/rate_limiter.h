/// @file
/// A token bucket rate limiter.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_RATE_LIMITER_H_
#define LIMELEDGE_RATE_LIMITER_H_

#include "limeledge/clock.h"

namespace limeledge {

/// A token bucket that allows `per_second` units per second on average and up
/// to `burst` units at a time.
///
///     RateLimiter limiter(100, 20);
///     if (limiter.Take(now, rows)) Send(rows);
///
/// Thread safety: none; use it from one thread.
class RateLimiter {
 public:
  /// Creates a full bucket. Precondition: `per_second` and `burst` are
  /// positive.
  RateLimiter(double per_second, double burst);

  /// Changes the rate and the burst size. Available units are kept, up to the
  /// new burst size.
  void SetRate(double per_second, double burst);

  /// Takes `units` and returns true if at least one unit is available,
  /// otherwise takes nothing and returns false. A request for more than the
  /// available units leaves a negative balance, which the next units refill
  /// first.
  bool Take(TimePoint now, double units);

  /// Returns true if `Take` would succeed now.
  bool ReadyAt(TimePoint now);

  /// Returns the balance at the last call of `Take` or `ReadyAt`; it may be
  /// negative.
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
