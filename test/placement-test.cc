/// @file
/// Tests of the selection of runners for tasks.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/placement.h"

#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace limeledge::dispatch {

TEST_GROUP(Placement) {
  std::vector<std::unique_ptr<Runner>> runners;
  StepSpec step;

  void setup() override {
    step.count = 1;
    step.need = {1000, 1024, 1};
  }

  void Add(const char* id, const char* rack, std::int64_t accelerators) {
    RunnerInfo info;
    info.id = RunnerId(id);
    info.service = ServiceId("compute");
    info.room = {64000, 262144, accelerators};
    info.rack = rack;
    info.labels = {"a", rack};
    runners.push_back(std::make_unique<Runner>(info));
  }

  CandidatePool Pool() {
    std::vector<Candidate> candidates;
    for (const auto& runner : runners) {
      Candidate candidate;
      candidate.runner = runner.get();
      candidate.rack = runner->rack();
      candidate.room = runner->free_capacity();
      candidates.push_back(std::move(candidate));
    }
    return CandidatePool(std::move(candidates));
  }

  PlacementRequest Request(int count) const {
    PlacementRequest request;
    request.step = &step;
    request.service = ServiceId("compute");
    request.count = count;
    return request;
  }
};

TEST(Placement, SingleTaskGoesToTheBestFit) {
  Add("large", "r1-1", 8);
  Add("small", "r1-1", 2);
  CandidatePool pool = Pool();
  STRCMP_EQUAL("small",
               pool.PlaceOne(Request(1))->runner->id().value().c_str());
}

TEST(Placement, GangIsPlacedWholeOrNotAtAll) {
  Add("i-1", "r1-1", 4);
  Add("i-2", "r1-2", 4);
  step.need.accelerators = 2;
  CandidatePool pool = Pool();
  LONGS_EQUAL(0, pool.PlaceAll(Request(5)).size());
  LONGS_EQUAL(4, pool.PlaceAll(Request(4)).size());
}

TEST(Placement, GangOfOneRackIsNotSpreadBeforeItsLocalityWaitEnds) {
  Add("i-1", "r1-1", 4);
  Add("i-2", "r1-2", 4);
  step.need.accelerators = 4;
  step.same_rack = true;
  CandidatePool pool = Pool();
  PlacementRequest request = Request(2);
  LONGS_EQUAL(0, pool.PlaceAll(request).size());
  request.ignore_locality = true;
  LONGS_EQUAL(2, pool.PlaceAll(request).size());
}

TEST(Placement, TaskGoesNearItsDataThoughItMayGoAnywhere) {
  Add("far", "r1-1", 2);
  Add("near", "r1-2", 8);
  step.data_rack = "r1-2";
  PlacementRequest request = Request(1);
  request.ignore_locality = true;
  CandidatePool pool = Pool();
  STRCMP_EQUAL("near", pool.PlaceOne(request)->runner->id().value().c_str());
}

TEST(Placement, GangGoesNearItsDataThoughOtherRacksArePreferred) {
  Add("far", "r1-1", 8);
  Add("near", "r1-2", 8);
  step.data_rack = "r1-2";
  PlacementRequest request = Request(2);
  request.ignore_locality = true;
  request.urgent_racks = UrgentRacks::kPreferred;
  CandidatePool pool = Pool();
  pool.candidates()[0].urgent_rack = true;
  const std::vector<Candidate*> candidates = pool.PlaceAll(request);
  LONGS_EQUAL(2, candidates.size());
  STRCMP_EQUAL("near", candidates[0]->runner->id().value().c_str());
}

TEST(Placement, SuspectRunnerNearTheDataIsUsedAfterSoundOnesElsewhere) {
  Add("far", "r1-1", 8);
  Add("near", "r1-2", 8);
  step.data_rack = "r1-2";
  PlacementRequest request = Request(1);
  request.ignore_locality = true;
  CandidatePool pool = Pool();
  pool.candidates()[1].suspect = true;
  STRCMP_EQUAL("far", pool.PlaceOne(request)->runner->id().value().c_str());
}

TEST(Placement, RequiredLabelIsNeverIgnored) {
  Add("i-1", "r1-1", 8);
  step.required_label = "b";
  PlacementRequest request = Request(1);
  request.ignore_locality = true;
  CandidatePool pool = Pool();
  POINTERS_EQUAL(nullptr, pool.PlaceOne(request));
}

TEST(Placement, LimitPerRunnerCountsTheStepsTasksThere) {
  Add("i-1", "r1-1", 8);
  step.max_per_runner = 2;
  PlacementRequest request = Request(1);
  request.tasks_per_runner[RunnerId("i-1")] = 2;
  CandidatePool pool = Pool();
  POINTERS_EQUAL(nullptr, pool.PlaceOne(request));
}

