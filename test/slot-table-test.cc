/// @file
/// Tests of the division of runner slots.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>

#include "CppUTest/TestHarness.h"
#include "core/slot_table.h"

namespace limeledge {

TEST_GROUP(SlotTable) {
  std::map<RunnerId, RunnerInfo> runners;
  std::vector<InstanceId> members;
  SlotTable table{SlotDivision::kBySlot};

  void setup() override {
    for (int i = 1; i <= 9; ++i) {
      members.emplace_back("e" + std::to_string(i));
    }
    for (int i = 1; i <= 50; ++i) {
      RunnerInfo info;
      info.id = RunnerId("r" + std::to_string(i));
      info.slots = 8;
      info.connections = 60;
      runners[info.id] = info;
    }
  }

  void Alone() {
    members = {InstanceId("e1")};
    runners = {{RunnerId("r1"), runners[RunnerId("r1")]}};
    table.Update(TimePoint(0), members[0], members, runners, Duration(0));
  }
};

TEST(SlotTable, EverySlotHasExactlyOneOwner) {
  for (const SlotDivision division :
       {SlotDivision::kBySlot, SlotDivision::kByRunner}) {
    int owned = 0;
    for (const InstanceId& member : members) {
      SlotTable one(division);
      one.Update(TimePoint(0), member, members, runners, Duration(0));
      owned += one.OwnedSlots();
    }
    LONGS_EQUAL(400, owned);
  }
}

TEST(SlotTable, NewSlotsRestBeforeUse) {
  table.Update(TimePoint(0), members[0], members, runners, Duration(2000));
  LONGS_EQUAL(0, table.FreeSlots(TimePoint(1999)));
  CHECK_TRUE(table.FreeSlots(TimePoint(2000)) > 20);
}

TEST(SlotTable, LeavingRunnerIsNotPicked) {
  Alone();
  CHECK_TRUE(table.Pick(TimePoint(0), {}).has_value());
  table.MarkLeaving(RunnerId("r1"));
  CHECK_FALSE(table.Pick(TimePoint(0), {}).has_value());
  LONGS_EQUAL(0, table.LiveRunners());
}

TEST(SlotTable, FullRunnerIsNotPicked) {
  Alone();
  for (int i = 0; i < 8; ++i) table.OnSent(RunnerId("r1"));
  CHECK_FALSE(table.Pick(TimePoint(0), {}).has_value());
}

TEST(SlotTable, TriedRunnerIsNotPickedAgain) {
  Alone();
  CHECK_FALSE(table.Pick(TimePoint(0), {RunnerId("r1")}).has_value());
}

TEST(SlotTable, FailingRunnerIsAvoidedThenProbedOnce) {
  Alone();
  const RunnerId runner("r1");
  for (int i = 0; i < 2; ++i) {
    table.OnSent(runner);
    table.OnReply(TimePoint(0), runner, RunnerOutcome::kLost, Duration(1));
  }
  CHECK_FALSE(table.Pick(TimePoint(499), {}).has_value());
  CHECK_TRUE(table.Pick(TimePoint(500), {}).has_value());
  table.OnSent(runner);
  CHECK_FALSE(table.Pick(TimePoint(500), {}).has_value());
  table.OnReply(TimePoint(600), runner, RunnerOutcome::kAnswered, Duration(5));
  LONGS_EQUAL(8, table.FreeSlots(TimePoint(600)));
}

}  // namespace limeledge
