/// @file
/// Random simulations that cancel jobs during bursts of faults, with calm
/// periods between them, checked by the oracle of the emulated system.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <random>
#include <set>
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

/// Submits long jobs, most of which are cancelled soon, and injects faults in
/// bursts.
class CancelSimulation {
 public:
  explicit CancelSimulation(int seed)
      : random_(static_cast<std::uint64_t>(seed)), system_(OptionsFor(seed)) {
    only_mute_ = seed % 4 == 1;
    TraceIfRequested(&system_);
  }

  /// Returns descriptions of the violations.
  std::vector<std::string> Run() {
    system_.Run(Duration(3000));
    for (int i = 0; i < kBursts; ++i) {
      Burst();
      system_.faults() = Faults();
      Calm();
    }
    std::vector<std::string> violations = system_.violations();
    if (system_.most_orders_in_flight() > kMaxInFlight) {
      violations.push_back(std::to_string(system_.most_orders_in_flight()) +
                           " orders to one runner are in flight");
    }
    return violations;
  }

 private:
  static constexpr int kBursts = 6;
  static constexpr int kNodes = 10;
  /// The scheduler sends one order at a time to each runner.
  static constexpr std::size_t kMaxInFlight = 1;
  /// Longer than the time within which the tasks of a cancelled job must be
  /// stopped.
  static constexpr Duration kCalm{9000};

  static SystemOptions OptionsFor(int seed) {
    SystemOptions options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.nodes = kNodes;
    // With few runners, each has many runs, whose orders wait for each other.
    options.runners = 1 + seed % 8;
    // Makes the registry read the jobs in several pages.
    if (seed % 2 == 0) options.job_registry.page_rows = 3;
    // Some runners count the lease of a late order from its arrival.
    if (seed % 3 == 0) options.bounds.lease_from_arrival = Duration(5000);
    return options;
  }

  int Pick(int from, int to) {
    return from + static_cast<int>(random_() % (to - from + 1));
  }
  bool OneIn(int n) { return Pick(1, n) == 1; }

  void Burst() {
    const TimePoint end = system_.now() + Duration(Pick(1000, 15000));
    while (system_.now() < end) {
      if (!OneIn(3)) SubmitSome();
      if (OneIn(2)) InjectFault();
      if (OneIn(8)) CancelAll();
      Advance(Pick(20, 400));
    }
  }

  void Calm() {
    const TimePoint end = system_.now() + kCalm;
    while (system_.now() < end) {
      if (OneIn(4)) SubmitSome();
      if (OneIn(10)) CancelAll();
      Advance(Pick(100, 600));
    }
  }

  void SubmitSome() {
    const int jobs = OneIn(5) ? 6 : 1;
    for (int i = 0; i < jobs; ++i) Submit();
  }

  void Submit() {
    dispatch::StepSpec step;
    step.count = Pick(1, 6);
    step.need = {2000, 4096, Pick(0, 2)};
    step.estimate = Duration(Pick(3000, 60000));
    step.gang = OneIn(4);
    TaskTruth truth;
    truth.work = step.estimate;
    dispatch::JobSpec spec;
    spec.steps.push_back(step);
    spec.policy.priority = OneIn(3) ? 0 : 1;
    const JobId job = system_.Submit(std::move(spec), {truth});
    if (!OneIn(4)) planned_.push_back({job, Duration(Pick(50, 3000))});
  }

  /// Advances the time and cancels the jobs that are due, some time after their
  /// acceptance.
  void Advance(int ms) {
    constexpr int kIncrement = 20;
    for (int passed = 0; passed < ms; passed += kIncrement) {
      system_.Run(Duration(kIncrement));
      CancelDue();
    }
  }

  void CancelDue() {
    std::vector<PlannedCancellation> left;
    for (PlannedCancellation& planned : planned_) {
      if (!system_.jobs().at(planned.job).accepted) {
        left.push_back(planned);
      } else if (planned.after > Duration(0)) {
        planned.after = planned.after - Duration(20);
        left.push_back(planned);
      } else {
        system_.Cancel(planned.job);
      }
    }
    planned_ = std::move(left);
  }

  void CancelAll() {
    planned_.clear();
    std::vector<JobId> jobs;
    for (const auto& [id, watch] : system_.jobs()) {
      if (watch.accepted && !watch.cancel_sent) jobs.push_back(id);
    }
    for (const JobId& job : jobs) system_.Cancel(job);
  }

