/// @file
/// Tests of the report of how time and work were spent.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <string>

#include "cli/work_report.h"
#include "log-lines-fixture.h"

namespace limeledge {

// Log lines of the job "aa", evaluated by cause and by fate.
class WorkReportFixture : public LogLinesFixture {
 public:
  /// Returns the job's time for a cause, in milliseconds.
  std::int64_t DelayOf(const std::string& cause) {
    const Histories histories = ReadHistories(lines);
    std::int64_t sum = 0;
    for (const Delay& delay :
         DelaysOf(histories.jobs.at("aa"), histories.leadership_terms)) {
      if (delay.cause == cause) sum += delay.length.ms();
    }
    return sum;
  }

  std::int64_t SumOfDelays() {
    const Histories histories = ReadHistories(lines);
    std::int64_t sum = 0;
    for (const Delay& delay :
         DelaysOf(histories.jobs.at("aa"), histories.leadership_terms)) {
      sum += delay.length.ms();
    }
    return sum;
  }

  WasteTotal WasteOf(RunFate fate) {
    const WorkReport report = MakeWorkReport(lines, 10);
    const auto found = report.waste.find(fate);
    return found == report.waste.end() ? WasteTotal() : found->second;
  }
};

TEST_GROUP_BASE(WorkReport, WorkReportFixture){};

TEST(WorkReport, RunLongerThanExpectedIsSplitAtItsExpectedLength) {
  Assign(1100, "aa.0.0.0", 1);
  End(3600, "aa.0.0.0", 1, "done");
  Settle(3610, "aa");
  LONGS_EQUAL(2000, DelayOf(kCauseWork));
  LONGS_EQUAL(500, DelayOf(kCauseLongRun));
  LONGS_EQUAL(100, DelayOf(kCauseDeciding));
  LONGS_EQUAL(10, DelayOf(kCauseSettling));
}

TEST(WorkReport, RunFarFromItsDataIsSplitAtTheLengthNearIt) {
  Line(1000, "run_assigned",
       {{"task", "aa.0.0.0"},
        {"run", "1"},
        {"runner", "i-1"},
        {"expected_ms", "3000"},
        {"near_ms", "1000"}});
  End(3800, "aa.0.0.0", 1, "done");
  Settle(3800, "aa");
  LONGS_EQUAL(1000, DelayOf(kCauseWork));
  LONGS_EQUAL(1800, DelayOf(kCauseFarRun));
}

TEST(WorkReport, DelaysOfAJobAddUpToItsTime) {
  Line(1200, "step_waits", {{"step", "aa.0.0"}, {"reason", "no room"}});
  Assign(2000, "aa.0.0.0", 1);
  End(2500, "aa.0.0.0", 1, "failed");
  Assign(2600, "aa.0.0.0", 2);
  End(4700, "aa.0.0.0", 2, "done");
  Settle(4700, "aa");
  LONGS_EQUAL(3700, SumOfDelays());
}

TEST(WorkReport, WaitHasTheReasonOfTheLatestLine) {
  Line(1200, "step_waits", {{"step", "aa.0.0"}, {"reason", "no room"}});
  Line(1500, "step_waits", {{"step", "aa.0.0"}, {"reason", "others make way"}});
  Assign(2000, "aa.0.0.0", 1);
  End(4000, "aa.0.0.0", 1, "done");
  Settle(4000, "aa");
  LONGS_EQUAL(200, DelayOf(kCauseDeciding));
  LONGS_EQUAL(300, DelayOf("waits: no room"));
  LONGS_EQUAL(500, DelayOf("waits: others make way"));
}

TEST(WorkReport, TimeWithoutASchedulerBeginsAtItsLastLine) {
  Line(1400, "runner_heard", {{"runner", "i-1"}});
  Line(3000, "leader_claimed", {{"epoch", "2"}}, "e2");
  Assign(3100, "aa.0.0.0", 1);
  End(5100, "aa.0.0.0", 1, "done");
  Settle(5100, "aa");
  Line(5200, "runner_heard", {{"runner", "i-1"}}, "e2");
  LONGS_EQUAL(1600, DelayOf(kCauseNoScheduler));
  LONGS_EQUAL(500, DelayOf(kCauseDeciding));
}

TEST(WorkReport, RestartOfTheSchedulersProcessEndsItsTerm) {
  Line(2500, "started", {});
  Line(3000, "leader_claimed", {{"epoch", "2"}});
  Assign(3000, "aa.0.0.0", 1);
  End(5000, "aa.0.0.0", 1, "done");
  Settle(5000, "aa");
  LONGS_EQUAL(2000, DelayOf(kCauseNoScheduler));
}

TEST(WorkReport, LostRunHasItsFateAsCause) {
  Assign(1000, "aa.0.0.0", 1);
  Line(1800, "run_displaced",
       {{"task", "aa.0.0.0"}, {"runner", "i-1"}, {"for", "bb"}});
  End(2000, "aa.0.0.0", 1, "stopped");
  Assign(2000, "aa.0.0.0", 2);
  End(4000, "aa.0.0.0", 2, "done");
  Settle(4000, "aa");
  LONGS_EQUAL(1000, DelayOf("lost run: made way for urgent work"));
}

TEST(WorkReport, EarlierStepIsPartOfTheTime) {
  Assign(1000, "aa.0.0.0", 1);
  End(2500, "aa.0.0.0", 1, "done");
  Assign(2600, "aa.0.1.0", 1);
  End(4100, "aa.0.1.0", 1, "done");
  Settle(4100, "aa");
  LONGS_EQUAL(3000, DelayOf(kCauseWork));
  LONGS_EQUAL(100, DelayOf(kCauseDeciding));
}

TEST(WorkReport, RefusedSubmitsCountUntilOneIsAccepted) {
  lines.clear();
  Line(0, "leader_claimed", {{"epoch", "1"}});
  Line(100, "call_answered",
       {{"call", "submit"}, {"path", "/q/aa"}, {"result", "not taken"}});
  Submit(1100, "aa", "sweep", "roads");
  Assign(1100, "aa.0.0.0", 1);
  End(3100, "aa.0.0.0", 1, "done");
  Settle(3100, "aa");
  LONGS_EQUAL(1000, DelayOf(kCauseNotAccepted));
}

TEST(WorkReport, WorkOfARunThatLeftACheckpointIsNotWasted) {
  Assign(1000, "aa.0.0.0", 1);
  End(2000, "aa.0.0.0", 1, "failed");
  Assign(2000, "aa.0.0.0", 2);
  End(4000, "aa.0.0.0", 2, "failed", "yes");
  const WasteTotal waste = WasteOf(RunFate::kFailed);
  LONGS_EQUAL(2, waste.runs);
  LONGS_EQUAL(1, waste.saved);
  DOUBLES_EQUAL(4.0, waste.accelerator_seconds, 0.001);
  DOUBLES_EQUAL(8.0, waste.core_seconds, 0.001);
}

TEST(WorkReport, MemberOfAGangHasTheFateOfTheFirstToEnd) {
  Assign(1000, "aa.0.0.0", 1, "i-1");
  Assign(1000, "aa.0.0.1", 1, "i-2");
  End(1500, "aa.0.0.0", 1, "failed");
  End(1600, "aa.0.0.1", 1, "broken");
  LONGS_EQUAL(2, WasteOf(RunFate::kFailed).runs);
  LONGS_EQUAL(0, WasteOf(RunFate::kStopped).runs);
}

TEST(WorkReport, RunOfACancelledJobHasTheFateCancelled) {
  Assign(1000, "aa.0.0.0", 1);
  Settle(1500, "aa", "cancelled");
  End(1700, "aa.0.0.0", 1, "stopped");
  LONGS_EQUAL(1, WasteOf(RunFate::kCancelled).runs);
}

TEST(WorkReport, RunThatANewSchedulerDidNotFindIsLostInFailover) {
  Assign(1000, "aa.0.0.0", 1);
  Line(3000, "leader_claimed", {{"epoch", "2"}}, "e2");
  End(3100, "aa.0.0.0", 1, "lapsed");
  LONGS_EQUAL(1, WasteOf(RunFate::kLostInFailover).runs);
}

TEST(WorkReport, PreemptedCapacityIsUsedIfTheJobStartsOnThatRunner) {
  Submit(1500, "bb", "check", "roads");
  Assign(1000, "aa.0.0.0", 1, "i-1");
  Line(1600, "run_displaced",
       {{"task", "aa.0.0.0"}, {"runner", "i-1"}, {"for", "bb"}});
  Assign(1000, "aa.0.0.1", 1, "i-2");
  Line(1600, "run_displaced",
       {{"task", "aa.0.0.1"}, {"runner", "i-2"}, {"for", "bb"}});
  End(2000, "aa.0.0.0", 1, "stopped");
  End(2000, "aa.0.0.1", 1, "stopped");
  Assign(2100, "bb.0.0.0", 1, "i-1");
  const WorkReport report = MakeWorkReport(lines, 10);
  const PreemptionTotal& check = report.preemptions.at("check");
  LONGS_EQUAL(1, check.jobs);
  LONGS_EQUAL(2, check.runs);
  LONGS_EQUAL(1, check.used_runs);
  LONGS_EQUAL(100, check.wait.ms());
}

// Guards against decisions that are counted for another job, or not at all
// because their line names a task instead of a job.
TEST(WorkReport, DecisionsAreTotalledByTextAndJob) {
  Line(1100, "submit_refused", {{"job", "bb"}, {"reason", "step too large"}});
  Line(1200, "submit_refused", {{"job", "bb"}, {"reason", "step too large"}});
  Line(1200, "submit_refused", {{"job", "cc"}, {"reason", "step too large"}});
  Line(1300, "step_deferred",
       {{"job", "aa"}, {"step", "aa.0.0"}, {"reason", "largest"}});
  Line(1400, "preemption_delayed", {{"job", "aa"}, {"step", "aa.0.0"}});
  Assign(1500, "aa.0.0.0", 1);
  Line(1600, "move_declined", {{"task", "aa.0.0.0"}, {"reason", "no gain"}});
  const WorkReport report = MakeWorkReport(lines, 10);
  LONGS_EQUAL(4, report.decisions.size());
  const DecisionTotal& refused =
      report.decisions.at("submit refused: step too large");
  LONGS_EQUAL(3, refused.decisions);
  LONGS_EQUAL(2, refused.jobs);
  STRCMP_EQUAL("bb", refused.top_jobs.jobs().front().c_str());
  for (const char* text :
       {"step placed after the others: largest", "waited instead of preempting",
        "run not moved: no gain"}) {
    const DecisionTotal& total = report.decisions.at(text);
    LONGS_EQUAL(1, total.decisions);
    STRCMP_EQUAL("aa", total.top_jobs.jobs().front().c_str());
  }
}

TEST(WorkReport, JobsAreTotalledByQueueWorkspaceAndSecond) {
  Assign(1400, "aa.0.0.0", 1);
  End(3400, "aa.0.0.0", 1, "done");
  Settle(3400, "aa");
  const WorkReport report = MakeWorkReport(lines, 10);
  LONGS_EQUAL(1, report.settled_jobs);
  LONGS_EQUAL(2400, report.queues.at("sweep").length.ms());
  LONGS_EQUAL(1, report.workspaces.at("roads").jobs);
  LONGS_EQUAL(1, report.worst_seconds.size());
  LONGS_EQUAL(1, report.worst_seconds[0].second);
  LONGS_EQUAL(400, report.worst_seconds[0].lost.ms());
  STRCMP_EQUAL(kCauseDeciding, report.worst_seconds[0].main_cause.c_str());
}

TEST(WorkReport, AcceptedJobWithoutAnEndIsOpen) {
  const WorkReport report = MakeWorkReport(lines, 10);
  LONGS_EQUAL(0, report.settled_jobs);
  LONGS_EQUAL(1, report.open_jobs.size());
}

TEST(WorkReport, NoLinesGiveAnEmptyReport) {
  LONGS_EQUAL(0, MakeWorkReport({}, 10).settled_jobs);
}

}  // namespace limeledge
