/// @file
/// Tests of the summaries of open and settled jobs, which show starving jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <string>

#include "cli/delays.h"
#include "cli/open_jobs.h"
#include "cli/work_report.h"
#include "log-lines-fixture.h"

namespace limeledge {

// Summary of the queue that the fixture's job is in.
class OpenJobsFixture : public LogLinesFixture {
 public:
  QueueSummary Summary() {
    return MakeWorkReport(lines, 10).queue_summaries["sweep"];
  }

  /// Returns the only age band with jobs.
  AgeBand Band() {
    const QueueSummary summary = Summary();
    for (const AgeBand& band : summary.ages) {
      if (band.jobs > 0) return band;
    }
    return AgeBand();
  }

  std::int64_t CauseMs(const std::string& cause) {
    const AgeBand band = Band();
    const auto found = band.causes.find(cause);
    return found == band.causes.end() ? 0 : found->second.ms();
  }
};

TEST_GROUP_BASE(OpenJobs, OpenJobsFixture){};

TEST(OpenJobs, JobWithoutAnEndIsCountedAsOpen) {
  Submit(1000, "bb", "sweep", "roads");
  Assign(1100, "bb.0.0.0", 1);
  End(3000, "bb.0.0.0", 1, "done");
  Settle(3000, "bb");
  EndLogs(4000);
  LONGS_EQUAL(1, Summary().settled);
  LONGS_EQUAL(1, Summary().open);
}

TEST(OpenJobs, CancelledJobIsNotCounted) {
  Settle(3000, "aa", "cancelled");
  EndLogs(4000);
  LONGS_EQUAL(0, MakeWorkReport(lines, 10).queue_summaries.size());
}

TEST(OpenJobs, JobIsInTheBandOfItsAgeAtTheLastLine) {
  Submit(31000, "bb", "sweep", "roads");
  Submit(36000, "cc", "sweep", "roads");
  Submit(36001, "dd", "sweep", "roads");
  EndLogs(41000);
  const QueueSummary summary = Summary();
  LONGS_EQUAL(1, summary.ages[0].jobs);
  LONGS_EQUAL(1, summary.ages[1].jobs);
  LONGS_EQUAL(1, summary.ages[2].jobs);
  LONGS_EQUAL(0, summary.ages[3].jobs);
  LONGS_EQUAL(1, summary.ages[4].jobs);
  STRCMP_EQUAL("aa", summary.ages[4].worst.jobs().at(0).c_str());
}

TEST(OpenJobs, WaitWithoutALoggedEndLastsToTheLastLine) {
  Wait(1200, "aa.0.0", 3);
  EndLogs(9000);
  LONGS_EQUAL(200, CauseMs(kCauseDeciding));
  LONGS_EQUAL(7800, CauseMs("waits: no room"));
  LONGS_EQUAL(3, Band().tasks_not_done);
}

TEST(OpenJobs, RunWithoutALoggedEndIsWorkUpToItsExpectedLength) {
  Assign(1500, "aa.0.0.0", 1);
  EndLogs(4500);
  LONGS_EQUAL(2000, CauseMs(kCauseWork));
  LONGS_EQUAL(1000, CauseMs(kCauseLongRun));
  LONGS_EQUAL(500, CauseMs(kCauseDeciding));
}

TEST(OpenJobs, TaskWithoutARunForLongestDeterminesTheCauses) {
  Assign(1000, "aa.0.0.0", 1);
  Assign(1000, "aa.0.0.1", 1);
  Preempt(2000, "aa.0.0.1", "bb");
  End(2000, "aa.0.0.1", 1, "stopped");
  Wait(2000, "aa.0.0", 1);
  EndLogs(6000);
  LONGS_EQUAL(1000, CauseMs("lost run: made way for urgent work"));
  LONGS_EQUAL(4000, CauseMs("waits: no room"));
  LONGS_EQUAL(0, CauseMs(kCauseWork));
}

TEST(OpenJobs, RunThatBeganLastDeterminesTheCausesIfNoTaskWaits) {
  Assign(1000, "aa.0.0.0", 1);
  Assign(1800, "aa.0.0.1", 1);
  EndLogs(2500);
  LONGS_EQUAL(700, CauseMs(kCauseWork));
  LONGS_EQUAL(800, CauseMs(kCauseDeciding));
}

TEST(OpenJobs, WaitAfterAnEarlierStepHasItsOwnReason) {
  Assign(1000, "aa.0.0.0", 1);
  End(3000, "aa.0.0.0", 1, "done");
  Wait(3000, "aa.0.1", 2, "others make way");
  EndLogs(7000);
  LONGS_EQUAL(2000, CauseMs(kCauseWork));
  LONGS_EQUAL(4000, CauseMs("waits: others make way"));
  LONGS_EQUAL(2, Band().tasks_not_done);
}

TEST(OpenJobs, DoneTasksAreNotCountedAsUnfinished) {
  Assign(1000, "aa.0.0.0", 1);
  Assign(1000, "aa.0.0.1", 1);
  Wait(1000, "aa.0.0", 4);
  End(3000, "aa.0.0.0", 1, "done");
  EndLogs(4000);
  LONGS_EQUAL(5, Band().tasks_not_done);
}

TEST(OpenJobs, DelaysOfAnOpenJobAddUpToItsAge) {
  Assign(1200, "aa.0.0.0", 1);
  End(2500, "aa.0.0.0", 1, "failed");
  Assign(2600, "aa.0.0.0", 2);
  EndLogs(9500);
  const AgeBand band = Band();
  Duration sum;
  for (const auto& [cause, length] : band.causes) sum = sum + length;
  LONGS_EQUAL(8500, sum.ms());
}

TEST(OpenJobs, JobWhoseTasksAreAllDoneWaitsToBeSettled) {
  Assign(1000, "aa.0.0.0", 1);
  End(3000, "aa.0.0.0", 1, "done");
  EndLogs(3600);
  LONGS_EQUAL(600, CauseMs(kCauseSettling));
}

TEST(OpenJobs, RunsStoppedInOneMillisecondCountAsOnePreemption) {
  Assign(1000, "aa.0.0.0", 1);
  Assign(1000, "aa.0.0.1", 1);
  Preempt(2000, "aa.0.0.0", "bb");
  Preempt(2000, "aa.0.0.1", "bb");
  EndLogs(2500);
  LONGS_EQUAL(1, Band().preemption_counts[1]);
  LONGS_EQUAL(1, Summary().preemption_counts[1]);
}

TEST(OpenJobs, OtherMembersOfAPreemptedGangAreNotCounted) {
  Assign(1000, "aa.0.0.0", 1);
  Assign(1000, "aa.0.0.1", 1);
  Preempt(2000, "aa.0.0.0", "bb");
  End(2100, "aa.0.0.0", 1, "stopped");
  End(2200, "aa.0.0.1", 1, "broken");
  EndLogs(2500);
  LONGS_EQUAL(1, Band().preemption_counts[1]);
}

TEST(OpenJobs, MoreThanThreePreemptionsAreInTheLastClass) {
  std::int64_t begun_ms = 1000;
  for (int run = 1; run <= 4; ++run) {
    Assign(begun_ms, "aa.0.0.0", run);
    Preempt(begun_ms + 500, "aa.0.0.0", "bb");
    End(begun_ms + 600, "aa.0.0.0", run, "stopped");
    begun_ms += 1000;
  }
  EndLogs(6000);
  LONGS_EQUAL(0, Band().preemption_counts[0]);
  LONGS_EQUAL(1, Band().preemption_counts[3]);
}

TEST(OpenJobs, PreemptionsOfASettledJobAreCounted) {
  Assign(1000, "aa.0.0.0", 1);
  Preempt(1500, "aa.0.0.0", "bb");
  End(1600, "aa.0.0.0", 1, "stopped");
  Assign(1700, "aa.0.0.0", 2);
  End(3700, "aa.0.0.0", 2, "done");
  Settle(3700, "aa");
  LONGS_EQUAL(1, Summary().preemption_counts[1]);
  LONGS_EQUAL(0, Summary().open);
}

TEST(OpenJobs, LongestIdleTimeSpansTasksAndLastsToTheLastLine) {
  Assign(1300, "aa.0.0.0", 1);
  Assign(2000, "aa.0.0.1", 1);
  End(3300, "aa.0.0.0", 1, "failed");
  End(4000, "aa.0.0.1", 1, "failed");
  EndLogs(9000);
  LONGS_EQUAL(5000, Summary().longest_idle.ms());
  STRCMP_EQUAL("aa", Summary().longest_idle_job.c_str());
}

TEST(OpenJobs, RunWithoutALoggedEndIsNotIdleTime) {
  Assign(1300, "aa.0.0.0", 1);
  EndLogs(9000);
  LONGS_EQUAL(300, Summary().longest_idle.ms());
}

TEST(OpenJobs, TimeAfterAJobSettledIsNotIdleTime) {
  Assign(1300, "aa.0.0.0", 1);
  End(3300, "aa.0.0.0", 1, "done");
  Settle(3300, "aa");
  EndLogs(9000);
  LONGS_EQUAL(300, Summary().longest_idle.ms());
}

}  // namespace limeledge
