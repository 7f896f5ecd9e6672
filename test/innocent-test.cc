/// @file
/// Tests of tasks whose runners are lost for external causes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <vector>

#include "crash-fixture.h"

namespace limeledge::emulator {

// Losses with an external cause must not count against the tasks on the runner.
TEST_GROUP_BASE(Innocent, CrashFixture){};

TEST(Innocent, TaskOnRepeatedlyUnreachableRunnersIsNotGivenUp) {
  const JobId job = Submit(Step(1, 1, Duration(4000)));
  for (int i = 0; i < 6; ++i) {
    system.Run(Duration(600));
    const RunnerId runner = RunnerOf(job);
    system.faults().unreachable_runners = {runner};
    system.Run(Duration(9000));
    system.faults() = Faults();
    system.Run(Duration(100));
  }
  system.Run(Duration(20000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

// Guards against a task that is given up for unreachable runners. The fate of a
// runner that is unreachable for long is unknown. Four such runners in a row,
// each lost soon after a start of the task, make the task wait; two of them
// were then counted as crashes that the task had caused.
TEST(Innocent, TaskOfWhichRunnersAreCutOffForLongIsNotGivenUpAsSuspect) {
  const JobId job = Submit(Step(1, 1, Duration(9000)));
  for (int i = 0; i < 3; ++i) {
    system.Run(Duration(300));
    system.faults().mute_runners.insert(RunnerOf(job));
    system.Run(Duration(5100));
  }
  system.Run(Duration(300));
  system.faults().mute_runners.insert(RunnerOf(job));
  system.Run(Duration(14000));
  CHECK_FALSE(system.StateOf(job) == "failed");
  system.faults() = Faults();
  system.Run(Duration(30000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

TEST(Innocent, TaskOnRunnersThatDrainIsNotGivenUp) {
  const JobId job = Submit(Step(1, 1, Duration(6000)));
  for (int i = 0; i < 6; ++i) {
    system.Run(Duration(600));
    system.DrainRunner(RunnerOf(job), Duration(1500));
    system.Run(Duration(6000));
  }
  system.Run(Duration(20000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

TEST(Innocent, TaskThatOutlivesEarlierCrashesIsNotGivenUp) {
  const JobId job = Submit(Step(1, 1, Duration(40000)));
  for (const int well_ms : {500, 6000, 500, 6000, 500}) {
    system.Run(Duration(well_ms));
    system.KillRunner(RunnerOf(job), Duration(1000));
    system.Run(Duration(3500));
  }
  system.Run(Duration(50000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

TEST(Innocent, TasksOfRunnersThatLosePowerTogetherAreNotGivenUp) {
  std::vector<JobId> jobs;
  for (int i = 0; i < 3; ++i) {
    jobs.push_back(Submit(Step(4, 1, Duration(8000))));
    system.Run(Duration(1500));
    const std::vector<RunnerId> all = system.RunnerIds();
    for (const RunnerId& id : all) system.KillRunner(id, Duration(1000));
    system.Run(Duration(5000));
  }
  system.Run(Duration(40000));
  for (const JobId& job : jobs) {
    STRCMP_EQUAL("done", system.StateOf(job).c_str());
  }
  CheckNoViolation();
}

TEST(Innocent, OtherTasksAreDoneAlthoughOneCrashesTheirRunners) {
  std::vector<JobId> jobs;
  for (int i = 0; i < 4; ++i) {
    jobs.push_back(Submit(Step(4, 1, Duration(6000))));
  }
  system.Run(Duration(500));
  const JobId culprit =
      SubmitCrashing(Step(1, 1, Duration(2500)), kCrashImmediately);
  system.Run(Duration(60000));
  STRCMP_EQUAL("failed", system.StateOf(culprit).c_str());
  for (const JobId& job : jobs) {
    STRCMP_EQUAL("done", system.StateOf(job).c_str());
  }
  CheckNoViolation();
}

// Guards against refusals counted as crashes. A runner crashed and came back
// between two polls. Its next incarnation refused every start addressed to the
// previous one, and each refusal counted as a crash of the task that was to
// start.
TEST(Innocent, TaskWhoseStartAnotherLifeRefusesIsNotGivenUp) {
  SystemOptions options;
  options.runners = 1;
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  one.CrashRunner(RunnerId("i-0-1"), Duration(1));
  std::vector<JobId> jobs;
  for (int i = 0; i < 5; ++i) {
    jobs.push_back(SubmitTo(&one, Step(1, 1, Duration(500))));
  }
  one.Run(Duration(20000));
  for (const JobId& job : jobs) {
    STRCMP_EQUAL("done", one.StateOf(job).c_str());
  }
}

}  // namespace limeledge::emulator
