/// @file
/// Tests of the run durations that were observed for a step.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/observed_durations.h"

namespace limeledge::dispatch {

TEST_GROUP(ObservedDurations) {
  ObservedDurations durations;
  const RunnerId a{"a"};
  const RunnerId b{"b"};
  const RunnerId c{"c"};

  void Record(const RunnerId& runner, std::int64_t ms,
              std::int64_t start_time = 1) {
    durations.Record({runner, StartTime(start_time)}, Duration(ms));
  }
  void CheckMeanElsewhere(std::int64_t expected_ms, const RunnerId& runner) {
    LONGS_EQUAL(expected_ms, durations.MeanElsewhere(runner).ms());
  }
};

TEST(ObservedDurations, WithoutOtherRunnersThereIsNoMean) {
  CheckMeanElsewhere(0, a);
  Record(a, 100);
  Record(a, 200, 2);
  CheckMeanElsewhere(0, a);
}

TEST(ObservedDurations, MeanLeavesAllIncarnationsOfTheRunnerOut) {
  Record(a, 100);
  Record(b, 300);
  Record(b, 700, 2);
  Record(c, 500);
  CheckMeanElsewhere(500, a);
  CheckMeanElsewhere(300, b);
  CheckMeanElsewhere(400, RunnerId("d"));
}

TEST(ObservedDurations, ShortestOfAnIncarnationCounts) {
  Record(a, 300);
  Record(a, 100);
  Record(a, 200);
  CheckMeanElsewhere(100, b);
}

}  // namespace limeledge::dispatch
