/// @file
/// Tests of runners that start again under the ids that they had.
//
// Seen: tasks ran again after they were done, and one was started beyond its
// attempts. How: runners crashed and were back a second later under their ids.
// What they ended then was told by the scheduler as lapsed, and started again.
// Cause: a life of a runner was named by its id alone. A runner numbers its
// ends from 1 in each life; up to the newest end of the life before, those of
// the new one were told to the runner as known before anybody read them, and
// the runner forgot them. Proof: on each runner just as many runs were told as
// lapsed as ends of the life before had been read, and these tests.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "crash-fixture.h"

namespace limeledge::emulator {

namespace {

SystemOptions OneRunnerThatKeepsItsId() {
  SystemOptions options;
  options.runners = 1;
  options.keeps_ids = true;
  return options;
}

}  // namespace

TEST_GROUP(Reborn) {
  EmulatedSystem system{OneRunnerThatKeepsItsId()};
  const RunnerId runner{"i-0-1"};

  void setup() override { system.Run(Duration(3000)); }

  /// Hands in a job of one step; its tasks fail, if they are to.
  JobId Submit(int count, Duration work, bool fails = false) {
    dispatch::JobSpec spec;
    spec.steps = {SchedulerFixture::Step(count, 1, work)};
    spec.policy.priority = 1;
    TaskTruth truth;
    truth.work = work;
    truth.always_fails = fails;
    return system.Submit(spec, {truth});
  }

  /// The runner ends eight runs, whose ends are read, and starts again.
  void RestartAfterEightEnds() {
    Submit(8, Duration(500));
    system.Run(Duration(2000));
    system.CrashRunner(runner, Duration(600));
    system.Run(Duration(3000));
  }

  int MostStarts(const JobId& job) {
    int most = 0;
    for (const auto& [task, starts] : system.jobs().at(job).starts) {
      most = std::max(most, starts);
    }
    return most;
  }

  void CheckNoViolation() {
    for (const std::string& what : system.violations()) FAIL(what.c_str());
  }
};

TEST(Reborn, TasksThatAreDoneInTheNextLifeAreNotStartedAgain) {
  RestartAfterEightEnds();
  const JobId job = Submit(8, Duration(800));
  system.Run(Duration(10000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  LONGS_EQUAL(1, MostStarts(job));
  CheckNoViolation();
}

TEST(Reborn, TaskThatFailsInTheNextLifeIsNotStartedBeyondItsAttempts) {
  RestartAfterEightEnds();
  const JobId job = Submit(1, Duration(800), true);
  system.Run(Duration(30000));
  STRCMP_EQUAL("failed", system.StateOf(job).c_str());
  LONGS_EQUAL(3, MostStarts(job));
  CheckNoViolation();
}

// The list tells of the life before for a second and a half.
TEST(Reborn, EntryThatLagsEndsNoLife) {
  SystemOptions options = OneRunnerThatKeepsItsId();
  options.entry_lag = Duration(1500);
  EmulatedSystem lagging(options);
  lagging.Run(Duration(3000));
  lagging.CrashRunner(runner, Duration(600));
  lagging.Run(Duration(1200));
  dispatch::JobSpec spec;
  spec.steps = {SchedulerFixture::Step(4, 1, Duration(3000))};
  spec.policy.priority = 1;
  TaskTruth truth;
  truth.work = Duration(3000);
  const JobId job = lagging.Submit(spec, {truth});
  lagging.Run(Duration(6000));
  STRCMP_EQUAL("done", lagging.StateOf(job).c_str());
  for (const auto& [task, starts] : lagging.jobs().at(job).starts) {
    LONGS_EQUAL(1, starts);
  }
  for (const std::string& what : lagging.violations()) FAIL(what.c_str());
}

TEST(Reborn, ClockThatJumpedBackMakesNoLifeAnEarlierOne) {
  SystemOptions options = OneRunnerThatKeepsItsId();
  options.birth_step = Duration(-60000);
  EmulatedSystem back(options);
  back.Run(Duration(3000));
  for (int i = 0; i < 3; ++i) {
    const JobId job = SchedulerFixture::SubmitTo(
        &back, SchedulerFixture::Step(4, 1, Duration(500)));
    back.Run(Duration(3000));
    STRCMP_EQUAL("done", back.StateOf(job).c_str());
    back.CrashRunner(runner, Duration(600));
    back.Run(Duration(1500));
  }
  for (const std::string& what : back.violations()) FAIL(what.c_str());
}

// A start got no answer, and its runner started again before it came. The next
// life is told not to begin it, and only then the task starts again, in a small
// part of the time in which the start might have come.
TEST(Reborn, StartThatMayComeIsRuledOutInTheNextLifeBeforeItsTaskStartsAgain) {
  system.faults().orders_lost = 1;
  system.faults().late_order = Duration(12000);
  const JobId job = Submit(1, Duration(2000));
  system.Run(Duration(500));
  system.CrashRunner(runner, Duration(600));
  system.faults() = Faults();
  system.Run(Duration(5500));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  system.Run(Duration(14000));
  LONGS_EQUAL(1, MostStarts(job));
  CheckNoViolation();
}

// What ran on a life that is over by the time another scheduler takes over went
// with it.
TEST(Reborn, RunsOfALifeBeforeATakeOverStartAgainSoon) {
  const JobId job = Submit(2, Duration(3000));
  system.Run(Duration(500));
  for (int node = 0; node < 3; ++node) system.KillNode(node, Duration(1500));
  system.CrashRunner(runner, Duration(600));
  system.Run(Duration(9000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  LONGS_EQUAL(2, MostStarts(job));
  CheckNoViolation();
}

TEST(Reborn, CrashesOfARunnerThatComesBackUnderItsIdCountAgainstTheTask) {
  SystemOptions options;
  options.keeps_ids = true;
  EmulatedSystem fleet(options);
  fleet.Run(Duration(3000));
  dispatch::JobSpec spec;
  spec.steps = {SchedulerFixture::Step(1, 1, Duration(2500))};
  spec.policy.priority = 1;
  TaskTruth truth;
  truth.work = Duration(2500);
  truth.crashes_after = kCrashImmediately;
  const JobId job = fleet.Submit(spec, {truth});
  fleet.Run(Duration(60000));
  STRCMP_EQUAL("failed", fleet.StateOf(job).c_str());
  CHECK_TRUE(fleet.jobs().at(job).starts.begin()->second <= kMaxStarts);
  for (const std::string& what : fleet.violations()) FAIL(what.c_str());
}

}  // namespace limeledge::emulator
