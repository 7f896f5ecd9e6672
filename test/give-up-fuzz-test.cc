/// @file
/// Random simulations of callers that cancel jobs without waiting for the
/// response to their submit, while nodes are paused and the store carries
/// writes out late.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "emulator/emulated_system.h"
#include "simulation-settings.h"

namespace limeledge::emulator {

namespace {

/// Simulations per test run, unless the environment sets another number.
constexpr int kDefaultRunCount = 20;

class GiveUpSimulation {
 public:
  explicit GiveUpSimulation(int seed)
      : random_(static_cast<std::uint64_t>(seed)), system_(OptionsFor(seed)) {
    TraceIfRequested(&system_);
  }

  /// Returns descriptions of the violations.
  std::vector<std::string> Run() {
    system_.Run(Duration(3000));
    for (int i = 0; i < kSteps; ++i) {
      if (!OneIn(3)) Submit();
      if (OneIn(4)) InjectFault();
      Advance(Pick(50, 600));
    }
    system_.faults() = Faults();
    Advance(static_cast<int>(kRest.ms()));
    std::vector<std::string> violations = system_.violations();
    for (const auto& [id, watch] : system_.jobs()) {
      CheckEnd(id, watch, &violations);
    }
    return violations;
  }

 private:
  static constexpr int kSteps = 80;
  static constexpr int kNodes = 4;
  static constexpr Duration kRest{40000};

  static SystemOptions OptionsFor(int seed) {
    SystemOptions options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.nodes = kNodes;
    // Makes the registry read the jobs in several pages.
    if (seed % 2 == 0) options.job_registry.page_rows = 2;
    return options;
  }

  int Pick(int from, int to) {
    return from + static_cast<int>(random_() % (to - from + 1));
  }
  bool OneIn(int n) { return Pick(1, n) == 1; }

  void Submit() {
    dispatch::StepSpec step;
    step.count = Pick(1, 3);
    step.need = {2000, 4096, Pick(0, 2)};
    step.estimate = Duration(Pick(500, 4000));
    TaskTruth truth;
    truth.work = step.estimate;
    dispatch::JobSpec spec;
    spec.steps.push_back(step);
    spec.policy.priority = OneIn(3) ? 0 : 1;
    const JobId job = system_.Submit(std::move(spec), {truth});
    if (OneIn(2)) giving_up_.push_back({job, Duration(Pick(0, 3000))});
  }

  void Advance(int ms) {
    constexpr int kIncrement = 10;
    for (int passed = 0; passed < ms; passed += kIncrement) {
      system_.Run(Duration(kIncrement));
      GiveUpDue();
    }
  }

  void GiveUpDue() {
    std::vector<PlannedGiveUp> left;
    for (PlannedGiveUp& planned : giving_up_) {
      planned.after = planned.after - Duration(10);
      if (planned.after > Duration(0)) {
        left.push_back(planned);
      } else {
        system_.GiveUp(planned.job);
      }
    }
    giving_up_ = std::move(left);
  }

  int AnyNode() {
    const int leader = system_.leader();
    return leader >= 0 && OneIn(3) ? leader : Pick(0, kNodes - 1);
  }

  void InjectFault() {
    Faults& faults = system_.faults();
    switch (Pick(0, 9)) {
      case 0:
      case 1:
      case 2:
        system_.FreezeNode(AnyNode(), Duration(Pick(500, 12000)));
        break;
      case 3:
      case 4:
        faults.store_writes_late = faults.store_writes_late > 0 ? 0 : 0.4;
        break;
      case 5:
        faults.store_answers_lost = faults.store_answers_lost > 0 ? 0 : 0.3;
        break;
      case 6:
        system_.KillNode(AnyNode(), Duration(Pick(100, 4000)));
        break;
      case 7:
        faults.nodes_without_store = {AnyNode()};
        break;
      case 8:
        system_.store().ForgetHistory();
        break;
      default:
        faults = Faults();
    }
  }

  void CheckEnd(const JobId& id, const JobWatch& watch,
                std::vector<std::string>* violations) {
    const std::string state = system_.StateOf(id);
    const bool allowed =
        watch.cancelled_before_stored
            ? state == "gone"
            : state == "done" || (watch.given_up && state == "cancelled");
    if (allowed) return;
    violations->push_back("job " + id.value() + " ended in state '" + state +
                          "'");
  }

  /// A caller that will give up, and the time left until then.
  struct PlannedGiveUp {
    JobId job;
    Duration after;
  };

  std::mt19937_64 random_;
  EmulatedSystem system_;
  std::vector<PlannedGiveUp> giving_up_;
};

}  // namespace

TEST_GROUP(GiveUpFuzz){
    /// Runs simulations and prints each one that breaks a promise.
    static int CountFailures(int first, int count){int failed = 0;
for (int seed = first; seed < first + count; ++seed) {
  const std::vector<std::string> violations = GiveUpSimulation(seed).Run();
  if (violations.empty()) continue;
  ++failed;
  UT_PRINT(("seed " + std::to_string(seed) + ": " + violations.front() + " (" +
            std::to_string(violations.size()) + " in all)")
               .c_str());
}
return failed;
}  // namespace limeledge::emulator
}
;

// Guards against a job that runs although its cancel was acknowledged before
// its submit reached the store.
TEST(GiveUpFuzz, JobsThatWereCancelledBeforeTheyWereStoredNeverRun) {
  LONGS_EQUAL(0, CountFailures(FirstSeed(), RunCountOr(kDefaultRunCount)));
}

}  // namespace limeledge::emulator
