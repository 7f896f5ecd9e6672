/// @file
/// A simulation of nodes, store, runners and callers in virtual time, with
/// fault injection and an oracle.
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
#include "emulator/catalog_oracle.h"
#include "emulator/emulated_catalog.h"
#include "emulator/emulated_runner.h"
#include "emulator/emulated_store.h"
#include "emulator/promise_oracle.h"

namespace limeledge::emulator {

/// Time that the reducer of a node takes, in milliseconds. While it is busy,
/// events wait and are handled together.
struct ReducerCost {
  double per_event = 0;
  /// Per look of a planning pass at a runner or run.
  double per_look = 0;
};

/// Sizes and delays of an emulated system.
struct SystemOptions {
  std::uint64_t seed = 1;
  int nodes = 3;
  int runners = 8;
  int runners_per_rack = 4;
  dispatch::Resources room{64000, 262144, 8};
  RunnerBounds bounds;
  /// Lasting factors by which work takes longer on runners, repeated over the
  /// runner indexes; empty if all runners are alike.
  std::vector<double> runner_paces;
  /// Number of attempts that queues allow per task.
  int attempts = kMaxAttempts;
  /// Workspaces without a guarantee, in addition to that of `MakeCatalog`.
  std::vector<WorkspaceId> unguaranteed;
  /// Whether runners refuse starts that exceed their capacity; the catalog says
  /// the same of their service.
  bool enforces_capacity = true;
  /// Starts have to respect a reduced capacity this long after the change.
  Duration capacity_notice{4500};
  /// Time that the advice service takes for a request, and for each runner in
  /// it.
  Duration advice_time{100};
  Duration advice_time_per_runner;
  /// Objective of jobs in the urgent queue.
  double urgent_stretch = 3;
  Duration urgent_slack{1000};
  /// Options of the scheduler of every node.
  dispatch::RunnerSpeedUse runner_speeds = dispatch::RunnerSpeedUse::kAuto;
  dispatch::PlannerOptions planner;
  dispatch::MovesByGain moves_by_gain = dispatch::MovesByGain::kAuto;
  dispatch::JobRegistryOptions job_registry;
  dispatch::LossRules loss;
  dispatch::AdmissionOptions admission{dispatch::AdmissionUse::kAuto};
  /// Limits of the store, which all nodes know.
  dispatch::StoreLimits store_limits;
  /// One-way delay between any two parties.
  Duration network{1};
  Duration store_time{4};
  ReducerCost reducer_cost;
  /// Time that a transaction occupies its partition, in addition to
  /// `store_time`.
  Duration transaction_time{5};
  /// How long a runner stays down after a task crashed it, and how long its
  /// entry stays in the list after the crash.
  Duration crash_down{3400};
  Duration entry_expiry{4500};
  /// The entries of runners that cannot reach the store expire in the same way.
  /// Otherwise they are removed at once.
  bool cut_off_entries_expire = false;
  /// Restarted runners keep their ids. For `entry_lag` after a restart the list
  /// lacks the entry of the new incarnation; it may still contain that of the
  /// previous one, until that expires. Reported start times are off by a
  /// further `start_time_skew` with each incarnation.
  bool keeps_ids = false;
  Duration entry_lag;
  Duration start_time_skew;
  /// Runners say when they started.
  bool reports_start_times = true;
};

/// Faults that are injected at the moment.
struct Faults {
  bool store_down = false;
  /// Probability that the response to a call is lost after the call took
  /// effect. An order without a response takes effect within `late_order`.
  double store_answers_lost = 0;
  /// Probability that a write gets no response and is carried out late, if its
  /// conditions hold then.
  double store_writes_late = 0;
  double orders_lost = 0;
  /// Probability that a poll never arrives.
  double polls_lost = 0;
  /// Maximum and minimum delay after which a lost or repeated order, or a late
  /// poll, is executed.
  Duration late_order{0};
  Duration min_late_order{0};
  /// Probability that the first attempt of a start gets no response and is
  /// executed late, while the second attempt gets a response.
  double starts_repeated = 0;
  /// Probability that a poll gets no response and is executed late.
  double polls_late = 0;
  /// Delay of the answers to watches of tables: a node that has more to do than
  /// it can handles them late. `none` does not count it as a fault.
  Duration watch_delay;
  /// The same for changes of the list of runners.
  Duration runner_list_delay;
  /// Factor by which store calls take longer.
  int store_slowness = 1;
  std::set<int> nodes_without_store;
  /// Nodes whose calls the store answers with a refusal.
  std::set<int> refused_nodes;
  /// Partitions of the store that refuse calls while the others are available.
  std::set<std::string> partitions_down;
  std::set<RunnerId> unreachable_runners;
  /// Runners that are cut off like `unreachable_runners`, while connections to
  /// them are refused at once.
  std::set<RunnerId> refusing_runners;
  /// Runners that receive and answer nothing although the network is sound.
  /// They do not excuse a node that keeps starting tasks there.
  std::set<RunnerId> mute_runners;
  /// Runners that answer every call as busy, and do nothing.
  std::set<RunnerId> busy_runners;
  /// Runners that answer every start as busy, and do nothing, while they answer
  /// other calls.
  std::set<RunnerId> rejecting_runners;
  /// Time that a runner takes to answer an order, in addition to the network
  /// delay. `none` does not count it as a fault.
  Duration order_time;
  /// Unless it is 0, runners that are down do not refuse connections. Calls are
  /// sent again at this interval, so that the next incarnation carries out and
  /// answers those whose callers still wait. A poll that waits at a runner that
  /// goes down gets no response before the next incarnation is up. `none` does
  /// not count it as a fault.
  Duration resend_interval;
  /// Time that the answer to a poll takes, in addition to the network delay.
  /// Answers to orders may pass it. `none` does not count it as a fault.
  Duration poll_answer_time;
  /// Runners that keep serving without an entry in the list.
  std::set<RunnerId> unlisted_runners;
  /// Addresses that another writer has put into the entries of runners.
  std::map<RunnerId, std::string> overwritten_addresses;
  /// Nodes and runners that reach each other, but nothing else. The nodes have
  /// to be in `nodes_without_store` too.
  std::set<int> partitioned_nodes;
  std::set<RunnerId> partitioned_runners;

