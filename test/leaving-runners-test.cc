/// @file
/// Tests of work on runners that are taken away at short notice.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "scheduler-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(LeavingRunners, SchedulerFixture){};

// Guards against gangs without checkpoints that stay on a leaving runner: their
// loss was noticed only when the leases expired, five seconds after the runner
// had left, which was too late for their deadlines.
TEST(LeavingRunners, RunThatWouldBeLostIsRestartedBeforeItsRunnerLeaves) {
  const JobId job = Submit(Step(1, 8, Duration(6000)), 0);
  system.Run(Duration(1500));
  system.DrainRunner(RunnerOf(job), Duration(2000));
  system.Run(Duration(1600));
  LONGS_EQUAL(2, Watch(job).starts.begin()->second);
  system.Run(Duration(7000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

TEST(LeavingRunners, RunThatEndsInTimeIsNotMoved) {
  const JobId job = Submit(Step(1, 8, Duration(3000)), 0);
  system.Run(Duration(2000));
  system.DrainRunner(RunnerOf(job), Duration(3000));
  system.Run(Duration(2500));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  LONGS_EQUAL(1, Watch(job).starts.begin()->second);
  CheckNoViolation();
}

// Guards against treating the reported percentage as current: the estimated
// remaining time came out too long by up to half, also for gangs that wait for
// the run.
TEST(LeavingRunners, TimeLeftIsEstimatedFromTheTimeOfThePercentage) {
  dispatch::Run run;
  run.phase = dispatch::RunPhase::kRunning;
  run.started_at = TimePoint(1000);
  run.percent = 50;
  run.progressed_at = TimePoint(3000);
  LONGS_EQUAL(1000, dispatch::TimeLeft(run, TimePoint(4000)).value().ms());
  LONGS_EQUAL(0, dispatch::TimeLeft(run, TimePoint(6000)).value().ms());
}

// Guards against tasks that a scheduler starts on a runner seconds after the
// store has acknowledged that the runner leaves: it has more to do than it can,
// and has not handled that change yet.
TEST(LeavingRunners, NothingStartsThereIfTheListIsHandledLate) {
  constexpr int kJobs = 60;
  SystemOptions options;
  options.runners = 2;
  EmulatedSystem busy(options);
  busy.Run(Duration(3000));
  for (int i = 0; i < kJobs; ++i) SubmitTo(&busy, Step(1, 4, Duration(700)));
  busy.Run(Duration(1500));
  const RunnerId leaving = busy.RunnerIds().front();
  busy.faults().runner_list_delay = Duration(12000);
  busy.DrainRunner(leaving, Duration(60000));
  // Where lists are handled this late, runners may get work for 4 s after they
  // announced that they leave; what has started by then ends within a second.
  busy.Run(Duration(5000));
  for (int i = 0; i < 60; ++i) {
    busy.Run(Duration(100));
    LONGS_EQUAL(0, busy.FindRunner(leaving)->UsedCapacity().accelerators);
  }
  busy.faults().runner_list_delay = Duration();
  busy.Run(Duration(40000));
  for (const auto& [id, watch] : busy.jobs()) {
    STRCMP_EQUAL("done", busy.StateOf(id).c_str());
  }
  for (const std::string& error : busy.violations()) FAIL(error.c_str());
}

}  // namespace limeledge::emulator
