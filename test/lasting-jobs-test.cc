/// @file
/// Tests of jobs whose tasks last until the job is cancelled.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <string>
#include <vector>

#include "crash-fixture.h"

namespace limeledge::emulator {

class LastingJobsFixture : public CrashFixture {
 public:
  static constexpr int kCrashes = 6;
  /// Longer than any of these tests.
  static constexpr Duration kForever{1'000'000'000};

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

  static TaskTruth Crashes(Duration after) {
    TaskTruth truth = Runs(kForever);
    truth.crashes_after = after;
    return truth;
  }

  int CountRuns(const JobId& job) {
    int runs = 0;
    for (const RunnerId& id : system.RunnerIds()) {
      system.FindRunner(id)->ForEachRun(
          [&](const dispatch::TaskName& name, int) {
            if (name.job == job) ++runs;
          });
    }
    return runs;
  }

  /// Runs the system until the job has a run; returns how long that took.
  Duration RunUntilStarted(const JobId& job) {
    const TimePoint from = system.now();
    while (RunnerOf(job) == RunnerId() && system.now() - from < kOwedWithin) {
      system.Run(Duration(100));
    }
    return system.now() - from;
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

  /// A lasting task is owed a run from 6 s after its last one, within 3 s.
  static constexpr Duration kOwedWithin{9000};
};

TEST_GROUP_BASE(LastingJobs, LastingJobsFixture){};

// Guards against a service that is reported as failed after the fourth crash of
// its runners, although no run of it failed.
TEST(LastingJobs, TaskWhoseRunnerCrashesSixTimesGoesOn) {
  const JobId job = SubmitLasting(&system, Lasting(1, 1), Runs(kForever));
  for (int i = 0; i < kCrashes; ++i) {
    CHECK_TRUE(RunUntilStarted(job) < kOwedWithin);
    system.Run(Duration(7000));
    system.CrashRunner(RunnerOf(job), Duration(4500));
  }
  CHECK_TRUE(RunUntilStarted(job) < kOwedWithin);
  system.Run(Duration(20000));
  CheckEndsByCancelOnly(job);
}

// The same where each crash follows the start, which is what a task looks like
// that crashes its runners.
TEST(LastingJobs, TaskThatCrashesItsRunnersAtOnceGoesOn) {
  const JobId job =
      SubmitLasting(&system, Lasting(1, 1), Crashes(kCrashImmediately));
  system.Run(Duration(120000));
  // At least one start in 9 s, and none more often than each 4 s.
  CHECK_TRUE(StartsOfFirst(job) >= 13);
  CHECK_TRUE(StartsOfFirst(job) <= 30);
  CheckEndsByCancelOnly(job);
}

// Guards against a service that waits for the fate of silent runners, which may
// take 20 s for each.
TEST(LastingJobs, TaskWhoseRunnersFallSilentIsStartedAgainInTime) {
  const JobId job = SubmitLasting(&system, Lasting(1, 1), Runs(kForever));
  system.Run(Duration(1000));
  for (int i = 0; i < 5; ++i) {
    system.faults().mute_runners.insert(RunnerOf(job));
    const int starts = StartsOfFirst(job);
    system.Run(kOwedWithin);
    CHECK_TRUE(StartsOfFirst(job) > starts);
  }
  system.faults() = Faults();
  system.Run(Duration(20000));
  CheckEndsByCancelOnly(job);
}

TEST(LastingJobs, CrashesUnderSeveralSchedulersDoNotEndTheJob) {
  const JobId job =
      SubmitLasting(&system, Lasting(1, 1), Crashes(Duration(3000)));
  for (int i = 0; i < 12; ++i) {
    system.Run(Duration(6500));
    if (system.leader() >= 0) system.KillNode(system.leader(), Duration(500));
  }
  system.Run(Duration(20000));
  CHECK_TRUE(StartsOfFirst(job) > kMaxStarts);
  CheckEndsByCancelOnly(job);
}

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

TEST(LastingJobs, GangThatCrashesItsRunnersGoesOn) {
  const JobId job =
      SubmitLasting(&system, LastingGang(3, 4), Crashes(Duration(2500)));
  system.Run(Duration(120000));
  CHECK_TRUE(StartsOfFirst(job) > kMaxStarts);
  CheckEndsByCancelOnly(job);
}

// Guards against a service that fails at once over and over and makes one
// runner after another look as if it failed whatever it starts.
TEST(LastingJobs, TaskThatFailsWithinASecondDoesNotCrowdOutOthers) {
  const JobId job = SubmitLasting(&system, Lasting(1, 1), Fails(Duration(800)));
  system.Run(Duration(20000));
  std::vector<JobId> others;
  for (int i = 0; i < 40; ++i) {
    others.push_back(Submit(Step(2, 4, Duration(2000))));
    system.Run(Duration(1500));
  }
  const int starts = StartsOfFirst(job);
  system.Run(Duration(3500));
  for (const JobId& other : others) {
    STRCMP_EQUAL("done", system.StateOf(other).c_str());
    LONGS_EQUAL(1, Watch(other).starts.begin()->second);
  }
  CHECK_TRUE(starts >= 9);
  CHECK_TRUE(starts <= 25);
  CheckEndsByCancelOnly(job);
}

// A task that crashes its runners after seconds must not take the work of
// others with it each time.
TEST(LastingJobs, TaskThatKeepsCrashingIsKeptOffTheRunnersOfOthers) {
  const JobId job =
      SubmitLasting(&system, Lasting(1, 1), Crashes(Duration(6000)));
  system.Run(Duration(30000));
  const int crashes = system.crashes().crashes;
  const double lost = system.crashes().bystanders_work;
  for (int i = 0; i < 60; ++i) {
    Submit(Step(2, 4, Duration(2500)));
    system.Run(Duration(1000));
  }
  CHECK_TRUE(system.crashes().crashes - crashes >= 3);
  DOUBLES_EQUAL(lost, system.crashes().bystanders_work, 0);
  CheckEndsByCancelOnly(job);
}

// Guards against tasks of a service that wait for each other because all of
// them were lost with the same runners, and only one of them at a time is tried
// on a runner.
TEST(LastingJobs, TasksLostTogetherAgainAreAllStartedInTime) {
  constexpr int kTasks = 16;
  const JobId job = SubmitLasting(&system, Lasting(kTasks, 1), Runs(kForever));
  system.Run(Duration(7000));
  for (int i = 0; i < 5; ++i) {
    LONGS_EQUAL(kTasks, CountRuns(job));
    system.CrashRunner(RunnerOf(job), Duration(4500));
    system.Run(kOwedWithin);
  }
  CheckEndsByCancelOnly(job);
}

// Guards against losses that add up over the life of a service, as they did
// where no run lasts more than twice as long as the one before it.
TEST(LastingJobs, TaskWhoseRunnerCrashesOnceAnHourLivesOn) {
  SystemOptions options;
  options.nodes = 1;
  options.runners = 1;
  EmulatedSystem small(options);
  small.Run(Duration(3000));
  constexpr Duration kHour{3'600'000};
  constexpr int kHours = 6;
  const JobId job = SubmitLasting(&small, Lasting(1, 1), Crashes(kHour));
  small.Run(kHour * kHours + Duration(600000));
  STRCMP_EQUAL("running", small.StateOf(job).c_str());
  LONGS_EQUAL(kHours, small.crashes().crashes);
  LONGS_EQUAL(kHours + 1, small.jobs().at(job).starts.begin()->second);
  for (const std::string& what : small.violations()) FAIL(what.c_str());
}

}  // namespace limeledge::emulator
