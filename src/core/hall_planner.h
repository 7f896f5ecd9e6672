/// @file
/// Plans one hall: holds its epoch, schedules its jobs, keeps its gangs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_HALL_PLANNER_H_
#define LIMELEDGE_SRC_CORE_HALL_PLANNER_H_

#include <optional>
#include <string>

#include "core/context.h"
#include "core/gang_keeper.h"
#include "core/hall_scheduler.h"
#include "core/transition_writer.h"
#include "limeledge/ownership.h"

namespace limeledge {

/// The planner of one hall inside one instance. It acts only while the
/// instance holds the hall.
///
/// Thread safety: none; belongs to the reducer.
class HallPlanner {
 public:
  HallPlanner(const HallId& hall, const Identity& self,
              const SystemSettings& system);

  /// Claims, renews or releases the hall as needed; call it on every tick.
  void AdvanceOwnership(Context& ctx);
  /// Takes up the hall's record from the mirror.
  void OnHallRow(Context& ctx);
  void OnOwnershipWritten(Context& ctx, const OwnershipWrite& write,
                          IntentOutcome outcome, Revision revision);
  void OnTransitionFinished(Context& ctx, const JobTransition& transition,
                            IntentOutcome outcome);

  void OnJobChanged(Context& ctx, const MirrorChange& change);
  void OnWorkerReply(Context& ctx, const WorkerReplied& reply);
  void OnWorkerChanged(const WorkerId& worker);
  void OnTargetsChanged() { scheduler_.SetDue(); }
  void OnSettingsChanged(const SystemSettings& system);

  /// Does what is due. Call it after every event; `all` takes in what depends
  /// on time alone.
  void Advance(Context& ctx, bool all);

  bool HoldsAt(TimePoint now) const { return ownership_.HoldsAt(now); }
  bool named() const { return ownership_.named(); }
  const HallId& hall() const { return hall_; }
  const OwnershipRecord& record() const { return ownership_.record(); }
  /// Precondition: `named()`.
  HallDigest Digest() const;
  const HallScheduler& scheduler() const { return scheduler_; }
  const GangKeeper& keeper() const { return keeper_; }

 private:
  /// Starts afresh when this instance has learned of a new epoch of its own.
  void MaybeBeginEpoch(Context& ctx);
  HallRight Right(const Context& ctx) const;
  bool IsPreferred(const Context& ctx);
  void PushOwnership(Context& ctx, OwnershipAction action);

  HallId hall_;
  Ownership ownership_;
  /// The last epoch that was begun here.
  Epoch begun_;
  bool write_in_flight_ = false;
  /// Since when another member has been the preferred holder.
  std::optional<TimePoint> unpreferred_since_;
  TransitionWriter writer_;
  GangKeeper keeper_;
  HallScheduler scheduler_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_HALL_PLANNER_H_
