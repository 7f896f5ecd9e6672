/// @file
/// Tests of choosing runners for tasks.
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

  CandidatePool Seats() {
    std::vector<Candidate> seats;
    for (const auto& runner : runners) {
      Candidate seat;
      seat.runner = runner.get();
      seat.rack = runner->rack();
      seat.room = runner->free_capacity();
      seats.push_back(std::move(seat));
    }
    return CandidatePool(std::move(seats));
  }

  PlacementRequest Request(int count) const {
    PlacementRequest request;
    request.step = &step;
    request.service = ServiceId("compute");
    request.count = count;
    return request;
  }
};

TEST(Placement, SingleTaskGoesWhereTheLeastIsLeft) {
  Add("large", "r1-1", 8);
  Add("small", "r1-1", 2);
  CandidatePool seating = Seats();
  STRCMP_EQUAL("small",
               seating.PlaceOne(Request(1))->runner->id().value().c_str());
}

TEST(Placement, GangIsPlacedWholeOrNotAtAll) {
  Add("i-1", "r1-1", 4);
  Add("i-2", "r1-2", 4);
  step.need.accelerators = 2;
  CandidatePool seating = Seats();
  LONGS_EQUAL(0, seating.PlaceAll(Request(5)).size());
  LONGS_EQUAL(4, seating.PlaceAll(Request(4)).size());
}

TEST(Placement, GangOfOneRackIsNotSpreadBeforeItsPatienceIsOver) {
  Add("i-1", "r1-1", 4);
  Add("i-2", "r1-2", 4);
  step.need.accelerators = 4;
  step.same_rack = true;
  CandidatePool seating = Seats();
  PlacementRequest request = Request(2);
  LONGS_EQUAL(0, seating.PlaceAll(request).size());
  request.anywhere = true;
  LONGS_EQUAL(2, seating.PlaceAll(request).size());
}

TEST(Placement, TaskGoesNearItsDataThoughItMayGoAnywhere) {
  Add("far", "r1-1", 2);
  Add("near", "r1-2", 8);
  step.data_rack = "r1-2";
  PlacementRequest request = Request(1);
  request.anywhere = true;
  CandidatePool seating = Seats();
  STRCMP_EQUAL("near", seating.PlaceOne(request)->runner->id().value().c_str());
}

TEST(Placement, GangGoesNearItsDataThoughOtherRacksArePreferred) {
  Add("far", "r1-1", 8);
  Add("near", "r1-2", 8);
  step.data_rack = "r1-2";
  PlacementRequest request = Request(2);
  request.anywhere = true;
  request.urgent_racks = UrgentRacks::kPreferred;
  CandidatePool seating = Seats();
  seating.seats()[0].urgent_rack = true;
  const std::vector<Candidate*> seats = seating.PlaceAll(request);
  LONGS_EQUAL(2, seats.size());
  STRCMP_EQUAL("near", seats[0]->runner->id().value().c_str());
}

TEST(Placement, SuspectRunnerNearTheDataIsUsedAfterSoundOnesElsewhere) {
  Add("far", "r1-1", 8);
  Add("near", "r1-2", 8);
  step.data_rack = "r1-2";
  PlacementRequest request = Request(1);
  request.anywhere = true;
  CandidatePool seating = Seats();
  seating.seats()[1].suspect = true;
  STRCMP_EQUAL("far", seating.PlaceOne(request)->runner->id().value().c_str());
}

TEST(Placement, RequiredLabelIsNeverPassedOver) {
  Add("i-1", "r1-1", 8);
  step.required_label = "b";
  PlacementRequest request = Request(1);
  request.anywhere = true;
  CandidatePool seating = Seats();
  POINTERS_EQUAL(nullptr, seating.PlaceOne(request));
}

TEST(Placement, LimitPerRunnerCountsWhatRunsThere) {
  Add("i-1", "r1-1", 8);
  step.max_per_runner = 2;
  PlacementRequest request = Request(1);
  request.used[RunnerId("i-1")] = 2;
  CandidatePool seating = Seats();
  POINTERS_EQUAL(nullptr, seating.PlaceOne(request));
}

