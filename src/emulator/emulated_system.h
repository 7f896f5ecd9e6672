/// @file
/// Nodes, store, runners and callers under virtual time, with faults and an
/// oracle.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_EMULATOR_EMULATED_SYSTEM_H_
#define LIMELEDGE_SRC_EMULATOR_EMULATED_SYSTEM_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/node.h"
#include "emulator/capacity_history.h"
#include "emulator/emulated_catalog.h"
#include "emulator/emulated_runner.h"
#include "emulator/emulated_store.h"
#include "emulator/promise_oracle.h"

namespace limeledge::emulator {

/// Sizes and times of an emulated system.
struct SystemOptions {
  std::uint64_t seed = 1;
  int nodes = 3;
  int runners = 8;
  int runners_per_rack = 4;
  dispatch::Resources room{64000, 262144, 8};
  RunnerBounds bounds;
  /// Attempts that queues give a task.
  int attempts = kMaxAttempts;
  /// What the catalog says, and what runners do.
  bool enforces_capacity = true;
  /// A room that has shrunk counts for starts so much later.
  Duration capacity_notice{4500};
  /// Of the scheduler of every node.
  dispatch::PlannerOptions planner;
  dispatch::JobRegistryOptions job_registry;
  dispatch::LossRules loss;
  /// One way between any two parties.
  Duration network{1};
  Duration store_time{4};
  /// What a transaction takes of its part, beside that.
  Duration transaction_time{5};
  /// How long a runner is away that a task crashed, and how long its entry
  /// stays in the list after its end.
  Duration crash_down{3400};
  Duration entry_expiry{4500};
  /// Runners that start again keep their ids. Their entries tell of the life
  /// before for `entry_lag`, as far as they stand, and births are off by
  /// `start_time_skew` more for each life.
  bool keeps_ids = false;
  Duration entry_lag;
  Duration start_time_skew;
};

/// Faults that are on at the moment.
struct Faults {
  bool store_down = false;
  /// Shares of calls whose answer is lost after the call took effect.
  double store_answers_lost = 0;
  double orders_lost = 0;
  /// Share of looks that never arrive.
  double polls_lost = 0;
  /// Such an order is carried out late by up to this.
  Duration late_order{0};
  /// Share of starts whose first sending gets no answer: the second one does,
  /// and the first is carried out late.
  double starts_repeated = 0;
  /// Share of looks that are lost and carried out late.
  double polls_late = 0;
  /// The store takes so many times as long.
  int store_slowness = 1;
  std::set<int> nodes_without_store;
  /// Parts of the store that are away while the others are there.
  std::set<std::string> partitions_down;
  std::set<RunnerId> unreachable_runners;
  /// Runners that hear nothing and answer nothing though all links are sound:
  /// no excuse for a node that goes on starting tasks there.
  std::set<RunnerId> mute_runners;
  /// What a runner takes to answer an order, beside the network; no fault of
  /// its own while it is short.
  Duration order_time;
  /// Runners that serve on without an entry in the list.
  std::set<RunnerId> unlisted_runners;

  /// True while none is on that may hold a node up.
  bool none() const;
};

/// What tasks that crash their runners did.
struct CrashCount {
  int crashes = 0;
  /// Unsaved work of other runs that went with them, in core-milliseconds.
  double bystanders_work = 0;
};

/// What the reducers of all nodes took of the real processor.
struct ReducerUse {
  std::chrono::nanoseconds time{0};
  std::int64_t events = 0;
};

/// A whole system in one thread. What breaks a promise is collected in
/// `violations`.
///
/// Thread safety: none; use it from one thread.
class EmulatedSystem {
 public:
  explicit EmulatedSystem(SystemOptions options);
  ~EmulatedSystem();

  /// Lets virtual time pass.
  void Run(Duration time);
  TimePoint now() const { return now_; }

  /// Hands a job in at a random node, again with the same id until there is a
  /// final answer.
  JobId Submit(dispatch::JobSpec spec, std::vector<TaskTruth> truths);
  /// Cancels a job at a random node, again until that is acknowledged.
  void Cancel(const JobId& job);
  /// Waiting jobs of the ordinary queue as a node tells; -1 for no answer.
  std::int64_t CountWaitingJobs();
  /// The state that a node tells; empty while it does not answer.
  std::string StateOf(const JobId& job);

  /// Called with each log line of a node and each start at a runner.
  void SetTrace(std::function<void(const std::string&)> trace) {
    trace_ = std::move(trace);
  }

  Faults& faults() { return faults_; }
  EmulatedStore& store() { return store_; }
  /// Transactions that nodes sent, refused ones included.
  int commits() const { return commits_; }
  /// Looks that nodes sent at runners, lost ones included.
  int polls() const { return polls_; }
  const ReducerUse& reducer_use() const { return reducer_use_; }
  const CrashCount& crashes() const { return crashes_; }
  /// The room of each runner as it begins.
  const dispatch::Resources& room() const { return options_.room; }
  /// Orders to one runner that waited for each other, at most.
  std::size_t longest_order_lane() const { return longest_order_lane_; }
  const std::vector<std::string>& violations() const {
    return oracle_.violations();
  }
  const std::map<JobId, JobWatch>& jobs() const { return oracle_.jobs(); }
  /// What a node that runs makes of the store's silence.
  dispatch::StoreOutage StoreOutageAt(int node) const {
    return processes_[node].node->store_loss();
  }
  /// The node that leads now; -1 for none.
  int leader() const;

