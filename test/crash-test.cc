/// @file
/// Tests of tasks under which runners crash.
//
// Seen: one task was started thirty times in two minutes, at another runner
// each time, and every one of these runners crashed, with all that ran beside
// it. How: the task crashed its runner milliseconds after its start. Four
// seconds later another life answered at the runner's address, all runs there
// ended as lapsed, and the task was planned again like any other. Cause: only
// runs that end as failed counted as attempts. A run that goes with its runner
// counted nowhere: not in the job, not in its row, not in the plan. Proof: the
// log of runs that went with runners, each some 20 ms after the task's start,
// and these tests.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "crash-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(Crash, CrashFixture){};

TEST(Crash, TaskThatCrashesItsRunnersIsGivenUpWithinItsBudget) {
  const JobId job = SubmitCrashing(Step(1, 1, Duration(2500)), kAtOnce);
  system.Run(Duration(60000));
  STRCMP_EQUAL("failed", system.StateOf(job).c_str());
  CHECK_TRUE(StartsOfFirst(job) <= kMostStarts);
  CheckNoViolation();
}

TEST(Crash, TaskThatCrashesItsRunnersLateIsGivenUpWithinItsBudget) {
  const JobId job = SubmitCrashing(Step(1, 1, Duration(9000)), Duration(6000));
  system.Run(Duration(90000));
  STRCMP_EQUAL("failed", system.StateOf(job).c_str());
  CHECK_TRUE(StartsOfFirst(job) <= kMostStarts);
  CheckNoViolation();
}

TEST(Crash, MemberOfAGangThatCrashesItsRunnersIsGivenUpWithinItsBudget) {
  dispatch::StepSpec gang = Step(3, 4, Duration(4000));
  gang.gang = true;
  const JobId job = SubmitCrashing(gang, kAtOnce);
  system.Run(Duration(60000));
  STRCMP_EQUAL("failed", system.StateOf(job).c_str());
  CHECK_TRUE(StartsOfFirst(job) <= kMostStarts);
  CheckNoViolation();
}

TEST(Crash, CountOfCrashesOutlivesTheSchedulersThatSawThem) {
  const JobId job = SubmitCrashing(Step(1, 1, Duration(2500)), kAtOnce);
  for (int i = 0; i < 20; ++i) {
    system.Run(Duration(4500));
    if (system.leader() >= 0) system.KillNode(system.leader(), Duration(500));
  }
  system.Run(Duration(20000));
  STRCMP_EQUAL("failed", system.StateOf(job).c_str());
  CHECK_TRUE(StartsOfFirst(job) <= kMostStarts);
  CheckNoViolation();
}

TEST(Crash, RunnerThatStaysAwayLongCountsAsWell) {
  SystemOptions options;
  options.crash_down = Duration(9000);
  EmulatedSystem slow(options);
  slow.Run(Duration(3000));
  dispatch::JobSpec spec;
  spec.steps = {Step(1, 1, Duration(2500))};
  spec.policy.priority = 1;
  TaskTruth truth;
  truth.crashes_after = kAtOnce;
  const JobId job = slow.Submit(spec, {truth});
  slow.Run(Duration(90000));
  STRCMP_EQUAL("failed", slow.StateOf(job).c_str());
  CHECK_TRUE(slow.jobs().at(job).starts.begin()->second <= kMostStarts);
  for (const std::string& what : slow.violations()) FAIL(what.c_str());
}

}  // namespace limeledge::emulator