  /// True while no fault is active that may delay a node.
  bool none() const;
};

/// Damage done by tasks that crash their runners.
struct CrashCount {
  int crashes = 0;
  /// Unsaved work of other runs that was lost in the crashes, in
  /// core-milliseconds.
  double bystanders_work = 0;
};

/// Real time that the reducers of all nodes took, and events that they handled.
struct ReducerUse {
  std::chrono::nanoseconds time{0};
  std::int64_t events = 0;
};

/// A whole system in one thread. Violated invariants are collected in
/// `violations`.
///
/// Thread safety: none; use it from one thread.
class EmulatedSystem {
 public:
  explicit EmulatedSystem(SystemOptions options);
  ~EmulatedSystem();

  /// Advances virtual time by `time` and runs all actions that become due.
  void Run(Duration time);
  TimePoint now() const { return now_; }

  /// Submits a job at a random node, and retries with the same id until the job
  /// is accepted. Without a workspace in `spec`, the caller is of the workspace
  /// with a guarantee.
  JobId Submit(dispatch::JobSpec spec, std::vector<TaskTruth> truths);
  /// Submits a job at this node once, without retries.
  JobId SubmitOnce(int node, dispatch::JobSpec spec,
                   std::vector<TaskTruth> truths);
  /// Sends the submit of a job again, once.
  void SubmitAgain(int node, const JobId& job);
  /// Cancels a job at a random node, and retries until that is acknowledged.
  void Cancel(const JobId& job);
  /// Stops submitting a job and cancels it, whether or not it was accepted.
  void GiveUp(const JobId& job);
  /// Cancels a job at this node once, and returns the result; nothing if there
  /// is no response in time.
  std::optional<dispatch::CallResult> CancelAt(int node, const JobId& job);
  /// The job may start again: its caller submits it anew.
  void ForgetCancellation(const JobId& job) { oracle_.ForgetCancellation(job); }
  /// Number of waiting jobs in the ordinary queue as a node reports it; -1 if
  /// there is no response.
  std::int64_t CountWaitingJobs();
  /// The job's state as a node reports it; "gone" for an unknown job, empty if
  /// there is no response.
  std::string StateOf(const JobId& job);

