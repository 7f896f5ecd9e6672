/// @file
/// Random courses of a whole emulated system, with faults, against its oracle.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "dispatch-simulation.h"

namespace limeledge::emulator {

namespace {

/// Courses of one run, unless more are asked for.
constexpr int kDefaultRunCount = 30;

/// Plays a course; returns whether it broke a promise, which is printed.
bool Breaks(int seed, const dispatch::PlanningPolicy& policy, FaultMix mix) {
  const std::vector<std::string> wrong =
      Simulation(seed, policy, RestartMode::kRare, mix).Run();
  if (wrong.empty()) return false;
  UT_PRINT(("seed " + std::to_string(seed) + ": " + wrong.front() + " (" +
            std::to_string(wrong.size()) + " in all)")
               .c_str());
  return true;
}

/// Plays courses under a policy; returns how many broke a promise.
int CountBroken(int courses, const dispatch::PlanningPolicy& policy,
                FaultMix mix = FaultMix::kAll) {
  int broken = 0;
  for (int seed = FirstSeed(); seed < FirstSeed() + courses; ++seed) {
    broken += Breaks(seed, policy, mix) ? 1 : 0;
  }
  return broken;
}

}  // namespace

TEST_GROUP(DispatchFuzz){};

TEST(DispatchFuzz, RandomCoursesBreakNoPromise) {
  LONGS_EQUAL(0, CountBroken(RunCountOr(kDefaultRunCount),
                             dispatch::DefaultPlanningPolicy()));
}

// Once, a task ran again though an end of it as done was taken note of, while
// the scheduler that had started it lived on: answers came late, most other
// processes were killed at once, and the store forgot its history. Courses of
// just that show it where a renewal came late and counted from its arrival: a
// runner was silent for longer than the lease that the scheduler knew of, the
// task began elsewhere, then the runner was heard, listed the end, and was told
// that it is known, before its lease ever ran out.
TEST(DispatchFuzz, NoTaskRunsAgainAfterAnEndThatCountsWhereAnswersAreLost) {
  LONGS_EQUAL(0, CountBroken(RunCountOr(kDefaultRunCount),
                             dispatch::DefaultPlanningPolicy(),
                             FaultMix::kLostAnswers));
}

// Courses that broke that.
TEST(DispatchFuzz, CoursesThatOnceRanATaskAgainAfterItsEndBreakNoPromise) {
  for (const int seed : {1020, 2169, 3192, 3243}) {
    CHECK_FALSE(Breaks(seed, dispatch::DefaultPlanningPolicy(),
                       FaultMix::kLostAnswers));
  }
}

TEST(DispatchFuzz, RandomCoursesUnderEachPolicyBreakNoPromise) {
  constexpr int kShareOfCourses = 4;
  for (const std::string& name : dispatch::PlanningPolicyNames()) {
    LONGS_EQUAL(0, CountBroken(RunCountOr(kDefaultRunCount) / kShareOfCourses,
                               *dispatch::FindPlanningPolicy(name)));
  }
}

}  // namespace limeledge::emulator