TEST(Placement, ClosedRackIsNotUsed) {
  Add("i-1", "r1-1", 8);
  PlacementRequest request = Request(1);
  request.urgent_racks = UrgentRacks::kClosed;
  CandidatePool pool = Pool();
  pool.candidates()[0].urgent_rack = true;
  POINTERS_EQUAL(nullptr, pool.PlaceOne(request));
}

TEST(Placement, SlowRunnerIsTakenLast) {
  Add("slow", "r1-1", 2);
  Add("sound", "r1-1", 8);
  for (int i = 0; i < 5; ++i) runners[0]->RecordPace(6, JobId("slow"));
  CandidatePool pool = Pool();
  STRCMP_EQUAL("sound",
               pool.PlaceOne(Request(1))->runner->id().value().c_str());
}

TEST(Placement, UrgentWorkPrefersUsuallyFasterRunners) {
  Add("leisurely", "r1-1", 2);
  Add("fast", "r1-1", 8);
  for (int i = 0; i < 30; ++i) runners[0]->RecordUsualPace(1.3);
  PlacementRequest request = Request(1);
  request.prefers_fast = true;
  CandidatePool pool = Pool();
  STRCMP_EQUAL("fast", pool.PlaceOne(request)->runner->id().value().c_str());
}

// A best-effort task needs only cores that others leave unused.
TEST(Placement, BestEffortTaskFitsWhereAllCoresAreTaken) {
  Add("i-1", "r1-1", 8);
  Run run;
  run.need = {64000, 1024, 1};
  runners[0]->Add({JobId("a"), 0, 0, 0}, run);
  CandidatePool pool = Pool();
  CHECK_TRUE(pool.PlaceOne(Request(1)) == nullptr);
  step.filler = true;
  CHECK_TRUE(pool.PlaceOne(Request(1)) != nullptr);
}

TEST(Placement, BestEffortAndLatencySensitiveTasksAreSeparated) {
  Add("i-1", "r1-1", 8);
  Add("i-2", "r1-1", 8);
  StepSpec filler = step;
  filler.filler = true;
  StepSpec serving = step;
  serving.tail_latency_target = Duration(50);
  CandidatePool pool = Pool();
  PlacementRequest request = Request(1);
  request.step = &filler;
  const Candidate* first = pool.PlaceOne(request);
  request.step = &serving;
  const Candidate* second = pool.PlaceOne(request);
  CHECK_TRUE(first != nullptr && second != nullptr && first != second);
  request.step = &filler;
  CHECK_TRUE(pool.PlaceOne(request) == first);
}

TEST(Placement, RunnersAreUsedInOrderOfTrust) {
  const std::vector<const char*> ids = {"avoided", "suspect", "slow",
                                        "trusted"};
  for (const char* id : ids) Add(id, "r1-1", 1);
  CandidatePool pool = Pool();
  pool.candidates()[1].suspect = true;
  // Makes the runner slow.
  for (int i = 0; i < 10; ++i) {
    pool.candidates()[2].runner->RecordPace(10, JobId("a"));
  }
  CHECK_TRUE(pool.candidates()[2].runner->IsSlow());
  const std::set<IncarnationId> avoided = {{RunnerId("avoided"), StartTime()}};
  PlacementRequest request = Request(1);
  request.avoided = &avoided;
  for (std::size_t i = ids.size(); i-- > 0;) {
    STRCMP_EQUAL(ids[i], pool.PlaceOne(request)->runner->id().value().c_str());
  }
}

TEST(Placement, LastAttemptSkipsASuspectRunner) {
  Add("suspect", "r1-1", 8);
  CandidatePool pool = Pool();
  pool.candidates()[0].suspect = true;
  PlacementRequest request = Request(1);
  request.is_last_attempt = true;
  POINTERS_EQUAL(nullptr, pool.PlaceOne(request));
  request.is_last_attempt = false;
  CHECK_TRUE(pool.PlaceOne(request) != nullptr);
}

TEST(Placement, RunnerThatFailedARunImmediatelyGetsOneProbeRun) {
  Add("broken", "r1-1", 8);
  CandidatePool pool = Pool();
  pool.candidates()[0].may_fail_immediately = true;
  CHECK_TRUE(pool.PlaceAll(Request(2)).empty());
  CHECK_TRUE(pool.PlaceOne(Request(1)) != nullptr);
  POINTERS_EQUAL(nullptr, pool.PlaceOne(Request(1)));
}

}  // namespace limeledge::dispatch
