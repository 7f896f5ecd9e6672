/// @file
/// Focused tests of the promises about requests, each with its faults.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "promise-fixture.h"

namespace limeledge {

TEST_GROUP_BASE(RequestPromise, PromiseFixture){};

TEST(RequestPromise, SameIdAtTwoInstancesAtOnceRunsOnceAndAnswersBoth) {
  const RequestSpec request = MakeRequest("r", false);
  const std::size_t first = cluster->Request(0, request);
  const std::size_t second = cluster->Request(1, request);
  cluster->RunFor(Duration(2000));
  LONGS_EQUAL(1, Runs("w1/r"));
  CHECK_TRUE(Result(first)->outcome == RequestOutcome::kAnswered);
  CHECK_TRUE(Result(second)->outcome == RequestOutcome::kAnswered);
  STRCMP_EQUAL(Result(first)->answer.c_str(), Result(second)->answer.c_str());
}

TEST(RequestPromise, SameIdAfterItsInstanceDiedIsUnknownNotRunAgain) {
  cluster->SetRunnerFaults(RunnerId("runner-1"), {false, true, false});
  cluster->SetRunnerFaults(RunnerId("runner-2"), {false, true, false});
  cluster->Request(0, MakeRequest("r", false));
  cluster->RunFor(Duration(30));
  cluster->Kill(0);
  cluster->Heal();
  cluster->RunFor(Duration(3000));
  const std::size_t again = cluster->Request(1, MakeRequest("r", false));
  cluster->RunFor(Duration(4000));
  CHECK_TRUE(Result(again)->outcome == RequestOutcome::kUnknown);
  CHECK_TRUE(Runs("w1/r") <= 1);
}

TEST(RequestPromise, NotRepeatableRequestInAnOutageDoesNotRun) {
  cluster->faults().store_down = true;
  cluster->RunFor(Duration(3000));
  const std::size_t call = cluster->Request(0, MakeRequest("r", false));
  cluster->RunFor(Duration(50));
  CHECK_TRUE(Result(call)->outcome == RequestOutcome::kNotRun);
  CHECK_TRUE(Result(call)->retry_after > Duration(0));
  LONGS_EQUAL(0, Runs("w1/r"));
}

TEST(RequestPromise, ClaimWhoseAnswerWasLostRunsOnce) {
  cluster->faults().lose_commit_answer = 100;
  const std::size_t call = cluster->Request(0, MakeRequest("r", false));
  cluster->RunFor(Duration(2200));
  cluster->faults().lose_commit_answer = 0;
  cluster->RunFor(Duration(4000));
  CHECK_TRUE(Result(call) != nullptr);
  const std::size_t again = cluster->Request(1, MakeRequest("r", false));
  cluster->RunFor(Duration(4000));
  CHECK_TRUE(Runs("w1/r") <= 1);
  CHECK_TRUE(Result(again) != nullptr);
}

TEST(RequestPromise, ForeignAnswerIsNeverGiven) {
  for (const char* id : {"runner-1", "runner-2"}) {
    cluster->SetRunnerFaults(RunnerId(id), {false, false, true});
  }
  const std::size_t call = cluster->Request(0, MakeRequest("r", true));
  cluster->RunFor(Duration(4000));
  CHECK_TRUE(Result(call)->outcome == RequestOutcome::kUnknown);
  CHECK_TRUE(cluster->reducer(0).shared().counters.foreign_answers > 0);
}

TEST(RequestPromise, RequestThatWasNotSentIsRetriedElsewhere) {
  cluster->SetRunnerFaults(RunnerId("runner-1"), {true, false, false});
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::size_t call =
        cluster->Request(0, MakeRequest(id.c_str(), false));
    cluster->RunFor(Duration(1000));
    CHECK_TRUE(Result(call)->outcome == RequestOutcome::kAnswered);
  }
}

TEST(RequestPromise, OverloadIsRefusedAtOnceWithATimeToComeBack) {
  std::vector<std::size_t> calls;
  for (int i = 0; i < 400; ++i) {
    calls.push_back(cluster->Request(
        0, MakeRequest(("r" + std::to_string(i)).c_str(), true)));
  }
  cluster->RunFor(Duration(20));
  int refused = 0;
  for (const std::size_t call : calls) {
    const RequestResult* result = Result(call);
    if (result == nullptr) continue;
    if (result->outcome != RequestOutcome::kNotRun) continue;
    ++refused;
    CHECK_TRUE(result->retry_after > Duration(0));
  }
  CHECK_TRUE(refused > 200);
}

