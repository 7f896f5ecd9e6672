/// @file
/// Random courses over an emulated system, with every fault that it has.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_DISPATCH_SIMULATION_H_
#define LIMELEDGE_TEST_DISPATCH_SIMULATION_H_

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/planning_policy.h"
#include "emulator/emulated_system.h"
#include "simulation-settings.h"

namespace limeledge::emulator {

/// How often runners start again in a course, and under which ids.
enum class RestartMode { kRare, kNewIds, kSameIds };

/// Which faults a course has: all, or those that can make a scheduler that
/// lives on lose what it was told. Answers come late or never, the store
/// forgets its history, and everything else is killed at once.
enum class FaultMix { kAll, kLostAnswers };

/// One random course over a system.
class Simulation {
 public:
  Simulation(int seed, const dispatch::PlanningPolicy& policy,
             RestartMode restarts = RestartMode::kRare,
             FaultMix mix = FaultMix::kAll)
      : random_(static_cast<std::uint64_t>(seed)),
        restarts_(restarts),
        mix_(mix),
        system_(OptionsFor(seed, policy, restarts, mix)) {
    TraceIfRequested(&system_);
  }

  /// Plays jobs and faults, then lets all come to rest. Returns what went
  /// wrong.
  std::vector<std::string> Run() {
    system_.Run(Duration(3000));
    for (int i = 0; i < kSteps; ++i) {
      Step();
      system_.Run(Duration(Pick(100, 700)));
    }
    Heal();
    // Tasks that crash their runners, and wait for what became of these, take
    // their time.
    system_.Run(Duration(restarts_ == RestartMode::kRare ? 60000 : 120000));
    std::vector<std::string> wrong = system_.violations();
    for (const auto& [id, watch] : system_.jobs()) CheckEnd(id, watch, &wrong);
    return wrong;
  }

  int jobs() const { return static_cast<int>(system_.jobs().size()); }
  /// Jobs that can be done and were given up for crashes of their runners.
  int given_up() const { return given_up_; }
  /// Those of them that the platform does not let be given up.
  int given_up_wrongly() const { return given_up_wrongly_; }

 private:
  static constexpr int kSteps = 60;
  /// The platform lets a task be given up under which so many runners crashed.
  static constexpr int kCrashesToGiveUp = 2;

  static SystemOptions OptionsFor(int seed,
                                  const dispatch::PlanningPolicy& policy,
                                  RestartMode restarts, FaultMix mix) {
    SystemOptions options;
    options.planner.policy = &policy;
    options.seed = static_cast<std::uint64_t>(seed);
    const bool keeps_ids = restarts == RestartMode::kSameIds;
    options.keeps_ids = keeps_ids;
    // In a third of the courses each, entries lag, or clocks jumped back.
    constexpr int kThird = 3;
    if (mix == FaultMix::kLostAnswers && seed % kThird == 0) {
      options.bounds.lease_from_arrival = Duration(5000);
    }
    if (keeps_ids && seed % kThird == 0) options.entry_lag = Duration(1500);
    if (keeps_ids && seed % kThird == 1) options.birth_step = Duration(-60000);
    return options;
  }

  int Pick(int from, int to) {
    return from + static_cast<int>(random_() % (to - from + 1));
  }
  bool OneIn(int n) { return Pick(1, n) == 1; }

  void Step() {
    if (!OneIn(3)) Submit();
    if (OneIn(12)) CancelOne();
    if (OneIn(4)) mix_ == FaultMix::kAll ? Fault() : LoseAnswers();
    if (restarts_ != RestartMode::kRare && OneIn(4)) RestartFault();
  }

