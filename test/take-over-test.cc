/// @file
/// Tests of runs that outlast their scheduler.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "scheduler-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(TakeOver, SchedulerFixture){};

TEST(TakeOver, KilledSchedulerIsReplacedAndWorkGoesOn) {
  const JobId running = Submit(Step(4, 1, Duration(6000)));
  system.Run(Duration(1000));
  system.KillNode(system.leader(), Duration(60000));
  const JobId later = Submit(Step(1, 1, Duration(200)));
  system.Run(Duration(4000));
  STRCMP_EQUAL("done", system.StateOf(later).c_str());
  system.Run(Duration(4000));
  STRCMP_EQUAL("done", system.StateOf(running).c_str());
  // What ran outlasted the take-over.
  for (const auto& [task, starts] : Watch(running).starts) {
    LONGS_EQUAL(1, starts);
  }
  CheckNoViolation();
}

// A job waited for 16 s for a runner that was gone when its scheduler was lost.
TEST(TakeOver, RunsOfAGoneRunnerStartAgainSoonAfterATakeOver) {
  const JobId job = Submit(Step(1, 8, Duration(4000)));
  system.Run(Duration(1000));
  RunnerId gone;
  for (const RunnerId& id : system.RunnerIds()) {
    system.FindRunner(id)->ForEachRun(
        [&](const dispatch::TaskName&, int) { gone = id; });
  }
  system.KillRunner(gone, Duration(60000));
  system.KillNode(system.leader(), Duration(60000));
  system.Run(Duration(10000));
  LONGS_EQUAL(2, Watch(job).starts.begin()->second);
  system.Run(Duration(6000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

// A gang of urgent work waited for 12 s for a runner that had left: a new
// scheduler heard the runner at once, and yet went on to reckon with the 15.8 s
// that a lease may last on one that was never heard.
TEST(TakeOver, RunsOfARunnerThatGoesOnceHeardStartAgainSooner) {
  const JobId job = Submit(Step(1, 8, Duration(9000)));
  system.Run(Duration(1000));
  system.KillNode(system.leader(), Duration(60000));
  system.Run(Duration(3000));
  RunnerId gone;
  for (const RunnerId& id : system.RunnerIds()) {
    system.FindRunner(id)->ForEachRun(
        [&](const dispatch::TaskName&, int) { gone = id; });
  }
  system.CrashRunner(gone, Duration(60000));
  // The longest lease that a runner takes, on a slow clock, from when it was
  // heard.
  system.Run(Duration(9600));
  LONGS_EQUAL(2, Watch(job).starts.begin()->second);
  system.Run(Duration(10000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

TEST(TakeOver, StoppedSchedulerHandsOverWithinASecond) {
  system.StopNode(system.leader());
  system.Run(Duration(700));
  CHECK_TRUE(system.leader() >= 0);
}

TEST(TakeOver, FrozenSchedulerThatWakesStartsNothing) {
  const int frozen = system.leader();
  system.FreezeNode(frozen, Duration(6000));
  const JobId job = Submit(Step(2, 1, Duration(200)));
  system.Run(Duration(9000));
  CHECK_TRUE(system.leader() != frozen);
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

// A scheduler that stood still went on as if no time had passed: it sent what
// had waited, and granted leases, before it learnt that another one schedules.
TEST(TakeOver, SchedulerThatStoodStillActsOnNothingBeforeItsRightIsConfirmed) {
  for (const int still_ms : {1600, 2500, 4000, 7000}) {
    EmulatedSystem other{SystemOptions()};
    other.Run(Duration(3000));
    other.faults().order_time = Duration(300);
    SubmitTo(&other, Step(24, 1, Duration(8000)));
    other.Run(Duration(400));
    other.FreezeNode(other.leader(), Duration(still_ms));
    other.Run(Duration(still_ms + 500));
    other.faults().store_answers_lost = 0.5;
    other.Run(Duration(3000));
    other.faults() = Faults();
    other.Run(Duration(20000));
    for (const std::string& what : other.violations()) FAIL(what.c_str());
    for (const auto& [id, watch] : other.jobs()) {
      STRCMP_EQUAL("done", other.StateOf(id).c_str());
    }
  }
}

// A take-over waited for every part of the store; meanwhile all leases ran out.
TEST(TakeOver, RunsGoOnThroughATakeOverWithAPartOfTheStoreAway) {
  std::vector<JobId> jobs;
  for (int i = 0; i < 12; ++i) {
    jobs.push_back(Submit(Step(1, 1, Duration(9000))));
  }
  system.Run(Duration(1000));
  system.faults().parts_down = {dispatch::JobPartition(jobs[0].value())};
  system.KillNode(system.leader(), Duration(500));
  system.Run(Duration(8000));
  system.faults().parts_down.clear();
  system.Run(Duration(6000));
  for (const JobId& job : jobs) {
    STRCMP_EQUAL("done", system.StateOf(job).c_str());
    for (const auto& [task, starts] : Watch(job).starts) LONGS_EQUAL(1, starts);
  }
  CheckNoViolation();
}

// A runner that was heard and then cut off, with a run of a job that was only
// read after that: its lease from the earlier scheduler was taken for over.
TEST(TakeOver, RunThatIsLearntLateIsNotStartedElsewhereBesideItself) {
  for (int cut_at = 2000; cut_at < 3600; cut_at += 100) {
    EmulatedSystem late{SystemOptions()};
    late.Run(Duration(3000));
    dispatch::JobSpec spec;
    spec.steps = {Step(1, 8, Duration(20000))};
    spec.policy.priority = 1;
    TaskTruth truth;
    truth.work = Duration(20000);
    const JobId job = late.Submit(spec, {truth});
    late.Run(Duration(1000));
    const RunnerId runner("i-4-1");
    late.faults().parts_down = {dispatch::JobPartition(job.value())};
    late.KillNode(late.leader(), Duration(500));
    late.Run(Duration(cut_at));
    late.faults().unreachable_runners = {runner};
    late.Run(Duration(100));
    late.faults().parts_down.clear();
    late.Run(Duration(9000));
    for (const std::string& what : late.violations()) FAIL(what.c_str());
  }
}

// A runner that does not refuse by itself would be filled over its room by runs
// beside those that are not known yet.
TEST(TakeOver, UnguardedRunnersGetNothingWhileRunsAreNotKnown) {
  SystemOptions options;
  options.enforces_capacity = false;
  EmulatedSystem open(options);
  open.Run(Duration(3000));
  const std::string away = dispatch::AllJobPartitions()[0];
  open.faults().parts_down = {away};
  open.KillNode(open.leader(), Duration(500));
  open.Run(Duration(5000));
  std::vector<JobId> jobs;
  for (int i = 0; i < 4; ++i) {
    dispatch::JobSpec spec;
    spec.steps = {Step(1, 1, Duration(300))};
    spec.policy.priority = 1;
    jobs.push_back(open.Submit(spec, {TaskTruth()}));
  }
  open.Run(Duration(2000));
  for (const JobId& job : jobs) CHECK_TRUE(open.jobs().at(job).starts.empty());
  open.faults().parts_down.clear();
  open.Run(Duration(5000));
  for (const JobId& job : jobs) {
    STRCMP_EQUAL("done", open.StateOf(job).c_str());
  }
}

// Each look that listed a run of a closed job sent another stop for it. Beside
// a start without an answer looks follow each other at once, so that hundreds
// of stops a second filled the queue of orders to that runner, and all later
// orders, the stops of cancelled jobs among them, waited behind them. A count
// of the orders in the queue, which grew with each look, proved it.
TEST(TakeOver, StopsOfRunsThatNobodyWaitsForDoNotHoldUpOtherOrders) {
  SystemOptions options;
  options.runners = 1;
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  const JobId closed = SubmitTo(&one, Step(4, 0, Duration(60000)));
  one.Run(Duration(1000));
  LONGS_EQUAL(4, one.jobs().at(closed).starts.size());
  // The stops of the first scheduler come to nothing, and so do all orders for
  // a while after the take-over.
  one.faults().orders_lost = 1;
  one.faults().late_order = Duration(60000);
  one.Cancel(closed);
  one.Run(Duration(300));
  one.RemoveNode(one.leader());
  SubmitTo(&one, Step(1, 0, Duration(60000)));
  one.Run(Duration(16000));
  one.faults() = Faults();
  const JobId next = SubmitTo(&one, Step(1, 0, Duration(500)));
  one.Run(Duration(3000));
  STRCMP_EQUAL("done", one.StateOf(next).c_str());
  LONGS_EQUAL(0, RacksOf(&one, closed).size());
}

// A job stayed as running for good: its rows were read by a new scheduler after
// the runner of its tasks had been replaced, and they were noted on the life
// that was over, which nobody looked at any more. Found by random courses.
TEST(TakeOver, RunsThatAreReadAfterTheirRunnerWentStartAgain) {
  const JobId job = Submit(Step(1, 1, Duration(4000)));
  system.Run(Duration(1000));
  RunnerId runner;
  for (const RunnerId& id : system.RunnerIds()) {
    system.FindRunner(id)->ForEachRun(
        [&](const dispatch::TaskName&, int) { runner = id; });
  }
  system.faults().parts_down = {dispatch::JobPartition(job.value())};
  system.KillNode(system.leader(), Duration(20000));
  system.Run(Duration(3000));
  system.CrashRunner(runner, Duration(1));
  system.Run(Duration(2000));
  system.faults().parts_down.clear();
  system.Run(Duration(20000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
}

}  // namespace limeledge::emulator
