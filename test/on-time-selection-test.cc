/// @file
/// Tests of the selection of urgent steps.
//
// The load: more urgent gangs wait than can be in time, and in the order of
// their deadlines one large gang makes several small ones late.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "dispatch/on_time_selection.h"

namespace limeledge::dispatch {

namespace {

const ServiceId kService("compute");

StepName Name(const std::string& job) { return {JobId(job), 0, 0}; }

}  // namespace

TEST_GROUP(OnTimeSelection) {
  OnTimeSelection selection;
  std::map<ServiceId, ServiceRoom> rooms;
  std::vector<UrgentStep> steps;

  void setup() override { rooms[kService] = {{0, 0, 16}, {0, 0, 16}, {}}; }

  /// Adds a step that takes `ms` and may start up to `latest_start`.
  UrgentStep& Add(const std::string& job, std::int64_t accelerators,
                  std::int64_t ms, std::int64_t latest_start) {
    UrgentStep step;
    step.name = Name(job);
    step.service = kService;
    step.need = {0, 0, accelerators};
    step.time = Duration(ms);
    step.latest_start = TimePoint(latest_start);
    step.deadline = TimePoint(latest_start + ms);
    steps.push_back(step);
    return steps.back();
  }

  std::vector<Deferral> Select(std::int64_t now_ms = 0) {
    return selection.Select(TimePoint(now_ms), steps, rooms);
  }
  bool IsDeferred(const std::string& job) {
    return selection.IsDeferred(Name(job));
  }
  void Remove(const std::string& job) {
    const auto is_removed = [&job](const UrgentStep& step) {
      return step.name.job == JobId(job);
    };
    steps.erase(std::remove_if(steps.begin(), steps.end(), is_removed),
                steps.end());
  }
};

TEST(OnTimeSelection, NothingIsDeferredWhileAllFit) {
  Add("a", 8, 2000, 1000);
  Add("b", 8, 2000, 1000);
  LONGS_EQUAL(0, Select().size());
  CHECK_FALSE(IsDeferred("a"));
}

TEST(OnTimeSelection, OneLargeGangIsDeferredForManySmallOnes) {
  Add("large", 16, 4000, 100);
  for (const char* name : {"a", "b", "c", "d"}) Add(name, 4, 2000, 2500);
  const std::vector<Deferral> deferrals = Select();
  LONGS_EQUAL(1, deferrals.size());
  CHECK_TRUE(IsDeferred("large"));
  CHECK_TRUE(deferrals[0].reason == DeferReason::kLargest);
}

TEST(OnTimeSelection, RoomThatIsFreedInTimeCounts) {
  rooms[kService].free = {};
  rooms[kService].releases = {{TimePoint(900), {0, 0, 16}}};
  Add("a", 16, 2000, 1000);
  LONGS_EQUAL(0, Select().size());
  steps[0].latest_start = TimePoint(800);
  LONGS_EQUAL(1, Select().size());
}

TEST(OnTimeSelection, StepCanUseTheRoomOfOneThatEndsBefore) {
  Add("first", 16, 1000, 100);
  Add("second", 16, 1000, 1200);
  LONGS_EQUAL(0, Select().size());
}

TEST(OnTimeSelection, DeferralIsToldOnceAndEndsWhenThereIsRoom) {
  Add("large", 16, 4000, 5000);
  Add("small", 4, 5000, 5000);
  rooms[kService].free = {0, 0, 4};
  LONGS_EQUAL(1, Select().size());
  LONGS_EQUAL(0, Select(100).size());
  CHECK_TRUE(IsDeferred("large"));
  rooms[kService].free = {0, 0, 20};
  LONGS_EQUAL(0, Select(200).size());
  CHECK_FALSE(IsDeferred("large"));
  LONGS_EQUAL(200, selection.DeferredFor(Name("large"), TimePoint(200)).ms());
}

// Large gangs would always be the ones deferred under a lasting shortage.
TEST(OnTimeSelection, EveryThirdDeferredStepIsNotTheLargest) {
  std::vector<bool> large_deferred;
  for (int i = 0; i < 3; ++i) {
    steps.clear();
    const std::string number = std::to_string(i);
    Add("large" + number, 16, 4000, 100);
    Add("small" + number, 8, 4000, 100);
    const std::vector<Deferral> deferrals = Select();
    LONGS_EQUAL(1, deferrals.size());
    large_deferred.push_back(IsDeferred("large" + number));
  }
  CHECK_TRUE(large_deferred[0]);
  CHECK_TRUE(large_deferred[1]);
  CHECK_FALSE(large_deferred[2]);
  // The next pass does not defer the spared one after all.
  LONGS_EQUAL(0, Select(10).size());
  CHECK_FALSE(IsDeferred("large2"));
  CHECK_TRUE(IsDeferred("small2"));
}

// A guarantee must not be delayed, and overdue steps are deferred no longer.
TEST(OnTimeSelection, StepThatGoesFirstTakesItsRoomAndIsNotDeferred) {
  Add("guaranteed", 16, 4000, 100).goes_first = true;
  Add("small", 4, 1000, 100);
  Select();
  CHECK_FALSE(IsDeferred("guaranteed"));
  CHECK_TRUE(IsDeferred("small"));
}

TEST(OnTimeSelection, LateStepTakesNoRoomFromThoseInTime) {
  Add("late", 16, 4000, -1);
  Add("small", 16, 1000, 100);
  LONGS_EQUAL(0, Select().size());
}

TEST(OnTimeSelection, StepThatNoLongerWaitsIsForgotten) {
  Add("large", 32, 4000, 100);
  Select();
  Remove("large");
  Select(100);
  LONGS_EQUAL(0, selection.DeferredFor(Name("large"), TimePoint(200)).ms());
}

// Moore and Hodgson's algorithm is optimal for one machine: no subset of more
// steps can be in time.
TEST(OnTimeSelection, AsManyAsPossibleAreInTimeOnOneMachine) {
  const std::int64_t times[] = {4000, 1000, 3000, 2000, 2500};
  const std::int64_t deadlines[] = {4000, 4500, 5000, 6000, 7000};
  for (int i = 0; i < 5; ++i) {
    Add(std::string(1, static_cast<char>('a' + i)), 16, times[i],
        deadlines[i] - times[i]);
  }
  int best = 0;
  for (int subset = 0; subset < 1 << 5; ++subset) {
    std::int64_t end = 0;
    int count = 0;
    bool in_time = true;
    for (int i = 0; i < 5; ++i) {
      if ((subset >> i & 1) == 0) continue;
      end += times[i];
      ++count;
      in_time = in_time && end <= deadlines[i];
    }
    if (in_time) best = std::max(best, count);
  }
  LONGS_EQUAL(5 - best, Select().size());
}

}  // namespace limeledge::dispatch
