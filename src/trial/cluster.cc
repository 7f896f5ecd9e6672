/// @file
/// The trial's queue of deliveries and its fakes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "trial/cluster.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "platform/declared_workers.h"
#include "settings/reader.h"

namespace limeledge {

namespace {

constexpr char kTrialHall[] = "trial";
constexpr int kRunnerConnections = 60;

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : options_(std::move(options)), random_(options_.seed) {
  for (int i = 1; i <= options_.runners; ++i) {
    RunnerInfo info;
    info.id = RunnerId(absl::StrCat("runner-", i));
    info.address = Address(info.id.value());
    info.hall = HallId(kTrialHall);
    info.slots = options_.runner_slots;
    info.connections = kRunnerConnections;
    list_.runners.push_back(info);
    runners_.emplace(info.id, RunnerModel(info));
  }
  nodes_.resize(static_cast<std::size_t>(options_.instances));
  for (int i = 0; i < options_.instances; ++i) {
    NodeOf(i).id = InstanceId(absl::StrCat("e", i + 1));
    EntryInfo entry;
    entry.id = NodeOf(i).id;
    entry.peer_address = Address(entry.id.value());
    entry.hall = HallId(kTrialHall);
    list_.entries.push_back(entry);
  }
  PublishList();
  for (int i = 0; i < options_.instances; ++i) Start(i);
}

Cluster::~Cluster() = default;

void Cluster::RunFor(Duration duration) {
  const TimePoint until = now_ + duration;
  while (!queue_.empty() && queue_.top().at <= until) {
    Delivery next = queue_.top();
    queue_.pop();
    now_ = next.at;
    next.run();
  }
  now_ = until;
}

std::size_t Cluster::Request(int instance, RequestSpec request) {
  return Ask(instance, [&request](CallId call) {
    return RequestArrived{call, std::move(request)};
  });
}

std::size_t Cluster::Submit(int instance, JobSpec spec) {
  return Ask(instance, [&spec](CallId call) {
    return JobSubmitted{call, std::move(spec)};
  });
}

std::size_t Cluster::Cancel(int instance, const JobId& job) {
  return Ask(instance, [&job](CallId call) {
    return JobCancelAsked{call, AccessScope{}, job};
  });
}

std::size_t Cluster::Propose(int instance, SettingsVersion base,
                             std::string text) {
  return Ask(instance, [&](CallId call) {
    return SettingsProposed{call, base, std::move(text), "trial"};
  });
}

std::size_t Cluster::Ask(int instance,
                         const std::function<EventBody(CallId)>& make) {
  Node& node = NodeOf(instance);
  const std::size_t index = calls_.size();
  CallRecord record;
  record.instance = instance;
  record.at = now_;
  record.cut = !node.alive;
  calls_.push_back(record);
  if (!node.alive) return index;
  const CallId call = node.next_call;
  node.next_call = node.next_call.Next();
  node.waiting[call] = [this, index](const AnswerBody& body) {
    calls_[index].answer = body;
    calls_[index].answered_at = now_;
  };
  Deliver(instance, node.incarnation, make(call));
  return index;
}

void Cluster::Kill(int instance) {
  Node& node = NodeOf(instance);
  node.alive = false;
  node.paused = false;
  node.inbox.clear();
  node.waiting.clear();
  node.reducer.reset();
  for (CallRecord& call : calls_) {
    if (call.instance == instance && !call.answer.has_value()) call.cut = true;
  }
}

void Cluster::Start(int instance) {
  Node& node = NodeOf(instance);
  if (node.alive) return;
  node.alive = true;
  node.exited = false;
  node.incarnation = next_incarnation_++;
  ReducerOptions options;
  options.self = {node.id, node.incarnation, HallId(kTrialHall),
                  node.id.value()};
  options.initial_settings = options_.settings;
  options.slot_division = options_.slot_division;
  node.reducer = std::make_unique<Reducer>(options);
  ScheduleTick(instance, node.incarnation);
}

void Cluster::Pause(int instance) {
  if (NodeOf(instance).alive) NodeOf(instance).paused = true;
}

void Cluster::Wake(int instance) {
  Node& node = NodeOf(instance);
  if (!node.paused) return;
  node.paused = false;
  std::vector<EventBody> inbox = std::move(node.inbox);
  node.inbox.clear();
  for (EventBody& body : inbox) {
    if (node.alive) Reduce(instance, std::move(body));
  }
}

void Cluster::Stop(int instance) {
  Deliver(instance, NodeOf(instance).incarnation, StopAsked{});
}

void Cluster::CutStore(int instance, bool cut) {
  NodeOf(instance).store_cut = cut;
}

void Cluster::CutPeers(int instance, bool cut) {
  NodeOf(instance).peers_cut = cut;
}

void Cluster::CutTargets(int instance, bool cut) {
  NodeOf(instance).targets_cut = cut;
}

const Reducer& Cluster::reducer(int instance) const {
  return *nodes_[Index(instance)].reducer;
}

void Cluster::AddWorker(WorkerInfo info) {
  info.address = Address(info.id.value());
  list_.workers.push_back(info);
  WorkerModel::RunTime run_time = options_.run_time;
  if (!run_time) {
    run_time = [](const TaskOrder& order) { return order.declared; };
  }
  WorkerModel model(info, next_incarnation_++, std::move(run_time));
  model.KeepHistory();
  workers_.emplace(info.id, std::move(model));
  PublishList();
}

void Cluster::SetWorkerFaults(const WorkerId& id, const WorkerFaults& faults) {
  workers_.at(id).SetFaults(faults);
}

void Cluster::RestartWorker(const WorkerId& id) {
  workers_.at(id).Restart(now_, next_incarnation_++);
}

void Cluster::CutWorker(const WorkerId& id, bool cut) {
  if (cut) {
    cut_workers_.insert(id);
  } else {
    cut_workers_.erase(id);
  }
}

void Cluster::LeaveWorker(const WorkerId& id, bool listed) {
  workers_.at(id).SetLeaving();
  // A worker that only says so itself is known to leave from its next report.
  if (!listed) return;
  left_at_.emplace(id.value(), now_);
  for (WorkerInfo& worker : list_.workers) {
    if (worker.id == id) worker.leaving = true;
  }
  PublishList();
}

void Cluster::SetRunnerFaults(const RunnerId& id, const RunnerFaults& faults) {
  runners_.at(id).SetFaults(faults);
}

void Cluster::LeaveRunner(const RunnerId& id, bool listed) {
  left_at_.emplace(id.value(), now_);
  if (!listed) {
    runners_.at(id).SetLeaving();
    return;
  }
  for (RunnerInfo& runner : list_.runners) {
    if (runner.id == id) runner.leaving = true;
  }
  PublishList();
}

void Cluster::Heal() {
  faults_ = ClusterFaults();
  cut_workers_.clear();
  for (auto& [id, worker] : workers_) worker.SetFaults({});
  for (auto& [id, runner] : runners_) runner.SetFaults({});
  for (int i = 0; i < instances(); ++i) {
    NodeOf(i).store_cut = false;
    NodeOf(i).peers_cut = false;
    NodeOf(i).targets_cut = false;
    Wake(i);
    Start(i);
  }
}

void Cluster::At(TimePoint at, std::function<void()> run) {
  queue_.push({at, next_order_++, std::move(run)});
}

void Cluster::After(Duration delay, std::function<void()> run) {
  At(now_ + delay, std::move(run));
}

Duration Cluster::Delay() {
  std::uniform_int_distribution<std::int64_t> pick(1,
                                                   options_.longest_delay_ms);
  return Duration(pick(random_));
}

bool Cluster::Chance(int percent) {
  if (percent <= 0) return false;
  std::uniform_int_distribution<int> pick(0, 99);
  return pick(random_) < percent;
}

void Cluster::ScheduleTick(int instance, std::int64_t incarnation) {
  After(options_.tick, [this, instance, incarnation] {
    const Node& node = NodeOf(instance);
    if (!node.alive || node.incarnation != incarnation) return;
    if (!node.paused) Reduce(instance, Tick{});
    ScheduleTick(instance, incarnation);
  });
}

void Cluster::Deliver(int instance, std::int64_t incarnation, EventBody body) {
  Node& node = NodeOf(instance);
  if (!node.alive || node.incarnation != incarnation) return;
  if (node.paused) {
    node.inbox.push_back(std::move(body));
    return;
  }
  Reduce(instance, std::move(body));
}

void Cluster::Reduce(int instance, EventBody body) {
  ++events_;
  Node& node = NodeOf(instance);
  const std::int64_t incarnation = node.incarnation;
  const Event event{now_, wall_ms(), std::move(body)};
  const auto begin = std::chrono::steady_clock::now();
  const Effects effects = node.reducer->Reduce(event);
  reduce_time_ += std::chrono::steady_clock::now() - begin;
  if (on_reduce_) on_reduce_(instance, event, effects);
  for (const Effect& effect : effects) {
    if (!node.alive || node.incarnation != incarnation) return;
    std::visit([&](const auto& e) { Perform(instance, e); }, effect);
  }
}

void Cluster::WatchWorker(const WorkerId& id) {
  const TimePoint next = workers_.at(id).NextChange();
  const auto it = watched_.find(id);
  const bool watched =
      it != watched_.end() && it->second > now_ && it->second <= next;
  if (watched || next > now_ + Duration(1LL << 40)) return;
  watched_[id] = std::max(next, now_ + Duration(1));
  At(watched_[id], [this, id] {
    WorkerModel& worker = workers_.at(id);
    const bool changed = worker.Advance(now_);
    const int planner = FindNode(InstanceId(worker.notify_address()));
    const bool reaches = changed && planner >= 0 &&
                         cut_workers_.count(id) == 0 &&
                         !NodeOf(planner).targets_cut;
    if (reaches) {
      const std::int64_t incarnation = NodeOf(planner).incarnation;
      After(Delay(), [this, planner, incarnation, id] {
        Deliver(planner, incarnation, WorkerChanged{id});
      });
    }
    WatchWorker(id);
  });
}

void Cluster::PublishList() { snapshots_.push_back({now_, list_}); }

InstanceList Cluster::LaggingList() const {
  const TimePoint as_of = now_ - faults_.list_lag;
  for (auto it = snapshots_.rbegin(); it != snapshots_.rend(); ++it) {
    if (it->at <= as_of) return it->list;
  }
  return snapshots_.front().list;
}

int Cluster::FindNode(const InstanceId& id) const {
  for (int i = 0; i < instances(); ++i) {
    if (nodes_[Index(i)].id == id) return i;
  }
  return -1;
}

bool Cluster::StoreAnswers(int instance) const {
  return !faults_.store_down && !nodes_[Index(instance)].store_cut;
}

void AddDeclaredWorkers(const std::string& settings, Cluster* cluster) {
  Findings findings("settings");
  const auto tree = ReadSettings(settings, &findings);
  for (const auto& [hall, declared] : tree->halls) {
    for (const WorkerInfo& worker : DeclaredWorkers(hall, declared)) {
      cluster->AddWorker(worker);
    }
  }
}

}  // namespace limeledge
