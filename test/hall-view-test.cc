/// @file
/// Tests of room bookkeeping and gang fitting.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <set>

#include "CppUTest/TestHarness.h"
#include "core/hall_view.h"

namespace limeledge {

TEST_GROUP(HallView) {
  HallView view;

  void setup() override {
    std::vector<WorkerRoom> rooms;
    for (const char* rack : {"r1", "r2"}) {
      for (const char* name : {"a", "b"}) {
        WorkerRoom room;
        room.id = WorkerId(std::string(rack) + name);
        room.rack = RackId(rack);
        room.accelerators = 8;
        room.free = LowBits(8);
        room.free_cores = 16;
        room.free_memory_mb = 1000;
        rooms.push_back(room);
      }
    }
    view = HallView(rooms);
  }

  std::optional<Placement> Place(int members, int accelerators,
                                 GangFit fit = GangFit::kBest) {
    return PlaceGang(&view, {members, {accelerators, 1, 1}}, fit);
  }

  static std::set<std::string> Racks(const Placement& placement) {
    std::set<std::string> racks;
    for (const Member& member : placement.members) {
      racks.insert(member.worker.value().substr(0, 2));
    }
    return racks;
  }
};

TEST(HallView, GangStaysInOneRackWhereItFits) {
  LONGS_EQUAL(1, Racks(*Place(4, 4)).size());
  LONGS_EQUAL(1, Racks(*Place(2, 8)).size());
  CHECK_FALSE(Place(1, 1).has_value());
}

TEST(HallView, GangThatNoRackHoldsSpansRacks) {
  LONGS_EQUAL(2, Racks(*Place(3, 8)).size());
}

TEST(HallView, SmallJobsFillBrokenCellsFirst) {
  const Placement first = *Place(1, 1);
  const Placement second = *Place(1, 1);
  CHECK_TRUE(first.members[0].worker == second.members[0].worker);
  const Placement third = *Place(1, 2);
  CHECK_TRUE(third.members[0].worker == first.members[0].worker);
  LONGS_EQUAL(0b1100, third.members[0].accelerators);
}

TEST(HallView, GangThatDoesNotFitTakesNothing) {
  CHECK_FALSE(Place(5, 8).has_value());
  LONGS_EQUAL(32, view.FreeAccelerators());
}

TEST(HallView, CoresAndMemoryBoundMembers) {
  const GangShape by_cores{5, {1, 16, 1}};
  CHECK_FALSE(view.CanHold(by_cores));
  const GangShape by_memory{5, {1, 1, 1000}};
  CHECK_FALSE(view.CanHold(by_memory));
}

TEST(HallView, UnusableWorkerGetsNothing) {
  view.Exclude(WorkerId("r1a"));
  CHECK_FALSE(Place(4, 8).has_value());
  LONGS_EQUAL(24, view.FreeAccelerators());
}

TEST(HallView, GivenBackRoomIsFreeAgain) {
  JobSpec spec;
  spec.members = 1;
  spec.accelerators = 8;
  spec.cores = 1;
  spec.memory_mb = 1;
  const Placement placement = *Place(1, 8);
  view.GiveBack(spec, placement);
  LONGS_EQUAL(32, view.FreeAccelerators());
  view.Take(spec, placement);
  LONGS_EQUAL(24, view.FreeAccelerators());
}

TEST(HallView, JobWithoutAcceleratorsFitsByCores) {
  const Placement placement = *Place(3, 0);
  LONGS_EQUAL(3, placement.members.size());
  LONGS_EQUAL(0, placement.members[0].accelerators);
}

}  // namespace limeledge
