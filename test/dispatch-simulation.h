/// @file
/// Random simulations of an emulated system with faults.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_DISPATCH_SIMULATION_H_
#define LIMELEDGE_TEST_DISPATCH_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/planning_policy.h"
#include "emulator/emulated_system.h"
#include "simulation-settings.h"

namespace limeledge::emulator {

/// How often runners restart in a simulation, and under which ids.
enum class RestartMode { kRare, kNewIds, kSameIds };

/// Which faults a simulation has: all, or only those that make a scheduler lose
/// responses while it stays the leader. With `kLostAnswers`, responses are late
/// or lost, the store compacts its history, the other nodes are killed, and
/// runners leave or cannot be reached. With `kPartitions`, runners that keep
/// running are cut off, alone or with their hall and schedulers in it, while
/// schedulers come and go. With `kWrongAddresses`, entries of runners name the
/// addresses of others for a while, among all other faults. With `kEarlyCalls`,
/// runners restart, their next incarnations carry out and answer calls that
/// were sent meanwhile, and are cut off within seconds while they run long
/// tasks.
enum class FaultMix {
  kAll,
  kLostAnswers,
  kPartitions,
  kWrongAddresses,
  kEarlyCalls
};

/// One random simulation, with an emulated system of its own.
class Simulation {
 public:
  Simulation(int seed, const dispatch::PlanningPolicy& policy,
             RestartMode restart_mode = RestartMode::kRare,
             FaultMix fault_mix = FaultMix::kAll)
      : random_(static_cast<std::uint64_t>(seed)),
        restart_mode_(restart_mode),
        faults_(fault_mix),
        nodes_(NodesOf(fault_mix)),
        system_(OptionsFor(seed, policy, restart_mode, fault_mix)) {
    TraceIfRequested(&system_);
  }

  /// Runs random jobs and faults, then removes all faults and lets the jobs
  /// end. Returns all violations of invariants and jobs in wrong final states.
  std::vector<std::string> Run() {
    system_.Run(Duration(3000));
    for (int i = 0; i < kSteps; ++i) {
      Step();
      system_.Run(Duration(Pick(100, 700)));
    }
    RemoveFaults();
    system_.Run(RestTime());
    std::vector<std::string> errors = system_.violations();
    for (const auto& [id, watch] : system_.jobs()) CheckEnd(id, watch, &errors);
    return errors;
  }

  int jobs() const { return static_cast<int>(system_.jobs().size()); }
  /// Number of jobs that could succeed and were given up because their runners
  /// crashed.
  int given_up() const { return given_up_; }
  /// Number of these jobs that must not be given up.
  int given_up_wrongly() const { return given_up_wrongly_; }

 private:
  static constexpr int kSteps = 60;
  /// A task may be given up once this many runners crashed while running it.
  static constexpr int kCrashesToGiveUp = 2;
  static constexpr int kMostRemovedNodes = 2;
  static constexpr std::size_t kMostCutRunners = 3;
  /// How long entries name the addresses of other runners.
  static constexpr int kLongestOverwriteMs = 2000;

  /// Enough for schedulers on both sides of a partition after two are removed.
  static int NodesOf(FaultMix mix) {
    return mix == FaultMix::kPartitions ? 5 : SystemOptions().nodes;
  }

  static SystemOptions OptionsFor(int seed,
                                  const dispatch::PlanningPolicy& policy,
                                  RestartMode restart_mode,
                                  FaultMix fault_mix) {
    SystemOptions options;
    options.planner.policy = &policy;
    options.seed = static_cast<std::uint64_t>(seed);
    const bool keeps_ids = restart_mode == RestartMode::kSameIds;
    options.keeps_ids = keeps_ids;
    options.nodes = NodesOf(fault_mix);
    // Other nodes see the entry of a cut-off runner disappear at once, or after
    // they have taken over.
    options.cut_off_entries_expire =
        fault_mix == FaultMix::kPartitions && seed % 2 == 0;
    // Runner entries lag behind in a third of the simulations, and clocks of
    // restarted runners jump back in another third.
    constexpr int kGroups = 3;
    if (fault_mix == FaultMix::kLostAnswers && seed % kGroups == 0) {
      options.bounds.lease_from_arrival = Duration(5000);
    }
    if (keeps_ids && seed % kGroups == 0) options.entry_lag = Duration(1500);
    if (keeps_ids && seed % kGroups == 1) {
      options.start_time_skew = Duration(-60000);
    }
    return options;
  }

  /// Time without faults within which all jobs end.
  Duration RestTime() const {
    // Tasks that crash their runners take longer, since they wait until it is
    // known what happened to these runners. Jobs that fail after several long
    // runs take longer, too.
    const bool takes_longer =
        restart_mode_ != RestartMode::kRare || faults_ == FaultMix::kPartitions;
    return Duration(takes_longer ? 120000 : 60000);
  }

  int Pick(int from, int to) {
    return from + static_cast<int>(random_() % (to - from + 1));
  }
  bool OneIn(int n) { return Pick(1, n) == 1; }

