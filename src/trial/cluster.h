/// @file
/// Several reducers with small fakes at their interfaces, under virtual time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_TRIAL_CLUSTER_H_
#define LIMELEDGE_SRC_TRIAL_CLUSTER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/reducer.h"
#include "limeledge/clock.h"
#include "platform/memory_table.h"
#include "platform/runner_model.h"
#include "platform/worker_model.h"

namespace limeledge {

/// What the fake network and store do wrong now. Chances are in percent.
struct ClusterFaults {
  /// The table service answers nothing and has no effect.
  bool store_down = false;
  /// Transactions take effect and their answer is lost.
  int lose_commit_answer = 0;
  /// Transactions take effect only after the caller gave up.
  int late_commit = 0;
  /// Exchanges reach the worker only after the planner gave up.
  int late_exchange = 0;
  /// Exchanges take effect and their reply is lost.
  int lose_exchange_reply = 0;
  /// Settings that a peer sends arrive much later.
  int late_settings = 0;
  /// Heartbeats are lost.
  int lose_heartbeat = 0;
  /// Calls never reach the runner; the sender knows.
  int runner_not_sent = 0;
  /// Calls run and their answer is lost.
  int runner_lost = 0;
  /// The instance list cannot be read.
  bool list_down = false;
  /// How far the instance list lags.
  Duration list_lag;
};

struct ClusterOptions {
  std::uint64_t seed = 1;
  int instances = 1;
  std::string settings;
  /// Interval of ticks; larger ones make long trials faster.
  Duration tick{20};
  /// Messages take from 1 to this many milliseconds, one way.
  std::int64_t longest_delay_ms = 5;
  int runners = 2;
  int runner_slots = 4;
  Duration service_time{20};
  /// Real run time of a task; the declared one where null.
  WorkerModel::RunTime run_time;
  SlotDivision slot_division = SlotDivision::kBySlot;
  /// Milliseconds since 1970 at the start.
  std::int64_t wall_start_ms = 1700000000000;
};

/// One call by a caller, and what came back.
struct CallRecord {
  int instance = 0;
  TimePoint at;
  std::optional<AnswerBody> answer;
  TimePoint answered_at;
  /// The instance was killed before it answered.
  bool cut = false;
};

/// A whole trial: reducers, a table, workers and runners in one thread, driven
/// by a queue of deliveries in virtual time. The same options and calls always
/// give the same course. It models run times and faults at the interfaces; it
/// is no model of machines or networks.
///
/// Thread safety: none.
class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  TimePoint now() const { return now_; }
  std::int64_t wall_ms() const { return options_.wall_start_ms + now_.ms(); }
  /// Lets virtual time pass.
  void RunFor(Duration duration);
  /// Processor time spent in reducers so far, by all instances.
  std::chrono::nanoseconds reduce_time() const { return reduce_time_; }
  /// Events reduced so far, by all instances.
  std::int64_t events() const { return events_; }

  /// Calls. Each returns the index of its record.
  std::size_t Request(int instance, RequestSpec request);
  std::size_t Submit(int instance, JobSpec spec);
  std::size_t Cancel(int instance, const JobId& job);
  std::size_t Propose(int instance, SettingsVersion base, std::string text);
  std::size_t Ask(int instance, const std::function<EventBody(CallId)>& make);
  const CallRecord& call(std::size_t index) const { return calls_[index]; }
  const std::vector<CallRecord>& calls() const { return calls_; }

  /// Instances. A started one is a new incarnation of the same id.
  int instances() const { return static_cast<int>(nodes_.size()); }
  bool IsAlive(int instance) const { return nodes_[Index(instance)].alive; }
  bool IsPaused(int instance) const { return nodes_[Index(instance)].paused; }
  void Kill(int instance);
  void Start(int instance);
  /// A paused process handles nothing until it is woken, then everything.
  void Pause(int instance);
  void Wake(int instance);
  /// Begins a planned stop.
  void Stop(int instance);
  bool HasExited(int instance) const { return nodes_[Index(instance)].exited; }
  /// Cuts an instance from the store, from its peers, or from all targets.
  void CutStore(int instance, bool cut);
  void CutPeers(int instance, bool cut);
  void CutTargets(int instance, bool cut);
  const Reducer& reducer(int instance) const;

  ClusterFaults& faults() { return faults_; }

