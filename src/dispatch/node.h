/// @file
/// The reducer of one process: the front end, leader election, and the
/// scheduler while this process is the leader.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_NODE_H_
#define LIMELEDGE_SRC_DISPATCH_NODE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/catalog.h"
#include "dispatch/catalog_watcher.h"
#include "dispatch/effect.h"
#include "dispatch/event.h"
#include "dispatch/evidence_gate.h"
#include "dispatch/front_end.h"
#include "dispatch/held_calls.h"
#include "dispatch/leadership.h"
#include "dispatch/peer_check.h"
#include "dispatch/reducer_load.h"
#include "dispatch/scheduler.h"
#include "dispatch/standby_keeper.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

struct NodeOptions {
  /// Identifies this incarnation of the process.
  std::string name;
  LeadershipOptions leadership;
  SchedulerOptions scheduler;
  FrontEndOptions front_end;
  AdmissionOptions admission;
  CatalogWatcherOptions catalog;
  PeerCheckOptions peers;
  StandbyOptions standbys;
  EvidenceGateOptions evidence;
  /// A call that this node's catalog is too old to decide is held this long
  /// until a newer one is read.
  Duration max_catalog_wait{600};
  /// How long callers are still served after a shutdown request: long enough
  /// for the load balancer to notice, and well before the process is killed.
  Duration linger{3000};
  /// An event that comes this much later than requested shows that the process
  /// was paused or its machine suspended. Shorter than the scheduler lease,
  /// which another node may take over during a longer pause.
  Duration max_pause{1000};
  /// The process ends this long after a shutdown request even if the store did
  /// not accept the release of the lease. Shorter than the time after which the
  /// process is killed.
  Duration max_shutdown_time{5000};
  /// Identifies the instance, across all incarnations of its process.
  std::string instance;
  /// HOST:PORT at which peers reach this node; empty for none.
  std::string peer_address;
  HallId hall;
  /// Replaces the limits in the options of all components.
  StoreLimits store_limits;
};

/// Reduces events to effects. Deterministic: the only clock is the time in the
/// events.
///
///     Node node(options);
///     for (Effect& effect : node.Reduce(event)) Perform(effect);
///     WakeAt(node.next_at());
///
/// Thread safety: none; use it from one thread.
class Node {
 public:
  explicit Node(NodeOptions options);

  /// Processes an event and returns its effects. `event.now` must not decrease
  /// from one call to the next.
  Effects Reduce(const Event& event);
  /// Processes a batch of events in order, then does the due work once. With a
  /// thousand runners, hundreds of responses arrive while one is processed.
  Effects ReduceAll(TimePoint now, std::int64_t wall_ms,
                    const std::vector<EventBody>& events);
  /// Records how long the batch of the previous call of `ReduceAll` waited and
  /// took. While this node leads, late batches are logged.
  void RecordBatch(const BatchTime& batch) {
    load_.Record(batch);
    if (scheduler_ != nullptr) scheduler_->RecordBatch(batch.taken);
  }
  /// When the next `TimerFired` event is needed, unless another event comes
  /// first.
  TimePoint next_at() const;

  bool leads() const { return scheduler_ != nullptr; }
  /// The default unless this node leads.
  SpeedStatus speed_status() const {
    return leads() ? scheduler_->speed_status() : SpeedStatus();
  }
  /// The default unless this node leads.
  PlanningUse planning_use() const {
    return leads() ? scheduler_->planning_use() : PlanningUse();
  }
  /// False while this node considers the store unavailable.
  bool StoreAnswers() const;
  /// The catalog in force; 0 if there is none yet.
  CatalogVersion catalog_version() const { return catalog_.version(); }
  /// Whether a store outage affects only this node, as far as peers could tell.
  StoreOutage store_loss() const { return peers_.outage(); }
  /// Addresses of the standbys; empty unless this node leads.
  std::vector<std::string> standbys() const {
    return standbys_.has_value() ? standbys_->standbys()
                                 : std::vector<std::string>();
  }

 private:
  void Handle(Context& ctx, const TimerFired& event);
  void Handle(Context& ctx, const CommitCompleted& event);
  void Handle(Context& ctx, const ReadCompleted& event);
  void Handle(Context& ctx, const ChangesReceived& event);
  void Handle(Context& ctx, const CatalogReceived& event);
  void Handle(Context& ctx, const RunnersListed& event);
  void Handle(Context& ctx, const RunnerPolled& event);
  void Handle(Context& ctx, const StartRunCompleted& event);
  void Handle(Context& ctx, const StopRunCompleted& event);
  void Handle(Context& ctx, const AdviceReceived& event);
  void Handle(Context& ctx, const PeerReplied& event);
  void Handle(Context& ctx, const PeerQueried& event);
  void Handle(Context& ctx, const CallReceived& event);
  void Handle(Context& ctx, const ForwardCompleted& event);
  void Handle(Context& ctx, const ShutdownRequested& event);
  void Handle(Context& ctx, const SettingsReloaded& event);
  void Handle(Context& ctx, const StateRequested& event);

  void BecomeLeader(Context& ctx, const Leadership::Claimed& claimed);
  void StepDown(Context& ctx, const char* reason);
  /// Steps down unless this node still holds the scheduler lease.
  void CheckLease(Context& ctx, Scheduler::LeaseStatus status);
  /// The number of nodes as last known; 0 if unknown.
  std::int64_t NodeCount() const;
  /// Notifies the front end and the scheduler if this process was paused.
  void CheckForProcessPause(Context& ctx);
  /// True if the catalog is too old to decide the call, and it may still become
  /// possible to read a newer one or to pass the call on.
  bool AwaitsCatalog(const CallReceived& call) const;
  /// Handles an API call, or holds it if it awaits a newer catalog.
  void HandleCall(Context& ctx, const CallReceived& call, bool store_answers);
  /// Passes an API call to the front end, with the newest forecast that this
  /// node knows.
  void DecideCall(Context& ctx, const CallReceived& call, bool store_answers);
  /// Handles the held calls for which the state of the store, or a new enough
  /// catalog, is known by now.
  void ReleaseHeldCalls(Context& ctx);
  /// Asks peers about the store, and maintains the standbys while leading.
  void WorkOnPeers(Context& ctx);
  /// Responds to the peers whose questions can be answered by now.
  void RespondToPeers(Context& ctx);
  /// Sets the readiness and logs changes of it.
  void UpdateReady(Context& ctx);

  /// Record requests to the store and their responses, for `store_timeout_`.
  void RecordStoreRequests(const Effects& effects);
  void RecordStoreResponse(Ticket ticket, StoreOutcome outcome);

  NodeOptions options_;
  Ticket tickets_;
  StoreTimeout store_timeout_;
  Leadership leadership_;
  FrontEnd front_end_;
  PeerCheck peers_;
  EvidenceGate evidence_gate_;
  HeldCalls calls_awaiting_catalog_;
  /// A peer that waits until a probe shows whether the store answers.
  struct WaitingPeer {
    CallId call;
    TimePoint since;
  };
  std::vector<WaitingPeer> waiting_peers_;
  std::unique_ptr<Scheduler> scheduler_;
  /// Set while this node leads.
  std::optional<StandbyKeeper> standbys_;
  CatalogWatcher catalog_;
  ReducerLoad load_;
  bool ready_ = false;
  bool shutting_down_ = false;
  TimePoint shutdown_requested_at_;
  TimePoint last_event_at_;
  /// The `next_at()` of the last call; an event later than this shows a pause.
  std::optional<TimePoint> next_event_due_at_;
  bool exited_ = false;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_NODE_H_
