/// @file
/// Tests of load while some runners fail every run that they start.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <cstdint>
#include <vector>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(BrokenRunners, SchedulerFixture){
    /// Number of starts of all tasks of the job.
    static int Starts(const EmulatedSystem& other,
                      const JobId& job){int starts = 0;
for (const auto& [task, count] : other.jobs().at(job).starts) {
  starts += count;
}
return starts;
}  // namespace limeledge::emulator

/// Makes four runners fail every run that they start, or work again.
static void SetBroken(EmulatedSystem* other, bool broken) {
  const std::vector<RunnerId> runners = other->RunnerIds();
  for (const std::size_t i : {1, 6, 9, 14}) {
    other->FindRunner(runners[i])->SetBroken(broken);
  }
}  // namespace limeledge::emulator
}
;

// Guards against a broken runner that gets many tasks at once after its
// backoff: tasks that had failed there before used up their attempts, and their
// jobs failed.
TEST(BrokenRunners, JobsOutlastRunnersThatFailEveryRun) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    SystemOptions options;
    options.seed = seed;
    options.attempts = 2;
    options.runners = 16;
    EmulatedSystem own(options);
    own.Run(Duration(3000));
    std::vector<JobId> jobs;
    for (int i = 0; i < 16; ++i) {
      if (i == 4) SetBroken(&own, true);
      jobs.push_back(SubmitTo(&own, Step(24, 1, Duration(2000))));
      own.Run(Duration(500));
    }
    SetBroken(&own, false);
    own.Run(Duration(60000));
    for (const JobId& job : jobs) {
      STRCMP_EQUAL("done", own.StateOf(job).c_str());
    }
    for (const std::string& what : own.violations()) FAIL(what.c_str());
  }
}

// Guards against a runner that after its backoff gets as many tasks as it has
// accelerators: each of them lost an attempt there.
TEST(BrokenRunners, RunnerIsProbedWithOneRunAfterItsBackoff) {
  SystemOptions options;
  options.planner.urgent_share = 0;
  EmulatedSystem own(options);
  own.Run(Duration(3000));
  own.FindRunner(own.RunnerIds().front())->SetBroken(true);
  const JobId job = SubmitTo(&own, Step(80, 1, Duration(30000)));
  own.Run(Duration(1000));
  const int at_first = Starts(own, job);
  CHECK_TRUE(at_first >= 1);
  own.Run(Duration(2500));
  LONGS_EQUAL(at_first + 1, Starts(own, job));
}

TEST(BrokenRunners, RunnerThatWorksAgainIsUsedAgain) {
  for (const RunnerId& id : system.RunnerIds()) {
    system.FindRunner(id)->SetBroken(true);
  }
  Submit(Step(8, 8, Duration(1000)));
  system.Run(Duration(300));
  for (const RunnerId& id : system.RunnerIds()) {
    system.FindRunner(id)->SetBroken(false);
  }
  Submit(Step(24, 1, Duration(2000)));
  system.Run(Duration(8000));
  LONGS_EQUAL(0, system.CountWaitingJobs());
  CheckNoViolation();
}

}  // namespace limeledge::emulator
