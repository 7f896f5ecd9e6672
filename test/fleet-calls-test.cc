/// @file
/// Tests of what the nodes of a fleet read from the store together, and of
/// take-overs in a fleet where few nodes follow the scheduler closely.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <cstdint>
#include <memory>
#include <vector>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

using dispatch::StoreLane;

TEST_GROUP(FleetCalls) {
  std::unique_ptr<EmulatedSystem> system;

  /// Starts a fleet and waits until its nodes are registered and counted.
  void Start(int nodes) {
    SystemOptions options;
    options.nodes = nodes;
    options.runners = 4;
    system = std::make_unique<EmulatedSystem>(options);
    system->Run(Duration(40000));
  }

  void teardown() override { system.reset(); }

  /// Reads a second in a lane, over a minute.
  std::int64_t ReadsPerSecond(StoreLane lane) {
    constexpr std::int64_t kSeconds = 60;
    const std::int64_t before = system->reads(lane).calls;
    system->Run(Duration(kSeconds * 1000));
    return (system->reads(lane).calls - before) / kSeconds;
  }

  /// Waits for a leader other than `previous`; returns the time that it took.
  Duration TimeToTakeOver(int previous) {
    const TimePoint start = system->now();
    while (system->leader() < 0 || system->leader() == previous) {
      system->Run(Duration(10));
      CHECK_TRUE(system->now() - start < Duration(30000));
    }
    return system->now() - start;
  }

  void Kill(const std::vector<int>& nodes) {
    for (const int node : nodes) system->KillNode(node, Duration(60000));
  }
};

// Hundreds of nodes that read the leader row every 300 ms send more calls than
// all the work of the scheduler.
TEST(FleetCalls, ReadsOfTheLeaderRowDoNotGrowWithTheFleet) {
  Start(40);
  const std::int64_t of_40 = ReadsPerSecond(StoreLane::kLeader);
  Start(160);
  const std::int64_t of_160 = ReadsPerSecond(StoreLane::kLeader);
  // Eight standbys, and twenty looks of two or three reads.
  CHECK_TRUE(of_40 <= 90);
  CHECK_TRUE(of_160 <= 90);
}

TEST(FleetCalls, PeerRowsThatANodeReadsDoNotGrowWithTheFleet) {
  constexpr int kNodes = 160;
  Start(kNodes);
  const auto before = system->reads(StoreLane::kPeers);
  system->Run(Duration(60000));
  const auto after = system->reads(StoreLane::kPeers);
  // Four samples of twelve rows a node, and four scans by the leader.
  CHECK_TRUE(after.rows - before.rows <= 5 * 12 * kNodes + 5 * kNodes);
}

TEST(FleetCalls, StandbyTakesOverFromAKilledScheduler) {
  Start(60);
  const int killed = system->leader();
  system->KillNode(killed, Duration(60000));
  CHECK_TRUE(TimeToTakeOver(killed) <= Duration(2000));
}

TEST(FleetCalls, StoppedSchedulerHandsOverToAStandby) {
  Start(60);
  const int stopped = system->leader();
  system->StopNode(stopped);
  CHECK_TRUE(TimeToTakeOver(stopped) <= Duration(700));
}

TEST(FleetCalls, AnotherNodeTakesOverIfAllStandbysAreLostToo) {
  Start(60);
  const int killed = system->leader();
  Kill(system->StandbysOf(killed));
  system->KillNode(killed, Duration(60000));
  CHECK_TRUE(TimeToTakeOver(killed) <= Duration(2500));
}

TEST(FleetCalls, AnotherNodeTakesOverIfTheStandbysAreFrozen) {
  Start(60);
  const int killed = system->leader();
  for (const int standby : system->StandbysOf(killed)) {
    system->FreezeNode(standby, Duration(8000));
  }
  system->KillNode(killed, Duration(60000));
  CHECK_TRUE(TimeToTakeOver(killed) <= Duration(2500));
}

TEST(FleetCalls, LostStandbysAreReplaced) {
  Start(60);
  const int leader = system->leader();
  const std::vector<int> before = system->StandbysOf(leader);
  Kill(before);
  system->Run(Duration(5000));
  LONGS_EQUAL(leader, system->leader());
  const std::vector<int> after = system->StandbysOf(leader);
  LONGS_EQUAL(before.size(), after.size());
  for (const int standby : after) {
    for (const int lost : before) CHECK_TRUE(standby != lost);
  }
}

// The lease of a scheduler whose calls the store refuses used to run out first,
// for over a second in which nothing started and no end was stored.
TEST(FleetCalls, SchedulerThatTheStoreRefusesHandsOverAtOnce) {
  Start(60);
  const int refused = system->leader();
  system->faults().refused_nodes.insert(refused);
  const TimePoint start = system->now();
  while (system->newest_leader() == refused) {
    system->Run(Duration(10));
    CHECK_TRUE(system->now() - start < Duration(30000));
  }
  CHECK_TRUE(system->now() - start <= Duration(800));
}

// A node that hears from the store every few seconds does not know of an
// outage. It finds out when a call arrives, and another node serves the call.
TEST(FleetCalls, CallersOfACutOffNodeAreServedThroughAnother) {
  constexpr int kNodes = 60;
  Start(kNodes);
  const int leader = system->leader();
  for (int node = 0; node < kNodes; ++node) {
    const bool cut = node != leader && node % 3 == 0;
    if (cut) system->faults().nodes_without_store.insert(node);
  }
  std::vector<JobId> jobs;
  for (int i = 0; i < 30; ++i) {
    jobs.push_back(SchedulerFixture::SubmitTo(
        system.get(), SchedulerFixture::Step(1, 1, Duration(100))));
  }
  // Less than the time after which a caller that was refused tries again, and
  // more than the timeout of a call to the store.
  system->Run(Duration(400));
  for (const JobId& job : jobs) {
    CHECK_TRUE(system->jobs().at(job).accepted);
  }
}

}  // namespace limeledge::emulator
