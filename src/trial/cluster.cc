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
#include "settings/reader.h"

namespace limeledge {

namespace {

/// After this long a caller gives an unanswered call up.
constexpr Duration kTimeout{2000};
/// A late delivery comes this long after the caller gave up.
constexpr Duration kLate{1500};
constexpr std::size_t kRowsPerPage = 1000;
constexpr char kTrialHall[] = "trial";
constexpr int kRunnerConnections = 60;

const std::vector<std::string>& MirroredPrefixes() {
  static const std::vector<std::string> prefixes = {
      kJobPrefix, kHallPrefix, kRenewalPrefix, kCurrentSettingsKey};
  return prefixes;
}

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

void Cluster::Perform(int instance, const SendTransaction& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const Transaction transaction = effect.transaction;
  const auto lost = [this, instance, incarnation] {
    Deliver(instance, incarnation, TransactionReplied{TransactionLost{}});
  };
  if (!StoreAnswers(instance)) {
    After(kTimeout, lost);
    return;
  }
  if (Chance(faults_.late_commit)) {
    After(kTimeout, lost);
    After(kTimeout + kLate, [this, transaction] {
      const TransactionReply reply = table_.Commit(transaction);
      const bool done = std::holds_alternative<TransactionCommitted>(reply);
      if (done && on_commit_) on_commit_(transaction);
    });
    return;
  }
  After(Delay(), [this, instance, incarnation, transaction] {
    Commit(instance, incarnation, transaction);
  });
}

void Cluster::Commit(int instance, std::int64_t incarnation,
                     const Transaction& transaction) {
  const bool answers = StoreAnswers(instance);
  TransactionReply reply = TransactionLost{};
  if (answers) {
    reply = table_.Commit(transaction);
    const bool done = std::holds_alternative<TransactionCommitted>(reply);
    if (done && on_commit_) on_commit_(transaction);
  }
  if (!answers || Chance(faults_.lose_commit_answer)) {
    After(kTimeout, [this, instance, incarnation] {
      Deliver(instance, incarnation, TransactionReplied{TransactionLost{}});
    });
    return;
  }
  After(Delay(), [this, instance, incarnation, reply] {
    Deliver(instance, incarnation, TransactionReplied{reply});
  });
}

void Cluster::Perform(int instance, const ReadRows& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  if (!StoreAnswers(instance)) {
    After(kTimeout, [this, instance, incarnation] {
      Deliver(instance, incarnation, RowsRead{std::nullopt});
    });
    return;
  }
  const Revision since = effect.since;
  After(Delay(), [this, instance, incarnation, since] {
    const ChangedRows changes =
        table_.Changes(MirroredPrefixes(), since, kRowsPerPage);
    After(Delay(), [this, instance, incarnation, changes] {
      Deliver(instance, incarnation, RowsRead{changes});
    });
  });
}

void Cluster::Perform(int instance, const FetchRows& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  RowsFetched fetched{effect.call, std::nullopt};
  if (StoreAnswers(instance)) {
    fetched.rows.emplace();
    for (const std::string& key : effect.keys) {
      fetched.rows->push_back(table_.Read(key));
    }
  }
  After(Delay(), [this, instance, incarnation, fetched] {
    Deliver(instance, incarnation, fetched);
  });
}

void Cluster::Perform(int instance, const ReadInstanceList&) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  After(Delay(), [this, instance, incarnation] {
    InstanceListRead read;
    if (!faults_.list_down) read.list = LaggingList();
    Deliver(instance, incarnation, read);
  });
}

void Cluster::Perform(int instance, const SendHeartbeat& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const InstanceId peer = effect.peer;
  const int to = FindNode(peer);
  const auto none = [this, instance, incarnation, peer] {
    Deliver(instance, incarnation, HeartbeatAnswered{peer, std::nullopt});
  };
  const bool reaches = to >= 0 && NodeOf(to).alive && !NodeOf(to).paused &&
                       !NodeOf(instance).peers_cut && !NodeOf(to).peers_cut &&
                       !Chance(faults_.lose_heartbeat);
  if (!reaches) {
    After(Duration(1000), none);
    return;
  }
  const Heartbeat heartbeat = effect.heartbeat;
  After(Delay(), [this, instance, incarnation, peer, to, heartbeat, none] {
    Node& target = NodeOf(to);
    if (!target.alive || target.paused) {
      none();
      return;
    }
    const CallId call = target.next_call;
    target.next_call = target.next_call.Next();
    target.waiting[call] = [this, instance, incarnation,
                            peer](const AnswerBody& body) {
      const Heartbeat answer = std::get<Heartbeat>(body);
      After(Delay(), [this, instance, incarnation, peer, answer] {
        Deliver(instance, incarnation, HeartbeatAnswered{peer, answer});
      });
    };
    Deliver(to, target.incarnation, HeartbeatArrived{call, heartbeat});
  });
}

void Cluster::Perform(int instance, const FetchSettings& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const InstanceId peer = effect.peer;
  const int to = FindNode(peer);
  const bool reaches = to >= 0 && NodeOf(to).alive && !NodeOf(to).paused &&
                       !NodeOf(instance).peers_cut && !NodeOf(to).peers_cut;
  if (!reaches) {
    After(Duration(1000), [this, instance, incarnation, peer] {
      Deliver(instance, incarnation, SettingsCopyArrived{peer, std::nullopt});
    });
    return;
  }
  Node& target = NodeOf(to);
  const CallId call = target.next_call;
  target.next_call = target.next_call.Next();
  target.waiting[call] = [this, instance, incarnation,
                          peer](const AnswerBody& body) {
    const SettingsCopy copy = std::get<SettingsCopy>(body);
    After(Delay(), [this, instance, incarnation, peer, copy] {
      Deliver(instance, incarnation, SettingsCopyArrived{peer, copy});
    });
  };
  const std::int64_t peer_incarnation = target.incarnation;
  After(Delay(), [this, to, peer_incarnation, call] {
    Deliver(to, peer_incarnation, SettingsCopyAsked{call});
  });
}

void Cluster::Perform(int instance, const SendExchange& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const WorkerExchange& exchange = effect.exchange;
  const auto none = [this, instance, incarnation, exchange] {
    Deliver(instance, incarnation,
            WorkerReplied{exchange.worker, exchange.hall, exchange.epoch,
                          exchange.sequence, std::nullopt});
  };
  const bool cut = cut_workers_.count(exchange.worker) != 0 ||
                   NodeOf(instance).targets_cut ||
                   workers_.count(exchange.worker) == 0;
  if (cut) {
    After(kTimeout, none);
  } else if (Chance(faults_.late_exchange)) {
    After(kTimeout, none);
    After(kTimeout + kLate, [this, instance, effect] {
      HandleExchange(instance, effect, false);
    });
  } else if (Chance(faults_.lose_exchange_reply)) {
    After(kTimeout, none);
    After(Delay(), [this, instance, effect] {
      HandleExchange(instance, effect, false);
    });
  } else {
    After(Delay(),
          [this, instance, effect] { HandleExchange(instance, effect, true); });
  }
}

void Cluster::HandleExchange(int instance, const SendExchange& effect,
                             bool reply) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const WorkerExchange& exchange = effect.exchange;
  const auto it = workers_.find(exchange.worker);
  if (it == workers_.end()) return;
  const WorkerReport report = it->second.Handle(now_, exchange);
  WatchWorker(exchange.worker);
  if (!reply) return;
  WorkerReplied replied{exchange.worker, exchange.hall, exchange.epoch,
                        exchange.sequence, report};
  After(Delay(), [this, instance, incarnation, replied] {
    if (replied.report->leaving) {
      left_at_.emplace(replied.worker.value(), now_);
    }
    Deliver(instance, incarnation, replied);
  });
}