  void Step() {
    if (!OneIn(3)) Submit();
    if (OneIn(12)) CancelOne();
    if (faults_ == FaultMix::kWrongAddresses) OverwriteAddresses();
    if (faults_ == FaultMix::kEarlyCalls) {
      CutOffRestartedRunners();
      if (OneIn(4)) RestartAndCutOffSoon();
      return;
    }
    if (faults_ == FaultMix::kPartitions) {
      if (OneIn(3)) Partition();
    } else if (OneIn(4)) {
      faults_ == FaultMix::kLostAnswers ? LoseAnswers() : AddFault();
    }
    if (restart_mode_ != RestartMode::kRare && OneIn(4)) AddRestartFault();
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
    // Runs must outlast the detection of a lost scheduler and the claim of the
    // next one.
    if (faults_ == FaultMix::kPartitions && OneIn(3)) {
      step.estimate = Duration(Pick(4000, 9000));
    }
    // Runs must outlast the lease that the scheduler counts.
    if (faults_ == FaultMix::kEarlyCalls && OneIn(2)) {
      step.estimate = Duration(Pick(6000, 9000));
    }
    truth->work = step.estimate * Pick(50, 200) / 100;
    truth->always_fails = OneIn(15);
    // Three long runs of a task, one after the other, take more than the rest.
    if (faults_ == FaultMix::kEarlyCalls && truth->always_fails) {
      truth->work = std::min(truth->work, Duration(3000));
    }
    if (restart_mode_ != RestartMode::kRare && OneIn(40)) {
      // An emulated gang ends with its first member, which may be ahead of the
      // one that crashes: the work must take longer than the time to the crash.
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
    // Priority 0 is urgent; priority 2 needs advice.
    spec.policy.priority = OneIn(3) ? 0 : OneIn(4) ? 2 : 1;
    if (spec.policy.priority == 2) {
      // The advice service allows a step on half of the runners only; the step
      // must fit on these.
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
    return leader >= 0 ? leader : Pick(0, nodes_ - 1);
  }

  void AddFault() {
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
        RemoveFaults();
        if (OneIn(2)) break;
        faults.partitions_down = {dispatch::AllJobPartitions()[Pick(
            0, dispatch::kJobPartitions - 1)]};
    }
  }

  /// Lets entries of runners name the addresses of others, or corrects them.
  void OverwriteAddresses() {
    std::map<RunnerId, std::string>& overwritten =
        system_.faults().overwritten_addresses;
    if (system_.now() >= addresses_wrong_until_) overwritten.clear();
    if (!overwritten.empty() || !OneIn(3)) return;
    addresses_wrong_until_ =
        system_.now() + Duration(Pick(100, kLongestOverwriteMs));
    const int count = Pick(1, 4);
    for (int i = 0; i < count; ++i) {
      const EmulatedRunner* other = system_.FindRunner(AnyRunner());
      const RunnerId id = AnyRunner();
      if (other == nullptr || other->info().id == id) continue;
      overwritten[id] = other->info().address;
    }
  }

  /// Adds one of the faults of `FaultMix::kLostAnswers`.
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
        RemoveFaults();
    }
  }

  /// Adds one of the faults of `FaultMix::kPartitions`.
  void Partition() {
    Faults& faults = system_.faults();
    switch (Pick(0, 7)) {
      case 0:
      case 1:
        CutOffRunners(&faults.refusing_runners);
        break;
      case 2:
        CutOffRunners(&faults.unreachable_runners);
        break;
      case 3:
        CutOffRunners(&faults.unlisted_runners);
        break;
      case 4:
        PartitionHall();
        break;
      case 5:
      case 6:
        DisturbSchedulers();
        break;
      default:
        RemoveFaults();
        return;
    }
    // Most take-overs follow a partition.
    if (OneIn(2)) DisturbSchedulers();
  }

  void CutOffRunners(std::set<RunnerId>* runners) {
    const int count = Pick(1, 4);
    for (int i = 0; i < count; ++i) runners->insert(AnyRunner());
  }

  /// Partitions the hall of a runner, with one or two nodes, from the rest and
  /// from the store.
  void PartitionHall() {
    Faults& faults = system_.faults();
    const EmulatedRunner* any = system_.FindRunner(AnyRunner());
    if (any == nullptr) return;
    const HallId hall = any->info().hall;
    for (const RunnerId& id : system_.RunnerIds()) {
      if (system_.FindRunner(id)->info().hall != hall) continue;
      faults.partitioned_runners.insert(id);
      faults.unlisted_runners.insert(id);
    }
    for (const int node : {LeaderOrAny(), Pick(0, nodes_ - 1)}) {
      faults.partitioned_nodes.insert(node);
      faults.nodes_without_store.insert(node);
      if (OneIn(2)) break;
    }
  }

  /// Disturbs one or two schedulers, one after the other.
  void DisturbSchedulers() {
    const int count = Pick(1, 2);
    for (int i = 0; i < count; ++i) {
      system_.Run(Duration(Pick(0, 2500)));
      DisturbNode(LeaderOrAny());
    }
  }