  dispatch::StepSpec MakeStep(TaskTruth* truth) {
    dispatch::StepSpec step;
    step.count = Pick(1, 6);
    constexpr std::int64_t kMillisPerCore = 1000;
    step.need = {Pick(1, 8) * kMillisPerCore, 4096, Pick(0, 4)};
    step.estimate = Duration(Pick(200, 3000));
    step.gang = OneIn(3);
    step.same_rack = step.gang && OneIn(2);
    step.saves_progress = OneIn(2);
    if (OneIn(6)) step.max_per_runner = Pick(1, 3);
    truth->work = step.estimate * Pick(50, 200) / 100;
    truth->always_fails = OneIn(15);
    if (restarts_ != RestartMode::kRare && OneIn(40)) {
      // An emulated gang is done with its first member, whose runner may be
      // ahead.
      truth->work = std::max(truth->work, Duration(2000));
      truth->crashes_after = Duration(Pick(5, 800));
    }
    return step;
  }

  void Submit() {
    dispatch::JobSpec spec;
    std::vector<TaskTruth> truths;
    const int steps = OneIn(3) ? 2 : 1;
    for (int i = 0; i < steps; ++i) {
      TaskTruth truth;
      spec.steps.push_back(MakeStep(&truth));
      truths.push_back(truth);
    }
    if (steps == 2) spec.steps[1].after.push_back(0);
    // 0 is urgent, 2 needs advice.
    spec.policy.priority = OneIn(3) ? 0 : OneIn(4) ? 2 : 1;
    if (spec.policy.priority == 2) {
      // Half of the runners may run a step; it must be possible there.
      for (dispatch::StepSpec& step : spec.steps) {
        step.max_per_runner = 0;
        step.need.accelerators =
            std::min<std::int64_t>(step.need.accelerators, 1);
      }
    }
    system_.Submit(spec, truths);
  }

  void CancelOne() {
    if (system_.jobs().empty()) return;
    auto job = system_.jobs().begin();
    std::advance(job, Pick(0, static_cast<int>(system_.jobs().size()) - 1));
    if (job->second.accepted) system_.Cancel(job->first);
  }

  RunnerId AnyRunner() {
    const std::vector<RunnerId> ids = system_.RunnerIds();
    return ids.empty() ? RunnerId("none")
                       : ids[Pick(0, static_cast<int>(ids.size()) - 1)];
  }

  int LeaderOrAny() {
    const int leader = system_.leader();
    return leader >= 0 ? leader : Pick(0, 2);
  }

  void Fault() {
    Faults& faults = system_.faults();
    switch (Pick(0, 12)) {
      case 0:
        system_.KillNode(LeaderOrAny(), Duration(Pick(100, 4000)));
        break;
      case 1:
        system_.FreezeNode(LeaderOrAny(), Duration(Pick(500, 8000)));
        break;
      case 2:
        system_.StopNode(LeaderOrAny());
        break;
      case 3:
        system_.KillRunner(AnyRunner(), Duration(Pick(500, 8000)));
        break;
      case 4:
        system_.DrainRunner(AnyRunner(), Duration(Pick(2000, 6000)));
        break;
      case 5:
        faults.store_down = !faults.store_down;
        break;
      case 6:
        faults.store_answers_lost = faults.store_answers_lost > 0 ? 0 : 0.3;
        break;
      case 7:
        faults.orders_lost = faults.orders_lost > 0 ? 0 : 0.2;
        faults.late_order = Duration(Pick(500, 12000));
        break;
      case 8:
        faults.store_slowness = faults.store_slowness > 1 ? 1 : Pick(10, 80);
        break;
      case 9:
        faults.nodes_without_store = {LeaderOrAny()};
        break;
      case 10:
        faults.unreachable_runners.insert(AnyRunner());
        break;
      case 11:
        system_.store().ForgetHistory();
        break;
      default:
        Heal();
        if (OneIn(2)) break;
        faults.parts_down = {dispatch::AllJobPartitions()[Pick(
            0, dispatch::kJobPartitions - 1)]};
    }
  }

