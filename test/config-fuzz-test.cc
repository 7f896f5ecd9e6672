/// @file
/// Random simulations in which the configuration changes while nodes are cut
/// off from the store, paused, killed and stopped.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "simulation-settings.h"

namespace limeledge::emulator {

namespace {

/// Simulations per run, unless more are requested.
constexpr int kDefaultRunCount = 40;
constexpr int kNodes = 4;
constexpr Duration kLength{40000};
constexpr Duration kProbeInterval{20};

/// A system of nodes whose configuration changes several times in a second.
class ConfigSimulation {
 public:
  explicit ConfigSimulation(int seed)
      : random_(seed), system_(OptionsFor(seed)) {
    TraceIfRequested(&system_);
  }

  /// Returns the violations.
  std::vector<std::string> Run() {
    system_.Run(Duration(4000));
    for (Duration time; time < kLength; time = time + kProbeInterval) {
      if (Below(15) == 0) ChangeConfiguration();
      if (Below(40) == 0) InjectFault();
      if (Below(60) == 0) EndFaults();
      Probe();
      system_.Run(kProbeInterval);
    }
    return system_.violations();
  }

  int answered() const {
    int answered = 0;
    for (const auto& [result, count] : system_.probe_results()) {
      answered += result == dispatch::CallResult::kDone ? count : 0;
    }
    return answered;
  }

 private:
  static SystemOptions OptionsFor(int seed) {
    SystemOptions options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.nodes = kNodes;
    options.runners = 1;
    return options;
  }

  int Below(int limit) { return static_cast<int>(random_() % limit); }

  /// Half of all faults hit the leader.
  int FaultyNode() {
    const int leader = system_.leader();
    return Below(2) == 0 && leader >= 0 ? leader : Below(kNodes);
  }

  void ChangeConfiguration() {
    const std::string name = absl::StrCat("e", ++last_entry_);
    const bool key = Below(4) == 0;
    std::vector<std::string>* entries = key ? &keys_ : &queues_;
    const bool removes = !entries->empty() && Below(2) == 0;
    if (removes) {
      const std::size_t index = random_() % entries->size();
      const std::string entry = (*entries)[index];
      entries->erase(entries->begin() + static_cast<std::ptrdiff_t>(index));
      key ? system_.RemoveKey(entry) : system_.RemoveQueue(entry);
      return;
    }
    entries->push_back(name);
    (key ? all_keys_ : all_queues_).push_back(name);
    key ? system_.AddKey(name) : system_.AddQueue(name);
  }

  void InjectFault() {
    const int node = FaultyNode();
    switch (Below(8)) {
      case 0:
        system_.faults().store_down = true;
        return;
      case 1:
        system_.KillNode(node, Duration(200 + Below(1500)));
        return;
      case 2:
        system_.FreezeNode(node, Duration(100 + Below(4000)));
        return;
      case 3:
        system_.StopNode(node);
        return;
      case 4:
        system_.faults().store_answers_lost = 0.2;
        return;
      default:
        system_.faults().nodes_without_store.insert(node);
        return;
    }
  }

  void EndFaults() {
    system_.faults().store_down = false;
    system_.faults().store_answers_lost = 0;
    system_.faults().nodes_without_store.clear();
  }

  /// Probes one of the entries that changed last, at a random node.
  void Probe() {
    constexpr int kNewest = 6;
    const bool key = Below(4) == 0;
    const std::vector<std::string>& all = key ? all_keys_ : all_queues_;
    if (all.empty()) return;
    const int newest = std::min(kNewest, static_cast<int>(all.size()));
    const std::string& name = all[all.size() - 1 - Below(newest)];
    const int node = Below(kNodes);
    key ? system_.ProbeKey(node, name) : system_.ProbeQueue(node, name);
  }

  std::mt19937_64 random_;
  EmulatedSystem system_;
  int last_entry_ = 0;
  /// The entries of the present version, and all there were.
  std::vector<std::string> queues_;
  std::vector<std::string> keys_;
  std::vector<std::string> all_queues_;
  std::vector<std::string> all_keys_;
};

}  // namespace

TEST_GROUP(ConfigFuzz){};

// Guards against answers by an older configuration than a node has shown, and
// against changes that a node does not know in time.
TEST(ConfigFuzz, NoNodeGoesBackToAnOlderConfiguration) {
  int failed = 0;
  for (int i = 0; i < RunCountOr(kDefaultRunCount); ++i) {
    const int seed = FirstSeed() + i;
    ConfigSimulation simulation(seed);
    const std::vector<std::string> wrong = simulation.Run();
    CHECK_TRUE(simulation.answered() > 0);
    if (wrong.empty()) continue;
    ++failed;
    UT_PRINT(("seed " + std::to_string(seed) + ": " + wrong.front() + " (" +
              std::to_string(wrong.size()) + " in all)")
                 .c_str());
  }
  LONGS_EQUAL(0, failed);
}

// Guards against a scheduler that was paused twice and polls runners before it
// knows that it still holds its lease.
TEST(ConfigFuzz, SchedulerThatWasPausedTwiceConfirmsItsLeaseFirst) {
  constexpr int kSeed = 911792;
  ConfigSimulation simulation(kSeed);
  LONGS_EQUAL(0, simulation.Run().size());
}

}  // namespace limeledge::emulator