  void DisturbNode(int node) {
    switch (Pick(0, 9)) {
      case 0:
      case 1:
      case 2:
      case 3:
        system_.KillNode(node, Duration(Pick(100, 8000)));
        break;
      case 4:
      case 5:
      case 6:
        system_.FreezeNode(node, Duration(Pick(500, 8000)));
        break;
      case 7:
      case 8:
        system_.StopNode(node);
        break;
      default:
        if (removed_nodes_ == kMostRemovedNodes) break;
        ++removed_nodes_;
        system_.RemoveNode(node);
    }
  }

  /// Adds one of the faults that matter only if runners restart.
  void AddRestartFault() {
    Faults& faults = system_.faults();
    switch (Pick(0, 6)) {
      case 0:
        RestartRunners(1);
        break;
      case 1:
        RestartRunners(4);
        break;
      case 2:
        RestartUnreachableRunner();
        break;
      case 3:
        // Runners restart while there is no leader.
        for (int node = 0; node < 3; ++node) {
          system_.KillNode(node, Duration(Pick(500, 3000)));
        }
        RestartRunners(3);
        break;
      case 4:
        // The same runner restarts several times in a row.
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

  /// Restarts runners, most of them before their entries expire.
  void RestartRunners(int count) {
    for (int i = 0; i < count; ++i) {
      system_.CrashRunner(AnyRunner(), Duration(Pick(20, 5000)));
    }
  }

  /// Restarts a runner while nodes cannot reach it.
  void RestartUnreachableRunner() {
    const RunnerId runner = AnyRunner();
    system_.faults().unreachable_runners.insert(runner);
    system_.CrashRunner(runner, Duration(Pick(50, 2000)));
    system_.Run(Duration(Pick(100, 3000)));
    system_.faults().unreachable_runners.erase(runner);
  }

  /// Restarts a runner, which takes calls to its earlier incarnation, and plans
  /// to cut it off for longer than a lease lasts. Ends the scheduler in half
  /// of the cases.
  void RestartAndCutOffSoon() {
    const RunnerId runner = AnyRunner();
    const Duration down(Pick(5, 900));
    system_.faults().resend_interval = Duration(20);
    if (cuts_.count(runner) != 0 || cuts_.size() >= kMostCutRunners) return;
    system_.CrashRunner(runner, down);
    for (int i = 0; i < 4; ++i) Submit();
    system_.Run(down);
    const TimePoint from = system_.now() + Duration(Pick(300, 7000));
    cuts_[runner] = {from, from + Duration(Pick(6000, 16000))};
    if (!OneIn(2)) return;
    system_.Run(Duration(Pick(0, 1500)));
    system_.KillNode(LeaderOrAny(), Duration(Pick(100, 4000)));
  }

  /// Cuts runners off, and ends the cuts, as planned.
  void CutOffRestartedRunners() {
    std::set<RunnerId>& cut = system_.faults().unreachable_runners;
    for (auto it = cuts_.begin(); it != cuts_.end();) {
      const auto& [runner, span] = *it;
      const bool over = system_.now() >= span.second;
      if (over) {
        cut.erase(runner);
      } else if (system_.now() >= span.first) {
        cut.insert(runner);
      }
      it = over ? cuts_.erase(it) : std::next(it);
    }
  }

  /// Removes all faults.
  void RemoveFaults() { system_.faults() = Faults(); }

  /// Adds an error unless the job reached an allowed final state.
  void CheckEnd(const JobId& id, const JobWatch& watch,
                std::vector<std::string>* errors) {
    const std::string state = system_.StateOf(id);
    bool cannot_succeed = false;
    for (const TaskTruth& truth : watch.truths) {
      cannot_succeed = cannot_succeed || truth.always_fails ||
                       truth.crashes_after.has_value();
    }
    const bool cancelled = state == "cancelled" && watch.cancel_sent;
    const bool failed = state == "failed" && cannot_succeed;
    if (state == "done" && !cannot_succeed) return;
    if (cancelled || failed) return;
    // If runners crash all the time, several crashes may hit the same task by
    // chance, so that it seems to have caused them.
    if (restart_mode_ != RestartMode::kRare && state == "failed" &&
        !cannot_succeed) {
      ++given_up_;
      if (!MayBeGivenUp(watch)) ++given_up_wrongly_;
      return;
    }
    errors->push_back("job " + id.value() + " ended in state '" + state + "'" +
                      (cannot_succeed ? ", although it cannot succeed" : ""));
  }

  /// True if two runners crashed while they ran the same task of the job,
  /// whatever made them crash.
  static bool MayBeGivenUp(const JobWatch& watch) {
    return std::any_of(
        watch.observed_crashes.begin(), watch.observed_crashes.end(),
        [](const auto& entry) { return entry.second >= kCrashesToGiveUp; });
  }

  std::mt19937_64 random_;
  const RestartMode restart_mode_;
  const FaultMix faults_;
  const int nodes_;
  int removed_nodes_ = 0;
  TimePoint addresses_wrong_until_;
  /// When restarted runners are cut off, from and until.
  std::map<RunnerId, std::pair<TimePoint, TimePoint>> cuts_;
  int given_up_ = 0;
  int given_up_wrongly_ = 0;
  EmulatedSystem system_;
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_TEST_DISPATCH_SIMULATION_H_
