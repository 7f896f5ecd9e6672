/// @file
/// The reducer of one process: callers' desk, leadership, and the scheduler
/// while this process leads.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_NODE_H_
#define LIMELEDGE_SRC_DISPATCH_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "dispatch/catalog.h"
#include "dispatch/catalog_watcher.h"
#include "dispatch/effect.h"
#include "dispatch/event.h"
#include "dispatch/front_end.h"
#include "dispatch/leadership.h"
#include "dispatch/peer_check.h"
#include "dispatch/scheduler.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

struct NodeOptions {
  /// Names this life of the process.
  std::string name;
  LeadershipOptions leadership;
  SchedulerOptions scheduler;
  FrontEndOptions front_end;
  CatalogWatcherOptions catalog;
  PeerCheckOptions peers;
  /// Callers are served for this long after a stop was asked for: until the
  /// balancer has noticed, and well before the process is killed.
  Duration linger{3000};
  /// A process that comes to its work so much later than it asked for stood
  /// still, or its machine was suspended: half of the lease on scheduling.
  Duration stood_still{1000};
  /// The process ends after this even if the store takes no hand-over; less
  /// than the time after which it is killed.
  Duration max_shutdown_time{5000};
  /// Names the instance, whichever process lives on it.
  std::string instance;
  /// Where this node answers its peers; empty for nowhere.
  std::string peer_address;
};

/// Reduces events to effects. Deterministic: time comes with the event.
///
///     Node node(options);
///     for (Effect& effect : node.Reduce(event)) Perform(effect);
///     WakeAt(node.next_at());
///
/// Thread safety: none; use it from one thread.
class Node {
 public:
  explicit Node(NodeOptions options);

  /// Takes an event in and returns what is to be done. `event.now` never goes
  /// back.
  Effects Reduce(const Event& event);
  /// Takes events in that came together, in their order, and only then does
  /// what is due: a scheduler of a thousand runners gets hundreds of answers
  /// while it works on one.
  Effects ReduceAll(TimePoint now, std::int64_t wall_ms,
                    const std::vector<EventBody>& events);
  /// A `TimerFired` event is wanted at this moment, if nothing comes before.
  TimePoint next_at() const;

  bool leads() const { return scheduler_ != nullptr; }
  /// False while the store counts as lost to this node.
  bool StoreAnswers() const;
  /// Why the store does not answer this node, as far as that is known.
  StoreOutage store_loss() const { return peers_.outage(); }
  /// When the store last answered a call of this node.
  TimePoint store_answered_at() const { return patience_.answered_at(); }

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
  void Handle(Context& ctx, const CallReceived& event);
  void Handle(Context& ctx, const ShutdownRequested& event);
  void Handle(Context& ctx, const SettingsReloaded& event);
  void Handle(Context& ctx, const StateRequested& event);

  void Lead(Context& ctx, const Leadership::Claimed& claimed);
  void StepDown(Context& ctx, const char* reason);
  void Obey(Context& ctx, Scheduler::LeaseStatus verdict);
  /// Tells the scheduler if this process comes late to its work.
  void CheckStoodStill(Context& ctx);
  void UpdateReady(Context& ctx);

  /// Notes calls to the store as they are sent, and as they end.
  void WatchStore(const Effects& effects);
  void NoteStoreAnswer(Ticket ticket, StoreOutcome outcome);

  NodeOptions options_;
  Ticket tickets_;
  StoreTimeout patience_;
  Leadership leadership_;
  FrontEnd front_end_;
  PeerCheck peers_;
  std::unique_ptr<Scheduler> scheduler_;
  CatalogWatcher catalog_;
  bool ready_ = false;
  bool stopping_ = false;
  TimePoint stop_asked_at_;
  TimePoint last_event_at_;
  /// When the next event is due at the latest.
  std::optional<TimePoint> due_at_;
  bool exited_ = false;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_NODE_H_