  /// Publishes a version of the catalog with a further ordinary queue, or
  /// without that queue. Its path prefix is "/" + `name` + "/".
  void AddQueue(const std::string& name);
  void RemoveQueue(const std::string& name);
  /// The same with a further API key.
  void AddKey(const std::string& key);
  void RemoveKey(const std::string& key);
  /// Asks a node for the number of waiting jobs in the queue with this name, or
  /// in the ordinary queue by this key, and checks by which versions of the
  /// catalog it may have answered.
  void ProbeQueue(int node, const std::string& name);
  void ProbeKey(int node, const std::string& key);
  /// Results of all probes so far.
  const std::map<dispatch::CallResult, int>& probe_results() const {
    return probe_results_;
  }

  /// The state of a node as JSON, as its operator sees it. Precondition: the
  /// node runs and is not frozen.
  std::string DumpOf(int node);

  /// Sets a function that is called with a line of text for each log line of a
  /// node and for events such as starts, stops and crashes of runners.
  void SetTrace(std::function<void(const std::string&)> trace) {
    trace_ = std::move(trace);
    oracle_.SetTrace([this](const std::string& what) { Trace(what); });
  }

  Faults& faults() { return faults_; }
  EmulatedStore& store() { return store_; }
  /// Transactions that nodes sent, refused ones included.
  int commits() const { return commits_; }
  /// Reads that nodes sent in a lane, and rows that they returned.
  struct ReadCount {
    std::int64_t calls = 0;
    std::int64_t rows = 0;
  };
  ReadCount reads(dispatch::StoreLane lane) const {
    const auto found = reads_.find(lane);
    return found == reads_.end() ? ReadCount() : found->second;
  }
  /// Polls that nodes sent to runners, lost ones included.
  int polls() const { return polls_; }
  const ReducerUse& reducer_use() const { return reducer_use_; }
  const CrashCount& crashes() const { return crashes_; }
  /// Initial capacity of each runner.
  const dispatch::Resources& room() const { return options_.room; }
  /// Maximum number of orders to one runner that were in flight at a time. The
  /// starts of one run of a gang count as one.
  std::size_t most_orders_in_flight() const { return most_orders_in_flight_; }
  const std::vector<std::string>& violations() const {
    return oracle_.violations();
  }
  const std::map<JobId, JobWatch>& jobs() const { return oracle_.jobs(); }
  /// How a node judges the outage of the store. Precondition: the node runs.
  dispatch::StoreOutage StoreOutageAt(int node) const {
    return processes_[node].node->store_loss();
  }
  /// The first node that considers itself the leader; -1 if there is none.
  int leader() const;
  /// The node that claimed the lease last; -1 if there is none.
  int newest_leader() const { return newest_leader_; }
  /// The standbys of a node; empty if it does not lead.
  std::vector<int> StandbysOf(int node) const;

