/// @file
/// Tests that no node answers by an older configuration than it has shown.
//
// A node that is cut off from the store passes calls on to another node, whose
// configuration may be newer than its own. When it decides calls itself again,
// its own configuration may still be the old one.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "scheduler-fixture.h"
#include "simulation-settings.h"

namespace limeledge::emulator {

using dispatch::CallResult;

class ConfigurationFixture : public SchedulerFixture {
 public:
  ConfigurationFixture() {
    TraceIfRequested(&system);
    system.Run(Duration(4000));
    node = (system.leader() + 1) % 3;
  }

  /// Number of probes with this result.
  int Count(CallResult result) const {
    const auto found = system.probe_results().find(result);
    return found == system.probe_results().end() ? 0 : found->second;
  }

  /// Cuts the node off from the store, just after it has learned of a change of
  /// the configuration and watches for the next one.
  void CutOff() {
    system.AddQueue("known");
    system.Run(Duration(20));
    system.faults().nodes_without_store.insert(node);
  }
  void Reconnect() { system.faults().nodes_without_store.clear(); }

  /// Probes the queue every 20 ms for `time`.
  void ProbeFor(Duration time, const std::string& queue) {
    constexpr Duration kInterval{20};
    for (Duration done; done < time; done = done + kInterval) {
      system.ProbeQueue(node, queue);
      system.Run(kInterval);
    }
  }

  /// A node that is not the leader.
  int node = 0;
};

TEST_GROUP_BASE(Configuration, ConfigurationFixture){};

TEST(Configuration, ChangesAreKnownWithinMoments) {
  system.AddQueue("added");
  system.Run(Duration(20));
  system.ProbeQueue(node, "added");
  system.Run(Duration(20));
  LONGS_EQUAL(1, Count(CallResult::kDone));
  system.RemoveQueue("added");
  system.Run(Duration(20));
  system.ProbeQueue(node, "added");
  system.Run(Duration(20));
  LONGS_EQUAL(1, Count(CallResult::kUnknownQueue));
  CheckNoViolation();
}

// Guards against the refusal of a route that the node has served, once the
// store answers again but the watch of the configuration does not.
TEST(Configuration, ReconnectedNodeKeepsServingAnAddedQueue) {
  CutOff();
  system.AddQueue("added");
  system.Run(Duration(1200));
  ProbeFor(Duration(600), "added");
  CHECK_TRUE(Count(CallResult::kDone) > 0);
  Reconnect();
  ProbeFor(Duration(3000), "added");
  CheckNoViolation();
}

// Guards against answers for a route whose removal the node has shown.
TEST(Configuration, ReconnectedNodeKeepsRefusingARemovedQueue) {
  system.AddQueue("removed");
  system.Run(Duration(100));
  ProbeFor(Duration(40), "removed");
  CutOff();
  system.RemoveQueue("removed");
  system.Run(Duration(1200));
  ProbeFor(Duration(600), "removed");
  CHECK_TRUE(Count(CallResult::kUnknownQueue) > 0);
  Reconnect();
  ProbeFor(Duration(3000), "removed");
  CheckNoViolation();
}

// Guards against answers for an API key whose removal the node has shown.
TEST(Configuration, ReconnectedNodeKeepsRefusingARemovedKey) {
  system.AddKey("key-2");
  system.Run(Duration(100));
  system.ProbeKey(node, "key-2");
  system.Run(Duration(20));
  CutOff();
  system.RemoveKey("key-2");
  system.Run(Duration(1200));
  for (int i = 0; i < 90; ++i) {
    system.ProbeKey(node, "key-2");
    system.Run(Duration(20));
    if (i == 30) Reconnect();
  }
  CHECK_TRUE(Count(CallResult::kUnknownKey) > 0);
  CheckNoViolation();
}

// Guards against a scheduler that decides calls itself once it is deposed,
// although the store still does not answer it.
TEST(Configuration, DeposedLeaderWithoutStoreKeepsServingAnAddedQueue) {
  node = system.leader();
  Submit(Step(8, 1, Duration(20000)), 0);
  system.Run(Duration(1000));
  CutOff();
  system.AddQueue("added");
  ProbeFor(Duration(6000), "added");
  CHECK_TRUE(Count(CallResult::kDone) > 0);
  CHECK_TRUE(system.leader() != node);
  CheckNoViolation();
}

// Guards against a deposed scheduler that forgets that the store does not
// answer it, and makes callers wait for the store instead of passing them on.
TEST(Configuration, DeposedLeaderWithoutStoreKnowsThatItHasNone) {
  node = system.leader();
  Submit(Step(8, 1, Duration(20000)), 0);
  system.Run(Duration(1000));
  CutOff();
  const auto contains = [this](const char* text) {
    return system.DumpOf(node).find(text) != std::string::npos;
  };
  for (int i = 0; i < 800 && contains("\"leads\":true"); ++i) {
    system.Run(Duration(10));
  }
  CHECK_TRUE(contains("\"leads\":false"));
  CHECK_TRUE(contains("\"store_answers\":false"));
  Reconnect();
  system.Run(Duration(1000));
  CHECK_TRUE(contains("\"store_answers\":true"));
}

}  // namespace limeledge::emulator
