/// @file
/// Tests of work on runners that are taken away at short notice.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "scheduler-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(LeavingRunners, SchedulerFixture){
    RunnerId RunnerOf(const JobId& job){RunnerId found;
for (const RunnerId& id : system.RunnerIds()) {
  system.FindRunner(id)->ForEachRun([&](const dispatch::TaskName& name, int) {
    if (name.job == job) found = id;
  });
}
return found;
}  // namespace limeledge::emulator
}
;

// The share was taken as if it were told now: the time left came out too long
// by up to half, for gangs that wait for it, too.
TEST(LeavingRunners, TimeLeftIsJudgedAsOfWhenTheShareWasTold) {
  dispatch::Run run;
  run.phase = dispatch::RunPhase::kRunning;
  run.started_at = TimePoint(1000);
  run.percent = 50;
  run.progressed_at = TimePoint(3000);
  LONGS_EQUAL(1000, dispatch::TimeLeft(run, TimePoint(4000)).ms());
  LONGS_EQUAL(0, dispatch::TimeLeft(run, TimePoint(6000)).ms());
}

}  // namespace limeledge::emulator