  /// Kills the process without a shutdown and restarts it after `down`.
  void KillNode(int node, Duration down);
  /// Kills the process without a shutdown and never restarts it.
  void RemoveNode(int node);
  /// Pauses the process for `time`; its calls in flight continue.
  void FreezeNode(int node, Duration time);
  /// Requests a shutdown of the process, which restarts after it has exited.
  void StopNode(int node);
  /// Ends the runner; a new incarnation starts at its address after `down`.
  void KillRunner(const RunnerId& runner, Duration down);
  /// Like `KillRunner`, but the runner's entry stays in the list until it
  /// expires.
  void CrashRunner(const RunnerId& runner, Duration down);
  /// The members of gangs on these runners lose contact to those on all others.
  /// The latter end as broken at once, the former after `noticed_after`.
  void SplitGangs(const std::set<RunnerId>& runners, Duration noticed_after);
  /// Drains a hall, or ends the drain, as an operator does.
  void SetDrained(const HallId& hall, bool drained);
  /// Changes the capacity of a running runner and of its entry in the list.
  void SetCapacity(const RunnerId& runner, const dispatch::Resources& room);
  /// The runner announces that it leaves, and is removed after `time`.
  void DrainRunner(const RunnerId& runner, Duration time);
  EmulatedRunner* FindRunner(const RunnerId& runner);
  std::vector<RunnerId> RunnerIds() const;

 private:
  /// The list of runners as a node last received it.
  struct RunnerListView {
    Revision revision;
    struct Entry {
      dispatch::StartTime start_time;
      bool draining = false;
      dispatch::Resources room;
      std::string address;

