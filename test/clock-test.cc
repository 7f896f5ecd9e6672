/// @file
/// Tests of durations, time points and clocks.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/clock.h"

#include "CppUTest/TestHarness.h"

namespace limeledge {

TEST_GROUP(Clock){};

TEST(Clock, ArithmeticKeepsMilliseconds) {
  LONGS_EQUAL(1500, (Duration(1000) + Duration(500)).ms());
  LONGS_EQUAL(250, (Duration(1000) / 4).ms());
  LONGS_EQUAL(70, ((TimePoint(100) + Duration(20)) - TimePoint(50)).ms());
  CHECK_TRUE(TimePoint(1) < TimePoint(2));
}

TEST(Clock, FakeClockMovesOnlyWhenAdvanced) {
  FakeClock clock;
  const TimePoint before = clock.Now();
  clock.Advance(Duration(7));
  LONGS_EQUAL(7, (clock.Now() - before).ms());
}

TEST(Clock, SteadyClockNeverGoesBack) {
  const SteadyClock clock;
  const TimePoint first = clock.Now();
  CHECK_TRUE(clock.Now() >= first);
}

}  // namespace limeledge
