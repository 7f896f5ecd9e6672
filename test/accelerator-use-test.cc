/// @file
/// Tests of the use of accelerators over time, as computed from logs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "cli/accelerator_use.h"
#include "cli/work_report.h"
#include "log-lines-fixture.h"

namespace limeledge {

// Log lines from 0 ms on, evaluated in slots of 2000 ms.
class AcceleratorUseFixture : public LogLinesFixture {
 public:
  std::vector<UseSlot> Use() { return MakeWorkReport(lines, 10).use; }

  double UsedBy(std::size_t slot, const std::string& queue) {
    return Use().at(slot).used_by_queue[queue];
  }

  int OpenAt(std::size_t slot) { return Use().at(slot).open_jobs["sweep"]; }
};

TEST_GROUP_BASE(AcceleratorUse, AcceleratorUseFixture){};

TEST(AcceleratorUse, RunIsSpreadOverTheSlotsThatItOverlaps) {
  Assign(1000, "aa.0.0.0", 1);
  End(4500, "aa.0.0.0", 1, "done");
  EndLogs(8000);
  LONGS_EQUAL(4, Use().size());
  DOUBLES_EQUAL(2.0, UsedBy(0, "sweep"), 0.001);
  DOUBLES_EQUAL(4.0, UsedBy(1, "sweep"), 0.001);
  DOUBLES_EQUAL(1.0, UsedBy(2, "sweep"), 0.001);
  DOUBLES_EQUAL(0.0, Use().at(3).used.accelerators, 0.001);
}

TEST(AcceleratorUse, QueuesAreCountedSeparatelyAndInTotal) {
  Submit(1000, "bb", "check", "roads");
  Assign(2000, "aa.0.0.0", 1);
  Assign(3000, "bb.0.0.0", 1);
  EndLogs(4000);
  DOUBLES_EQUAL(4.0, UsedBy(1, "sweep"), 0.001);
  DOUBLES_EQUAL(2.0, UsedBy(1, "check"), 0.001);
  DOUBLES_EQUAL(6.0, Use().at(1).used.accelerators, 0.001);
}

TEST(AcceleratorUse, RunWithoutALoggedEndLastsToTheLastLine) {
  Assign(2000, "aa.0.0.0", 1);
  EndLogs(5000);
  LONGS_EQUAL(3, Use().size());
  DOUBLES_EQUAL(4.0, UsedBy(2, "sweep"), 0.001);
}

TEST(AcceleratorUse, JobIsOpenFromItsAcceptanceToItsEnd) {
  Assign(1000, "aa.0.0.0", 1);
  End(4500, "aa.0.0.0", 1, "done");
  Settle(4500, "aa");
  EndLogs(8000);
  LONGS_EQUAL(0, OpenAt(0));
  LONGS_EQUAL(1, OpenAt(1));
  LONGS_EQUAL(1, OpenAt(2));
  LONGS_EQUAL(0, OpenAt(3));
}

TEST(AcceleratorUse, IdleResourcesAreBoundedByTheRunnersPeak) {
  Assign(0, "aa.0.0.0", 1);
  Assign(0, "aa.0.0.1", 1);
  End(2000, "aa.0.0.0", 1, "done");
  End(4000, "aa.0.0.1", 1, "done");
  EndLogs(6000);
  DOUBLES_EQUAL(0.0, Use().at(0).idle_at_least.accelerators, 0.001);
  DOUBLES_EQUAL(4.0, Use().at(1).idle_at_least.accelerators, 0.001);
  DOUBLES_EQUAL(8.0, Use().at(2).idle_at_least.accelerators, 0.001);
}

TEST(AcceleratorUse, CoresAreCountedLikeAccelerators) {
  Assign(0, "aa.0.0.0", 1);
  End(2000, "aa.0.0.0", 1, "done");
  EndLogs(4000);
  DOUBLES_EQUAL(8.0, Use().at(0).used.cores, 0.001);
  DOUBLES_EQUAL(0.0, Use().at(0).idle_at_least.cores, 0.001);
  DOUBLES_EQUAL(8.0, Use().at(1).idle_at_least.cores, 0.001);
}

TEST(AcceleratorUse, BackToBackRunsDoNotRaiseTheRunnersPeak) {
  Assign(0, "aa.0.0.0", 1);
  End(2000, "aa.0.0.0", 1, "failed");
  Assign(2000, "aa.0.0.0", 2);
  End(4000, "aa.0.0.0", 2, "done");
  EndLogs(6000);
  DOUBLES_EQUAL(4.0, Use().at(2).idle_at_least.accelerators, 0.001);
}

TEST(AcceleratorUse, UnlistedRunnerIsNotIdle) {
  Assign(0, "aa.0.0.0", 1);
  End(2000, "aa.0.0.0", 1, "failed");
  Line(4000, "runner_unlisted", {{"runner", "i-1"}});
  EndLogs(6000);
  DOUBLES_EQUAL(4.0, Use().at(1).idle_at_least.accelerators, 0.001);
  DOUBLES_EQUAL(0.0, Use().at(2).idle_at_least.accelerators, 0.001);
}

TEST(AcceleratorUse, SlotLengthCanBeSet) {
  EndLogs(6000);
  LONGS_EQUAL(2, MakeWorkReport(lines, 10, Duration(5000)).use.size());
}

TEST(AcceleratorUse, NoLinesGiveNoSlots) {
  LONGS_EQUAL(0, MakeWorkReport({}, 10).use.size());
}

}  // namespace limeledge
