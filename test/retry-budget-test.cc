/// @file
/// Tests of the retry budget.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "limeledge/retry_budget.h"

namespace limeledge {

TEST_GROUP(RetryBudget) { RetryBudget budget{0.25, 2}; };

TEST(RetryBudget, ReserveIsSpentThenDenied) {
  CHECK_TRUE(budget.TakeRetry());
  CHECK_TRUE(budget.TakeRetry());
  CHECK_FALSE(budget.TakeRetry());
}

TEST(RetryBudget, FourFirstAttemptsEarnOneRetry) {
  budget.TakeRetry();
  budget.TakeRetry();
  for (int i = 0; i < 3; ++i) budget.OnFirstAttempt();
  CHECK_FALSE(budget.TakeRetry());
  budget.OnFirstAttempt();
  CHECK_TRUE(budget.TakeRetry());
}

TEST(RetryBudget, ReserveIsAnUpperLimit) {
  for (int i = 0; i < 1000; ++i) budget.OnFirstAttempt();
  DOUBLES_EQUAL(2.0, budget.available(), 0.001);
}

}  // namespace limeledge
