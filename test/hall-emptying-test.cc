/// @file
/// Tests of draining a hall.
//
// Tasks kept starting in a hall after its evacuation had been acknowledged,
// because the scheduler read only the configuration among the operator's rows.
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

TEST(HallEmptying, NothingStartsInADrainedHall) {
  system.SetDrained(hall, true);
  system.Run(Duration(6000));
  for (int i = 0; i < 8; ++i) Submit(Step(8, 1, Duration(4000)), i % 2);
  system.Run(Duration(2000));
  LONGS_EQUAL(0, RunsInHall(&system));
  system.Run(Duration(8000));
  CheckNoViolation();
}

TEST(HallEmptying, UndrainedHallIsUsedAgain) {
  system.SetDrained(hall, true);
  system.Run(Duration(3000));
  system.SetDrained(hall, false);
  system.Run(Duration(3000));
  for (int i = 0; i < 8; ++i) Submit(Step(8, 1, Duration(4000)), 0);
  system.Run(Duration(1000));
  CHECK_TRUE(RunsInHall(&system) > 0);
}

TEST(HallEmptying, NewLeaderKnowsTheDrainedHalls) {
  system.SetDrained(hall, true);
  system.Run(Duration(6000));
  system.KillNode(system.leader(), Duration(1000));
  for (int i = 0; i < 8; ++i) Submit(Step(8, 1, Duration(4000)), i % 2);
  system.Run(Duration(9000));
  LONGS_EQUAL(0, RunsInHall(&system));
  CheckNoViolation();
}

// Guards against a new scheduler that uses a hall again whose draining its
// predecessor has obeyed: its own watch of the operator's rows is broken.
TEST(HallEmptying, NewLeaderObeysADrainThatItHasMissed) {
  const int first = system.leader();
  system.AddQueue("known");
  system.Run(Duration(20));
  for (int node = 0; node < 3; ++node) {
    if (node != first) system.faults().nodes_without_store.insert(node);
  }
  system.SetDrained(hall, true);
  system.Run(Duration(100));
  system.faults().nodes_without_store.clear();
  system.Run(Duration(300));
  system.KillNode(first, Duration(8000));
  for (int i = 0; i < 8; ++i) Submit(Step(8, 1, Duration(4000)), i % 2);
  while (system.leader() == -1) system.Run(Duration(10));
  for (int i = 0; i < 100; ++i) {
    system.Run(Duration(20));
    LONGS_EQUAL(0, RunsInHall(&system));
  }
}

// Draining a hall must not stop its runs: the runners are still there and the
// runs may finish.
TEST(HallEmptying, RunsInADrainedHallContinue) {
  const JobId job = Submit(Step(8, 1, Duration(6000)), 0);
  system.Run(Duration(1000));
  system.SetDrained(hall, true);
  system.Run(Duration(9000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  for (const auto& [task, starts] : Watch(job).starts) LONGS_EQUAL(1, starts);
}

}  // namespace limeledge::emulator
