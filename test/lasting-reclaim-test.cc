/// @file
/// Tests of guaranteed capacity that lasting tasks of other jobs hold.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

/// Eight runners of eight accelerators. The default workspace has 16 of them
/// guaranteed, the other one none.
class LastingReclaimFixture : public SchedulerFixture {
 public:
  static constexpr int kRunners = 8;
  /// Longer than any of these tests.
  static constexpr Duration kForever{1'000'000'000};
  /// A workspace gets its guaranteed capacity within this time.
  static constexpr Duration kReclaimTime{2900};

  EmulatedSystem own{Options()};
  std::set<JobId> lasting;

  void setup() override { own.Run(Duration(3000)); }

  static SystemOptions Options() {
    SystemOptions options;
    options.planner.urgent_share = 0;
    options.unguaranteed = {WorkspaceId("visitors")};
    return options;
  }

  static dispatch::StepSpec Lasting(int count, std::int64_t accelerators,
                                    int max_unavailable = -1) {
    dispatch::StepSpec step = Step(count, accelerators, Duration(10000));
    step.long_running = true;
    step.max_unavailable = max_unavailable;
    return step;
  }

  JobId SubmitLasting(const dispatch::StepSpec& step,
                      const char* workspace = "visitors", int priority = 1) {
    dispatch::JobSpec spec;
    spec.steps = {step};
    spec.workspace = WorkspaceId(workspace);
    spec.policy.priority = priority;
    TaskTruth truth;
    truth.work = kForever;
    JobId job = own.Submit(std::move(spec), {truth});
    lasting.insert(job);
    return job;
  }

  /// Submits one job for each runner, and waits until they are at work.
  void FillRunners(int max_unavailable = -1, int jobs = kRunners) {
    for (int i = 0; i < jobs; ++i) {
      SubmitLasting(Lasting(1, 8, max_unavailable));
    }
    own.Run(Duration(6000));
  }

  JobId SubmitUrgent(int runners) {
    dispatch::StepSpec step = Step(runners, 8, Duration(6000));
    step.gang = runners > 1;
    return SubmitTo(&own, step, 0);
  }

  std::size_t StartsOf(const JobId& job) {
    return own.jobs().at(job).starts.size();
  }

  /// Number of lasting tasks that run.
  int CountLasting() {
    int count = 0;
    for (const RunnerId& id : own.RunnerIds()) {
      own.FindRunner(id)->ForEachRun([&](const dispatch::TaskName& name, int) {
        if (lasting.count(name.job) != 0) ++count;
      });
    }
    return count;
  }

  /// The lowest number of lasting tasks that run at any time.
  int LowestLastingDuring(Duration time) {
    int lowest = CountLasting();
    for (const TimePoint end = own.now() + time; own.now() < end;) {
      own.Run(Duration(20));
      lowest = std::min(lowest, CountLasting());
    }
    return lowest;
  }

  void CheckStartsWithinGuarantee(const JobId& urgent, int runners) {
    own.Run(kReclaimTime);
    LONGS_EQUAL(runners, StartsOf(urgent));
    for (const std::string& error : own.violations()) FAIL(error.c_str());
  }
};

TEST_GROUP_BASE(LastingReclaim, LastingReclaimFixture){};

// Guards against guaranteed accelerators that a workspace never gets because
// lasting tasks of another one hold them.
TEST(LastingReclaim, UrgentJobPreemptsALastingTask) {
  FillRunners();
  CheckStartsWithinGuarantee(SubmitUrgent(1), 1);
  LONGS_EQUAL(kRunners - 1, CountLasting());
}

TEST(LastingReclaim, UrgentGangPreemptsLastingTasksOfTwoRunners) {
  FillRunners();
  CheckStartsWithinGuarantee(SubmitUrgent(2), 2);
}

TEST(LastingReclaim, UrgentJobPreemptsAllSmallerTasksOfARunner) {
  for (int i = 0; i < 2 * kRunners; ++i) SubmitLasting(Lasting(1, 4));
  own.Run(Duration(6000));
  CheckStartsWithinGuarantee(SubmitUrgent(1), 1);
  LONGS_EQUAL(2 * kRunners - 2, CountLasting());
}

TEST(LastingReclaim, UrgentJobPreemptsTasksOfOneLastingJob) {
  SubmitLasting(Lasting(kRunners, 8));
  own.Run(Duration(6000));
  CheckStartsWithinGuarantee(SubmitUrgent(1), 1);
}

TEST(LastingReclaim, UrgentJobPreemptsALastingGang) {
  dispatch::StepSpec gang = Lasting(kRunners, 8);
  gang.gang = true;
  SubmitLasting(gang);
  own.Run(Duration(6000));
  CheckStartsWithinGuarantee(SubmitUrgent(1), 1);
}

// Tasks of a lower priority make way for their own workspace's guarantee too.
TEST(LastingReclaim, UrgentJobPreemptsLastingTasksOfItsOwnWorkspace) {
  for (int i = 0; i < kRunners; ++i) SubmitLasting(Lasting(1, 8), "");
  own.Run(Duration(6000));
  CheckStartsWithinGuarantee(SubmitUrgent(1), 1);
}

TEST(LastingReclaim, UrgentJobPreemptsALastingTaskAfterATakeOver) {
  FillRunners();
  own.KillNode(own.leader(), Duration(500));
  own.Run(Duration(9000));
  CheckStartsWithinGuarantee(SubmitUrgent(1), 1);
}

// Tasks that are not stopped because of a limit must not hide those that may
// be.
TEST(LastingReclaim, UrgentGangPreemptsTheOnlyTasksThatMayBeStopped) {
  FillRunners(0, kRunners - 2);
  FillRunners(-1, 2);
  CheckStartsWithinGuarantee(SubmitUrgent(2), 2);
  LONGS_EQUAL(kRunners - 2, CountLasting());
}

TEST(LastingReclaim, UrgentJobPreemptsAsManyTasksAsMayBeUnavailable) {
  SubmitLasting(Lasting(kRunners, 8, 1));
  own.Run(Duration(6000));
  CheckStartsWithinGuarantee(SubmitUrgent(1), 1);
  LONGS_EQUAL(kRunners - 1, CountLasting());
}

// Guards against more tasks of a step that are stopped than it allows, by one
// step, by several in one pass, and while one task is away for another reason.
TEST(LastingReclaim, NoMoreTasksArePreemptedThanMayBeUnavailable) {
  SubmitLasting(Lasting(kRunners, 8, 1));
  own.Run(Duration(6000));
  const JobId gang = SubmitUrgent(2);
  LONGS_EQUAL(kRunners, LowestLastingDuring(Duration(4000)));
  own.Cancel(gang);
  own.Run(Duration(2000));
  const JobId first = SubmitUrgent(1);
  const JobId second = SubmitUrgent(1);
  LONGS_EQUAL(kRunners - 1, LowestLastingDuring(Duration(2000)));
  LONGS_EQUAL(1, StartsOf(first) + StartsOf(second));
}

TEST(LastingReclaim, TaskIsNotPreemptedWhileAnotherOneIsAway) {
  SubmitLasting(Lasting(kRunners, 8, 1));
  own.Run(Duration(6000));
  own.faults().mute_runners.insert(own.RunnerIds().front());
  own.Run(Duration(1500));
  SubmitUrgent(1);
  LONGS_EQUAL(kRunners, LowestLastingDuring(Duration(1500)));
}

// A stop takes capacity from a service for as long as the urgent job runs,
// while other work goes on where it stopped.
TEST(LastingReclaim, RunsThatEndMakeWayBeforeLastingTasks) {
  FillRunners(-1, kRunners - 1);
  SubmitTo(&own, Step(1, 8, Duration(60000)));
  own.Run(Duration(3000));
  CheckStartsWithinGuarantee(SubmitUrgent(1), 1);
  LONGS_EQUAL(kRunners - 1, CountLasting());
}

// Lasting tasks make way for guaranteed capacity only.
TEST(LastingReclaim, UrgentJobBeyondItsGuaranteePreemptsNoLastingTask) {
  FillRunners();
  const JobId urgent = SubmitUrgent(3);
  own.Run(Duration(10000));
  LONGS_EQUAL(0, StartsOf(urgent));
  LONGS_EQUAL(kRunners, CountLasting());
}

TEST(LastingReclaim, PreemptedTaskIsAtWorkAgainOnceTheUrgentJobIsDone) {
  FillRunners();
  const JobId urgent = SubmitUrgent(2);
  CheckStartsWithinGuarantee(urgent, 2);
  own.Run(Duration(8000));
  STRCMP_EQUAL("done", own.StateOf(urgent).c_str());
  LONGS_EQUAL(kRunners, CountLasting());
}

}  // namespace limeledge::emulator
