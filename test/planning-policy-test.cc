/// @file
/// Tests of the planner's policies.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <string>

#include "dispatch/planning_policy.h"
#include "emulator/emulated_system.h"

namespace limeledge::dispatch {

// An older step with much time left, and a newer one with little.
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

  /// Plays two jobs for one free runner under a policy: a gang that does not
  /// fit, and a task that does. Returns how often the task started at once.
  std::size_t StartsBehindAMisfit(const char* policy) {
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

TEST(PlanningPolicy, DeadlineOrderPutsHopelessWorkLast) {
  newer.deadline_status = DeadlineStatus::kWorthless;
  CHECK_TRUE(DefaultPlanningPolicy().Precedes(older, newer));
}

// Under load, each late step that goes first makes the next one late, too.
TEST(PlanningPolicy, DeadlineOrderPutsLateWorkBehindWhatCanBeInTime) {
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

TEST(PlanningPolicy, NothingOvertakesAMisfitUnderFifo) {
  LONGS_EQUAL(0, StartsBehindAMisfit("fifo"));
}

// On a cluster with three take-overs in a row, room was made for a gang within
// its guarantee three times, and went to gangs of other workspaces that came
// later and were due sooner: it began after 3.0 s, its guarantee is 2.9 s.
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

TEST(PlanningPolicy, EntitledStepsGoBeforeAllOthers) {
  older.within_guarantee = true;
  CHECK_TRUE(IsPlacedBefore(DefaultPlanningPolicy(), older, newer));
  CHECK_FALSE(IsPlacedBefore(DefaultPlanningPolicy(), newer, older));
}

}  // namespace limeledge::dispatch
