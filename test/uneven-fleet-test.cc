/// @file
/// Tests of placement on an emulated fleet whose runners differ lastingly.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <json/json.h>

#include <memory>
#include <sstream>
#include <string>
#include <utility>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

/// The load of a deployment with uneven runners: steps of small independent
/// tasks of which some are long, and urgent gangs that advance at the pace of
/// their slowest member. A third of the runners takes twice as long, which is
/// more than the objective of urgent jobs allows (`stretch` 1.5). There is
/// always room for a gang on runners that are not slow.
TEST_GROUP_BASE(UnevenFleet, SchedulerFixture) {
  static constexpr double kSlowPace = 2;

  static std::unique_ptr<EmulatedSystem> MakeSystem(
      dispatch::RunnerSpeedUse use) {
    SystemOptions options;
    options.runners = 24;
    options.runners_per_rack = 12;
    options.runner_paces = {1, 1, kSlowPace};
    options.bounds.gangs_in_step = true;
    options.runner_speeds = use;
    options.urgent_stretch = 1.5;
    options.urgent_slack = Duration(200);
    auto own = std::make_unique<EmulatedSystem>(options);
    own->Run(Duration(3000));
    return own;
  }
  static void SubmitBatch(EmulatedSystem * own) {
    dispatch::JobSpec spec;
    spec.steps = {Step(48, 1, Duration(1500))};
    spec.policy.priority = 1;
    TaskTruth truth;
    truth.work = Duration(1500);
    truth.tail_share = 0.03;
    truth.tail_factor = 7;
    own->Submit(std::move(spec), {truth});
  }
  static JobId SubmitGang(EmulatedSystem * own) {
    dispatch::StepSpec gang = Step(5, 4, Duration(1000));
    gang.gang = true;
    return SubmitTo(own, gang, 0);
  }
  static bool RunsOnSlowRunner(EmulatedSystem * own, const JobId& job) {
    bool slow = false;
    for (const RunnerId& id : own->RunnerIds()) {
      const EmulatedRunner* runner = own->FindRunner(id);
      runner->ForEachRun([&](const dispatch::TaskName& name, int) {
        if (name.job == job && runner->pace() > 1) slow = true;
      });
    }
    return slow;
  }
  /// Number of urgent gangs, of 30, that run on a slow runner after the runners
  /// were measured for 21 seconds.
  static int CountSlowGangs(dispatch::RunnerSpeedUse use) {
    const auto own = MakeSystem(use);
    int slow = 0;
    for (int i = 0; i < 60; ++i) {
      if (i % 2 == 0) SubmitBatch(own.get());
      const JobId gang = SubmitGang(own.get());
      own->Run(Duration(400));
      if (i >= 30 && RunsOnSlowRunner(own.get(), gang)) ++slow;
      own->Run(Duration(300));
    }
    for (const std::string& error : own->violations()) FAIL(error.c_str());
    return slow;
  }
};

// Guards against urgent gangs on runners that were measured to be slow.
TEST(UnevenFleet, UrgentGangsAvoidMeasuredSlowRunnersIfSpeedsAreInUse) {
  const int off = CountSlowGangs(dispatch::RunnerSpeedUse::kOff);
  const int on = CountSlowGangs(dispatch::RunnerSpeedUse::kOn);
  CHECK_TRUE(off >= 20);
  CHECK_TRUE(on <= 3);
}

// Guards against speeds that have to be switched on by hand.
TEST(UnevenFleet, SpeedsAreInUseByThemselves) {
  CHECK_TRUE(CountSlowGangs(dispatch::RunnerSpeedUse::kAuto) <= 10);
}

// Guards against a scheduler that keeps what it measured on every runner that
// ever was.
TEST(UnevenFleet, SpeedsOfRunnersThatAreGoneAreDropped) {
  const auto own = MakeSystem(dispatch::RunnerSpeedUse::kAuto);
  const auto measured = [&own] {
    Json::Value dump;
    std::istringstream(own->DumpOf(own->leader())) >> dump;
    return dump["scheduler"]["speeds"]["measured"].asInt();
  };
  for (int i = 0; i < 10; ++i) {
    SubmitBatch(own.get());
    own->Run(Duration(1400));
  }
  // Long tasks end, so that none is measured on the next incarnations.
  own->Run(Duration(40000));
  CHECK_TRUE(measured() > 6);
  for (const RunnerId& id : own->RunnerIds()) {
    own->KillRunner(id, Duration(1000));
  }
  own->Run(Duration(30000));
  LONGS_EQUAL(0, measured());
}

// Guards against gangs that end when their fastest member is done.
TEST(UnevenFleet, GangAdvancesAtThePaceOfItsSlowestMember) {
  SystemOptions options;
  options.runners = 2;
  options.runner_paces = {1, kSlowPace};
  options.bounds.gangs_in_step = true;
  EmulatedSystem own(options);
  own.Run(Duration(3000));
  dispatch::StepSpec gang = Step(2, 8, Duration(2000));
  gang.gang = true;
  const JobId job = SubmitTo(&own, gang, 0);
  own.Run(Duration(3500));
  STRCMP_EQUAL("running", own.StateOf(job).c_str());
  own.Run(Duration(1500));
  STRCMP_EQUAL("done", own.StateOf(job).c_str());
}

// Guards against tails that change the work of each run anew, or of one member
// of a gang only.
TEST(UnevenFleet, TailsBelongToTasks) {
  PromiseOracle oracle(3, CancelBounds());
  dispatch::JobSpec spec;
  spec.id = JobId("tails");
  spec.steps = {Step(1000, 1, Duration(100)), Step(1000, 1, Duration(100))};
  spec.steps[1].gang = true;
  TaskTruth truth;
  truth.work = Duration(100);
  truth.tail_share = 0.05;
  truth.tail_factor = 7;
  oracle.Watch(spec, {truth, truth});
  int tails = 0;
  for (int i = 0; i < 1000; ++i) {
    const dispatch::TaskName name{spec.id, 0, 0, i};
    const Duration work = oracle.TruthOf(name).work;
    CHECK_TRUE(work == oracle.TruthOf(name).work);
    if (work == Duration(700)) ++tails;
    const Duration member = oracle.TruthOf({spec.id, 0, 1, i}).work;
    CHECK_TRUE(member == oracle.TruthOf({spec.id, 0, 1, 0}).work);
  }
  CHECK_TRUE(tails > 25 && tails < 80);
}

}  // namespace limeledge::emulator
