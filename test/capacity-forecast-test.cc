/// @file
/// Tests of the forecast of waits and of the summary of capacity.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "dispatch/capacity_forecast.h"
#include "dispatch/row_codec.h"

namespace limeledge::dispatch {

TEST_GROUP(CapacityForecast) {
  static constexpr int kRunners = 350;
  const ServiceId service{"compute"};
  const Resources room{128000, 524288, 8};
  std::set<std::string> labels{"gpu", "rack-1"};
  CapacityForecast forecast;
  TimePoint now{1000};
  int runners = kRunners;
  /// Accelerators that runs of the urgent queue take on each runner.
  std::int64_t used = 8;
  /// Waiting gangs of five tasks of four accelerators, by priority.
  std::map<int, int> gangs;
  Duration estimate{2100};
  double deviation = 0.18;

  std::vector<CapacityForecast::QueueInput> Queues() const {
    std::vector<CapacityForecast::QueueInput> queues;
    for (int priority = 0; priority < 3; ++priority) {
      QueuePolicy policy;
      policy.service = service;
      policy.priority = priority;
      policy.stretch = priority == 0 ? 1.5 : 3;
      policy.slack = Duration(500);
      queues.push_back({QueueId("q" + std::to_string(priority)), policy, 1.44});
    }
    return queues;
  }

  CapacitySnapshot Snapshot() const {
    CapacitySnapshot snapshot;
    for (int i = 0; i < runners; ++i) {
      CapacitySnapshot::UsedByPriority runs;
      if (used > 0) runs.push_back({0, {1000 * used, 1024 * used, used}});
      snapshot.AddRunner(service, room, labels, runs);
    }
    for (const auto& [priority, count] : gangs) {
      for (int i = 0; i < count; ++i) {
        snapshot.AddWork(service, priority, {4000, 4096, 4}, 5, estimate,
                         deviation);
      }
    }
    return snapshot;
  }

  /// Updates the forecast once a second for that many seconds.
  const CapacitySummary& Run(int seconds, Duration list_age = Duration(0)) {
    for (int i = 0; i < seconds; ++i) {
      now = now + forecast.options().interval;
      forecast.Update(now, Snapshot(), list_age, Queues());
    }
    return forecast.summary();
  }

  bool Waits(const char* queue) {
    return forecast.summary().waits.count(QueueId(queue)) != 0;
  }
  const QueueWait& Wait(const char* queue) {
    return forecast.summary().waits.at(QueueId(queue));
  }
};

// Load: none. Guards against refusals right after a take-over.
TEST(CapacityForecast, NothingIsKnownBeforeTheListWasStable) {
  CHECK_TRUE(Run(5).services.empty());
  CHECK_FALSE(Run(1).services.empty());
  const ServiceCapacity& capacity = forecast.summary().services.at(service);
  LONGS_EQUAL(8, capacity.largest.accelerators);
  LONGS_EQUAL(8 * kRunners, capacity.sum.accelerators);
  CHECK_TRUE(capacity.has_all_labels);
  LONGS_EQUAL(2, capacity.labels.size());
}

// Load: a full fleet with a backlog of 600 urgent gangs, 12,000 accelerators
// for 2.1 s each: 9 s of all 2,800 accelerators.
TEST(CapacityForecast, FullFleetWithABacklogOfGangsWaits) {
  gangs[0] = 600;
  Run(12);
  CHECK_TRUE(Waits("q0"));
  LONGS_EQUAL(9000, Wait("q0").expected[2].ms());
  CHECK_TRUE(Wait("q0").earliest[2] < Wait("q0").expected[2] * 7 / 10);
  CHECK_TRUE(Wait("q0").earliest[2] > Duration(5000));
  LONGS_EQUAL(0, Wait("q0").free.accelerators);
}

// Load: the same backlog in the middle queue. Guards against refusing urgent
// work for a backlog that it displaces.
TEST(CapacityForecast, LessUrgentBacklogDelaysOnlyItsOwnPriorityAndBelow) {
  gangs[1] = 600;
  Run(12);
  CHECK_FALSE(Waits("q0"));
  CHECK_TRUE(Waits("q1"));
  CHECK_TRUE(Waits("q2"));
}

// Load: a burst of urgent work that all free capacity takes. Guards against
// waits in the row while capacity is not short.
TEST(CapacityForecast, ShortBacklogIsNotTold) {
  gangs[0] = 60;
  Run(12);
  CHECK_FALSE(Waits("q0"));
}

// Load: urgent backlog while gaps open between gangs. Guards against refusing
// small jobs that fit into a gap.
TEST(CapacityForecast, FreeCapacityOfTheLastSecondsIsTold) {
  gangs[0] = 600;
  Run(10);
  used = 6;
  Run(1);
  used = 8;
  Run(2);
  LONGS_EQUAL(2 * kRunners, Wait("q0").free.accelerators);
  LONGS_EQUAL(2, Wait("q0").largest_free.accelerators);
  Run(6);
  LONGS_EQUAL(0, Wait("q0").free.accelerators);
}

// Load: the same backlog with estimates that are off by factors of 1.2 and 1.6.
// Guards against trusting uncertain estimates.
TEST(CapacityForecast, UncertainEstimatesAllowAnEarlierStart) {
  gangs[0] = 600;
  estimate = Duration(20000);
  Run(12);
  const Duration certain = Wait("q0").earliest[2];
  deviation = 1.5;
  Run(1);
  CHECK_TRUE(Wait("q0").earliest[2] < certain);
}

// Load: none. Guards against refusals by entries that expired while the store
// was away, and by a fleet that shrinks.
TEST(CapacityForecast, ShrunkCapacityIsUnknownForSomeSeconds) {
  Run(12);
  runners = kRunners - 1;
  CHECK_TRUE(Run(1).services.empty());
  CHECK_TRUE(Run(4).services.empty());
  CHECK_FALSE(Run(1).services.empty());
}

// Load: none. Guards against refusing for a label whose last runner restarts.
TEST(CapacityForecast, LostLabelMakesCapacityUnknown) {
  Run(12);
  labels.erase("gpu");
  CHECK_TRUE(Run(1).services.empty());
}

// Load: none. Guards against refusals by an empty list after an outage.
TEST(CapacityForecast, EmptyListTellsNothing) {
  Run(12);
  runners = 0;
  CHECK_TRUE(Run(20).services.empty());
  runners = kRunners;
  CHECK_TRUE(Run(5).services.empty());
  CHECK_FALSE(Run(1).services.empty());
}

// Load: none. Guards against refusals by a list that the store no longer
// confirms, and right after it does again.
TEST(CapacityForecast, UnconfirmedListTellsNothing) {
  Run(12);
  CHECK_TRUE(Run(1, Duration(2900)).services.empty());
  CHECK_TRUE(Run(5).services.empty());
  CHECK_FALSE(Run(1).services.empty());
}

// Load: scale-out. Guards against waiting for stability when capacity grows,
// since nothing is refused that was accepted before.
TEST(CapacityForecast, GrownCapacityIsToldAtOnce) {
  Run(12);
  runners = kRunners + 10;
  labels.insert("new");
  Run(1);
  const ServiceCapacity& capacity = forecast.summary().services.at(service);
  LONGS_EQUAL(8 * (kRunners + 10), capacity.sum.accelerators);
  LONGS_EQUAL(1, capacity.labels.count("new"));
}

// Load: 500 racks, whose labels exceed the bound, and backlogs of all queues.
// Guards against a leader row that grows with the fleet.
TEST(CapacityForecast, SummaryIsBoundedInBytes) {
  for (int i = 0; i < 500; ++i) labels.insert("rack-" + std::to_string(i));
  gangs = {{0, 6000}, {1, 6000}, {2, 6000}};
  estimate = Duration(60000);
  Run(12);
  const ServiceCapacity& capacity = forecast.summary().services.at(service);
  CHECK_FALSE(capacity.has_all_labels);
  CHECK_TRUE(capacity.labels.empty());
  LONGS_EQUAL(3, forecast.summary().waits.size());
  LeaderRecord record;
  const std::size_t without = EncodeLeader(record).size();
  record.forecast = forecast.summary();
  CHECK_TRUE(EncodeLeader(record).size() - without <= 1024);
}

// Guards against a take-over by rows of other versions that do not decode.
TEST(CapacityForecast, RowsOfOtherVersionsDecode) {
  gangs[0] = 600;
  Run(12);
  LeaderRecord record;
  record.holder = "e1/1";
  CHECK_FALSE(DecodeLeader(EncodeLeader(record))->forecast.has_value());
  record.forecast = forecast.summary();
  std::string text = EncodeLeader(record);
  const auto decoded = DecodeLeader(text);
  CHECK_TRUE(decoded.ok());
  STRCMP_EQUAL(text.c_str(), EncodeLeader(*decoded).c_str());
  // A field that this version does not know.
  text.insert(1, "\"later\":{\"x\":[1]},");
  CHECK_TRUE(DecodeLeader(text)->forecast.has_value());
  for (const char* other :
       {"{\"v\":2,\"waits\":7}", "{\"v\":1,\"at\":[]}", "7"}) {
    const auto row = DecodeLeader(
        std::string("{\"holder\":\"e1/1\",\"forecast\":") + other + "}");
    CHECK_TRUE(row.ok());
    STRCMP_EQUAL("e1/1", row->holder.c_str());
    CHECK_FALSE(row->forecast.has_value());
  }
}

}  // namespace limeledge::dispatch