  /// Targets.
  void AddWorker(WorkerInfo info);
  void SetWorkerFaults(const WorkerId& id, const WorkerFaults& faults);
  void RestartWorker(const WorkerId& id);
  void CutWorker(const WorkerId& id, bool cut);
  void LeaveWorker(const WorkerId& id, bool listed);
  void SetRunnerFaults(const RunnerId& id, const RunnerFaults& faults);
  void LeaveRunner(const RunnerId& id, bool listed);
  /// Moment from which a target is known to leave, by id.
  const std::map<std::string, TimePoint>& left_at() const { return left_at_; }
  const std::map<WorkerId, WorkerModel>& workers() const { return workers_; }
  const std::map<RunnerId, RunnerModel>& runners() const { return runners_; }
  /// Latest moment at which each runner began a call.
  const std::map<RunnerId, TimePoint>& last_run() const { return last_run_; }

  /// Ends every fault and cut, wakes and starts everything.
  void Heal();

  const MemoryTable& table() const { return table_; }
  /// Every transaction that took effect, for oracles: called after each.
  void OnCommit(std::function<void(const Transaction&)> observer) {
    on_commit_ = std::move(observer);
  }
  /// Every event and effect of every instance, as it is reduced.
  void OnReduce(
      std::function<void(int, const Event&, const Effects&)> observer) {
    on_reduce_ = std::move(observer);
  }

 private:
  struct Node {
    InstanceId id;
    std::int64_t incarnation = 0;
    std::unique_ptr<Reducer> reducer;
    bool alive = false;
    bool paused = false;
    bool exited = false;
    bool store_cut = false;
    bool peers_cut = false;
    bool targets_cut = false;
    std::vector<EventBody> inbox;
    CallId next_call{1};
    std::map<CallId, std::function<void(const AnswerBody&)>> waiting;
  };
  struct Delivery {
    TimePoint at;
    std::int64_t order;
    std::function<void()> run;
    friend bool operator>(const Delivery& a, const Delivery& b) {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  struct ListSnapshot {
    TimePoint at;
    InstanceList list;
  };

  static std::size_t Index(int instance) {
    return static_cast<std::size_t>(instance);
  }
  Node& NodeOf(int instance) { return nodes_[Index(instance)]; }
  void At(TimePoint at, std::function<void()> run);
  void After(Duration delay, std::function<void()> run);
  Duration Delay();
  bool Chance(int percent);

  void ScheduleTick(int instance, std::int64_t incarnation);
  /// Hands an event to the incarnation, unless it is gone.
  void Deliver(int instance, std::int64_t incarnation, EventBody body);
  void Reduce(int instance, EventBody body);

  void Perform(int instance, const SendTransaction& effect);
  void Perform(int instance, const ReadRows& effect);
  void Perform(int instance, const ReadClaims& effect);
  void Perform(int instance, const FetchRows& effect);
  void Perform(int instance, const ReadInstanceList& effect);
  void Perform(int instance, const SendHeartbeat& effect);
  void Perform(int instance, const FetchSettings& effect);
  void Perform(int instance, const SendExchange& effect);
  void Perform(int instance, const SendRunnerCall& effect);
  void Perform(int instance, const Answer& effect);
  void Perform(int instance, const Exit& effect);
  template <typename Other>
  void Perform(int, const Other&) {}

  void Commit(int instance, std::int64_t incarnation,
              const Transaction& transaction);
  void HandleExchange(int instance, const SendExchange& effect, bool reply);
  void HandleRun(int instance, const SendRunnerCall& effect);
  void WatchWorker(const WorkerId& id);
  void PublishList();
  InstanceList LaggingList() const;
  int FindNode(const InstanceId& id) const;
  bool StoreAnswers(int instance) const;

  ClusterOptions options_;
  std::mt19937_64 random_;
  TimePoint now_;
  std::int64_t next_order_ = 0;
  std::int64_t next_incarnation_ = 1;
  std::int64_t events_ = 0;
  std::chrono::nanoseconds reduce_time_{0};
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> queue_;
  std::vector<Node> nodes_;
  std::vector<CallRecord> calls_;
  ClusterFaults faults_;
  MemoryTable table_;
  InstanceList list_;
  std::vector<ListSnapshot> snapshots_;
  std::map<WorkerId, WorkerModel> workers_;
  std::map<WorkerId, TimePoint> watched_;
  std::set<WorkerId> cut_workers_;
  std::map<RunnerId, RunnerModel> runners_;
  std::map<RunnerId, TimePoint> last_run_;
  std::map<std::string, TimePoint> left_at_;
  std::function<void(const Transaction&)> on_commit_;
  std::function<void(int, const Event&, const Effects&)> on_reduce_;
};

/// Adds every worker that the settings declare, named HALL-rR-wW.
/// Precondition: `settings` is a valid tree.
void AddDeclaredWorkers(const std::string& settings, Cluster* cluster);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_TRIAL_CLUSTER_H_
