/// @file
/// Fuzz test: random jobs, faults and capacity changes on runners that do not
/// enforce their capacity. The emulated system checks the invariants.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "emulator/emulated_system.h"
#include "simulation-settings.h"

namespace limeledge::emulator {

namespace {

/// Default number of simulations.
constexpr int kDefaultRunCount = 30;

/// One random simulation of an emulated system.
class CapacitySimulation {
 public:
  explicit CapacitySimulation(int seed)
      : random_(static_cast<std::uint64_t>(seed)), system_(OptionsFor(seed)) {
    TraceIfRequested(&system_);
  }

  /// Runs the simulation and returns the invariant violations and the jobs that
  /// did not finish.
  std::vector<std::string> Run() {
    system_.Run(Duration(3000));
    for (int i = 0; i < kSteps; ++i) {
      Submit();
      if (OneIn(3)) ChangeCapacity(OneIn(3) ? 0 : Pick(1, kCapacityParts));
      if (OneIn(6)) InjectFault();
      system_.Run(Duration(Pick(100, 700)));
    }
    system_.faults() = Faults();
    for (const RunnerId& id : system_.RunnerIds()) {
      system_.SetCapacity(id, system_.room());
    }
    system_.Run(Duration(90000));
    std::vector<std::string> failures = system_.violations();
    for (const auto& [id, watch] : system_.jobs()) {
      const std::string state = system_.StateOf(id);
      if (state != "done") {
        failures.push_back("job " + id.value() + " " + state);
      }
    }
    return failures;
  }

 private:
  static constexpr int kSteps = 60;
  /// A capacity is changed to a random number of these parts.
  static constexpr int kCapacityParts = 4;

  static SystemOptions OptionsFor(int seed) {
    SystemOptions options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.enforces_capacity = false;
    // Few runners, so that many starts are queued at each.
    options.runners = 3;
    return options;
  }

  int Pick(int from, int to) {
    return from + static_cast<int>(random_() % (to - from + 1));
  }
  bool OneIn(int n) { return Pick(1, n) == 1; }

  RunnerId AnyRunner() {
    const std::vector<RunnerId> ids = system_.RunnerIds();
    return ids.empty() ? RunnerId("none")
                       : ids[Pick(0, static_cast<int>(ids.size()) - 1)];
  }

  void ChangeCapacity(int parts) {
    dispatch::Resources room = system_.room();
    room.cpu_millis = room.cpu_millis * parts / kCapacityParts;
    room.memory_mb = room.memory_mb * parts / kCapacityParts;
    room.accelerators = room.accelerators * parts / kCapacityParts;
    system_.SetCapacity(AnyRunner(), room);
  }

  void Submit() {
    dispatch::JobSpec spec;
    dispatch::StepSpec step;
    step.count = Pick(1, 10);
    constexpr std::int64_t kMillisPerCore = 1000;
    step.need = {Pick(1, 6) * kMillisPerCore, 4096, Pick(0, 2)};
    step.estimate = Duration(Pick(300, 4000));
    step.gang = OneIn(4);
    step.saves_progress = OneIn(2);
    TaskTruth truth;
    truth.work = step.estimate * Pick(60, 160) / 100;
    spec.policy.priority = OneIn(3) ? 0 : 1;
    spec.steps = {step};
    system_.Submit(spec, {truth});
  }

  void InjectFault() {
    Faults& faults = system_.faults();
    const int leader = std::max(0, system_.leader());
    switch (Pick(0, 9)) {
      case 0:
        system_.KillNode(leader, Duration(Pick(100, 3000)));
        break;
      case 1:
        system_.FreezeNode(leader, Duration(Pick(500, 7000)));
        break;
      case 2:
        faults.store_down = !faults.store_down;
        break;
      case 3:
        faults.orders_lost = faults.orders_lost > 0 ? 0 : 0.2;
        faults.late_order = Duration(Pick(500, 9000));
        break;
      case 4:
      case 8:
      case 9:
        // An order counts as lost after 1 s; these take most of that time.
        faults.order_time = Duration(OneIn(3) ? 0 : Pick(300, 950));
        break;
      case 5:
        faults.unreachable_runners.insert(AnyRunner());
        break;
      case 6:
        faults.store_slowness = faults.store_slowness > 1 ? 1 : Pick(10, 60);
        break;
      default:
        faults = Faults();
    }
  }

  std::mt19937_64 random_;
  EmulatedSystem system_;
};

}  // namespace

TEST_GROUP(RoomFuzz){};

TEST(RoomFuzz, ChangingCapacitiesAreNeverExceeded) {
  int failed_seeds = 0;
  for (int i = 0; i < RunCountOr(kDefaultRunCount); ++i) {
    const int seed = FirstSeed() + i;
    const std::vector<std::string> failures = CapacitySimulation(seed).Run();
    if (failures.empty()) continue;
    ++failed_seeds;
    UT_PRINT(("seed " + std::to_string(seed) + ": " + failures.front() + " (" +
              std::to_string(failures.size()) + " in all)")
                 .c_str());
  }
  LONGS_EQUAL(0, failed_seeds);
}

// Guards against starts of a gang that fit a runner one by one, but not
// together, since its capacity shrank after they were planned.
TEST(RoomFuzz, GangThatDoesNotFitAShrunkRunnerIsNotStarted) {
  constexpr int kSeed = 9300053;
  const std::vector<std::string> failures = CapacitySimulation(kSeed).Run();
  CHECK_TEXT(failures.empty(),
             failures.empty() ? "" : failures.front().c_str());
}

}  // namespace limeledge::emulator
