/// @file
/// Virtual time, and starts and ends of nodes and runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "emulator/emulated_system.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "emulator/emulated_catalog.h"

namespace limeledge::emulator {

using dispatch::TaskName;

namespace {

/// After a pause of at least this length a process may have lost its scheduler
/// lease and has to check first. The value is shorter than any lease, and
/// longer than the pauses of a slow machine.
constexpr Duration kLongPause{1500};

constexpr std::int64_t kWallClockStart = 1700000000000;

CancelBounds CancelBoundsFor(const RunnerBounds& runner) {
  CancelBounds bounds;
  bounds.stop = runner.stop_time;
  return bounds;
}

}  // namespace

EmulatedSystem::EmulatedSystem(SystemOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      capacity_history_(options_.capacity_notice),
      catalog_(MakeCatalog(options_.attempts, options_.unguaranteed)),
      oracle_(options_.attempts, CancelBoundsFor(options_.bounds)) {
  for (dispatch::Queue& queue : catalog_.queues) {
    if (queue.policy.needs_advice) {
      queue.policy.advice_time = options_.advice_time;
      queue.policy.advice_time_per_runner = options_.advice_time_per_runner;
    }
    if (queue.policy.priority != 0) continue;
    queue.policy.stretch = options_.urgent_stretch;
    queue.policy.slack = options_.urgent_slack;
  }
  for (auto& [id, service] : catalog_.services) {
    service.enforces_capacity = options_.enforces_capacity;
  }
  options_.bounds.guards_room = options_.enforces_capacity;
  store_.SetLimits(options_.store_limits);
  for (int i = 0; i < options_.runners; ++i) AddRunner(i, 1);
  processes_.resize(options_.nodes);
  for (int i = 0; i < options_.nodes; ++i) StartNode(i);
  RecordCatalogVersion();
  ScheduleCancelCheck();
}

EmulatedSystem::~EmulatedSystem() {
  // Runners deregister from their gangs, so they have to be destroyed before
  // the registry.
  runners_.clear();
}

void EmulatedSystem::RunAt(TimePoint at, std::function<void()> run) {
  actions_.push({std::max(at, now_), ++order_, std::move(run)});
}

double EmulatedSystem::RandomFraction() {
  constexpr double kRange = 1 << 30;
  return static_cast<double>(random_() >> 34) / kRange;
}

void EmulatedSystem::Run(Duration time) {
  const TimePoint end = now_ + time;
  while (!actions_.empty() && actions_.top().at <= end) {
    const Action action = actions_.top();
    actions_.pop();
    now_ = action.at;
    action.run();
  }
  now_ = end;
}

// Nodes.

void EmulatedSystem::StartNode(int node) {
  Process& process = processes_[node];
  ++process.incarnation;
  process.held_events.clear();
  process.timer_at = TimePoint();
  process.frozen_until = TimePoint();
  process.leadership_confirmed = true;
  process.lease_writes.clear();
  process.stopping = false;
  process.catalog_watch.reset();
  process.troubled_at = now_;
  oracle_.RecordFault(now_);
  dispatch::NodeOptions options;
  options.name = absl::StrCat("n", node, "/", process.incarnation);
  options.instance = AddressOf(node);
  options.peer_address = options.instance;
  options.store_limits = options_.store_limits;
  options.scheduler.runner_speeds = options_.runner_speeds;
  options.scheduler.planner = options_.planner;
  options.scheduler.moves_by_gain = options_.moves_by_gain;
  options.scheduler.job_registry = options_.job_registry;
  options.scheduler.loss = options_.loss;
  options.admission = options_.admission;
  process.node = std::make_unique<dispatch::Node>(options);
  process.busy = false;
  process.waiting_events.clear();
  process.waiting_since = now_;
  Reduce(node, {dispatch::TimerFired()});
}

void EmulatedSystem::KillNode(int node, Duration down) {
  Process& process = processes_[node];
  if (process.removed) return;
  ++process.incarnation;
  process.node = nullptr;
  process.ready = false;
  process.orders_in_flight.clear();
  RunAt(now_ + down, [this, node, incarnation = process.incarnation] {
    if (processes_[node].incarnation == incarnation) StartNode(node);
  });
}

void EmulatedSystem::RemoveNode(int node) {
  Process& process = processes_[node];
  ++process.incarnation;
  process.node = nullptr;
  process.ready = false;
  process.removed = true;
  process.orders_in_flight.clear();
  oracle_.RecordFault(now_);
}

void EmulatedSystem::FreezeNode(int node, Duration time) {
  Process& process = processes_[node];
  if (process.node == nullptr) return;
  process.frozen_until = std::max(process.frozen_until, now_ + time);
  if (process.frozen_until - now_ >= kLongPause) {
    process.paused_until = process.frozen_until;
    process.leadership_confirmed = false;
  }
  RunAt(process.frozen_until, [this, node, incarnation = process.incarnation] {
    const Process& frozen = processes_[node];
    if (frozen.incarnation != incarnation || now_ < frozen.frozen_until) return;
    std::vector<dispatch::EventBody> held_events =
        std::move(processes_[node].held_events);
    processes_[node].held_events.clear();
    for (dispatch::EventBody& body : held_events) {
      Deliver(node, incarnation, std::move(body));
    }
  });
}

void EmulatedSystem::StopNode(int node) {
  if (processes_[node].node == nullptr) return;
  processes_[node].stopping = true;
  Deliver(node, processes_[node].incarnation, dispatch::ShutdownRequested());
}

std::string EmulatedSystem::DumpOf(int node) {
  Deliver(node, processes_[node].incarnation, dispatch::StateRequested());
  return state_dump_;
}

int EmulatedSystem::leader() const {
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    const auto& node = processes_[i].node;
    if (node != nullptr && node->leads()) return static_cast<int>(i);
  }
  return -1;
}

std::vector<int> EmulatedSystem::StandbysOf(int node) const {
  std::vector<int> standbys;
  if (processes_[node].node == nullptr) return standbys;
  for (const std::string& address : processes_[node].node->standbys()) {
    standbys.push_back(NodeAt(address));
  }
  return standbys;
}

std::string EmulatedSystem::AddressOf(int node) {
  return absl::StrCat("n", node);
}

int EmulatedSystem::NodeAt(const std::string& address) {
  return std::stoi(address.substr(1));
}

void EmulatedSystem::Deliver(int node, int incarnation,
                             dispatch::EventBody body) {
  Process& process = processes_[node];
  if (process.incarnation != incarnation || process.node == nullptr) return;
  if (now_ < process.frozen_until) {
    process.held_events.push_back(std::move(body));
    return;
  }
  if (process.busy) {
    if (process.waiting_events.empty()) process.waiting_since = now_;
    process.waiting_events.push_back(std::move(body));
    return;
  }
  process.waiting_since = now_;
  Reduce(node, {std::move(body)});
}

void EmulatedSystem::Reduce(int node,
                            const std::vector<dispatch::EventBody>& events) {
  Process& process = processes_[node];
  if (process.node == nullptr) return;
  for (const dispatch::EventBody& body : events) {
    RecordConfirmation(&process, body);
  }
  const int incarnation = process.incarnation;
  const std::int64_t looks_before = process.node->planning_use().looks;
  const auto started = std::chrono::steady_clock::now();
  dispatch::Effects effects =
      process.node->ReduceAll(now_, kWallClockStart + now_.ms(), events);
  reducer_use_.time += std::chrono::steady_clock::now() - started;
  reducer_use_.events += static_cast<std::int64_t>(events.size());
  const std::int64_t looks = std::max<std::int64_t>(
      0, process.node->planning_use().looks - looks_before);
  const Duration taken = TimeOfBatch(&process, events.size(), looks);
  process.node->RecordBatch(
      {now_ - process.waiting_since, taken, events.size()});
  if (taken == Duration(0)) {
    FinishBatch(node, incarnation, effects);
    return;
  }
  process.busy = true;
  RunAt(now_ + taken, [this, node, incarnation, effects = std::move(effects)] {
    FinishBatch(node, incarnation, effects);
  });
}

Duration EmulatedSystem::TimeOfBatch(Process* process, std::size_t events,
                                     std::int64_t looks) const {
  const ReducerCost& cost = options_.reducer_cost;
  process->unspent_ms += cost.per_event * static_cast<double>(events) +
                         cost.per_look * static_cast<double>(looks);
  const Duration taken(static_cast<std::int64_t>(process->unspent_ms));
  process->unspent_ms -= static_cast<double>(taken.ms());
  return taken;
}

void EmulatedSystem::FinishBatch(int node, int incarnation,
                                 const dispatch::Effects& effects) {
  if (processes_[node].incarnation != incarnation) return;
  processes_[node].busy = false;
  for (const dispatch::Effect& effect : effects) {
    std::visit([this, node](const auto& known) { Perform(node, known); },
               effect);
  }
  Process& process = processes_[node];
  if (process.incarnation != incarnation) return;
  SetTimer(node);
  std::vector<dispatch::EventBody> events =
      std::exchange(process.waiting_events, {});
  if (events.empty()) return;
  if (now_ < process.frozen_until) {
    std::move(events.begin(), events.end(),
              std::back_inserter(process.held_events));
    return;
  }
  Reduce(node, events);
}

void EmulatedSystem::SetTimer(int node) {
  Process& process = processes_[node];
  const int incarnation = process.incarnation;
  const TimePoint next = std::max(process.node->next_at(), now_ + Duration(1));
  const bool earlier_timer_set =
      process.timer_at > now_ && process.timer_at <= next;
  if (next >= dispatch::kNever || earlier_timer_set) return;
  process.timer_at = next;
  RunAt(next, [this, node, incarnation, next] {
    Process& later = processes_[node];
    if (later.incarnation == incarnation && later.timer_at == next) {
      later.timer_at = TimePoint();
    }
    Deliver(node, incarnation, dispatch::TimerFired());
  });
}

// Runners.

dispatch::RunnerInfo EmulatedSystem::DescribeRunner(int index,
                                                    int incarnation) const {
  dispatch::RunnerInfo info;
  const int id_incarnation = options_.keeps_ids ? 1 : incarnation;
  info.id = RunnerId(absl::StrCat("i-", index, "-", id_incarnation));
  if (options_.reports_start_times) {
    info.start_time =
        dispatch::StartTime(kWallClockStart + now_.ms() +
                            options_.start_time_skew.ms() * (incarnation - 1));
  }
  info.service = dispatch::ServiceId("compute");
  info.address = absl::StrCat("10.0.0.", index, ":80");
  info.room = options_.room;
  info.rack = absl::StrCat("r1-", index / options_.runners_per_rack);
  info.hall = HallId(absl::StrCat("h", index / options_.runners_per_rack));
  info.labels = {"a", info.rack};
  return info;
}

void EmulatedSystem::AddRunner(int index, int incarnation) {
  const dispatch::RunnerInfo info = DescribeRunner(index, incarnation);
  incarnations_[index] = incarnation;
  if (incarnation > 1) listed_from_[info.id] = now_ + options_.entry_lag;
  runner_at_[info.address] = info.id;
  Trace(absl::StrCat("runner ", info.id.value(), " starts, born ",
                     ToString(info.start_time)));
  runners_[info.id] = std::make_unique<EmulatedRunner>(
      info, options_.bounds,
      [this](const TaskName& name) { return oracle_.TruthOf(name); },
      &gang_registry_, now_);
  const std::vector<double>& paces = options_.runner_paces;
  if (paces.empty()) return;
  runners_[info.id]->SetPace(
      paces[static_cast<std::size_t>(index) % paces.size()]);
}

EmulatedRunner* EmulatedSystem::FindRunner(const RunnerId& runner) {
  const auto found = runners_.find(runner);
  if (found == runners_.end()) return nullptr;
  found->second->AdvanceTo(now_);
  return found->second.get();
}

std::vector<RunnerId> EmulatedSystem::RunnerIds() const {
  std::vector<RunnerId> ids;
  for (const auto& [id, runner] : runners_) ids.push_back(id);
  return ids;
}

void EmulatedSystem::KillRunner(const RunnerId& runner, Duration down) {
  oracle_.RecordFault(now_);
  std::vector<TaskName> tasks;
  if (const EmulatedRunner* found = FindRunner(runner)) {
    found->ForEachRun(
        [&tasks](const TaskName& name, int) { tasks.push_back(name); });
  }
  oracle_.RecordRunnerCrash(tasks);
  RemoveRunner(runner, down);
}

void EmulatedSystem::RemoveRunner(const RunnerId& runner, Duration down) {
  const auto found = runners_.find(runner);
  if (found == runners_.end()) return;
  int index = 0;
  std::sscanf(runner.value().c_str(), "i-%d-", &index);
  const int incarnation = incarnations_.at(index);
  Trace(absl::StrCat("runner ", runner.value(), " ends, born ",
                     ToString(found->second->info().start_time)));
  std::unique_ptr<EmulatedRunner> removed_runner = std::move(found->second);
  runners_.erase(found);
  runner_at_.erase(removed_runner->info().address);
  removed_runner = nullptr;
  RunAt(now_ + down,
        [this, index, incarnation] { AddRunner(index, incarnation + 1); });
}

void EmulatedSystem::DropIfCrashed(const std::string& address) {
  const auto at = runner_at_.find(address);
  if (at == runner_at_.end()) return;
  const RunnerId id = at->second;
  const EmulatedRunner& runner = *FindRunner(id);
  if (!runner.crashed_by().has_value()) return;
  const TaskName culprit = *runner.crashed_by();
  Trace(absl::StrCat("crash of ", id.value(), " by ", ToString(culprit)));
  ++crashes_.crashes;
  crashes_.bystanders_work += runner.UnsavedWorkExcept(culprit);
  oracle_.RecordCrashCause(culprit, now_);
  CrashRunner(id, options_.crash_down);
}

void EmulatedSystem::CrashRunner(const RunnerId& runner, Duration down) {
  const EmulatedRunner* found = FindRunner(runner);
  if (found == nullptr) return;
  expiring_entries_[runner] = {found->info(), now_ + options_.entry_expiry};
  KillRunner(runner, down);
}

void EmulatedSystem::SplitGangs(const std::set<RunnerId>& runners,
                                Duration noticed_after) {
  // Brings all runners to the present.
  for (const RunnerId& id : RunnerIds()) FindRunner(id);
  gang_registry_.Split(runners, now_ + noticed_after);
}

void EmulatedSystem::DropCrashed() {
  std::vector<std::string> addresses;
  for (const auto& [address, id] : runner_at_) addresses.push_back(address);
  for (const std::string& address : addresses) DropIfCrashed(address);
}

void EmulatedSystem::SetDrained(const HallId& hall, bool drained) {
  if (drained) {
    drained_halls_.emplace(hall, now_);
  } else {
    drained_halls_.erase(hall);
  }
  DeliverCatalogChange();
}

void EmulatedSystem::SetCapacity(const RunnerId& runner,
                                 const dispatch::Resources& room) {
  EmulatedRunner* found = FindRunner(runner);
  if (found == nullptr) return;
  capacity_history_.RecordChange(runner, found->info().room, now_);
  found->info().room = room;
}

void EmulatedSystem::DrainRunner(const RunnerId& runner, Duration time) {
  EmulatedRunner* found = FindRunner(runner);
  if (found == nullptr) return;
  found->info().draining = true;
  found->info().leaves_in = time;
  RunAt(now_ + time, [this, runner] { RemoveRunner(runner, Duration(1000)); });
}

bool EmulatedSystem::IsReachable(const RunnerId& runner) const {
  return faults_.unreachable_runners.count(runner) == 0 &&
         !RefusesConnections(runner);
}

bool EmulatedSystem::Responds(const RunnerId& runner) const {
  return IsReachable(runner) && faults_.mute_runners.count(runner) == 0;
}

}  // namespace limeledge::emulator
