/// @file
/// Tests of runners whose room shrinks and grows while they run, and that do
/// not refuse what is too much for them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <vector>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

namespace {

constexpr dispatch::Resources kWhole{64000, 262144, 8};
constexpr dispatch::Resources kHalf{32000, 131072, 4};
constexpr dispatch::Resources kNone{0, 0, 0};

}  // namespace

class RoomFixture : public SchedulerFixture {
 public:
  SystemOptions options;
  const RunnerId only{"i-0-1"};

  RoomFixture() {
    options.enforces_capacity = false;
    options.runners = 1;
    options.planner.urgent_share = 0;
  }

  static void CheckKept(const EmulatedSystem& other) {
    for (const std::string& what : other.violations()) FAIL(what.c_str());
  }

  static int RunsAt(EmulatedSystem* other, const RunnerId& id) {
    int runs = 0;
    other->FindRunner(id)->ForEachRun(
        [&](const dispatch::TaskName&, int) { ++runs; });
    return runs;
  }
};

TEST_GROUP_BASE(Room, RoomFixture){};

TEST(Room, NothingIsStartedOverARoomThatShrank) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  SubmitTo(&one, Step(4, 1, Duration(20000)));
  one.Run(Duration(1000));
  one.SetRoom(only, kHalf);
  one.Run(Duration(6000));
  SubmitTo(&one, Step(4, 1, Duration(20000)));
  one.Run(Duration(8000));
  LONGS_EQUAL(4, RunsAt(&one, only));
  CheckKept(one);
}

TEST(Room, RoomThatComesBackIsUsedAtOnce) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  one.SetRoom(only, kNone);
  one.Run(Duration(6000));
  SubmitTo(&one, Step(4, 1, Duration(20000)));
  one.Run(Duration(3000));
  LONGS_EQUAL(0, RunsAt(&one, only));
  one.SetRoom(only, kWhole);
  one.Run(Duration(1200));
  LONGS_EQUAL(4, RunsAt(&one, only));
  CheckKept(one);
}

// Orders to a runner are carried out one after the other, and each without an
// answer takes a second: a start that was decided before the room shrank left
// long after it.
TEST(Room, StartThatWaitsForItsTurnIsHeldAgainstTheRoomThatIsThere) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  one.faults().order_time = Duration(900);
  const JobId job = SubmitTo(&one, Step(8, 1, Duration(30000)));
  one.Run(Duration(100));
  one.SetRoom(only, {64000, 262144, 2});
  one.Run(Duration(12000));
  // In the time before the smaller room counts, some may still begin.
  CHECK_TRUE(one.jobs().at(job).starts.size() <= 4);
  CheckKept(one);
}

TEST(Room, GangThatIsPlacedOnLostRoomIsTakenBackWhole) {
  options.runners = 4;
  EmulatedSystem four(options);
  four.Run(Duration(3000));
  dispatch::StepSpec gang = Step(4, 8, Duration(3000));
  gang.gang = true;
  four.faults().order_time = Duration(200);
  const JobId job = SubmitTo(&four, gang);
  four.Run(Duration(10));
  four.SetRoom(RunnerId("i-2-1"), kHalf);
  four.Run(Duration(6000));
  four.SetRoom(RunnerId("i-2-1"), kWhole);
  four.Run(Duration(12000));
  STRCMP_EQUAL("done", four.StateOf(job).c_str());
  CheckKept(four);
}

TEST(Room, SchedulerThatTakesOverCountsWhatIsThereAgainstTheSmallerRoom) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  SubmitTo(&one, Step(4, 1, Duration(30000)));
  one.Run(Duration(1000));
  one.KillNode(one.leader(), Duration(500));
  one.SetRoom(only, {64000, 262144, 5});
  SubmitTo(&one, Step(4, 1, Duration(30000)));
  one.Run(Duration(12000));
  LONGS_EQUAL(5, RunsAt(&one, only));
  CheckKept(one);
}

// Nobody can say how large a room is while the list of runners can not be read.
TEST(Room, NothingIsStartedOnARoomThatWasNotConfirmedForLong) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  one.faults().order_time = Duration(950);
  const JobId job = SubmitTo(&one, Step(8, 1, Duration(60000)));
  one.Run(Duration(300));
  one.faults().store_down = true;
  one.SetRoom(only, kNone);
  one.Run(Duration(9000));
  CHECK_TRUE(one.jobs().at(job).starts.size() < 6);
  CheckKept(one);
}

// A start without an answer was given up, and carried out after all when others
// had taken its room.
TEST(Room, RunThatNobodyWaitsForTakesItsRoom) {
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  one.faults().orders_lost = 1;
  one.faults().late_order = Duration(9000);
  SubmitTo(&one, Step(8, 1, Duration(4000)));
  one.Run(Duration(9000));
  one.faults() = Faults();
  one.Run(Duration(30000));
  CheckKept(one);
}

}  // namespace limeledge::emulator
