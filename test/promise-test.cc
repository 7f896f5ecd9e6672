/// @file
/// Focused tests of the promises about jobs, each with its faults.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "promise-fixture.h"

namespace limeledge {

TEST_GROUP_BASE(Promise, PromiseFixture){};

TEST(Promise, GuaranteeIsReclaimedFromFullRacks) {
  FillHall(600000);
  CheckReclaimed(Duration(3000));
}

TEST(Promise, GuaranteeIsReclaimedFromWorkersThatDoNotCheckpoint) {
  FillHall(600000);
  for (const auto& [id, worker] : cluster->workers()) {
    cluster->SetWorkerFaults(id, {false, true, false});
  }
  CheckReclaimed(Duration(6000));
}

TEST(Promise, GuaranteeIsReclaimedAlthoughThePlannerDies) {
  FillHall(600000);
  const JobSpec mine = Job("w1", 2, 4, 1000);
  cluster->Submit(0, mine);
  cluster->RunFor(Duration(30));
  const int planner = PlannerOf("a");
  CHECK_TRUE(planner >= 0);
  cluster->Kill(planner);
  CHECK_TRUE(RunUntil(mine.id, JobState::kRunning, Duration(14000)));
}

TEST(Promise, GuaranteeIsReclaimedPastABadWorker) {
  for (const auto& [id, worker] : cluster->workers()) {
    if (id.value() == "a-r1-w1") {
      cluster->SetWorkerFaults(id, {true, false, false});
    }
  }
  FillHall(600000);
  const JobSpec mine = Job("w1", 2, 4, 500);
  cluster->Submit(1, mine);
  CHECK_TRUE(RunUntil(mine.id, JobState::kDone, Duration(30000)));
}

TEST(Promise, GangStartsWholeAlthoughOneMemberRefuses) {
  cluster->SetWorkerFaults(WorkerId("a-r1-w1"), {false, false, true});
  const JobSpec gang = Job("w1", 2, 4, 500);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(20000)));
}

TEST(Promise, GangThatLosesAMemberStopsWholeAndRunsAgain) {
  const JobSpec gang = Job("w1", 2, 4, 5000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  const WorkerId lost = Row(gang.id)->placement.members[0].worker;
  cluster->RestartWorker(lost);
  cluster->RunFor(Duration(1500));
  CHECK_TRUE(Row(gang.id)->attempt >= 2);
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(30000)));
}

TEST(Promise, GangOfAnUnreachableMemberStopsWithinItsLease) {
  const JobSpec gang = Job("w1", 2, 4, 60000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  cluster->RunFor(Duration(200));
  LONGS_EQUAL(2, RunningTasks());
  cluster->CutWorker(Row(gang.id)->placement.members[0].worker, true);
  cluster->RunFor(Duration(6000));
  const JobRow* row = Row(gang.id);
  CHECK_TRUE(row->attempt >= 2 || row->state != JobState::kRunning);
}

TEST(Promise, GangOutlivesItsPlanner) {
  const JobSpec gang = Job("w1", 2, 4, 8000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  cluster->Kill(PlannerOf("a"));
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(20000)));
  LONGS_EQUAL(1, Row(gang.id)->attempt);
}

TEST(Promise, NotRepeatableJobIsNeverStartedAgain) {
  JobSpec job = Job("w1", 1, 4, 60000);
  job.repeatable = false;
  cluster->Submit(0, job);
  CHECK_TRUE(RunUntil(job.id, JobState::kRunning, Duration(3000)));
  cluster->RestartWorker(Row(job.id)->placement.members[0].worker);
  CHECK_TRUE(RunUntil(job.id, JobState::kUnknown, Duration(10000)));
  LONGS_EQUAL(1, Row(job.id)->attempt);
}

TEST(Promise, KilledPlannersHallIsPlannedAgainWithinItsLeaseAndTwoSeconds) {
  const int planner = PlannerOf("a");
  cluster->Kill(planner);
  const TimePoint killed = cluster->now();
  while (PlannerOf("a") < 0 && cluster->now() - killed < Duration(10000)) {
    cluster->RunFor(Duration(20));
  }
  CHECK_TRUE(cluster->now() - killed <= Duration(2000 + 2000));
}

