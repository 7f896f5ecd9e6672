/// @file
/// Tests of the token bucket.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "limeledge/rate_limiter.h"

namespace limeledge {

TEST_GROUP(RateLimiter) { RateLimiter limiter{100, 20}; };

TEST(RateLimiter, BurstIsFollowedByTheRate) {
  CHECK_TRUE(limiter.Take(TimePoint(0), 20));
  CHECK_FALSE(limiter.Take(TimePoint(0), 1));
  CHECK_FALSE(limiter.Take(TimePoint(9), 1));
  CHECK_TRUE(limiter.Take(TimePoint(10), 1));
}

TEST(RateLimiter, LargeRequestLeavesANegativeBalance) {
  CHECK_TRUE(limiter.Take(TimePoint(0), 120));
  CHECK_FALSE(limiter.ReadyAt(TimePoint(1000)));
  CHECK_TRUE(limiter.ReadyAt(TimePoint(1010)));
}

TEST(RateLimiter, SmallerBurstReducesAvailableUnits) {
  limiter.SetRate(10, 2);
  DOUBLES_EQUAL(2.0, limiter.available(), 0.001);
}

}  // namespace limeledge
