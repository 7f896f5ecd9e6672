/// @file
/// Tests of runners that a new scheduler never hears, and that carry out late
/// calls to an earlier incarnation.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstddef>

#include "early-call-fixture.h"

namespace limeledge::emulator {

/// Calls are carried out when nobody waits for their answers any more, by a
/// runner that the next scheduler never hears.
struct UnheardRunnerFixture : EarlyCallFixture {
  static constexpr Duration kLatest{12000};

  JobId job;

  void setup() override {
    EarlyCallFixture::setup();
    system.faults() = Faults();
    system.faults().late_order = kLatest;
    system.faults().min_late_order = kLatest;
  }

  /// Submits a job whose start gets no answer and is carried out at the latest.
  void SubmitWithLateStart() {
    system.faults().orders_lost = 1;
    job = Submit(1, kLongWork);
    system.Run(Duration(100));
    system.faults().orders_lost = 0;
  }

  /// Cuts the leader and the runner off from everything but each other.
  void CutOffWithLeader() {
    system.faults().partitioned_nodes = {system.leader()};
    system.faults().nodes_without_store = {system.leader()};
    system.faults().partitioned_runners = {runner};
    system.faults().unlisted_runners = {runner};
  }

  /// Ends the leader and restarts the runner.
  void EndLeaderAndRestartRunner() {
    system.KillNode(*system.faults().partitioned_nodes.begin(),
                    Duration(60000));
    system.CrashRunner(runner, Duration(100));
  }

  /// Lets the next scheduler start the task again on the other runner. Checks
  /// that the late start was carried out and that only one run was active at a
  /// time. Runs of late starts are no violations in themselves.
  void CheckTaskRunsOnceAtATime() {
    system.Cancel(filler);
    std::size_t most = 0;
    for (int i = 0; i < 4500; ++i) {
      system.Run(Duration(10));
      most = std::max(most, CountRuns());
    }
    LONGS_EQUAL(2, system.jobs().at(job).starts.begin()->second);
    LONGS_EQUAL(1, most);
  }

 private:
  std::size_t CountRuns() {
    std::size_t runs = 0;
    for (const RunnerId& id : system.RunnerIds()) {
      system.FindRunner(id)->ForEachRun(
          [&](const dispatch::TaskName& name, int) {
            if (name.job == job) ++runs;
          });
    }
    return runs;
  }
};

TEST_GROUP_BASE(UnheardRunner, UnheardRunnerFixture){};

// A start that waits for the next incarnation is carried out within a second,
// and the scheduler that sent it renews the lease on that incarnation's clock,
// as long as it may without the store.
TEST(UnheardRunner, HoldsNoLeaseOfAPromptStartLongerThanASuccessorAssumes) {
  system.faults().resend_interval = Duration(20);
  system.CrashRunner(runner, Duration(900));
  job = Submit(1, kLongWork);
  system.Run(Duration(100));
  CutOffWithLeader();
  system.Run(Duration(900));
  CHECK_TRUE(SchedulerFixture::RunnerOf(&system, job) == runner);
  CheckTaskRunsOnceAtATime();
}

// Guards against a task that runs twice because a successor assumes that a
// start which arrives late grants five seconds, as its sender meant it to.
TEST(UnheardRunner, MayCarryOutALateStartUnderTheLongestLease) {
  SubmitWithLateStart();
  CutOffWithLeader();
  EndLeaderAndRestartRunner();
  CheckTaskRunsOnceAtATime();
}

// Guards against the same where a scheduler without the store renews the lease
// as long as it may, and its last poll arrives late, too.
TEST(UnheardRunner, MayRenewTheLeaseOfALateStartByALatePoll) {
  const JobId other = StartLongTask();
  SubmitWithLateStart();
  CutOffWithLeader();
  system.Run(Duration(8500));
  // Polls grant leases while the other task runs.
  CHECK_TRUE(SchedulerFixture::RunnerOf(&system, other) == runner);
  system.faults().polls_late = 1;
  system.Run(Duration(1100));
  system.faults().polls_late = 0;
  EndLeaderAndRestartRunner();
  CheckTaskRunsOnceAtATime();
}

}  // namespace limeledge::emulator
