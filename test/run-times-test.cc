/// @file
/// Tests of the run time estimates.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/run_time_estimator.h"

namespace limeledge::dispatch {

TEST_GROUP(RunTimes) {
  const QueueId queue{"sweep"};
  RunTimeEstimator estimator;
};

TEST(RunTimes, UnknownQueueUsesTheCallersEstimate) {
  LONGS_EQUAL(1234, estimator.ExpectedTime(queue, Duration(1234)).ms());
  CHECK_FALSE(estimator.UpperBoundFactor(queue).has_value());
}

TEST(RunTimes, WildGuessesAreCorrectedByTheQueue) {
  const int estimates[] = {500, 50000, 2000, 30000, 900, 20000, 700, 40000};
  for (const int estimate : estimates) {
    estimator.AddSample(queue, Duration(estimate), Duration(8000));
  }
  const Duration expected = estimator.ExpectedTime(queue, Duration(1000));
  CHECK_TRUE(expected > Duration(6000));
  CHECK_TRUE(expected < Duration(10000));
}

TEST(RunTimes, AccurateEstimatesOutweighTheQueue) {
  const int lengths[] = {500, 8000, 1000, 20000, 700, 15000, 900, 30000};
  for (int repeat = 0; repeat < 5; ++repeat) {
    for (const int length : lengths) {
      estimator.AddSample(queue, Duration(length), Duration(length));
    }
  }
  const Duration expected = estimator.ExpectedTime(queue, Duration(1000));
  CHECK_TRUE(expected > Duration(800));
  CHECK_TRUE(expected < Duration(1300));
}

TEST(RunTimes, FewSimilarRunsDoNotGiveCertainty) {
  for (int i = 0; i < 4; ++i) {
    estimator.AddSample(queue, Duration(1000), Duration(1000));
  }
  CHECK_TRUE(*estimator.UpperBoundFactor(queue) > 1.3);
}

}  // namespace limeledge::dispatch