  RunnerId AnyRunner() {
    const std::vector<RunnerId> ids = system_.RunnerIds();
    return ids.empty() ? RunnerId("none")
                       : ids[Pick(0, static_cast<int>(ids.size()) - 1)];
  }

  int LeaderOrAnyNode() {
    const int leader = system_.leader();
    return leader >= 0 ? leader : Pick(0, kNodes - 1);
  }

  /// At least two nodes remain.
  void RemoveLeader() {
    if (removed_ + 2 >= kNodes) return;
    const int leader = system_.leader();
    if (leader < 0) return;
    ++removed_;
    system_.RemoveNode(leader);
  }

  /// Removes the leader right after all jobs were cancelled, while orders get
  /// no responses: the next leader finds runs of jobs that are already final.
  void RemoveLeaderDuringCancellation() {
    system_.faults().orders_lost = 1;
    system_.faults().late_order = Duration(12000);
    CancelAll();
    Advance(Pick(20, 400));
    RemoveLeader();
    SubmitSome();
    Advance(Pick(2000, 5000));
  }

  /// Mutes a runner for some seconds without any other fault.
  void ToggleMutedRunners() {
    std::set<RunnerId>& muted = system_.faults().mute_runners;
    if (OneIn(5)) muted.clear();
    if (OneIn(3)) muted.insert(AnyRunner());
  }

  void InjectFault() {
    if (only_mute_) {
      ToggleMutedRunners();
      return;
    }
    Faults& faults = system_.faults();
    switch (Pick(0, 17)) {
      case 0:
        RemoveLeader();
        break;
      case 1:
        system_.KillNode(LeaderOrAnyNode(), Duration(Pick(100, 4000)));
        break;
      case 2:
        system_.StopNode(LeaderOrAnyNode());
        break;
      case 3:
        system_.FreezeNode(LeaderOrAnyNode(), Duration(Pick(500, 5000)));
        break;
      case 4:
      case 5:
        faults.orders_lost = OneIn(2) ? 1 : 0.5;
        faults.late_order = Duration(Pick(2000, 12000));
        break;
      case 15:
      case 16:
        RemoveLeaderDuringCancellation();
        break;
      case 6:
        faults.polls_lost = 0.3;
        break;
      case 7:
        faults.unlisted_runners.insert(AnyRunner());
        break;
      case 8:
        faults.unreachable_runners.insert(AnyRunner());
        break;
      case 9:
        system_.store().ForgetHistory();
        break;
      case 10:
        faults.store_slowness = Pick(10, 80);
        break;
      case 11:
        faults.store_answers_lost = 0.3;
        break;
      case 12:
        faults.partitions_down.insert(dispatch::AllJobPartitions()[Pick(
            0, dispatch::kJobPartitions - 1)]);
        break;
      case 13:
        faults.nodes_without_store = {LeaderOrAnyNode()};
        break;
      case 14:
        OneIn(2) ? system_.KillRunner(AnyRunner(), Duration(Pick(500, 8000)))
                 : system_.DrainRunner(AnyRunner(), Duration(Pick(2000, 6000)));
        break;
      default:
        if (OneIn(3)) faults.store_down = true;
        faults = OneIn(2) ? Faults() : faults;
    }
  }

  /// A job to cancel, and the time left until then, counted from its
  /// acceptance.
  struct PlannedCancellation {
    JobId job;
    Duration after;
  };

  std::mt19937_64 random_;
  EmulatedSystem system_;
  std::vector<PlannedCancellation> planned_;
  int removed_ = 0;
  /// True if no other faults occur, which would excuse late starts.
  bool only_mute_ = false;
};

}  // namespace

TEST_GROUP(CancelFuzz){
    /// Runs simulations and prints each one that breaks a promise.
    static int CountFailures(int first, int count){int failed = 0;
for (int seed = first; seed < first + count; ++seed) {
  const std::vector<std::string> violations = CancelSimulation(seed).Run();
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

TEST(CancelFuzz, TasksOfCancelledJobsAreStopped) {
  LONGS_EQUAL(0, CountFailures(FirstSeed(), RunCountOr(kDefaultRunCount)));
}

}  // namespace limeledge::emulator
