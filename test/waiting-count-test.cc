/// @file
/// Tests of which jobs count as waiting.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>
#include <vector>

#include "dispatch/row_codec.h"
#include "scheduler-fixture.h"

namespace limeledge::emulator {

/// Jobs whose starts are rejected, by all runners.
class WaitingCountFixture : public SchedulerFixture {
 public:
  static constexpr int kJobs = 20;

  std::vector<JobId> jobs;

  void SubmitJobs() {
    for (int i = 0; i < kJobs; ++i) {
      jobs.push_back(Submit(Step(1, 1, Duration(60000))));
    }
  }

  void RejectStarts() {
    for (const RunnerId& id : system.RunnerIds()) {
      system.faults().rejecting_runners.insert(id);
    }
  }

  /// Checks for that many seconds that the answer tells of at least half of the
  /// jobs that have not started.
  void CheckCount(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      system.Run(Duration(1000));
      const std::int64_t waiting = system.CountWaitingJobs();
      int not_started = 0;
      for (const JobId& job : jobs) {
        if (Watch(job).starts.empty()) ++not_started;
      }
      CHECK_TRUE(2 * waiting >= not_started);
    }
  }

  static constexpr char kRowOfEarlierVersion[] =
      R"({"state":1,"begun":true,)"
      R"("steps":[{"k":0,"step":0,"tasks":[[0,0,2,0,"","",[],0]]}]})";

  static dispatch::Job MakeJob() {
    dispatch::JobSpec spec;
    spec.steps.resize(1);
    return dispatch::Job(spec);
  }

  static void Assign(dispatch::Job* job) {
    job->Assign({JobId(), 0, 0, 0}, 1, {RunnerId("i-1"), dispatch::StartTime()},
                "", TimePoint());
  }
};

TEST_GROUP_BASE(WaitingCount, WaitingCountFixture){};

// Guards against jobs that are not counted as waiting because a start of them
// was sent, although their runners rejected it.
TEST(WaitingCount, JobsWhoseStartsAreRejectedAreCounted) {
  RejectStarts();
  SubmitJobs();
  CheckCount(12);
  system.faults().rejecting_runners.clear();
  system.Run(Duration(8000));
  LONGS_EQUAL(0, system.CountWaitingJobs());
}

// The count once outlived the scheduler that had made it.
TEST(WaitingCount, JobsWhoseStartsWereRejectedAreCountedAfterATakeOver) {
  RejectStarts();
  SubmitJobs();
  system.Run(Duration(6000));
  system.KillNode(system.leader(), Duration(500));
  CheckCount(12);
}

// Their runners may not have begun them either.
TEST(WaitingCount, JobsWhoseStartsGotNoAnswerAreCounted) {
  system.faults().orders_lost = 1;
  system.faults().min_late_order = Duration(30000);
  system.faults().late_order = Duration(30000);
  SubmitJobs();
  CheckCount(12);
}

TEST(WaitingCount, JobsThatRunAreNotCountedAfterATakeOver) {
  SubmitJobs();
  system.Run(Duration(4000));
  LONGS_EQUAL(0, system.CountWaitingJobs());
  system.KillNode(system.leader(), Duration(500));
  system.Run(Duration(10000));
  LONGS_EQUAL(0, system.CountWaitingJobs());
}

TEST(WaitingCount, JobIsQueuedUntilARunnerHasBegunIt) {
  RejectStarts();
  SubmitJobs();
  system.Run(Duration(6000));
  int queued = 0;
  for (const JobId& job : jobs) {
    if (system.StateOf(job) == "queued") ++queued;
  }
  CHECK_TRUE(queued > kJobs / 2);
  system.faults().rejecting_runners.clear();
  system.Run(Duration(8000));
  for (const JobId& job : jobs) {
    STRCMP_EQUAL("running", system.StateOf(job).c_str());
  }
}

// Rows of earlier versions count a job as begun once a run was assigned.
TEST(WaitingCount, RowOfAnEarlierVersionDoesNotTellThatAJobHasBegun) {
  dispatch::Job job = MakeJob();
  CHECK_TRUE(dispatch::DecodeProgress(kRowOfEarlierVersion, &job).ok());
  CHECK_FALSE(job.has_begun());
}

TEST(WaitingCount, RowOfAnEarlierVersionWithAFailedRunTellsThatAJobHasBegun) {
  dispatch::Job job = MakeJob();
  const std::string row =
      R"({"state":1,"begun":true,)"
      R"("steps":[{"k":0,"step":0,"tasks":[[0,0,2,1,"","",[],0]]}]})";
  CHECK_TRUE(dispatch::DecodeProgress(row, &job).ok());
  CHECK_TRUE(job.has_begun());
}

TEST(WaitingCount, RowTellsThatAJobHasBegunOnceARunnerSaidSo) {
  dispatch::Job job = MakeJob();
  Assign(&job);
  dispatch::Job assigned = MakeJob();
  CHECK_TRUE(
      dispatch::DecodeProgress(dispatch::EncodeProgress(job), &assigned).ok());
  CHECK_FALSE(assigned.has_begun());
  job.RecordBegun();
  dispatch::Job begun = MakeJob();
  CHECK_TRUE(
      dispatch::DecodeProgress(dispatch::EncodeProgress(job), &begun).ok());
  CHECK_TRUE(begun.has_begun());
}

}  // namespace limeledge::emulator
