/// @file
/// Tests of learning how long runs take.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/run_time_estimator.h"

namespace limeledge::dispatch {

TEST_GROUP(RunTimeEstimator) {
  const QueueId queue{"sweep"};
  RunTimeEstimator times;
};

TEST(RunTimeEstimator, UnknownQueueIsTakenAtItsGuess) {
  LONGS_EQUAL(1234, times.ExpectedTime(queue, Duration(1234)).ms());
  CHECK_FALSE(times.UpperBoundFactor(queue).has_value());
}

TEST(RunTimeEstimator, WildGuessesAreCorrectedByTheQueue) {
  const int guesses[] = {500, 50000, 2000, 30000, 900, 20000, 700, 40000};
  for (const int guess : guesses) {
    times.AddSample(queue, Duration(guess), Duration(8000));
  }
  const Duration expected = times.ExpectedTime(queue, Duration(1000));
  CHECK_TRUE(expected > Duration(6000));
  CHECK_TRUE(expected < Duration(10000));
}

TEST(RunTimeEstimator, GoodGuessesGoBeforeTheQueue) {
  const int lengths[] = {500, 8000, 1000, 20000, 700, 15000, 900, 30000};
  for (int repeat = 0; repeat < 5; ++repeat) {
    for (const int length : lengths) {
      times.AddSample(queue, Duration(length), Duration(length));
    }
  }
  const Duration expected = times.ExpectedTime(queue, Duration(1000));
  CHECK_TRUE(expected > Duration(800));
  CHECK_TRUE(expected < Duration(1300));
}

TEST(RunTimeEstimator, FewAlikeRunsAreNotTakenForCertainty) {
  for (int i = 0; i < 4; ++i) {
    times.AddSample(queue, Duration(1000), Duration(1000));
  }
  CHECK_TRUE(*times.UpperBoundFactor(queue) > 1.3);
}

}  // namespace limeledge::dispatch
