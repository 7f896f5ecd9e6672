/// @file
/// Tests of the oracle that checks runs against the guarantees to callers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <string>

#include "emulator/promise_oracle.h"

namespace limeledge::emulator {

using dispatch::ReportedEnd;
using dispatch::RunEnd;
using dispatch::TaskName;

// One watched job with two steps of one task each; the second step depends on
// the first.
TEST_GROUP(PromiseOracle) {
  PromiseOracle oracle{2};
  const JobId job{"00000000000000a1"};
  const RunnerId runner{"i-1"};
  const TaskName first{job, 0, 0, 0};
  const TaskName second{job, 0, 1, 0};

  void setup() override {
    dispatch::JobSpec spec;
    spec.id = job;
    spec.steps.resize(2);
    spec.steps[1].after = {0};
    oracle.Watch(spec, std::vector<TaskTruth>(2));
  }

  void Start(const TaskName& task, int run = 1) {
    dispatch::StartRun order;
    order.task = task;
    order.run = run;
    oracle.RecordStart(order);
  }

  /// Polls the runner, which reports `ends`; the poll acknowledges ends up to
  /// `acknowledged`.
  void Poll(std::int64_t acknowledged, const std::vector<ReportedEnd>& ends,
            bool lease_held = true) {
    dispatch::PollRunner poll;
    poll.target.incarnation.runner = runner;
    poll.acknowledged_end = acknowledged;
    dispatch::RunnerPolled answer;
    answer.ended = ends;
    oracle.RecordPoll(poll, answer,
                      [lease_held](std::int64_t) { return lease_held; });
  }

  /// The first task's run is active at time `ms`. Returns the number of
  /// violations so far.
  std::size_t ViolationsIfRunningAt(std::int64_t ms) {
    oracle.CheckCancelledRuns({{first, 1}}, TimePoint(ms));
    return oracle.violations().size();
  }

  /// The first task's run starts at time `ms`. Returns the number of violations
  /// so far.
  std::size_t ViolationsIfStartedAt(std::int64_t ms) {
    oracle.CheckStartAfterCancel({first, 1}, TimePoint(ms));
    return oracle.violations().size();
  }

  ReportedEnd EndOf(const TaskName& task, std::int64_t number, RunEnd end) {
    return {number, task, 1, end, ""};
  }
};

TEST(PromiseOracle, StartOfUnknownJobIsAViolation) {
  Start({JobId("00000000000000ff"), 0, 0, 0});
  CHECK_EQUAL(1, oracle.violations().size());
}

TEST(PromiseOracle, RestartBeforeAcknowledgementIsAViolationOnceAcknowledged) {
  Start(first, 1);
  Poll(0, {EndOf(first, 1, RunEnd::kDone)});
  Start(first, 2);
  CHECK(oracle.violations().empty());
  Poll(1, {});
  CHECK_EQUAL(1, oracle.violations().size());
}

// Guards against a failure that is counted twice because a previous scheduler's
// poll, which the runner rejects, is taken for an acknowledgement.
TEST(PromiseOracle, RejectedPollAcknowledgesNoEnd) {
  Start(first, 1);
  Poll(0, {EndOf(first, 1, RunEnd::kFailed)});
  dispatch::PollRunner rejected;
  rejected.target.incarnation.runner = runner;
  rejected.acknowledged_end = 1;
  dispatch::RunnerPolled answer;
  answer.outcome = dispatch::OrderOutcome::kFenced;
  oracle.RecordPoll(rejected, answer, [](std::int64_t) { return true; });
  LONGS_EQUAL(0, oracle.jobs().at(job).failures.at(first));
  Poll(0, {EndOf(first, 1, RunEnd::kFailed)});
  Poll(1, {});
  LONGS_EQUAL(1, oracle.jobs().at(job).failures.at(first));
}

TEST(PromiseOracle, RestartBeforeAcknowledgementIsAllowedAfterLeaseExpiry) {
  Start(first, 1);
  Poll(0, {EndOf(first, 1, RunEnd::kDone)});
  Start(first, 2);
  Poll(1, {}, /*lease_held=*/false);
  CHECK(oracle.violations().empty());
}

TEST(PromiseOracle,
     StartBeforeAllFailuresAreAcknowledgedIsAViolationOnceTheyAre) {
  Start(first, 1);
  Start(first, 2);
  Poll(0, {{1, first, 1, RunEnd::kFailed, ""},
           {2, first, 2, RunEnd::kFailed, ""}});
  Start(first, 3);
  CHECK(oracle.violations().empty());
  Poll(2, {});
  CHECK_EQUAL(1, oracle.violations().size());
}

TEST(PromiseOracle, StartAfterAcknowledgedEndIsAViolation) {
  Start(first);
  Poll(0, {EndOf(first, 1, RunEnd::kDone)});
  Start(first);
  CHECK(oracle.violations().empty());
  Poll(1, {});
  Start(first);
  CHECK_EQUAL(1, oracle.violations().size());
}

TEST(PromiseOracle, AcknowledgementAfterLeaseExpiryAllowsAnotherStart) {
  Start(first);
  Poll(0, {EndOf(first, 1, RunEnd::kDone)});
  Poll(1, {}, false);
  Start(first);
  CHECK(oracle.violations().empty());
}

TEST(PromiseOracle, StartBeforePrecedingStepsAreDoneIsAViolation) {
  Start(second);
  CHECK_EQUAL(1, oracle.violations().size());
}

TEST(PromiseOracle, StartAfterAllAttemptsFailedIsAViolation) {
  Poll(0, {EndOf(first, 1, RunEnd::kFailed), EndOf(first, 2, RunEnd::kFailed)});
  Poll(2, {});
  CHECK_EQUAL(2, oracle.Find(job)->reported_failures);
  Start(first);
  CHECK_EQUAL(1, oracle.violations().size());
}

TEST(PromiseOracle, ConcurrentRunsOfATaskAreAViolation) {
  oracle.CheckRunning({{first, 1}, {second, 1}});
  CHECK(oracle.violations().empty());
  oracle.CheckRunning({{first, 1}, {first, 2}});
  CHECK_EQUAL(1, oracle.violations().size());
}

// Guards against double runs that go unseen: the run of a misdelivered start is
// excused only as long as the scheduler cannot know of it.
TEST(PromiseOracle, StartBesideAListedRunOfAMisdeliveredStartIsAViolation) {
  const RunName misdelivered{first, 1};
  oracle.RecordMisdeliveredStart(misdelivered);
  dispatch::StartRun second_run;
  second_run.task = first;
  second_run.run = 2;
  second_run.target.fence.epoch = Epoch(7);
  const std::vector<RunName> running{misdelivered, {first, 2}};
  // It was listed to another scheduler only.
  oracle.RecordListedRuns({{first, 1, "", 0}}, Epoch(6), TimePoint(1000));
  oracle.CheckStartBesideListed(second_run, TimePoint(9000), running);
  CHECK(oracle.violations().empty());
  oracle.RecordListedRuns({{first, 1, "", 0}}, Epoch(7), TimePoint(8000));
  oracle.CheckStartBesideListed(second_run, TimePoint(9000), running);
  CHECK(oracle.violations().empty());
  oracle.CheckStartBesideListed(second_run, TimePoint(9600), running);
  CHECK_EQUAL(1, oracle.violations().size());
}

TEST(PromiseOracle, RepeatedlyReportedEndCountsOnce) {
  Poll(0, {EndOf(first, 1, RunEnd::kFailed)});
  Poll(0, {EndOf(first, 1, RunEnd::kFailed)});
  CHECK_EQUAL(1, oracle.Find(job)->reported_failures);
}

TEST(PromiseOracle, RunOfUncancelledJobMayContinue) {
  LONGS_EQUAL(0, ViolationsIfRunningAt(100000));
  LONGS_EQUAL(0, ViolationsIfStartedAt(100000));
}

TEST(PromiseOracle, RunThatOutlastsItsCancelledJobIsReportedOnce) {
  oracle.RecordCancellation(job, TimePoint(1000));
  LONGS_EQUAL(0, ViolationsIfRunningAt(4300));
  LONGS_EQUAL(1, ViolationsIfRunningAt(4301));
  LONGS_EQUAL(1, ViolationsIfRunningAt(4400));
}

TEST(PromiseOracle, StartLongAfterCancellationIsAViolation) {
  oracle.RecordCancellation(job, TimePoint(1000));
  LONGS_EQUAL(0, ViolationsIfStartedAt(4000));
  LONGS_EQUAL(1, ViolationsIfStartedAt(4001));
}

TEST(PromiseOracle, RepeatedCancellationDoesNotExtendTheLimit) {
  oracle.RecordCancellation(job, TimePoint(1000));
  oracle.RecordCancellation(job, TimePoint(4000));
  LONGS_EQUAL(1, ViolationsIfRunningAt(4301));
}

TEST(PromiseOracle, LimitCountsFromRecoveryAfterFault) {
  oracle.RecordCancellation(job, TimePoint(1000));
  oracle.RecordFault(TimePoint(4000));
  LONGS_EQUAL(0, ViolationsIfStartedAt(10000));
  LONGS_EQUAL(0, ViolationsIfRunningAt(10300));
  LONGS_EQUAL(1, ViolationsIfRunningAt(10301));
  LONGS_EQUAL(2, ViolationsIfStartedAt(10001));
}

TEST(PromiseOracle, MuteRunnerExcusesActiveRunsButNotStarts) {
  oracle.RecordCancellation(job, TimePoint(1000));
  oracle.RecordMuteRunner(TimePoint(4000));
  LONGS_EQUAL(0, ViolationsIfRunningAt(10300));
  LONGS_EQUAL(1, ViolationsIfRunningAt(10301));
  LONGS_EQUAL(2, ViolationsIfStartedAt(4001));
}

TEST(PromiseOracle, LateStartExtendsTheLimitOfItsRun) {
  oracle.RecordCancellation(job, TimePoint(1000));
  oracle.RecordLateStart({first, 1}, TimePoint(9000));
  LONGS_EQUAL(0, ViolationsIfStartedAt(9000));
  LONGS_EQUAL(0, ViolationsIfRunningAt(15300));
  LONGS_EQUAL(1, ViolationsIfRunningAt(15301));
}

TEST(PromiseOracle, LateStartDoesNotExtendTheLimitOfOtherRuns) {
  oracle.RecordCancellation(job, TimePoint(1000));
  oracle.RecordLateStart({first, 2}, TimePoint(9000));
  LONGS_EQUAL(1, ViolationsIfRunningAt(9000));
}

}  // namespace limeledge::emulator
