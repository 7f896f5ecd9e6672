/// @file
/// Tests of halls that are to be emptied.
//
// Seen: tasks started in a zone five seconds after its evacuation had been
// acknowledged. Cause: of the operator's rows only the configuration was read.
// Proof: the same days played again, and these tests, the first and the third
// of which fail without it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "scheduler-fixture.h"

namespace limeledge::emulator {

class HallEmptyingFixture : public SchedulerFixture {
 public:
  const HallId hall{"h0"};

  int RunsInHall(EmulatedSystem* other) {
    int runs = 0;
    for (const RunnerId& id : other->RunnerIds()) {
      EmulatedRunner* runner = other->FindRunner(id);
      if (runner->info().hall != hall) continue;
      runner->ForEachRun([&](const dispatch::TaskName&, int) { ++runs; });
    }
    return runs;
  }
};

TEST_GROUP_BASE(HallEmptying, HallEmptyingFixture){};

TEST(HallEmptying, NothingStartsInAHallThatIsToBeEmptied) {
  system.SetEmptied(hall, true);
  system.Run(Duration(6000));
  for (int i = 0; i < 8; ++i) Submit(Step(8, 1, Duration(4000)), i % 2);
  system.Run(Duration(2000));
  LONGS_EQUAL(0, RunsInHall(&system));
  system.Run(Duration(8000));
  CheckNoViolation();
}

TEST(HallEmptying, HallThatIsGivenBackIsUsedAgain) {
  system.SetEmptied(hall, true);
  system.Run(Duration(3000));
  system.SetEmptied(hall, false);
  system.Run(Duration(3000));
  for (int i = 0; i < 8; ++i) Submit(Step(8, 1, Duration(4000)), 0);
  system.Run(Duration(1000));
  CHECK_TRUE(RunsInHall(&system) > 0);
}

TEST(HallEmptying, SchedulerThatTakesOverKnowsTheHallsThatAreToBeEmptied) {
  system.SetEmptied(hall, true);
  system.Run(Duration(6000));
  system.KillNode(system.leader(), Duration(1000));
  for (int i = 0; i < 8; ++i) Submit(Step(8, 1, Duration(4000)), i % 2);
  system.Run(Duration(9000));
  LONGS_EQUAL(0, RunsInHall(&system));
  CheckNoViolation();
}

// What runs there goes on: the runners are still there, and it may be done.
TEST(HallEmptying, WhatRunsInAHallThatIsToBeEmptiedGoesOn) {
  const JobId job = Submit(Step(8, 1, Duration(6000)), 0);
  system.Run(Duration(1000));
  system.SetEmptied(hall, true);
  system.Run(Duration(9000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  for (const auto& [task, starts] : Watch(job).starts) LONGS_EQUAL(1, starts);
}

}  // namespace limeledge::emulator
