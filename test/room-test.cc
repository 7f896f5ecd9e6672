/// @file
/// Tests of runners whose capacity shrinks and grows and that do not reject
/// runs beyond it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <vector>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

namespace {

constexpr dispatch::Resources kFullCapacity{64000, 262144, 8};
constexpr dispatch::Resources kHalfCapacity{32000, 131072, 4};
constexpr dispatch::Resources kNoCapacity{0, 0, 0};

}  // namespace

class CapacityFixture : public SchedulerFixture {
 public:
  SystemOptions options;
  const RunnerId only{"i-0-1"};

  CapacityFixture() {
    options.enforces_capacity = false;
    options.runners = 1;
    options.planner.urgent_share = 0;
  }

  static void CheckNoViolationIn(const EmulatedSystem& other) {
    for (const std::string& what : other.violations()) FAIL(what.c_str());
  }

  static int RunsAt(EmulatedSystem* other, const RunnerId& id) {
    int runs = 0;
    other->FindRunner(id)->ForEachRun(
        [&](const dispatch::TaskName&, int) { ++runs; });
    return runs;
  }
};

TEST_GROUP_BASE(Room, CapacityFixture){};

TEST(Room, NothingStartsBeyondAReducedCapacity) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  SubmitTo(&one, Step(4, 1, Duration(20000)));
  one.Run(Duration(1000));
  one.SetCapacity(only, kHalfCapacity);
  one.Run(Duration(6000));
  SubmitTo(&one, Step(4, 1, Duration(20000)));
  one.Run(Duration(8000));
  LONGS_EQUAL(4, RunsAt(&one, only));
  CheckNoViolationIn(one);
}

TEST(Room, RestoredCapacityIsUsedAtOnce) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  one.SetCapacity(only, kNoCapacity);
  one.Run(Duration(6000));
  SubmitTo(&one, Step(4, 1, Duration(20000)));
  one.Run(Duration(3000));
  LONGS_EQUAL(0, RunsAt(&one, only));
  one.SetCapacity(only, kFullCapacity);
  one.Run(Duration(1200));
  LONGS_EQUAL(4, RunsAt(&one, only));
  CheckNoViolationIn(one);
}

// A runner handles its orders one by one, and each order without an answer
// takes up to a second. A start that was decided before the capacity shrank
// could be sent long after.
TEST(Room, QueuedStartIsCheckedAgainstTheCurrentCapacity) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  one.faults().order_time = Duration(900);
  const JobId job = SubmitTo(&one, Step(8, 1, Duration(30000)));
  one.Run(Duration(100));
  one.SetCapacity(only, {64000, 262144, 2});
  one.Run(Duration(12000));
  // Some runs may start before the smaller capacity takes effect.
  CHECK_TRUE(one.jobs().at(job).starts.size() <= 4);
  CheckNoViolationIn(one);
}

TEST(Room, GangPlacedOnLostCapacityIsWithdrawnAsAWhole) {
  options.runners = 4;
  EmulatedSystem four(options);
  four.Run(Duration(3000));
  dispatch::StepSpec gang = Step(4, 8, Duration(3000));
  gang.gang = true;
  four.faults().order_time = Duration(200);
  const JobId job = SubmitTo(&four, gang);
  four.Run(Duration(10));
  four.SetCapacity(RunnerId("i-2-1"), kHalfCapacity);
  four.Run(Duration(6000));
  four.SetCapacity(RunnerId("i-2-1"), kFullCapacity);
  four.Run(Duration(12000));
  STRCMP_EQUAL("done", four.StateOf(job).c_str());
  CheckNoViolationIn(four);
}

TEST(Room, NewLeaderCountsRunsAgainstTheReducedCapacity) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  SubmitTo(&one, Step(4, 1, Duration(30000)));
  one.Run(Duration(1000));
  one.KillNode(one.leader(), Duration(500));
  one.SetCapacity(only, {64000, 262144, 5});
  SubmitTo(&one, Step(4, 1, Duration(30000)));
  one.Run(Duration(12000));
  LONGS_EQUAL(5, RunsAt(&one, only));
  CheckNoViolationIn(one);
}

// Without the list of runners, the scheduler cannot know their capacity.
TEST(Room, NothingStartsOnAnUnconfirmedCapacity) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  one.faults().order_time = Duration(950);
  const JobId job = SubmitTo(&one, Step(8, 1, Duration(60000)));
  one.Run(Duration(300));
  one.faults().store_down = true;
  one.SetCapacity(only, kNoCapacity);
  one.Run(Duration(9000));
  CHECK_TRUE(one.jobs().at(job).starts.size() < 6);
  CheckNoViolationIn(one);
}

// A start without an answer was given up but carried out late, after other runs
// had been placed on its capacity.
TEST(Room, OrphanedRunHoldsItsCapacity) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  one.faults().orders_lost = 1;
  one.faults().late_order = Duration(9000);
  SubmitTo(&one, Step(8, 1, Duration(4000)));
  one.Run(Duration(9000));
  one.faults() = Faults();
  one.Run(Duration(30000));
  CheckNoViolationIn(one);
}

}  // namespace limeledge::emulator
