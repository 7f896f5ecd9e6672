/// @file
/// Tests of the planning policies.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/planning_policy.h"
#include "emulator/emulated_system.h"

namespace limeledge::dispatch {

namespace {

/// The order of the policies before shares and selection were added.
bool IsBeforeWithoutShares(const std::string& policy, const StepRank& a,
                           const StepRank& b) {
  if (a.within_guarantee != b.within_guarantee) return a.within_guarantee;
  if (a.guarantee_expiring != b.guarantee_expiring) {
    return a.guarantee_expiring;
  }
  if (a.guarantee_expiring || policy != "deadline") {
    return std::tie(a.accepted_wall_ms, a.name) <
           std::tie(b.accepted_wall_ms, b.name);
  }
  return std::tie(a.priority, a.deadline_status, a.deadline_wall_ms, a.name) <
         std::tie(b.priority, b.deadline_status, b.deadline_wall_ms, b.name);
}

std::vector<StepRank> MakeRandomRanks(int count) {
  constexpr int kSeed = 3;
  std::mt19937 random(kSeed);
  const auto pick = [&random](int values) {
    return static_cast<int>(random() % values);
  };
  std::vector<StepRank> ranks(count);
  for (int i = 0; i < count; ++i) {
    StepRank& rank = ranks[i];
    rank.name.job = JobId(std::to_string(i));
    rank.within_guarantee = pick(4) == 0;
    rank.guarantee_expiring = rank.within_guarantee && pick(2) == 0;
    rank.priority = pick(3);
    rank.deadline_status = static_cast<DeadlineStatus>(pick(4));
    rank.accepted_wall_ms = pick(50);
    rank.deadline_wall_ms = pick(50);
    rank.deferred = pick(2) == 0;
    rank.share_position = pick(20);
  }
  return ranks;
}

}  // namespace

// Compares an older step with much time left to a newer one with little.
TEST_GROUP(PlanningPolicy) {
  StepRank older;
  StepRank newer;

  void setup() override {
    older.name.job = JobId("a");
    older.accepted_wall_ms = 1000;
    older.deadline_wall_ms = 90000;
    newer.name.job = JobId("b");
    newer.accepted_wall_ms = 2000;
    newer.deadline_wall_ms = 5000;
  }

  /// Runs two jobs that compete for one free runner under the policy: a gang
  /// that does not fit, then a single task that does. Returns the number of the
  /// single task's starts.
  std::size_t StartsBehindABlockedGang(const char* policy) {
    emulator::SystemOptions options;
    options.runners = 2;
    options.planner.policy = FindPlanningPolicy(policy);
    emulator::EmulatedSystem system(options);
    system.Run(Duration(3000));
    Submit(&system, 1, 8, false);
    system.Run(Duration(300));
    Submit(&system, 2, 8, true);
    system.Run(Duration(300));
    const JobId small = Submit(&system, 1, 2, false);
    system.Run(Duration(1500));
    return system.jobs().at(small).starts.size();
  }

  JobId Submit(emulator::EmulatedSystem * system, int count,
               std::int64_t accelerators, bool gang) {
    JobSpec spec;
    spec.policy.priority = 1;
    StepSpec step;
    step.count = count;
    step.gang = gang;
    step.need = {1000, 1024, accelerators};
    step.estimate = Duration(8000);
    spec.steps.push_back(step);
    emulator::TaskTruth truth;
    truth.work = step.estimate;
    return system->Submit(std::move(spec), {truth});
  }
};

TEST(PlanningPolicy, EveryNamedPolicyIsFoundAndOthersAreNot) {
  for (const std::string& name : PlanningPolicyNames()) {
    CHECK_TRUE(FindPlanningPolicy(name) != nullptr);
    CHECK_TRUE(FindPlanningPolicy(name)->name() == name);
  }
  CHECK_TRUE(FindPlanningPolicy("") == nullptr);
  CHECK_TRUE(FindPlanningPolicy("random") == nullptr);
}

TEST(PlanningPolicy, DeadlineOrderPutsTheStepWithLessTimeFirst) {
  const PlanningPolicy& policy = DefaultPlanningPolicy();
  CHECK_TRUE(policy.Precedes(newer, older));
  CHECK_FALSE(policy.Precedes(older, newer));
  newer.priority = 1;
  CHECK_TRUE(policy.Precedes(older, newer));
}

TEST(PlanningPolicy, DeadlineOrderPutsWorthlessWorkLast) {
  newer.deadline_status = DeadlineStatus::kWorthless;
  CHECK_TRUE(DefaultPlanningPolicy().Precedes(older, newer));
}

// Under load, placing a late step first makes the next one late as well.
TEST(PlanningPolicy, DeadlineOrderPutsLateWorkBehindOnTimeWork) {
  newer.deadline_status = DeadlineStatus::kLate;
  CHECK_TRUE(DefaultPlanningPolicy().Precedes(older, newer));
}

TEST(PlanningPolicy, DeadlineOrderPutsOverdueWorkFirst) {
  older.deadline_status = DeadlineStatus::kOverdue;
  CHECK_TRUE(DefaultPlanningPolicy().Precedes(older, newer));
}

TEST(PlanningPolicy, DeadlineOrderPutsPriorityBeforeAnyOutlook) {
  older.deadline_status = DeadlineStatus::kOverdue;
  older.priority = 2;
  newer.priority = 1;
  CHECK_TRUE(DefaultPlanningPolicy().Precedes(newer, older));
}

TEST(PlanningPolicy, BaselinesPutTheOlderStepFirst) {
  for (const char* name : {"fifo", "backfill"}) {
    CHECK_TRUE(FindPlanningPolicy(name)->Precedes(older, newer));
    CHECK_FALSE(FindPlanningPolicy(name)->Precedes(newer, older));
    CHECK_FALSE(FindPlanningPolicy(name)->Precedes(older, older));
  }
}

TEST(PlanningPolicy, NothingOvertakesABlockedStepUnderFifo) {
  LONGS_EQUAL(0, StartsBehindABlockedGang("fifo"));
}

// Capacity preempted for a gang within its guarantee went to newer gangs with
// earlier deadlines three times in a row, so that the gang started after its
// guarantee had expired.
TEST(PlanningPolicy, StepWhoseGuaranteeRunsOutGoesBeforeNewerEntitledOnes) {
  const PlanningPolicy& policy = DefaultPlanningPolicy();
  older.within_guarantee = true;
  newer.within_guarantee = true;
  CHECK_TRUE(IsPlacedBefore(policy, newer, older));
  older.guarantee_expiring = true;
  CHECK_TRUE(IsPlacedBefore(policy, older, newer));
  newer.guarantee_expiring = true;
  CHECK_TRUE(IsPlacedBefore(policy, older, newer));
  CHECK_FALSE(IsPlacedBefore(policy, newer, older));
}

// Deployments that do not name the policy must be served as before.
TEST(PlanningPolicy, SharesAndSelectionChangeNoOtherOrder) {
  for (const char* const name : {"deadline", "fifo", "backfill"}) {
    const PlanningPolicy& policy = *FindPlanningPolicy(name);
    CHECK_FALSE(policy.SharesCapacity());
    std::vector<StepRank> sorted = MakeRandomRanks(400);
    std::vector<StepRank> expected = sorted;
    std::sort(sorted.begin(), sorted.end(),
              [&policy](const StepRank& a, const StepRank& b) {
                return IsPlacedBefore(policy, a, b);
              });
    std::sort(expected.begin(), expected.end(),
              [&name](const StepRank& a, const StepRank& b) {
                return IsBeforeWithoutShares(name, a, b);
              });
    for (std::size_t i = 0; i < sorted.size(); ++i) {
      CHECK_TRUE(sorted[i].name.job == expected[i].name.job);
    }
  }
}

TEST(PlanningPolicy, ShareIsListedAndIsNotTheDefault) {
  const std::vector<std::string> names = PlanningPolicyNames();
  CHECK_TRUE(std::count(names.begin(), names.end(), "share") == 1);
  CHECK_TRUE(DefaultPlanningPolicy().name() == "deadline");
}

TEST(PlanningPolicy, ShareOrderPutsTheEarlierPositionBeforeTheDeadline) {
  const PlanningPolicy& policy = *FindPlanningPolicy("share");
  CHECK_TRUE(policy.Precedes(newer, older));
  newer.share_position = 1;
  CHECK_TRUE(policy.Precedes(older, newer));
}

// Shares must neither delay more urgent work nor steps that are overdue.
TEST(PlanningPolicy, ShareOrderKeepsPriorityStatusAndGuarantee) {
  const PlanningPolicy& policy = *FindPlanningPolicy("share");
  newer.share_position = 1;
  newer.deadline_status = DeadlineStatus::kOverdue;
  CHECK_TRUE(policy.Precedes(newer, older));
  older.priority = 1;
  newer.deadline_status = DeadlineStatus::kLate;
  CHECK_TRUE(policy.Precedes(newer, older));
  older.within_guarantee = true;
  CHECK_TRUE(IsPlacedBefore(policy, older, newer));
}

TEST(PlanningPolicy, ShareOrderPutsDeferredStepsBetweenOnTimeAndLateOnes) {
  const PlanningPolicy& policy = *FindPlanningPolicy("share");
  newer.deferred = true;
  CHECK_TRUE(policy.Precedes(older, newer));
  older.deadline_status = DeadlineStatus::kLate;
  CHECK_TRUE(policy.Precedes(newer, older));
  // A step that became overdue is deferred no longer.
  newer.deadline_status = DeadlineStatus::kOverdue;
  older.deadline_status = DeadlineStatus::kOnTime;
  CHECK_TRUE(policy.Precedes(newer, older));
}

TEST(PlanningPolicy, StepsWithinGuaranteePrecedeAllOthers) {
  older.within_guarantee = true;
  CHECK_TRUE(IsPlacedBefore(DefaultPlanningPolicy(), older, newer));
  CHECK_FALSE(IsPlacedBefore(DefaultPlanningPolicy(), newer, older));
}

}  // namespace limeledge::dispatch
