/// @file
/// Tests of tasks that crash their runners.
//
// These tests guard against a task that is restarted without limit: one task
// was started thirty times in two minutes, each time on another runner, and
// crashed each of them together with all other runs there. It crashed its
// runner milliseconds after its start. Four seconds later another incarnation
// responded at the runner's address, all runs on it ended because their leases
// had expired, and the task was planned again like any other. Only failed runs
// counted as attempts; a run lost with its runner counted neither in the job
// nor in its row nor in the plan. The log of lost runs showed each loss some 20
// ms after the task's start.

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

TEST(Crash, CrashCountSurvivesSchedulerFailover) {
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

TEST(Crash, RunnerThatStaysDownForLongCountsAsWell) {
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

// A suspect task runs where the least work is at risk, and no other task is
// started beside it: only the runs lost in the first crash are lost.
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

// Two jobs start on one runner at the same moment, and one of them crashes it.
TEST(Crash, TaskStartedBesideTheCulpritIsNotGivenUpWithIt) {
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