TEST(Promise, PausedPlannerDoesNothingHarmfulWhenItWakes) {
  const JobSpec gang = Job("w1", 2, 4, 30000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  const int planner = PlannerOf("a");
  cluster->Pause(planner);
  cluster->RunFor(Duration(8000));
  const int next = PlannerOf("a");
  CHECK_TRUE(next >= 0 && next != planner);
  cluster->Wake(planner);
  cluster->RunFor(Duration(40));
  CHECK_FALSE(cluster->reducer(planner)
                  .planners()
                  .at(HallId("a"))
                  .HoldsAt(cluster->now()));
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(40000)));
  LONGS_EQUAL(1, Row(gang.id)->attempt);
}

TEST(Promise, OutageOfAnyLengthKeepsWhatRunsAndStartsNothingNew) {
  const JobSpec gang = Job("w1", 2, 4, 90000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  cluster->faults().store_down = true;
  cluster->RunFor(Duration(60000));
  LONGS_EQUAL(2, RunningTasks());
  const std::size_t refused = cluster->Submit(1, Job("w2", 1, 1, 100));
  cluster->RunFor(Duration(8000));
  const auto* failure = std::get_if<Failure>(&*cluster->call(refused).answer);
  CHECK_TRUE(failure != nullptr);
  cluster->faults().store_down = false;
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(40000)));
  LONGS_EQUAL(1, Row(gang.id)->attempt);
}

TEST(Promise, LeavingWorkerGetsNoNewWork) {
  cluster->LeaveWorker(WorkerId("a-r1-w1"), true);
  const TimePoint left = cluster->now();
  cluster->RunFor(Duration(2000));
  for (int i = 0; i < 12; ++i) {
    cluster->Submit(0, Job("w3", 1, 2, 500));
    cluster->RunFor(Duration(300));
  }
  for (const TaskEvent& event :
       cluster->workers().at(WorkerId("a-r1-w1")).history()) {
    CHECK_TRUE(event.at <= left + Duration(2000));
  }
}

TEST(Promise, AllInstancesReplacedOneAfterAnotherLoseNothing) {
  const JobSpec gang = Job("w1", 2, 4, 20000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  for (int i = 0; i < kInstances; ++i) {
    cluster->Stop(i);
    cluster->RunFor(Duration(2000));
    CHECK_TRUE(cluster->HasExited(i));
    cluster->Start(i);
    cluster->RunFor(Duration(2500));
  }
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(40000)));
  LONGS_EQUAL(1, Row(gang.id)->attempt);
}

TEST(Promise, WaveOfCancellationsIsCarriedOutInRounds) {
  std::vector<JobId> jobs;
  for (int i = 0; i < 1000; ++i) {
    const JobSpec spec = Job("w3", 1, 4, 600000);
    cluster->Submit(i % kInstances, spec);
    if (i % 50 == 0) cluster->RunFor(Duration(600));
    jobs.push_back(spec.id);
  }
  cluster->RunFor(Duration(10000));
  // Callers whose cancellation was refused as "not run" send it again.
  for (int round = 0; round < 10; ++round) {
    std::vector<std::size_t> calls;
    for (const JobId& job : jobs) {
      const JobRow* row = Row(job);
      const bool open = row != nullptr && !IsFinal(row->state);
      if (open) calls.push_back(cluster->Cancel(round % kInstances, job));
    }
    if (calls.empty()) break;
    cluster->RunFor(Duration(8000));
    for (const std::size_t call : calls) {
      CHECK_TRUE(cluster->call(call).answer.has_value());
    }
  }
  int stored = 0;
  for (const JobId& job : jobs) {
    const JobRow* row = Row(job);
    if (row == nullptr) continue;
    ++stored;
    CHECK_TRUE(IsFinal(row->state));
  }
  CHECK_TRUE(stored > 900);
}

}  // namespace limeledge
