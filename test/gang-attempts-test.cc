/// @file
/// Tests of how often a gang whose runs fail is started.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "scheduler-fixture.h"
#include "simulation-settings.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(GangAttempts, SchedulerFixture){};

// Guards against a third start of a gang that may fail twice: one member's
// runner is cut off while its run fails there, and is heard again only after
// the second run has failed.
TEST(GangAttempts, GangWaitsForARunThatMayHaveBeenItsLastAttempt) {
  SystemOptions options;
  options.attempts = 2;
  options.cut_off_entries_expire = true;
  EmulatedSystem other(options);
  TraceIfRequested(&other);
  other.Run(Duration(3000));
  dispatch::JobSpec spec;
  spec.steps = {Step(2, 6, Duration(1500))};
  spec.steps[0].gang = true;
  spec.policy.priority = 1;
  TaskTruth truth;
  truth.work = spec.steps[0].estimate;
  truth.always_fails = true;
  const JobId job = other.Submit(spec, {truth});
  other.Run(Duration(200));
  // What else runs there keeps the runner's lease in use.
  SubmitTo(&other, Step(2, 2, Duration(20000)));
  other.Run(Duration(300));
  const RunnerId cut_off = RunnerOf(&other, {job, 0, 0, 0});
  const RunnerId slow = RunnerOf(&other, {job, 0, 0, 1});
  // The member that fails first is the one behind the cut.
  other.FindRunner(slow)->SetSlowness(1.5);
  other.faults().unreachable_runners.insert(cut_off);
  other.Run(Duration(1200));
  CHECK_TRUE(other.FindRunner(cut_off)->HasNewEnds(0));
  other.Run(Duration(2800));
  other.faults() = Faults();
  other.Run(Duration(15000));
  STRCMP_EQUAL("failed", other.StateOf(job).c_str());
  for (const auto& [task, starts] : other.jobs().at(job).starts) {
    LONGS_EQUAL(2, starts);
  }
  for (const std::string& error : other.violations()) FAIL(error.c_str());
}

}  // namespace limeledge::emulator
