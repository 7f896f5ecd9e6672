/// @file
/// Random courses in which jobs are cancelled beside faults, with calm between
/// them, against the oracle of an emulated system.
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

/// Courses of one run, unless more are asked for.
constexpr int kDefaultRunCount = 20;

/// Jobs that go on for long, most of them cancelled soon; faults in bursts.
class CancelCourse {
 public:
  explicit CancelCourse(int seed)
      : random_(static_cast<std::uint64_t>(seed)), system_(OptionsFor(seed)) {
    only_mute_ = seed % 4 == 1;
    TraceIfRequested(&system_);
  }

  /// Returns what went wrong.
  std::vector<std::string> Play() {
    system_.Run(Duration(3000));
    for (int i = 0; i < kBursts; ++i) {
      Burst();
      system_.faults() = Faults();
      Calm();
    }
    std::vector<std::string> wrong = system_.violations();
    if (system_.longest_order_lane() > kMostQueued) {
      wrong.push_back(std::to_string(system_.longest_order_lane()) +
                      " orders to one runner wait for each other");
    }
    return wrong;
  }

 private:
  static constexpr int kBursts = 6;
  static constexpr int kNodes = 10;
  /// The scheduler hands over one order to a runner at a time.
  static constexpr std::size_t kMostQueued = 1;
  /// Longer than the time in which what is cancelled has to be gone.
  static constexpr Duration kCalm{9000};

  static SystemOptions OptionsFor(int seed) {
    SystemOptions options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.nodes = kNodes;
    // On few runners many runs meet, and all their orders wait for each other.
    options.runners = 1 + seed % 8;
    // Jobs are read in several pages.
    if (seed % 2 == 0) options.job_registry.page_rows = 3;
    // Some runners count a late order's lease from its arrival.
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
      if (OneIn(2)) Fault();
      if (OneIn(8)) CancelAll();
      Pass(Pick(20, 400));
    }
  }

  void Calm() {
    const TimePoint end = system_.now() + kCalm;
    while (system_.now() < end) {
      if (OneIn(4)) SubmitSome();
      if (OneIn(10)) CancelAll();
      Pass(Pick(100, 600));
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

  /// Lets time pass and cancels what is due: a time after it was accepted.
  void Pass(int ms) {
    constexpr int kPiece = 20;
    for (int passed = 0; passed < ms; passed += kPiece) {
      system_.Run(Duration(kPiece));
      CancelDue();
    }
  }

  void CancelDue() {
    std::vector<Planned> left;
    for (Planned& planned : planned_) {
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

  int LeaderOrAny() {
    const int leader = system_.leader();
    return leader >= 0 ? leader : Pick(0, kNodes - 1);
  }

  /// Two nodes stay at least.
  void RemoveLeader() {
    if (removed_ + 2 >= kNodes) return;
    const int leader = system_.leader();
    if (leader < 0) return;
    ++removed_;
    system_.RemoveNode(leader);
  }

  /// The leader is lost right after all jobs were cancelled, and orders get no
  /// answers: the next one finds runs of jobs that are closed.
  void LoseLeaderWithItsStops() {
    system_.faults().orders_lost = 1;
    system_.faults().late_order = Duration(12000);
    CancelAll();
    Pass(Pick(20, 400));
    RemoveLeader();
    SubmitSome();
    Pass(Pick(2000, 5000));
  }

  /// A runner is mute for some seconds while all else is sound.
  void MuteOrHear() {
    std::set<RunnerId>& mute = system_.faults().mute_runners;
    if (OneIn(5)) mute.clear();
    if (OneIn(3)) mute.insert(AnyRunner());
  }

  void Fault() {
    if (only_mute_) {
      MuteOrHear();
      return;
    }
    Faults& faults = system_.faults();
    switch (Pick(0, 17)) {
      case 0:
        RemoveLeader();
        break;
      case 1:
        system_.KillNode(LeaderOrAny(), Duration(Pick(100, 4000)));
        break;
      case 2:
        system_.StopNode(LeaderOrAny());
        break;
      case 3:
        system_.FreezeNode(LeaderOrAny(), Duration(Pick(500, 5000)));
        break;
      case 4:
      case 5:
        faults.orders_lost = OneIn(2) ? 1 : 0.5;
        faults.late_order = Duration(Pick(2000, 12000));
        break;
      case 15:
      case 16:
        LoseLeaderWithItsStops();
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
        faults.parts_down.insert(dispatch::AllJobPartitions()[Pick(
            0, dispatch::kJobPartitions - 1)]);
        break;
      case 13:
        faults.nodes_without_store = {LeaderOrAny()};
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

  /// A job to be cancelled, and what is left until then once it is accepted.
  struct Planned {
    JobId job;
    Duration after;
  };

  std::mt19937_64 random_;
  EmulatedSystem system_;
  std::vector<Planned> planned_;
  int removed_ = 0;
  /// No other faults, which would excuse late starts.
  bool only_mute_ = false;
};

}  // namespace

TEST_GROUP(CancelFuzz){
    /// Plays courses; each that breaks a promise is printed.
    static int CountBroken(int first, int courses){int broken = 0;
for (int seed = first; seed < first + courses; ++seed) {
  const std::vector<std::string> wrong = CancelCourse(seed).Play();
  if (wrong.empty()) continue;
  ++broken;
  UT_PRINT(("seed " + std::to_string(seed) + ": " + wrong.front() + " (" +
            std::to_string(wrong.size()) + " in all)")
               .c_str());
}
return broken;
}  // namespace limeledge::emulator
}
;

TEST(CancelFuzz, NothingRunsOnOfCancelledJobs) {
  LONGS_EQUAL(0, CountBroken(FirstSeed(), RunCountOr(kDefaultRunCount)));
}

}  // namespace limeledge::emulator