TEST(RequestPromise, LeavingRunnerSeenByOneInstanceIsAvoidedByAll) {
  cluster->faults().list_lag = Duration(10000);
  cluster->LeaveRunner(RunnerId("runner-1"), false);
  const TimePoint left = cluster->now();
  for (int i = 0; i < 60; ++i) {
    cluster->Request(i % kInstances,
                     MakeRequest(("r" + std::to_string(i)).c_str(), true));
    cluster->RunFor(Duration(50));
  }
  for (int i = 0; i < kInstances; ++i) {
    const auto& runner = cluster->reducer(i).requests().slots().runners().at(
        RunnerId("runner-1"));
    CHECK_TRUE(runner.heard_leaving || runner.info.leaving);
  }
  const auto last = cluster->last_run().find(RunnerId("runner-1"));
  if (last != cluster->last_run().end()) CHECK_TRUE(last->second <= left);
}

TEST(RequestPromise, PlannedStopCutsNoRequestAndHandsTheHallOver) {
  const int planner = PlannerOf("a");
  std::vector<std::size_t> calls;
  for (int i = 0; i < 10; ++i) {
    calls.push_back(cluster->Request(
        planner, MakeRequest(("r" + std::to_string(i)).c_str(), false)));
  }
  cluster->RunFor(Duration(10));
  cluster->Stop(planner);
  cluster->Stop(planner);
  cluster->RunFor(Duration(300));
  const std::size_t late =
      cluster->Request(planner, MakeRequest("late", false));
  cluster->RunFor(Duration(3000));
  for (const std::size_t call : calls) {
    CHECK_TRUE(Result(call) != nullptr);
    CHECK_TRUE(Result(call)->outcome == RequestOutcome::kAnswered);
  }
  CHECK_TRUE(Result(late)->outcome == RequestOutcome::kAnswered);
  CHECK_TRUE(cluster->HasExited(planner));
  CHECK_TRUE(PlannerOf("a") >= 0);
}

TEST(RequestPromise, OpenClaimOutlivesAShortRetention) {
  std::string shorter = CourseSettings();
  const std::string grace = "stop_grace_ms: 500";
  shorter.replace(shorter.find(grace), grace.size(),
                  "stop_grace_ms: 500\n  claim_retention_ms: 1000");
  cluster->Propose(0, SettingsVersion(1), shorter);
  cluster->RunFor(Duration(1000));
  for (const char* id : {"runner-1", "runner-2"}) {
    cluster->SetRunnerFaults(RunnerId(id), {false, true, false});
  }
  cluster->Request(0, MakeRequest("open", false));
  cluster->RunFor(Duration(30000));
  CHECK_TRUE(cluster->table().Read("claim/w1/open").version > Revision(0));
  cluster->Request(1, MakeRequest("open", false));
  cluster->RunFor(Duration(5000));
  LONGS_EQUAL(1, Runs("w1/open"));
}

TEST(RequestPromise, OldClaimsAndJobsAreClearedYoungOnesStay) {
  std::string shorter = CourseSettings();
  const std::string grace = "stop_grace_ms: 500";
  shorter.replace(shorter.find(grace), grace.size(),
                  "stop_grace_ms: 500\n  claim_retention_ms: 20000\n  "
                  "job_retention_ms: 20000");
  cluster->Propose(0, SettingsVersion(1), shorter);
  cluster->RunFor(Duration(1000));
  const JobSpec job = Job("w1", 1, 1, 100);
  cluster->Submit(0, job);
  cluster->Request(0, MakeRequest("old", false));
  cluster->RunFor(Duration(30000));
  cluster->Request(0, MakeRequest("young", false));
  cluster->RunFor(Duration(11000));
  CHECK_TRUE(cluster->table().Read("claim/w1/old").version == Revision(0));
  CHECK_TRUE(cluster->table().Read("claim/w1/young").version > Revision(0));
  CHECK_TRUE(Row(job.id) == nullptr);
}

}  // namespace limeledge