  /// The process ends without a word and starts again after `down`.
  void KillNode(int node, Duration down);
  /// The process ends without a word and never comes back.
  void RemoveNode(int node);
  /// The process stands still for `time`; its calls go on.
  void FreezeNode(int node, Duration time);
  /// The process is asked to stop, and starts again after it ended.
  void StopNode(int node);
  /// The runner ends; another life comes at its address after `down`.
  void KillRunner(const RunnerId& runner, Duration down);
  /// The same as a crash: its entry stays in the list until it lapses.
  void CrashRunner(const RunnerId& runner, Duration down);
  /// The operator has a hall emptied, or gives it back.
  void SetDrained(const HallId& hall, bool drained);
  /// The runner's room changes while it runs, and its entry with it.
  void SetCapacity(const RunnerId& runner, const dispatch::Resources& room);
  /// The runner says that it leaves, and does so after `time`.
  void DrainRunner(const RunnerId& runner, Duration time);
  EmulatedRunner* FindRunner(const RunnerId& runner);
  std::vector<RunnerId> RunnerIds() const;

 private:
  /// The list of runners as a node was last told of it.
  struct RunnerListView {
    Revision revision;
    struct Entry {
      dispatch::StartTime start_time;
      bool draining = false;
      dispatch::Resources room;
    };
    /// What each runner said of itself.
    std::map<RunnerId, Entry> entries;
  };
  struct Process {
    std::unique_ptr<dispatch::Node> node;
    /// Counts lives; answers to an earlier one are dropped.
    int incarnation = 0;
    TimePoint frozen_until;
    std::vector<dispatch::EventBody> held;
    bool ready = false;
    /// When it last stood still for long, and whether the store has confirmed
    /// since then that it schedules.
    TimePoint paused_until;
    bool leadership_confirmed = true;
    /// When each write under its lease was sent.
    std::map<dispatch::Ticket, TimePoint> own_writes;
    /// It was asked to stop, and has not begun anew.
    bool stopping = false;
    bool removed = false;
    /// Orders to each runner, which go one after the other; the first is under
    /// way.
    std::map<dispatch::IncarnationId, std::queue<std::function<void()>>>
        order_lanes;
    TimePoint timer_at;
    RunnerListView runner_list;
  };
  struct Action {
    TimePoint at;
    std::int64_t order = 0;
    std::function<void()> run;
    friend bool operator<(const Action& a, const Action& b) {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  void At(TimePoint at, std::function<void()> run);
  double Chance();
  bool Happens(double share) { return share > 0 && Chance() < share; }

  void StartNode(int node);
  void Deliver(int node, int incarnation, dispatch::EventBody body);
  void Reduce(int node, dispatch::EventBody body);
  // Carries an effect of a node out, by its kind.
  void Perform(int node, const dispatch::CommitRows& commit);
  void Perform(int node, const dispatch::ReadRows& read);
  void Perform(int node, const dispatch::AwaitChanges& request);
  void Perform(int node, const dispatch::ReadCatalog&);
  void Perform(int node, const dispatch::AwaitCatalog& await);
  void Perform(int node, const dispatch::ListRunners& effect);
  dispatch::RunnersListed RegisteredRunners() const;
  dispatch::RunnersListed RunnerChanges(const RunnerListView& seen) const;
  static void Apply(const dispatch::RunnersListed& changes,
                    RunnerListView* seen);
  /// Answers once the list has changed, or when the wait is over.
  void WatchRunners(int node, int incarnation,
                    const dispatch::ListRunners& effect, TimePoint until);
  void Perform(int node, const dispatch::PollRunner& poll);
  void Perform(int node, const dispatch::StartRun& start);
  void Perform(int node, const dispatch::StopRun& stop);
  void Perform(int node, const dispatch::RequestAdvice& request);
  void Perform(int node, const dispatch::QueryPeer& request);
  void Perform(int node, const dispatch::RespondToCall& answer);
  void Perform(int node, const dispatch::RespondWithState&);
  void Perform(int node, const dispatch::SetReady& effect);
  void Perform(int node, const dispatch::WriteLog& log);
  void Perform(int node, const dispatch::Exit&);
  /// Notes an answer by which a node may learn that it still schedules.
  void RecordConfirmation(Process* process, const dispatch::EventBody& body);
  /// Has the oracle check that a node which stood still acts on nothing before
  /// it knows whether it still schedules.
  void CheckLeadershipConfirmed(int node, const char* what);
  /// True while the node's calls don't reach the store.
  bool IsCutOffFromStore(int node) const;
  bool IsPartitionDown(const std::string& partition) const {
    return faults_.partitions_down.count(partition) != 0;
  }
  /// Carries a call to the store out; the answer comes later or never.
  template <typename Answer>
  void CallStore(int node, Duration timeout, std::function<Answer()> execute,
                 Answer lost, Duration queued = Duration(0));
  void WatchChanges(int node, int incarnation,
                    const dispatch::AwaitChanges& effect, TimePoint until);
  /// The whole catalog, or the news that nothing changed.
  void SendCatalog(int node, Duration after, bool snapshot);
  void AnswerPoll(int node, int incarnation, const dispatch::PollRunner& poll,
                  TimePoint until, const dispatch::IncarnationId& waiting_at);
  /// The look gets no answer.
  void LosePoll(int node, int incarnation, const dispatch::PollRunner& poll);
  /// A look that got no answer comes to whatever runner is there by now.
  void DeliverLatePoll(const dispatch::PollRunner& poll);
  /// Tells the oracle of a look that a runner answered.
  void RecordPoll(const dispatch::PollRunner& poll,
                  const dispatch::RunnerPolled& answer,
                  const EmulatedRunner& runner);
  /// How late an order without an answer is carried out.
  Duration LateOrderDelay();
  /// Has a runner carry an order out that was sent at a moment.
  template <typename Answer>
  using OrderHandler = std::function<Answer(EmulatedRunner*, TimePoint)>;
  template <typename Answer, typename Order>
  void SendOrder(int node, const Order& order, Answer answer,
                 const OrderHandler<Answer>& execute);
  /// Sends an order at once, whatever its lane.
  template <typename Answer, typename Order>
  void SendOrderNow(int node, const Order& order, Answer answer,
                    const OrderHandler<Answer>& execute);
  /// Sends the next order of a lane, if there is one.
  void FinishOrder(int node, int incarnation,
                   const dispatch::IncarnationId& runner);
  void HandleResponse(const dispatch::RespondToCall& answer);
  void SendSubmit(const JobId& job);
  void SendCancel(const JobId& job);
  CallId SendCall(dispatch::CallReceived call,
                  std::function<void(const dispatch::RespondToCall*)> done);

  /// What a life of a runner says of itself when it begins.
  dispatch::RunnerInfo DescribeRunner(int index, int incarnation) const;
  void AddRunner(int index, int incarnation);
  void RemoveRunner(const RunnerId& runner, Duration down);
  /// Removes the runner at that address if a task crashed it by now.
  void DropIfCrashed(const std::string& address);
  /// The same for all of them.
  void DropCrashed();
  bool IsReachable(const RunnerId& runner) const;
  /// True if calls get through to the runner, and it answers them.
  bool Responds(const RunnerId& runner) const;
  /// True while any party is disturbed. Runners that leave as they said do not
  /// count.
  bool HasActiveFault() const;
  /// Has the oracle check what runs, again and again.
  void ScheduleCancelCheck();
  /// All runs that go on now.
  std::vector<RunName> ActiveRuns();
  /// Has the oracle check that the runner's hall is not to be emptied for long.
  void CheckHallNotDrained(const EmulatedRunner& runner,
                           const dispatch::StartRun& order);
  /// Has the oracle check what a runner that does not guard its room holds.
  void CheckCapacity(const EmulatedRunner& runner,
                     const dispatch::StartRun& order, TimePoint sent_at);
  /// Has the oracle check a start that a runner carried out.
  void CheckStart(const EmulatedRunner& runner, const dispatch::StartRun& order,
                  TimePoint sent_at);
  void Trace(const std::string& what);

  SystemOptions options_;
  std::mt19937_64 random_;
  TimePoint now_{1000};
  std::int64_t order_ = 0;
  std::priority_queue<Action> actions_;
  Faults faults_;
  EmulatedStore store_;
  std::map<std::string, TimePoint> partition_free_at_;
  int commits_ = 0;
  int polls_ = 0;
  ReducerUse reducer_use_;
  CrashCount crashes_;
  CapacityHistory capacity_history_;
  /// Halls that are to be emptied, and since when.
  std::map<HallId, TimePoint> drained_halls_;
  /// Entries of runners that crashed, until they lapse.
  std::map<RunnerId, std::pair<dispatch::RunnerInfo, TimePoint>>
      expiring_entries_;
  /// When a node last began or ceased to schedule.
  TimePoint leader_changed_at_;
  /// When entries of runners that began anew tell of them.
  std::map<RunnerId, TimePoint> listed_from_;
  /// Lives that began at each place.
  std::map<int, int> incarnations_;
  std::size_t longest_order_lane_ = 0;
  GangRegistry gang_registry_;
  dispatch::Catalog catalog_;
  std::vector<Process> processes_;
  std::map<RunnerId, std::unique_ptr<EmulatedRunner>> runners_;
  std::map<std::string, RunnerId> runner_at_;
  PromiseOracle oracle_;
  CallId last_call_;
  std::map<CallId, std::function<void(const dispatch::RespondToCall*)>> calls_;
  std::function<void(const std::string&)> trace_;
  std::int64_t last_job_ = 0;
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_SRC_EMULATOR_EMULATED_SYSTEM_H_
