/// @file
/// Tests of the budget of planning passes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/pass_budget.h"

namespace limeledge::dispatch {

TEST_GROUP(PassBudget) {
  PassBudget budget;

  void RecordPasses(int count, std::int64_t looks, Duration taken) {
    for (int i = 0; i < count; ++i) budget.Record(looks, taken);
  }
};

TEST(PassBudget, IsUnlimitedWhilePassesAreShort) {
  RecordPasses(5, 1000000, Duration(80));
  CHECK_TRUE(budget.max_looks() == PassBudget::kUnlimited);
}

// Guards against passes that take seconds on a slow machine.
TEST(PassBudget, IsCutAfterALongPass) {
  budget.Record(1000000, Duration(1000));
  LONGS_EQUAL(100000, budget.max_looks());
}

TEST(PassBudget, GrowsAfterAShortPass) {
  budget.Record(1000000, Duration(1000));
  budget.Record(100000, Duration(60));
  LONGS_EQUAL(125000, budget.max_looks());
}

TEST(PassBudget, IsLiftedOnceItIsAmple) {
  budget.Record(1000000, Duration(1000));
  RecordPasses(20, 5000, Duration(10));
  CHECK_TRUE(budget.max_looks() == PassBudget::kUnlimited);
}

TEST(PassBudget, LeavesTimeForSomeStepsWhateverAPassTakes) {
  RecordPasses(20, 100, Duration(5000));
  CHECK_TRUE(budget.max_looks() >= 2000);
}

}  // namespace limeledge::dispatch
