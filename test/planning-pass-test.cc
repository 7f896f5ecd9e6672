/// @file
/// Tests of planning with guarantees, reclaim and reservation.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <list>

#include "CppUTest/TestHarness.h"
#include "core/planning_pass.h"

namespace limeledge {

TEST_GROUP(PlanningPass) {
  Settings settings;
  std::list<JobRow> jobs;
  std::vector<WorkerRoom> rooms;
  std::vector<HeldJob> held;
  std::vector<QueuedJob> queue;
  const HallId hall{"h"};

  void setup() override {
    for (const char* name : {"w1", "w2"}) {
      WorkerRoom room;
      room.id = WorkerId(name);
      room.rack = RackId("r");
      room.accelerators = 8;
      room.free = LowBits(8);
      room.free_cores = 100;
      room.free_memory_mb = 100000;
      rooms.push_back(room);
    }
  }

  void Guarantee(const char* workspace, int members, int accelerators) {
    settings.workspaces[WorkspaceId(workspace)].guarantees.push_back(
        {"g", hall, members, accelerators});
  }

  JobRow& AddJob(const char* workspace, const char* name, int members,
                 int accelerators) {
    JobRow job;
    job.spec.workspace = WorkspaceId(workspace);
    job.spec.id = FullJobId(job.spec.workspace, name);
    job.spec.members = members;
    job.spec.accelerators = accelerators;
    job.spec.cores = 1;
    job.spec.repeatable = true;
    job.submitted_ms = static_cast<std::int64_t>(jobs.size());
    jobs.push_back(job);
    return jobs.back();
  }

  QueuedJob& Wait(const char* workspace, const char* name, int members,
                  int accelerators, const char* policy = "cells") {
    QueuedJob queued;
    queued.job = &AddJob(workspace, name, members, accelerators);
    queued.settings.placement = policy;
    queued.settings.reserve_after = Duration(1000);
    queued.expected = Duration(100);
    queue.push_back(queued);
    return queue.back();
  }

  /// A job that holds `mask` of the worker.
  void Hold(const char* workspace, const char* name, const char* worker,
            std::uint64_t mask, bool borrowed,
            Duration remaining = Duration(5000)) {
    JobRow& job = AddJob(workspace, name, 1, CountBits(mask));
    job.state = JobState::kRunning;
    job.placement = {{{WorkerId(worker), mask}}, borrowed};
    held.push_back({&job, remaining, false});
  }

  PassResult Run() {
    PassInput input{HallView(rooms), held, queue,
                    GuaranteeBook(settings, hall)};
    for (const HeldJob& job : held) {
      input.view.Take(job.job->spec, job.job->placement);
    }
    return PlanningPass(std::move(input)).Run();
  }

  static const PlannedStart* StartOf(const PassResult& result, const char* id) {
    const auto it = std::find_if(
        result.starts.begin(), result.starts.end(),
        [id](const PlannedStart& start) { return start.job == JobId(id); });
    return it == result.starts.end() ? nullptr : &*it;
  }
};

TEST(PlanningPass, JobInsideItsGuaranteeDoesNotBorrow) {
  Guarantee("a", 1, 8);
  Wait("a", "x", 1, 8);
  const PassResult result = Run();
  CHECK_FALSE(StartOf(result, "a/x")->placement.borrowed);
}

TEST(PlanningPass, JobBeyondItsGuaranteeBorrows) {
  Guarantee("a", 1, 4);
  Wait("a", "x", 1, 8);
  CHECK_TRUE(StartOf(Run(), "a/x")->placement.borrowed);
}

TEST(PlanningPass, EntitledJobReclaimsFromBorrowers) {
  Guarantee("a", 1, 8);
  Hold("b", "x", "w1", LowBits(8), true);
  Hold("b", "y", "w2", LowBits(8), true);
  Wait("a", "z", 1, 8);
  const PassResult result = Run();
  LONGS_EQUAL(1, result.victims.size());
  CHECK_TRUE(result.waits.front().reclaiming);
}

TEST(PlanningPass, ReclaimedRoomIsNotTakenBackByAnEarlierBorrower) {
  Guarantee("a", 2, 8);
  Wait("b", "earlier", 2, 8);
  Wait("a", "entitled", 2, 8);
  const PassResult result = Run();
  CHECK_TRUE(StartOf(result, "a/entitled") != nullptr);
  CHECK_TRUE(StartOf(result, "b/earlier") == nullptr);
}

TEST(PlanningPass, ReclaimTakesOnlyWhatItNeeds) {
  Guarantee("a", 1, 4);
  Hold("b", "x", "w1", LowBits(4), true);
  Hold("b", "y", "w1", LowBits(4) << 4, true);
  Hold("b", "z", "w2", LowBits(8), true);
  Wait("a", "j", 1, 4);
  LONGS_EQUAL(1, Run().victims.size());
}

TEST(PlanningPass, GuaranteedPlacementIsNeverAVictim) {
  Guarantee("a", 1, 8);
  Guarantee("b", 1, 8);
  Hold("b", "x", "w1", LowBits(8), false);
  Hold("c", "y", "w2", LowBits(8), true);
  Wait("a", "z", 1, 8);
  const PassResult result = Run();
  LONGS_EQUAL(1, result.victims.size());
  STRCMP_EQUAL("c/y", result.victims.front().value().c_str());
}

TEST(PlanningPass, EntitledStartLeavesRoomForOtherGuarantees) {
  // a's two halves must not be spread so that b's whole worker is lost.
  Guarantee("a", 2, 4);
  Guarantee("b", 1, 8);
  Wait("a", "x", 1, 4);
  Wait("a", "y", 1, 4);
  const PassResult result = Run();
  CHECK_TRUE(StartOf(result, "a/x")->placement.members[0].worker ==
             StartOf(result, "a/y")->placement.members[0].worker);
}

TEST(PlanningPass, JobThatCannotMakeWayMayNotBorrow) {
  QueuedJob& queued = Wait("a", "x", 1, 1);
  queued.settings.checkpoint = false;
  jobs.back().spec.repeatable = false;
  const PassResult result = Run();
  LONGS_EQUAL(0, result.starts.size());
  LONGS_EQUAL(1, result.waits.size());
}

TEST(PlanningPass, FifoBlocksBehindItsHead) {
  Hold("b", "x", "w1", LowBits(8), false);
  Wait("a", "large", 2, 8, "fifo");
  Wait("a", "small", 1, 1, "fifo");
  LONGS_EQUAL(0, Run().starts.size());
}

TEST(PlanningPass, BackfillOvertakesOnlyWithinTheReservation) {
  Hold("b", "x", "w1", LowBits(8), false, Duration(5000));
  Wait("a", "large", 2, 8, "backfill");
  Wait("a", "short", 1, 1, "backfill").expected = Duration(4000);
  Wait("a", "long", 1, 1, "backfill").expected = Duration(6000);
  const PassResult result = Run();
  CHECK_TRUE(StartOf(result, "a/short") != nullptr);
  CHECK_TRUE(StartOf(result, "a/long") == nullptr);
}

TEST(PlanningPass, AgedJobMakesBorrowersLeave) {
  Hold("b", "x", "w1", LowBits(8), true);
  Wait("a", "large", 2, 8).waited = Duration(1000);
  const PassResult result = Run();
  LONGS_EQUAL(1, result.victims.size());
}

TEST(PlanningPass, YoungJobMakesNobodyLeave) {
  Hold("b", "x", "w1", LowBits(8), true);
  Wait("a", "large", 2, 8);
  LONGS_EQUAL(0, Run().victims.size());
}

TEST(PlanningPass, LostWorkersPutGuaranteesAtRisk) {
  Guarantee("a", 2, 8);
  rooms[0].usable = false;
  Wait("a", "x", 1, 8);
  const PassResult result = Run();
  CHECK_TRUE(result.guarantees_at_risk);
  CHECK_TRUE(StartOf(result, "a/x") != nullptr);
}

TEST(PlanningPass, JobRunsElsewhereThanWhereItFailed) {
  Wait("a", "x", 1, 1);
  jobs.back().avoid = {WorkerId("w1")};
  CHECK_TRUE(StartOf(Run(), "a/x")->placement.members[0].worker ==
             WorkerId("w2"));
}

TEST(PlanningPass, WaitSaysWhatIsMissing) {
  Hold("b", "x", "w1", LowBits(8), false);
  Hold("b", "y", "w2", LowBits(7), false);
  Wait("a", "z", 1, 2);
  STRCMP_EQUAL("needs 2 accelerators, 1 are free",
               Run().waits.front().reason.c_str());
}

}  // namespace limeledge
