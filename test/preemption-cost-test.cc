/// @file
/// Tests of what a preemption loses, and of when a step waits instead.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include "dispatch/preemption_cost.h"

namespace limeledge::dispatch {

TEST_GROUP(PreemptionCost) {
  PreemptionWeights weights;
  PreemptionChoice choice;

  void setup() override {
    choice.stop_time = Duration(900);
    choice.guarantee_time = Duration(2700);
  }
  static RunAtRisk Member(std::int64_t accelerators, Duration unsaved) {
    return {{2000, 4096, accelerators}, unsaved};
  }
  std::int64_t Cost(const std::vector<RunAtRisk>& runs) const {
    return PreemptionCost(runs, weights);
  }
};

// Load: urgent bursts over a full fleet of gangs with checkpoints. A gang was
// stopped shortly before it saved while another had just done so.
TEST(PreemptionCost, GangThatHasJustSavedIsCheaperThanOneThatHasNot) {
  const std::vector<RunAtRisk> saved(8, Member(4, Duration(50)));
  const std::vector<RunAtRisk> unsaved(4, Member(4, Duration(1500)));
  CHECK_TRUE(Cost(saved) < Cost(unsaved));
}

// The cost was the same for each member, whatever its need and start.
TEST(PreemptionCost, MembersCountWithTheirOwnResourcesAndTimes) {
  LONGS_EQUAL(10 * 1000 + 18 * 2000,
              Cost({Member(1, Duration(999)), Member(2, Duration(1999))}));
}

TEST(PreemptionCost, WholeGangIsLostWithOneMember) {
  const std::vector<RunAtRisk> gang(10, Member(1, Duration(1000)));
  CHECK_TRUE(Cost({Member(1, Duration(5000))}) < Cost(gang));
}

TEST(PreemptionCost, UrgentWorkIsPreemptedLast) {
  const std::vector<RunAtRisk> batch(20, Member(8, Duration(2000)));
  const std::int64_t batch_cost = Cost(batch);
  weights.factor = 1000;
  CHECK_TRUE(batch_cost < Cost({Member(1, Duration(2000))}));
}

// Load: urgent bursts over a full fleet of short tasks. Runs were stopped that
// would have ended before their stop did.
TEST(PreemptionCost, StepWaitsForRoomThatComesSoonerThanAStop) {
  choice.free_in = Duration(300);
  CHECK_TRUE(ShouldWaitForCapacity(choice));
  choice.free_in = Duration(900);
  CHECK_FALSE(ShouldWaitForCapacity(choice));
}

// An expected end that never comes would delay the step without limit.
TEST(PreemptionCost, StepWaitsNoLongerThanOneStopInTotal) {
  choice.free_in = Duration(100);
  choice.delayed = Duration(899);
  CHECK_TRUE(ShouldWaitForCapacity(choice));
  choice.delayed = Duration(900);
  CHECK_FALSE(ShouldWaitForCapacity(choice));
}

// Two more stops have to fit within the time of the guarantee.
TEST(PreemptionCost, StepDoesNotWaitIfItsGuaranteeCouldBeMissed) {
  choice.within_guarantee = true;
  choice.free_in = Duration(300);
  choice.waited = Duration(600);
  CHECK_TRUE(ShouldWaitForCapacity(choice));
  choice.waited = Duration(601);
  CHECK_FALSE(ShouldWaitForCapacity(choice));
}

}  // namespace limeledge::dispatch
