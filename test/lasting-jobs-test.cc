/// @file
/// Tests of jobs whose tasks last until the job is cancelled.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>

#include "crash-fixture.h"

namespace limeledge::emulator {

class LastingJobsFixture : public CrashFixture {
 public:
  static dispatch::StepSpec Lasting(int count, std::int64_t accelerators) {
    dispatch::StepSpec step = Step(count, accelerators, Duration(1000));
    step.long_running = true;
    return step;
  }

  static dispatch::StepSpec LastingGang(int count, std::int64_t accelerators) {
    dispatch::StepSpec step = Lasting(count, accelerators);
    step.gang = true;
    return step;
  }

  static JobId SubmitLasting(EmulatedSystem* to, const dispatch::StepSpec& step,
                             const TaskTruth& truth, int priority = 1) {
    dispatch::JobSpec spec;
    spec.steps = {step};
    spec.policy.priority = priority;
    return to->Submit(spec, {truth});
  }

  static TaskTruth Runs(Duration work) {
    TaskTruth truth;
    truth.work = work;
    return truth;
  }

  static TaskTruth Fails(Duration after) {
    TaskTruth truth = Runs(after);
    truth.always_fails = true;
    return truth;
  }

  /// The runner on which the first task of the job runs; empty if on none.
  RunnerId RunnerOf(const JobId& job) {
    RunnerId found;
    for (const RunnerId& id : system.RunnerIds()) {
      system.FindRunner(id)->ForEachRun(
          [&](const dispatch::TaskName& name, int) {
            if (name.job == job) found = id;
          });
    }
    return found;
  }

  /// Cancels the job and checks that nothing of it runs on.
  void CheckEndsByCancelOnly(const JobId& job) {
    STRCMP_EQUAL("running", system.StateOf(job).c_str());
    system.Cancel(job);
    system.Run(Duration(4000));
    STRCMP_EQUAL("cancelled", system.StateOf(job).c_str());
    CHECK_TRUE(RunnerOf(job) == RunnerId());
    CheckNoViolation();
  }
};

TEST_GROUP_BASE(LastingJobs, LastingJobsFixture){};

// Guards against a gang that is reported as failed after `attempts` failed
// runs, which a lasting task has no limit of.
TEST(LastingJobs, GangThatFailsSixTimesGoesOn) {
  const JobId job =
      SubmitLasting(&system, LastingGang(2, 1), Fails(Duration(3000)));
  system.Run(Duration(60000));
  CHECK_TRUE(StartsOfFirst(job) > 6);
  CheckEndsByCancelOnly(job);
}

TEST(LastingJobs, GangWhoseMemberEndsAsDoneIsStartedAgain) {
  const JobId job =
      SubmitLasting(&system, LastingGang(2, 1), Runs(Duration(3000)));
  system.Run(Duration(60000));
  CHECK_TRUE(StartsOfFirst(job) > 6);
  CheckEndsByCancelOnly(job);
}

}  // namespace limeledge::emulator
