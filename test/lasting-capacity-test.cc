/// @file
/// Tests of capacity that lasting tasks hold, and of other jobs that need it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>
#include <vector>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

class LastingCapacityFixture : public SchedulerFixture {
 public:
  /// Longer than any of these tests.
  static constexpr Duration kForever{1'000'000'000};
  /// The gang may use all racks after this time.
  static constexpr Duration kLocalityWait{2500};
  /// A job must not wait for longer while most capacity is idle.
  static constexpr Duration kOwedWithin{3000};

  /// Submits a job of lasting tasks that do not end by themselves.
  JobId SubmitLasting(int count, std::int64_t accelerators,
                      Duration estimate = Duration(1000)) {
    dispatch::JobSpec spec;
    spec.steps = {Step(count, accelerators, estimate)};
    spec.steps.front().long_running = true;
    spec.policy.priority = 1;
    TaskTruth truth;
    truth.work = kForever;
    return system.Submit(std::move(spec), {truth});
  }

  /// Submits a gang that needs all accelerators of that many runners.
  JobId SubmitGang(int runners, bool same_rack = false) {
    dispatch::StepSpec gang = Step(runners, 8, Duration(20000));
    gang.gang = true;
    gang.same_rack = same_rack;
    return Submit(gang);
  }

  /// Submits jobs with a later deadline than the gang's.
  std::vector<JobId> SubmitOthers() {
    std::vector<JobId> others;
    for (int i = 0; i < 10; ++i) {
      others.push_back(Submit(Step(1, 1, Duration(30000))));
    }
    return others;
  }

  void CheckAllStarted(const std::vector<JobId>& jobs) {
    for (const JobId& job : jobs) LONGS_EQUAL(1, Watch(job).starts.size());
  }
};

TEST_GROUP_BASE(LastingCapacity, LastingCapacityFixture){};

// Guards against idle runners that are kept for a gang until a lasting task
// ends, whose reported progress looks like that of a run that is about to end.
TEST(LastingCapacity, GangThatWaitsForALastingTaskKeepsNoRunnersFromOthers) {
  SubmitLasting(1, 1);
  system.Run(Duration(2000));
  const JobId gang = SubmitGang(8);
  system.Run(kLocalityWait);
  const std::vector<JobId> others = SubmitOthers();
  system.Run(kOwedWithin);
  CheckAllStarted(others);
  LONGS_EQUAL(0, Watch(gang).starts.size());
  CheckNoViolation();
}

// The same where only the estimate of the lasting task is known.
TEST(LastingCapacity, GangThatWaitsForALongEstimateKeepsNoRunnersFromOthers) {
  SubmitLasting(1, 1, Duration(60000));
  system.Run(Duration(500));
  SubmitGang(8);
  system.Run(kLocalityWait);
  const std::vector<JobId> others = SubmitOthers();
  system.Run(kOwedWithin);
  CheckAllStarted(others);
}

TEST(LastingCapacity, GangOfOneRackKeepsNoRunnersFromOthers) {
  SubmitLasting(2, 8);
  system.Run(Duration(2000));
  SubmitGang(8, true);
  system.Run(kLocalityWait);
  const std::vector<JobId> others = SubmitOthers();
  system.Run(kOwedWithin);
  CheckAllStarted(others);
}

// A scheduler that takes over knows the task from its row first.
TEST(LastingCapacity, GangKeepsNoRunnersFromOthersAfterATakeOver) {
  SubmitLasting(1, 1, Duration(60000));
  system.Run(Duration(2000));
  SubmitGang(8);
  system.Run(Duration(500));
  system.KillNode(system.leader(), Duration(500));
  system.Run(Duration(6000));
  const std::vector<JobId> others = SubmitOthers();
  system.Run(kOwedWithin);
  CheckAllStarted(others);
}

// The same for a run that does end, but only after a minute.
TEST(LastingCapacity, GangThatWaitsForALongRunKeepsNoRunnersFromOthers) {
  Submit(Step(1, 1, Duration(60000)));
  system.Run(Duration(2000));
  SubmitGang(8);
  system.Run(kLocalityWait);
  const std::vector<JobId> others = SubmitOthers();
  system.Run(kOwedWithin);
  CheckAllStarted(others);
}

// Runs that do end are waited for: otherwise small jobs would take each runner
// that becomes idle, and the gang would starve.
TEST(LastingCapacity, GangThatFitsOnceOthersEndStartsBeforeSmallJobs) {
  for (int i = 0; i < 64; ++i) Submit(Step(1, 1, Duration(1000)));
  system.Run(Duration(700));
  const JobId gang = SubmitGang(6);
  for (int i = 0; i < 20; ++i) {
    for (int k = 0; k < 16; ++k) Submit(Step(1, 1, Duration(21000)));
    system.Run(Duration(100));
  }
  system.Run(Duration(2000));
  LONGS_EQUAL(6, Watch(gang).starts.size());
}

}  // namespace limeledge::emulator