void Cluster::Perform(int instance, const SendRunnerCall& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  RunnerReply reply;
  reply.runner = effect.call.runner;
  reply.awaited = effect.call.attempt;
  const bool not_sent = NodeOf(instance).targets_cut ||
                        runners_.count(effect.call.runner) == 0 ||
                        Chance(faults_.runner_not_sent);
  if (not_sent) {
    reply.outcome = RunnerOutcome::kNotSent;
    After(Delay(), [this, instance, incarnation, reply] {
      Deliver(instance, incarnation, RunnerReplied{reply});
    });
    return;
  }
  After(Delay(), [this, instance, effect] { HandleRun(instance, effect); });
}

void Cluster::HandleRun(int instance, const SendRunnerCall& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const RunnerCall call = effect.call;
  RunnerModel& runner = runners_.at(call.runner);
  RunnerReply reply;
  reply.runner = call.runner;
  reply.awaited = call.attempt;
  reply.leaving = runner.leaving();
  if (!runner.Begin(call)) {
    reply.outcome = RunnerOutcome::kRefused;
    After(Delay(), [this, instance, incarnation, reply] {
      Deliver(instance, incarnation, RunnerReplied{reply});
    });
    return;
  }
  last_run_[call.runner] = now_;
  const bool lost = Chance(faults_.runner_lost) || runner.faults().cut;
  After(options_.service_time, [this, instance, incarnation, call, reply,
                                lost]() mutable {
    const RunnerAnswer answer = runners_.at(call.runner).End(call);
    reply.outcome = lost ? RunnerOutcome::kLost : RunnerOutcome::kAnswered;
    reply.request = answer.request;
    reply.attempt = answer.attempt;
    reply.workspace = answer.workspace;
    reply.answer = answer.answer;
    After(Delay(), [this, instance, incarnation, reply] {
      Deliver(instance, incarnation, RunnerReplied{reply});
    });
  });
}

void Cluster::Perform(int instance, const Answer& effect) {
  Node& node = NodeOf(instance);
  const auto it = node.waiting.find(effect.call);
  if (it == node.waiting.end()) return;
  const std::function<void(const AnswerBody&)> handle = std::move(it->second);
  node.waiting.erase(it);
  handle(effect.body);
}

void Cluster::Perform(int instance, const Exit&) {
  NodeOf(instance).exited = true;
  Kill(instance);
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
    for (int rack = 1; rack <= declared.racks; ++rack) {
      for (int i = 1; i <= declared.workers_per_rack; ++i) {
        WorkerInfo info;
        info.hall = hall;
        info.rack = RackId(absl::StrCat(hall.value(), "-r", rack));
        info.id = WorkerId(absl::StrCat(info.rack.value(), "-w", i));
        info.accelerators = declared.accelerators_per_worker;
        info.cores = declared.cores_per_worker;
        info.memory_mb = declared.memory_mb_per_worker;
        cluster->AddWorker(info);
      }
    }
  }
}

}  // namespace limeledge
