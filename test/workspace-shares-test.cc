/// @file
/// Tests of the shares of workspaces.
//
// The load: one workspace sends half of all jobs while capacity is short, and
// the order by deadlines gives it half of the capacity.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

#include "dispatch/workspace_shares.h"

namespace limeledge::dispatch {

namespace {

constexpr Resources kTotal{100000, 100000, 100};
constexpr double kTolerance = 0.001;
const WorkspaceId kLarge("large");
const WorkspaceId kSmall("small");
const WorkspaceId kIdle("idle");

Resources Accelerators(std::int64_t accelerators) {
  return {0, 0, accelerators};
}

}  // namespace

TEST_GROUP(WorkspaceShares) {
  WorkspaceShares shares{Duration(8000)};

  void Record(std::int64_t ms, std::int64_t large, std::int64_t small,
              std::int64_t guaranteed_to_large = 0) {
    std::map<WorkspaceId, WorkspaceUse> uses;
    uses[kLarge] = {Accelerators(large), guaranteed_to_large};
    uses[kSmall] = {Accelerators(small), 0};
    uses[kIdle] = {};
    shares.Record(TimePoint(ms), uses, kTotal);
  }

  static ShareRequest Request(const WorkspaceId& workspace,
                              std::int64_t accelerators, int group = 0) {
    return {workspace, Accelerators(accelerators), group, true};
  }

  void CheckOrder(const std::vector<int>& expected,
                  const std::vector<ShareRequest>& steps) {
    const std::vector<int> positions = shares.Order(steps);
    LONGS_EQUAL(expected.size(), positions.size());
    for (std::size_t i = 0; i < expected.size(); ++i) {
      LONGS_EQUAL(expected[i], positions[i]);
    }
  }
};

TEST(WorkspaceShares, UseIsTheLargestFractionOfAnyResource) {
  DOUBLES_EQUAL(0.5, DominantFraction({50000, 1000, 10}, kTotal), kTolerance);
  DOUBLES_EQUAL(0.1, DominantFraction({0, 0, 10}, {0, 0, 100}), kTolerance);
}

TEST(WorkspaceShares, UseWithinTheGuaranteeDoesNotCount) {
  Record(0, 30, 30, 30);
  DOUBLES_EQUAL(0, shares.WeightedUseOf(kLarge), kTolerance);
  DOUBLES_EQUAL(0.3, shares.WeightedUseOf(kSmall), kTolerance);
}

TEST(WorkspaceShares, UseBeyondTheGuaranteeIsWeightedByIt) {
  Record(0, 70, 0, 4);
  DOUBLES_EQUAL(0.66 / 5, shares.WeightedUseOf(kLarge), kTolerance);
}

// Without the average, a workspace of many short bursts would always be first.
TEST(WorkspaceShares, UseThatEndedDecaysWithinTheWindow) {
  Record(0, 80, 0);
  Record(1, 0, 0);
  DOUBLES_EQUAL(0.8, shares.WeightedUseOf(kLarge), kTolerance);
  Record(8001, 0, 0);
  DOUBLES_EQUAL(0.8 * 0.368, shares.WeightedUseOf(kLarge), kTolerance);
  Record(80000, 0, 0);
  DOUBLES_EQUAL(0, shares.WeightedUseOf(kLarge), kTolerance);
}

// The average lags: a workspace that was idle would take all free capacity.
TEST(WorkspaceShares, StartedRunsCountAtOnce) {
  Record(0, 0, 0);
  shares.AddStarted(kSmall, Accelerators(20));
  DOUBLES_EQUAL(0.2, shares.WeightedUseOf(kSmall), kTolerance);
  shares.AddStarted(WorkspaceId("unknown"), Accelerators(20));
}

TEST(WorkspaceShares, WorkspaceWithTheSmallestUseGoesFirst) {
  Record(0, 50, 5);
  CheckOrder({2, 1, 0},
             {Request(kLarge, 8), Request(kSmall, 8), Request(kIdle, 1)});
}

// A backlog of one workspace would otherwise go before all others in one pass.
TEST(WorkspaceShares, WorkspacesWithEqualUseTakeTurns) {
  Record(0, 0, 0);
  CheckOrder({0, 2, 4, 1, 3},
             {Request(kLarge, 8), Request(kLarge, 8), Request(kLarge, 8),
              Request(kSmall, 8), Request(kSmall, 8)});
}

TEST(WorkspaceShares, GroupsAreNotMixedAndStepsBeforeCount) {
  Record(0, 0, 0);
  CheckOrder({0, 1, 0}, {Request(kLarge, 8, 0), Request(kLarge, 8, 1),
                         Request(kSmall, 8, 1)});
}

TEST(WorkspaceShares, StepThatKeepsItsPlaceCountsAsUse) {
  Record(0, 0, 0);
  ShareRequest fixed = Request(kLarge, 8, 0);
  fixed.reorders = false;
  CheckOrder({0, 1, 0}, {fixed, Request(kLarge, 8, 1), Request(kSmall, 8, 1)});
}

}  // namespace limeledge::dispatch
