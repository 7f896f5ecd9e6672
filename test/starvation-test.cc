/// @file
/// Tests that low-priority and late work is not starved.
//
// The planner used to keep racks for urgent work only, however long other work
// waited. Most jobs of the least urgent queue were never finished while up to
// a third of all accelerators stood idle in those racks. A gang that had missed
// its latest start could no longer preempt lower priorities and waited behind
// them. These tests check that the planner's rules take waiting into account.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "emulator/emulated_catalog.h"
#include "scheduler-fixture.h"

namespace limeledge::emulator {

namespace {

constexpr Duration kLong{60000};
constexpr int kRunnersPerRack = 4;
constexpr int kAcceleratorsPerRunner = 8;

}  // namespace

// One of two racks is reserved for urgent work; the other one is full.
class StarvationFixture : public SchedulerFixture {
 public:
  void setup() override {
    SchedulerFixture::setup();
    dispatch::StepSpec filling =
        Step(kRunnersPerRack, kAcceleratorsPerRunner, kLong);
    filling.data_rack = "r1-1";
    Submit(filling);
    system.Run(Duration(500));
  }

  std::size_t StartsOf(const JobId& job) { return Watch(job).starts.size(); }

  int RunsInUrgentRack(const JobId& job) {
    int runs = 0;
    for (const RunnerId& id : system.RunnerIds()) {
      EmulatedRunner* runner = system.FindRunner(id);
      if (runner->info().rack != "r1-0") continue;
      runner->ForEachRun([&](const dispatch::TaskName& name, int) {
        if (name.job == job) ++runs;
      });
    }
    return runs;
  }
};

TEST_GROUP_BASE(Starvation, StarvationFixture){};

TEST(Starvation, StepThatFitsNowhereElseUsesIdleUrgentRacks) {
  const JobId job = Submit(Step(1, 4, Duration(2000)));
  system.Run(Duration(2500));
  LONGS_EQUAL(1, StartsOf(job));
  CheckNoViolation();
}

TEST(Starvation, OrdinaryStepsLeaveHeadroomForUrgentWork) {
  const JobId job = Submit(Step(16, 1, Duration(20000)));
  system.Run(Duration(5000));
  LONGS_EQUAL(8, StartsOf(job));
}

TEST(Starvation, StepNearItsDeadlineUsesMoreOfTheUrgentRacks) {
  // The step meets its objective only if it starts within 5 s.
  const JobId job = Submit(Step(16, 1, Duration(2000)));
  system.Run(Duration(1000));
  LONGS_EQUAL(0, StartsOf(job));
  system.Run(Duration(3000));
  LONGS_EQUAL(16, StartsOf(job));
  CheckNoViolation();
}

TEST(Starvation, StepThatCannotBePreemptedStaysOutOfUrgentRacks) {
  dispatch::StepSpec lasting = Step(1, 1, Duration(2000));
  lasting.long_running = true;
  const JobId job = Submit(lasting);
  system.Run(Duration(9000));
  LONGS_EQUAL(0, StartsOf(job));
}

TEST(Starvation, StepsWithoutAcceleratorsLeaveHeadroomInCores) {
  // The urgent rack has capacity for 128 of these tasks, and three quarters of
  // its cores must stay idle.
  const JobId job = Submit(Step(300, 0, kLong));
  system.Run(Duration(5000));
  LONGS_EQUAL(32, RunsInUrgentRack(job));
}

TEST(Starvation, UrgentGangPreemptsRunsInUrgentRacks) {
  // Late work fills three of the four urgent runners and leaves one free.
  dispatch::JobSpec spec;
  spec.steps = {Step(24, 1, Duration(2000))};
  spec.policy.priority = 1;
  TaskTruth truth;
  truth.work = kLong;
  const JobId late = system.Submit(spec, {truth});
  system.Run(Duration(6000));
  LONGS_EQUAL(24, RunsInUrgentRack(late));
  dispatch::StepSpec gang = Step(2, 8, Duration(1000));
  gang.gang = true;
  const JobId urgent = Submit(gang, 0);
  system.Run(Duration(900));
  LONGS_EQUAL(2, StartsOf(urgent));
  LONGS_EQUAL(16, RunsInUrgentRack(late));
  CheckNoViolation();
}

TEST(Starvation, GangThatMissedItsObjectivePreemptsLowerPriorities) {
  SystemOptions options;
  options.runners = kRunnersPerRack;
  options.planner.urgent_share = 0;
  EmulatedSystem own(options);
  own.Run(Duration(3000));
  dispatch::JobSpec spec;
  spec.steps = {Step(kRunnersPerRack, kAcceleratorsPerRunner, Duration(4000))};
  spec.steps[0].gang = true;
  spec.policy.priority = 1;
  TaskTruth truth;
  truth.work = Duration(12000);
  const JobId gang = own.Submit(spec, {truth});
  own.Run(Duration(1000));
  SubmitTo(&own, Step(16, 1, kLong), kAdvisedPriority);
  own.Run(Duration(9500));
  // The gang loses a run when it is late already, and lower priorities take the
  // free capacity.
  const RunnerId lost = own.RunnerIds().front();
  own.KillRunner(lost, Duration(300));
  own.Run(Duration(8000));
  LONGS_EQUAL(2, own.jobs().at(gang).starts.begin()->second);
  for (const std::string& what : own.violations()) FAIL(what.c_str());
}

}  // namespace limeledge::emulator