  void LoseAnswers() {
    Faults& faults = system_.faults();
    faults.late_order = Duration(Pick(1000, 12000));
    switch (Pick(0, 7)) {
      case 0:
        faults.store_answers_lost = faults.store_answers_lost > 0 ? 0 : 0.4;
        break;
      case 1:
        faults.orders_lost = faults.orders_lost > 0 ? 0 : 0.3;
        break;
      case 2:
        faults.polls_late = faults.polls_late > 0 ? 0 : 0.3;
        break;
      case 3:
        for (int node = 0; node < 3; ++node) {
          if (node == system_.leader()) continue;
          system_.KillNode(node, Duration(Pick(500, 3000)));
        }
        break;
      case 4:
        system_.store().ForgetHistory();
        break;
      case 5:
        system_.DrainRunner(AnyRunner(), Duration(Pick(500, 4000)));
        break;
      case 6:
        faults.unreachable_runners = {AnyRunner(), AnyRunner()};
        break;
      default:
        Heal();
    }
  }

  /// What only counts where runners come back under their ids.
  void RestartFault() {
    Faults& faults = system_.faults();
    switch (Pick(0, 6)) {
      case 0:
        Restart(1);
        break;
      case 1:
        Restart(4);
        break;
      case 2:
        RestartBehindCut();
        break;
      case 3:
        // While nobody schedules.
        for (int node = 0; node < 3; ++node) {
          system_.KillNode(node, Duration(Pick(500, 3000)));
        }
        Restart(3);
        break;
      case 4:
        // Several times in a row.
        for (int i = 0; i < 3; ++i) {
          system_.CrashRunner(system_.RunnerIds().front(), Duration(50));
          system_.Run(Duration(Pick(60, 400)));
        }
        break;
      case 5:
        faults.starts_repeated = faults.starts_repeated > 0 ? 0 : 0.1;
        faults.late_order = Duration(Pick(500, 12000));
        break;
      default:
        faults.polls_late = faults.polls_late > 0 ? 0 : 0.1;
        faults.late_order = Duration(Pick(500, 12000));
    }
  }

  /// Runners start again, most of them before their entries lapse.
  void Restart(int count) {
    for (int i = 0; i < count; ++i) {
      system_.CrashRunner(AnyRunner(), Duration(Pick(20, 5000)));
    }
  }

  void RestartBehindCut() {
    const RunnerId runner = AnyRunner();
    system_.faults().unreachable_runners.insert(runner);
    system_.CrashRunner(runner, Duration(Pick(50, 2000)));
    system_.Run(Duration(Pick(100, 3000)));
    system_.faults().unreachable_runners.erase(runner);
  }

  void Heal() { system_.faults() = Faults(); }

  /// Every accepted job has come to the end that it should.
  void CheckEnd(const JobId& id, const JobWatch& watch,
                std::vector<std::string>* wrong) {
    const std::string state = system_.StateOf(id);
    bool poison = false;
    for (const TaskTruth& truth : watch.truths) {
      poison = poison || truth.always_fails || truth.crashes_after.has_value();
    }
    const bool cancelled = state == "cancelled" && watch.cancel_sent;
    const bool failed = state == "failed" && poison;
    if (state == "done" && !poison) return;
    if (cancelled || failed) return;
    // Where runners crash all the time, a task may seem to have had four of
    // them crash under it.
    if (restarts_ != RestartMode::kRare && state == "failed" && !poison) {
      ++given_up_;
      if (!MayBeGivenUp(watch)) ++given_up_wrongly_;
      return;
    }
    wrong->push_back("job " + id.value() + " ends as '" + state + "'" +
                     (poison ? ", can not be done" : ""));
  }

  /// True if two runners crashed under a task of the job, whoever crashed them.
  static bool MayBeGivenUp(const JobWatch& watch) {
    return std::any_of(
        watch.crashed_under.begin(), watch.crashed_under.end(),
        [](const auto& entry) { return entry.second >= kCrashesToGiveUp; });
  }

  std::mt19937_64 random_;
  const RestartMode restarts_;
  const FaultMix mix_;
  int given_up_ = 0;
  int given_up_wrongly_ = 0;
  EmulatedSystem system_;
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_TEST_DISPATCH_SIMULATION_H_
