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
  const JobId job =
      SubmitCrashing(Step(1, 1, Duration(2500)), kCrashImmediately);
  system.Run(Duration(60000));
  STRCMP_EQUAL("failed", system.StateOf(job).c_str());
  CHECK_TRUE(StartsOfFirst(job) <= kMaxStarts);
  CheckNoViolation();
}

TEST(Crash, TaskThatCrashesItsRunnersLateIsGivenUpWithinItsBudget) {
  const JobId job = SubmitCrashing(Step(1, 1, Duration(9000)), Duration(6000));
  system.Run(Duration(90000));
  STRCMP_EQUAL("failed", system.StateOf(job).c_str());
  CHECK_TRUE(StartsOfFirst(job) <= kMaxStarts);
  CheckNoViolation();
}

TEST(Crash, MemberOfAGangThatCrashesItsRunnersIsGivenUpWithinItsBudget) {
  dispatch::StepSpec gang = Step(3, 4, Duration(4000));
  gang.gang = true;
  const JobId job = SubmitCrashing(gang, kCrashImmediately);
  system.Run(Duration(60000));
  STRCMP_EQUAL("failed", system.StateOf(job).c_str());
  CHECK_TRUE(StartsOfFirst(job) <= kMaxStarts);
  CheckNoViolation();
}

TEST(Crash, CountOfCrashesOutlivesTheSchedulersThatSawThem) {
  const JobId job =
      SubmitCrashing(Step(1, 1, Duration(2500)), kCrashImmediately);
  for (int i = 0; i < 20; ++i) {
    system.Run(Duration(4500));
    if (system.leader() >= 0) system.KillNode(system.leader(), Duration(500));
  }
  system.Run(Duration(20000));
  STRCMP_EQUAL("failed", system.StateOf(job).c_str());
  CHECK_TRUE(StartsOfFirst(job) <= kMaxStarts);
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
  truth.crashes_after = kCrashImmediately;
  const JobId job = slow.Submit(spec, {truth});
  slow.Run(Duration(90000));
  STRCMP_EQUAL("failed", slow.StateOf(job).c_str());
  CHECK_TRUE(slow.jobs().at(job).starts.begin()->second <= kMaxStarts);
  for (const std::string& what : slow.violations()) FAIL(what.c_str());
}

// A suspect task is tried where the least is lost, and nothing is put beside it
// meanwhile: the runs that went with the first crash are the only ones.
TEST(Crash, SuspectTaskIsTriedAloneWhereRunnersAreFree) {
  const JobId job = Submit(Step(2, 1, Duration(15000)));
  system.Run(Duration(500));
  const JobId culprit =
      SubmitCrashing(Step(1, 1, Duration(2500)), kCrashImmediately);
  system.Run(Duration(300));
  const double lost_at_first = system.crashes().bystanders_work;
  for (int i = 0; i < 20; ++i) {
    Submit(Step(2, 1, Duration(1000)));
    system.Run(Duration(400));
  }
  system.Run(Duration(20000));
  STRCMP_EQUAL("failed", system.StateOf(culprit).c_str());
  LONGS_EQUAL(2, system.crashes().crashes);
  DOUBLES_EQUAL(lost_at_first, system.crashes().bystanders_work, 0);
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

// Two jobs begin on one runner at the same moment, which one of them crashes.
TEST(Crash, TaskThatBeganBesideTheCulpritIsNotGivenUpWithIt) {
  SystemOptions options;
  options.runners = 4;
  options.planner.urgent_share = 0;
  EmulatedSystem small(options);
  small.Run(Duration(3000));
  dispatch::JobSpec spec;
  spec.steps = {Step(1, 1, Duration(2500))};
  spec.policy.priority = 1;
  TaskTruth sound;
  sound.work = Duration(2500);
  TaskTruth crashing = sound;
  crashing.crashes_after = kCrashImmediately;
  const JobId culprit = small.Submit(spec, {crashing});
  const JobId other = small.Submit(spec, {sound});
  small.Run(Duration(40000));
  STRCMP_EQUAL("failed", small.StateOf(culprit).c_str());
  STRCMP_EQUAL("done", small.StateOf(other).c_str());
  LONGS_EQUAL(2, small.jobs().at(other).starts.begin()->second);
}

}  // namespace limeledge::emulator
