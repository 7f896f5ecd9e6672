/// @file
/// Implementation of the token bucket.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/rate_limiter.h"

#include <algorithm>

namespace limeledge {

namespace {

/// Tolerance for floating-point error: adding 0.1 ten times gives slightly less
/// than 1.
constexpr double kTolerance = 1e-9;

}  // namespace

RateLimiter::RateLimiter(double per_second, double burst)
    : per_second_(per_second), burst_(burst), available_(burst) {}

void RateLimiter::SetRate(double per_second, double burst) {
  per_second_ = per_second;
  burst_ = burst;
  available_ = std::min(available_, burst);
}

bool RateLimiter::Take(TimePoint now, double units) {
  if (!ReadyAt(now)) return false;
  available_ -= units;
  return true;
}

bool RateLimiter::ReadyAt(TimePoint now) {
  Refill(now);
  return available_ >= 1.0 - kTolerance;
}

void RateLimiter::Refill(TimePoint now) {
  if (started_ && now > last_) {
    const double seconds = static_cast<double>((now - last_).ms()) / 1000.0;
    available_ = std::min(burst_, available_ + seconds * per_second_);
  }
  if (!started_ || now > last_) last_ = now;
  started_ = true;
}

}  // namespace limeledge
