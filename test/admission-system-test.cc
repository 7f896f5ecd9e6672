/// @file
/// Tests of refusals in an emulated system of nodes, store and runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <vector>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(AdmissionSystem, SchedulerFixture) {
  /// From the start until capacity is known.
  static constexpr Duration kWarmUp{8000};

  static dispatch::StepSpec NeverServable() {
    dispatch::StepSpec step = Step(1, 1, Duration(500));
    step.required_label = "nobody-has-it";
    return step;
  }
  static dispatch::StepSpec Gang(int count) {
    dispatch::StepSpec step = Step(count, 8, Duration(2000));
    step.gang = true;
    return step;
  }

  /// True if the leader's row holds a forecast.
  static bool TellsForecast(EmulatedSystem * other) {
    const auto read = other->store().Read(dispatch::kLeadershipTable, "",
                                          dispatch::kLeaderKey, "", 1);
    return dispatch::DecodeLeader(read.rows.front().value)
        ->forecast.has_value();
  }
  bool HasRow(const JobId& job) {
    return !system.store()
                .Read(dispatch::kJobTable, dispatch::JobPartition(job.value()),
                      job.value(), job.value() + "/", 1)
                .rows.empty();
  }
};

// Load: a job that needs a label that nobody has.
TEST(AdmissionSystem, RefusedJobHasNoRow) {
  system.Run(kWarmUp);
  const JobId refused = Submit(NeverServable());
  const JobId accepted = Submit(Step(1, 1, Duration(500)));
  system.Run(Duration(5000));
  CHECK_FALSE(Watch(refused).accepted);
  CHECK_FALSE(Watch(refused).may_be_accepted);
  CHECK_FALSE(HasRow(refused));
  CHECK_TRUE(Watch(accepted).accepted);
  CheckNoViolation();
}

// Load: the same. Guards against refusals, and against a different row, with
// the switch off.
TEST(AdmissionSystem, SwitchOffAcceptsEverything) {
  SystemOptions options;
  options.admission.use = dispatch::AdmissionUse::kOff;
  EmulatedSystem off(options);
  off.Run(Duration(3000) + kWarmUp);
  const JobId job = SubmitTo(&off, NeverServable());
  off.Run(Duration(1000));
  CHECK_TRUE(off.jobs().at(job).accepted);
  CHECK_FALSE(TellsForecast(&off));
  system.Run(kWarmUp);
  CHECK_TRUE(TellsForecast(&system));
}

// Load: the same, right after a take-over. Guards against refusals by a
// scheduler that has just read the list, and by the row of a lost one.
TEST(AdmissionSystem, LostSchedulerMeansAccept) {
  system.Run(kWarmUp);
  system.RemoveNode(system.leader());
  system.Run(Duration(3500));
  const JobId job = Submit(NeverServable());
  system.Run(Duration(1000));
  CHECK_TRUE(Watch(job).accepted);
}

// Load: the same, after an outage of the store.
TEST(AdmissionSystem, OutageOfTheStoreMeansAccept) {
  system.Run(kWarmUp);
  system.faults().store_down = true;
  system.Run(Duration(4000));
  system.faults().store_down = false;
  const JobId job = Submit(NeverServable());
  system.Run(Duration(4000));
  CHECK_TRUE(Watch(job).accepted);
}

// Load: the same, while the store takes a second for each call.
TEST(AdmissionSystem, SlowStoreMeansAccept) {
  system.Run(kWarmUp);
  system.faults().store_slowness = 250;
  system.Run(Duration(6000));
  const JobId job = Submit(NeverServable());
  system.Run(Duration(8000));
  CHECK_TRUE(Watch(job).may_be_accepted);
  CHECK_TRUE(HasRow(job));
}

// Load: 200 urgent gangs of half the fleet each, which exceed all capacity,
// while a tenant submits a job within its guarantee of 16 accelerators.
TEST(AdmissionSystem, BurstBeyondAllCapacityRefusesOnlyWorkBeyondGuarantees) {
  system.Run(kWarmUp);
  for (int i = 0; i < 200; ++i) Submit(Gang(4), 0);
  system.Run(Duration(9000));
  const JobId refused = Submit(Gang(4), 0);
  const JobId guaranteed = Submit(Gang(2), 0);
  system.Run(Duration(400));
  CHECK_FALSE(Watch(refused).accepted);
  CHECK_FALSE(HasRow(refused));
  CHECK_TRUE(Watch(guaranteed).accepted);
  CheckNoViolation();
}

}  // namespace limeledge::emulator