TEST(Placement, ClosedRackIsNotUsed) {
  Add("i-1", "r1-1", 8);
  PlacementRequest request = Request(1);
  request.urgent_racks = UrgentRacks::kClosed;
  CandidatePool seating = Seats();
  seating.seats()[0].urgent_rack = true;
  POINTERS_EQUAL(nullptr, seating.PlaceOne(request));
}

TEST(Placement, SlowRunnerIsTakenLast) {
  Add("slow", "r1-1", 2);
  Add("sound", "r1-1", 8);
  for (int i = 0; i < 5; ++i) runners[0]->RecordPace(6, JobId("slow"));
  CandidatePool seating = Seats();
  STRCMP_EQUAL("sound",
               seating.PlaceOne(Request(1))->runner->id().value().c_str());
}

TEST(Placement, UrgentWorkPrefersUsuallyFasterRunners) {
  Add("leisurely", "r1-1", 2);
  Add("fast", "r1-1", 8);
  for (int i = 0; i < 30; ++i) runners[0]->RecordUsualPace(1.3);
  PlacementRequest request = Request(1);
  request.prefers_fast = true;
  CandidatePool seating = Seats();
  STRCMP_EQUAL("fast", seating.PlaceOne(request)->runner->id().value().c_str());
}

// A filler takes of the processors only what others leave.
TEST(Placement, FillerFitsWhereAllProcessorsAreTaken) {
  Add("i-1", "r1-1", 8);
  Run run;
  run.need = {64000, 1024, 1};
  runners[0]->Add({JobId("a"), 0, 0, 0}, run);
  CandidatePool seating = Seats();
  CHECK_TRUE(seating.PlaceOne(Request(1)) == nullptr);
  step.filler = true;
  CHECK_TRUE(seating.PlaceOne(Request(1)) != nullptr);
}

TEST(Placement, FillersAndServingTasksAreKeptApart) {
  Add("i-1", "r1-1", 8);
  Add("i-2", "r1-1", 8);
  StepSpec filler = step;
  filler.filler = true;
  StepSpec serving = step;
  serving.tail_latency_target = Duration(50);
  CandidatePool seating = Seats();
  PlacementRequest request = Request(1);
  request.step = &filler;
  const Candidate* first = seating.PlaceOne(request);
  request.step = &serving;
  const Candidate* second = seating.PlaceOne(request);
  CHECK_TRUE(first != nullptr && second != nullptr && first != second);
  request.step = &filler;
  CHECK_TRUE(seating.PlaceOne(request) == first);
}

TEST(Placement, RunnersAreTakenByHowFarTheyAreTrusted) {
  const std::vector<const char*> ids = {"avoided", "suspect", "slow",
                                        "trusted"};
  for (const char* id : ids) Add(id, "r1-1", 1);
  CandidatePool seating = Seats();
  seating.seats()[1].suspect = true;
  // Runs there take many times as long as expected.
  for (int i = 0; i < 10; ++i) {
    seating.seats()[2].runner->RecordPace(10, JobId("a"));
  }
  CHECK_TRUE(seating.seats()[2].runner->IsSlow());
  const std::set<IncarnationId> avoided = {{RunnerId("avoided"), StartTime()}};
  PlacementRequest request = Request(1);
  request.avoided = &avoided;
  for (std::size_t i = ids.size(); i-- > 0;) {
    STRCMP_EQUAL(ids[i],
                 seating.PlaceOne(request)->runner->id().value().c_str());
  }
}

TEST(Placement, LastAttemptPassesOverARunnerThatMayFailIt) {
  Add("suspect", "r1-1", 8);
  CandidatePool seating = Seats();
  seating.seats()[0].suspect = true;
  PlacementRequest request = Request(1);
  request.is_last_attempt = true;
  POINTERS_EQUAL(nullptr, seating.PlaceOne(request));
  request.is_last_attempt = false;
  CHECK_TRUE(seating.PlaceOne(request) != nullptr);
}

TEST(Placement, RunnerThatFailedARunAtOnceIsTriedWithOne) {
  Add("broken", "r1-1", 8);
  CandidatePool seating = Seats();
  seating.seats()[0].may_fail_immediately = true;
  CHECK_TRUE(seating.PlaceAll(Request(2)).empty());
  CHECK_TRUE(seating.PlaceOne(Request(1)) != nullptr);
  POINTERS_EQUAL(nullptr, seating.PlaceOne(Request(1)));
}

}  // namespace limeledge::dispatch