      friend bool operator==(const Entry& a, const Entry& b) {
        return std::tie(a.start_time, a.draining, a.room, a.address) ==
               std::tie(b.start_time, b.draining, b.room, b.address);
      }
    };
    static Entry EntryOf(const dispatch::RunnerInfo& info) {
      return {info.start_time, info.draining, info.room, info.address};
    }
    /// Contents of each runner's entry.
    std::map<RunnerId, Entry> entries;
  };
  struct CatalogWatch {
    std::int64_t number = 0;
    /// The response was lost, because the node is cut off from the store.
    bool lost = false;
  };
  struct Process {
    std::unique_ptr<dispatch::Node> node;
    /// Number of the current incarnation; responses to calls of previous ones
    /// are dropped.
    int incarnation = 0;
    TimePoint frozen_until;
    std::vector<dispatch::EventBody> held_events;
    /// The reducer handles a batch. Its effects follow at the end.
    bool busy = false;
    /// Events that wait for the reducer, and since when.
    std::vector<dispatch::EventBody> waiting_events;
    TimePoint waiting_since;
    /// Time that the reducer has taken and that was too short to be added.
    double unspent_ms = 0;
    bool ready = false;
    /// End of the last long pause, and whether the store has confirmed since
    /// then that the node holds the scheduler lease.
    TimePoint paused_until;
    bool leadership_confirmed = true;
    /// When each write that depends on the scheduler lease was sent.
    std::map<dispatch::Ticket, TimePoint> lease_writes;
    /// A shutdown was requested, and the process has not restarted.
    bool stopping = false;
    bool removed = false;
    /// The groups of the orders that are in flight to each runner.
    std::map<dispatch::IncarnationId, std::multiset<std::string>>
        orders_in_flight;
    TimePoint timer_at;
    RunnerListView runner_list;
    /// The long poll for changes of the catalog that is in progress.
    std::optional<CatalogWatch> catalog_watch;
    /// When a fault last kept the process from the store.
    TimePoint troubled_at;
  };
  /// A query of a peer that waits for the reply.
  struct PeerCall {
    int node = 0;
    int incarnation = 0;
    std::string address;
  };
  /// A call that a node passed on to another one.
  struct ForwardedCall {
    int node = 0;
    int incarnation = 0;
    std::string path;
    std::string address;
  };
  struct Action {
    TimePoint at;
    std::int64_t order = 0;
    std::function<void()> run;
    friend bool operator<(const Action& a, const Action& b) {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  /// A node's address consists of "n" and its number.
  static std::string AddressOf(int node);
  static int NodeAt(const std::string& address);
  /// Schedules an action for time `at`, or for now if that is past. Actions for
  /// the same time run in the order in which they were scheduled.
  void RunAt(TimePoint at, std::function<void()> run);
  /// Returns a random number in the range [0, 1).
  double RandomFraction();
  bool Happens(double probability) {
    return probability > 0 && RandomFraction() < probability;
  }

  void StartNode(int node);
  void Deliver(int node, int incarnation, dispatch::EventBody body);
  void Reduce(int node, const std::vector<dispatch::EventBody>& events);
  /// The time in which the node has handled a batch after which its planner has
  /// looked `looks` times in all.
  Duration TimeOfBatch(Process* process, std::size_t events,
                       std::int64_t looks) const;
  /// Performs the effects of a batch and handles the events that came
  /// meanwhile.
  void FinishBatch(int node, int incarnation, const dispatch::Effects& effects);
  /// Sets the timer for the next time at which the node has something to do.
  void SetTimer(int node);
  // Performs an effect of a node.
  void Perform(int node, const dispatch::CommitRows& commit);
  /// The write gets no response and is carried out late.
  void CommitLate(int node, const dispatch::CommitRows& commit,
                  const dispatch::CommitCompleted& lost);
  void Perform(int node, const dispatch::ReadRows& read);
  void Perform(int node, const dispatch::AwaitChanges& request);
  void Perform(int node, const dispatch::ReadCatalog&);
  void Perform(int node, const dispatch::AwaitCatalog& await);
  void Perform(int node, const dispatch::ListRunners& effect);
  dispatch::RunnersListed RegisteredRunners() const;
  dispatch::RunnersListed RunnerChanges(const RunnerListView& seen) const;
  static void Apply(const dispatch::RunnersListed& changes,
                    RunnerListView* seen);
  /// Responds once the list has changed or `until` has come.
  void WatchRunners(int node, int incarnation,
                    const dispatch::ListRunners& effect, TimePoint until);
  void Perform(int node, const dispatch::PollRunner& poll);
  void Perform(int node, const dispatch::StartRun& start);
  void Perform(int node, const dispatch::StopRun& stop);
  void Perform(int node, const dispatch::RequestAdvice& request);
  void Perform(int node, const dispatch::QueryPeer& request);
  void Perform(int node, const dispatch::RespondToPeer& response);
  void Perform(int node, const dispatch::ForwardCall& effect);
  /// Delivers the reply to a peer's query, unless it was answered or has timed
  /// out.
  void FinishPeerCall(CallId call, dispatch::PeerReplied reply);
  void Perform(int node, const dispatch::RespondToCall& answer);
  void Perform(int node, const dispatch::RespondWithState&);
  void Perform(int node, const dispatch::SetReady& effect);
  void Perform(int node, const dispatch::WriteLog& log);
  void Perform(int node, const dispatch::Exit&);
  /// Records store responses that show a node whether it still holds the
  /// scheduler lease.
  void RecordConfirmation(Process* process, const dispatch::EventBody& body);
  /// Reports a violation if a node acts on a runner after a long pause before
  /// it knows whether it still holds the scheduler lease.
  void CheckLeadershipConfirmed(int node, const char* what);
  /// True while the node's calls don't reach the store.
  bool IsCutOffFromStore(int node) const;
  bool IsPartitionDown(const std::string& partition) const {
    return faults_.partitions_down.count(partition) != 0;
  }
  /// Executes a call to the store after the simulated delays, and delivers its
  /// result, or `lost` at the timeout if the store or the response is lost.
  template <typename Answer>
  void CallStore(int node, Duration timeout, std::function<Answer()> execute,
                 Answer lost, Duration queued = Duration(0));
  void WatchChanges(int node, int incarnation,
                    const dispatch::AwaitChanges& effect, TimePoint until);
  /// Delivers the catalog after some time; without it, that it has not changed.
  void SendCatalog(int node, Duration after, bool has_catalog, bool from_watch);
  /// Ends the long poll for changes of the catalog if it is still in progress.
  void EndCatalogWatch(int node, int incarnation, std::int64_t number,
                       const dispatch::AwaitCatalog& await);
  /// Makes the next version of the catalog available.
  void PublishCatalog();
  void RecordCatalogVersion();
  /// Lets the watches of reachable nodes return.
  void DeliverCatalogChange();
  /// Calls a node for an entry of the catalog, and checks the answer.
  void Probe(int node, const std::string& entry, dispatch::CallReceived call);
  /// Records the processes that a fault keeps from the store.
  void RecordTroubledProcesses();
  bool IsInTouch(const Process& process) const;
  /// True if calls to the target are sent again until a runner is up at its
  /// address.
  bool IsResent(int node, const dispatch::OrderTarget& target);
  void AnswerPoll(int node, int incarnation, const dispatch::PollRunner& poll,
                  TimePoint until, const dispatch::IncarnationId& waiting_at);
  /// Sends a poll again to a runner that is down, unless its caller has stopped
  /// waiting, with the parameters of `AnswerPoll`.
  void ResendPoll(int node, int incarnation, const dispatch::PollRunner& poll,
                  TimePoint until, const dispatch::IncarnationId& waiting_at);
  /// The poll gets no response; its caller stops waiting at `at`.
  void LosePoll(int node, int incarnation, const dispatch::PollRunner& poll,
                TimePoint at);
  /// Delivers a poll that got no response to whatever runner is at its address
  /// now.
  void DeliverLatePoll(const dispatch::PollRunner& poll);
  /// Reports a poll that a runner answered to the oracle.
  void RecordPoll(const dispatch::PollRunner& poll,
                  const dispatch::RunnerPolled& answer,
                  const EmulatedRunner& runner);
  /// Returns a random delay for an order without a response.
  Duration LateOrderDelay();
  /// Makes a runner execute an order; the time is when the order was sent.
  template <typename Answer>
  using OrderHandler = std::function<Answer(EmulatedRunner*, TimePoint)>;
  /// Identifies the orders that may be in flight together: the starts of one
  /// run of a gang.
  std::string OrderGroupOf(const dispatch::StartRun& start);
  std::string OrderGroupOf(const dispatch::StopRun& stop);
  /// Sends an order and records it as in flight.
  template <typename Answer, typename Order>
  void SendOrder(int node, const Order& order, Answer answer,
                 const OrderHandler<Answer>& execute);
  template <typename Answer, typename Order>
  void SendOrderNow(int node, const Order& order, const std::string& group,
                    Answer answer, const OrderHandler<Answer>& execute);
  /// Lets an order arrive. While its runner is down it is sent again, until it
  /// arrives or `until` has come: then it is lost.
  void ArriveOrResend(int node, const dispatch::OrderTarget& target,
                      TimePoint until, const std::function<void()>& arrive,
                      const std::function<void()>& lose);
  /// Records that an order is no longer in flight.
  void FinishOrder(int node, int incarnation,
                   const dispatch::IncarnationId& runner,
                   const std::string& group);
  void HandleResponse(const dispatch::RespondToCall& answer);
  void SendSubmit(const JobId& job);
  /// The call that submits or cancels a job.
  dispatch::CallReceived MakeJobCall(dispatch::CallKind kind,
                                     const JobId& job) const;
  /// Records the response to a submit. Returns true if it was accepted.
  bool RecordSubmitted(const JobId& job, const dispatch::RespondToCall* answer);
  /// Records the response to a cancel. Returns true if it was acknowledged.
  bool RecordCancelled(const JobId& job, const dispatch::RespondToCall* answer);
  void SendCancel(const JobId& job);
  /// `done` gets null if there is no response in time.
  using CallDone = std::function<void(const dispatch::RespondToCall*)>;
  /// Sends the call to a random node that is ready, if there is one.
  CallId SendCall(dispatch::CallReceived call, CallDone done);
  CallId SendCallTo(int node, dispatch::CallReceived call, CallDone done);

  /// Returns what an incarnation of a runner reports about itself at its start.
  dispatch::RunnerInfo DescribeRunner(int index, int incarnation) const;
  void AddRunner(int index, int incarnation);
  void RemoveRunner(const RunnerId& runner, Duration down);
  /// Removes the runner at that address if a task has crashed it.
  void DropIfCrashed(const std::string& address);
  /// Removes all runners that a task has crashed.
  void DropCrashed();
  bool IsReachable(const RunnerId& runner) const;
  /// True if the runner can write its entry to the store.
  bool RenewsEntry(const RunnerId& runner) const {
    return IsReachable(runner) && faults_.unlisted_runners.count(runner) == 0;
  }
  /// True if the store has the entry of a runner that is running.
  bool HasEntry(const RunnerId& runner) const;
  /// Records which runners can renew their entries now.
  void RenewEntries();
  /// True if connections to the runner are refused although it is running.
  bool RefusesConnections(const RunnerId& runner) const {
    return faults_.refusing_runners.count(runner) != 0;
  }
  /// True if a partition separates the node from the runner.
  bool IsSeparated(int node, const RunnerId& runner) const {
    return (faults_.partitioned_nodes.count(node) != 0) !=
           (faults_.partitioned_runners.count(runner) != 0);
  }
  /// True if calls reach the runner and it answers them.
  bool Responds(const RunnerId& runner) const;
  /// True while a node is down, paused or shutting down, or a fault is
  /// injected. Runners that leave as announced do not count.
  bool HasActiveFault() const;
  /// Schedules the periodic check for runs of cancelled jobs.
  void ScheduleCancelCheck();
  /// Returns all active runs.
  std::vector<RunName> ActiveRuns();
  /// Reports a violation if the runner's hall was drained too long ago for the
  /// start.
  void CheckHallNotDrained(const EmulatedRunner& runner,
                           const dispatch::StartRun& order);
  /// Reports a violation if runners do not enforce their capacity and the start
  /// exceeds it.
  void CheckCapacity(const EmulatedRunner& runner,
                     const dispatch::StartRun& order, TimePoint sent_at);
  /// True if the runner carries out a call that was sent to an earlier
  /// incarnation, and no scheduler could have prevented that: either the runner
  /// or the scheduler has only just started.
  bool IsUnpreventable(const dispatch::OrderTarget& target,
                       const EmulatedRunner& runner) const;
  /// Checks a start that a runner executed, and reports it to the oracle.
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
  std::map<dispatch::StoreLane, ReadCount> reads_;
  int newest_leader_ = -1;
  int polls_ = 0;
  ReducerUse reducer_use_;
  CrashCount crashes_;
  CapacityHistory capacity_history_;
  /// Drained halls, and since when.
  std::map<HallId, TimePoint> drained_halls_;
  /// Entries of crashed runners, and when they expire.
  std::map<RunnerId, std::pair<dispatch::RunnerInfo, TimePoint>>
      expiring_entries_;
  /// When each runner was last able to renew its entry.
  std::map<RunnerId, TimePoint> entry_renewed_at_;
  /// When a node last became or ceased to be the leader.
  TimePoint leader_changed_at_;
  /// From when on the list contains the entry of a restarted runner.
  std::map<RunnerId, TimePoint> listed_from_;
  /// Number of the newest incarnation of each runner index.
  std::map<int, int> incarnations_;
  std::size_t most_orders_in_flight_ = 0;
  std::int64_t last_order_ = 0;
  GangRegistry gang_registry_;
  dispatch::Catalog catalog_;
  /// Number of changes of the catalog.
  Revision catalog_revision_;
  std::int64_t last_catalog_watch_ = 0;
  CatalogOracle catalog_oracle_;
  std::map<dispatch::CallResult, int> probe_results_;
  std::map<CallId, ForwardedCall> forwarded_calls_;
  std::map<CallId, PeerCall> peer_calls_;
  CallId last_peer_call_;
  std::vector<Process> processes_;
  std::map<RunnerId, std::unique_ptr<EmulatedRunner>> runners_;
  std::map<std::string, RunnerId> runner_at_;
  PromiseOracle oracle_;
  CallId last_call_;
  std::map<CallId, CallDone> calls_;
  std::function<void(const std::string&)> trace_;
  std::string state_dump_;
  std::int64_t last_job_ = 0;
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_SRC_EMULATOR_EMULATED_SYSTEM_H_
