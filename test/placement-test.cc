/// @file
/// Tests of the selection of runners for tasks.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/placement.h"

#include <cmath>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"

namespace limeledge::dispatch {

TEST_GROUP(Placement) {
  std::vector<std::unique_ptr<Runner>> runners;
  RunnerSpeeds speeds;
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
  pool.candidates()[0].reserved = true;
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
  pool.candidates()[0].reserved = true;
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

/// The load of a deployment with lastingly slow runners: urgent gangs must end
/// within 1.5 times their expected time, and independent tasks have slack.
TEST_GROUP_BASE(PacePlacement, TEST_GROUP_CppUTestGroupPlacement) {
  static constexpr double kFast = -0.4;
  static constexpr double kSlow = 0.6;

  void Add(const char* id, const char* rack, double log_pace,
           std::int64_t accelerators = 8) {
    TEST_GROUP_CppUTestGroupPlacement::Add(id, rack, accelerators);
    speeds.Restore(runners.back()->incarnation(),
                   {log_pace, 0.1, 3, TimePoint(1)});
  }
  void AddUnmeasured(const char* id, const char* rack) {
    TEST_GROUP_CppUTestGroupPlacement::Add(id, rack, 8);
  }

  CandidatePool PacedPool() {
    CandidatePool pool = Pool();
    for (Candidate& candidate : pool.candidates()) {
      const IncarnationId incarnation = candidate.runner->incarnation();
      candidate.pace = &speeds.PaceOf(incarnation);
      candidate.unmeasured = !speeds.IsMeasured(incarnation);
    }
    return pool;
  }

  PlacementRequest UrgentRequest(int count) const {
    PlacementRequest request = Request(count);
    request.pace = PacePreference{OnTimeChance(std::log(1.5), 0.2)};
    return request;
  }
  PlacementRequest MeasuringRequest() const {
    PlacementRequest request = UrgentRequest(1);
    request.pace->has_slack = true;
    request.pace->measures_runners = true;
    request.urgent_racks = UrgentRacks::kClosed;
    return request;
  }

  static std::string IdOf(const Candidate* candidate) {
    return candidate == nullptr ? "none" : candidate->runner->id().value();
  }
  static std::set<std::string> IdsOf(const std::vector<Candidate*>& chosen) {
    std::set<std::string> ids;
    for (const Candidate* candidate : chosen) ids.insert(IdOf(candidate));
    return ids;
  }
  static std::set<std::string> RacksOf(const std::vector<Candidate*>& chosen) {
    std::set<std::string> racks;
    for (const Candidate* candidate : chosen) racks.insert(candidate->rack);
    return racks;
  }
};

// Guards against racks that are ranked by their fastest runners, or by their
// free capacity, when one slow member makes the whole gang late.
TEST(PacePlacement,
     UrgentGangGoesToTheRackWhoseChosenRunnersHaveTheBestChance) {
  step.need.accelerators = 8;
  step.same_rack = true;
  for (const char* id : {"a-1", "a-2"}) Add(id, "r1-1", kFast);
  Add("a-3", "r1-1", kSlow);
  for (const char* id : {"b-1", "b-2", "b-3", "b-4"}) Add(id, "r1-2", 0);
  CandidatePool large = PacedPool();
  const std::vector<Candidate*> three = large.PlaceAll(UrgentRequest(3));
  LONGS_EQUAL(3, three.size());
  CHECK_TRUE(RacksOf(three) == std::set<std::string>{"r1-2"});
  CandidatePool small = PacedPool();
  CHECK_TRUE(IdsOf(small.PlaceAll(UrgentRequest(2))) ==
             (std::set<std::string>{"a-1", "a-2"}));
}

// Guards against a slow member of a gang whose rack does not matter, while
// other racks have fast runners.
TEST(PacePlacement, GangThatNeedsNoRackCombinesTheBestOfSeveralRacks) {
  step.need.accelerators = 8;
  for (const char* rack : {"r1-1", "r1-2"}) {
    Add((std::string("fast-") + rack).c_str(), rack, kFast);
    Add((std::string("slow-") + rack).c_str(), rack, kSlow);
  }
  CandidatePool pool = PacedPool();
  CHECK_TRUE(IdsOf(pool.PlaceAll(UrgentRequest(2))) ==
             (std::set<std::string>{"fast-r1-1", "fast-r1-2"}));
  step.same_rack = true;
  CandidatePool other = PacedPool();
  LONGS_EQUAL(1, RacksOf(other.PlaceAll(UrgentRequest(2))).size());
}

// Guards against work with slack that takes one task on each fast runner for
// the last percent of its own chance, so that urgent gangs find none empty.
TEST(PacePlacement, WorkWithSlackPacksInsteadOfSpreading) {
  Add("fast", "r1-1", kFast);
  Add("partly-used", "r1-1", 0.1, 2);
  CandidatePool pool = PacedPool();
  PlacementRequest request = UrgentRequest(1);
  STRCMP_EQUAL("fast", IdOf(pool.PlaceOne(request)).c_str());
  request.pace->has_slack = true;
  for (int i = 0; i < 2; ++i) {
    STRCMP_EQUAL("partly-used", IdOf(pool.PlaceOne(request)).c_str());
  }
}

// Guards against slack that hides a runner on which the task would be late.
TEST(PacePlacement, WorkWithSlackAvoidsRunnersWhereItWouldBeLate) {
  Add("average", "r1-1", 0);
  Add("slow", "r1-1", kSlow, 2);
  CandidatePool pool = PacedPool();
  PlacementRequest request = UrgentRequest(1);
  request.pace->has_slack = true;
  STRCMP_EQUAL("average", IdOf(pool.PlaceOne(request)).c_str());
}

// Guards against racks whose runners are never measured because only urgent
// gangs run there, and against batch work that fills these racks.
TEST(PacePlacement, TaskMeasuresEachUnmeasuredRunnerOnceAlsoInAClosedRack) {
  Add("known-open", "r1-1", kFast);
  Add("known-closed", "r1-2", kFast);
  AddUnmeasured("new-closed", "r1-2");
  CandidatePool pool = PacedPool();
  for (Candidate& candidate : pool.candidates()) {
    candidate.reserved = candidate.rack == "r1-2";
  }
  STRCMP_EQUAL("new-closed", IdOf(pool.PlaceOne(MeasuringRequest())).c_str());
  for (int i = 0; i < 8; ++i) {
    STRCMP_EQUAL("known-open", IdOf(pool.PlaceOne(MeasuringRequest())).c_str());
  }
  POINTERS_EQUAL(nullptr, pool.PlaceOne(MeasuringRequest()));
}

// A run that measures nothing must not use the racks reserved for urgent work.
TEST(PacePlacement, TaskThatDoesNotMeasureStaysOutOfClosedRacks) {
  AddUnmeasured("new-closed", "r1-2");
  PlacementRequest request = MeasuringRequest();
  request.pace->measures_runners = false;
  CandidatePool pool = PacedPool();
  pool.candidates()[0].reserved = true;
  POINTERS_EQUAL(nullptr, pool.PlaceOne(request));
}

// A run away from its data yields no measurement. Its runner stayed unmeasured
// and got one more such task with each pass, although its rack was closed.
TEST(PacePlacement, TaskAwayFromItsDataMeasuresNothingInAClosedRack) {
  AddUnmeasured("new-closed", "r1-2");
  step.data_rack = "r1-1";
  PlacementRequest request = MeasuringRequest();
  request.ignore_locality = true;
  CandidatePool pool = PacedPool();
  pool.candidates()[0].reserved = true;
  POINTERS_EQUAL(nullptr, pool.PlaceOne(request));
}

// Single runners are reserved while speeds are in use. The first runner of a
// rack decided whether the whole rack counted as reserved.
TEST(PacePlacement, UrgentGangPrefersReservedRunnersOfAPartlyReservedRack) {
  step.need.accelerators = 8;
  step.same_rack = true;
  Add("a-1", "r1-1", kFast);
  Add("a-2", "r1-1", kFast);
  Add("b-0", "r1-2", kSlow);
  Add("b-1", "r1-2", kFast);
  Add("b-2", "r1-2", kFast);
  CandidatePool pool = PacedPool();
  pool.candidates()[3].reserved = true;
  pool.candidates()[4].reserved = true;
  PlacementRequest request = UrgentRequest(2);
  request.urgent_racks = UrgentRacks::kPreferred;
  CHECK_TRUE(IdsOf(pool.PlaceAll(request)) ==
             (std::set<std::string>{"b-1", "b-2"}));
}

// Guards against a changed order in deployments that do not use speeds.
TEST(PacePlacement, OrderWithoutPaceIsThatOfBefore) {
  Add("fast", "r1-1", kFast, 8);
  Add("slow", "r1-2", kSlow, 2);
  AddUnmeasured("unmeasured", "r1-3");
  CandidatePool pool = PacedPool();
  // The best fit.
  STRCMP_EQUAL("slow", IdOf(pool.PlaceOne(Request(1))).c_str());
  PlacementRequest request = Request(1);
  request.urgent_racks = UrgentRacks::kClosed;
  for (Candidate& candidate : pool.candidates()) {
    candidate.reserved = candidate.rack != "r1-2";
  }
  STRCMP_EQUAL("slow", IdOf(pool.PlaceOne(request)).c_str());
  POINTERS_EQUAL(nullptr, pool.PlaceOne(request));
  // The fullest rack that fits, in one rack although it may be spread.
  CandidatePool gangs = PacedPool();
  CHECK_TRUE(IdsOf(gangs.PlaceAll(Request(2))) ==
             (std::set<std::string>{"slow"}));
}

}  // namespace limeledge::dispatch
