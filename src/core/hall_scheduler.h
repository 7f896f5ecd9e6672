/// @file
/// Decides which waiting jobs of a hall start, and who makes way.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_HALL_SCHEDULER_H_
#define LIMELEDGE_SRC_CORE_HALL_SCHEDULER_H_

#include <map>
#include <string>
#include <vector>

#include "core/context.h"
#include "core/gang_keeper.h"
#include "core/planning_pass.h"
#include "core/transition_writer.h"

namespace limeledge {

/// Room of a hall as the last pass saw it.
struct HallRoom {
  int free_accelerators = 0;
  int usable_accelerators = 0;
  /// Free accelerators in pieces too small for a member of the largest
  /// waiting gang.
  int stranded_accelerators = 0;
  int waiting_jobs = 0;
  /// Most free accelerators on one worker.
  int largest_free = 0;
  bool guarantees_at_risk = false;
};

/// Runs planning passes over the waiting jobs of one hall.
///
/// Thread safety: none; belongs to the reducer.
class HallScheduler {
 public:
  explicit HallScheduler(HallId hall) : hall_(std::move(hall)) {}

  void BeginEpoch();
  /// Makes the next `Run` plan.
  void SetDue() { due_ = true; }
  /// The same after a change of settings: jobs may have become impossible.
  void OnSettingsChanged();

  /// Plans when something changed or time is due.
  /// Precondition: `right.may_start`.
  void Run(Context& ctx, const HallRight& right, GangKeeper* keeper,
           TransitionWriter* writer);

  /// Why a job waits, as the last pass said; empty when it did not.
  std::string WhyWaiting(const JobId& job) const;
  const HallRoom& room() const { return room_; }

 private:
  /// What is known of a waiting job beyond its row.
  struct Waiter {
    TimePoint since;
    std::string why;
    TimePoint written_at;
    /// When accelerators began to be reclaimed for it.
    bool reclaiming = false;
    TimePoint reclaim_since;
  };

  PassInput BuildInput(Context& ctx, const GangKeeper& keeper,
                       const TransitionWriter& writer);
  HallView BuildView(const Context& ctx, const GangKeeper& keeper) const;
  void AddHeld(const Context& ctx, const JobRow& job, const GangKeeper& keeper,
               PassInput* input) const;
  void AddQueued(const Context& ctx, const JobRow& job,
                 const GangKeeper& keeper, PassInput* input);
  static void AddShares(PassInput* input);
  /// Plans once more with the shadow policies and counts where they differ.
  static void RunShadow(Context& ctx, PassInput input,
                        const PassResult& result);
  void Start(Context& ctx, const HallRight& right, const PlannedStart& start,
             GangKeeper* keeper, TransitionWriter* writer);
  void NoteWait(Context& ctx, const PlannedWait& wait);
  void WriteReasons(Context& ctx, const HallRight& right,
                    TransitionWriter* writer);
  bool MaybeMove(Context& ctx, const HallRight& right, const JobRow& job,
                 TransitionWriter* writer);
  void EndImpossible(Context& ctx, const HallRight& right,
                     TransitionWriter* writer);
  void MeasureRoom(const PassInput& input);
  void ForgetOthers(const PassInput& input);

  HallId hall_;
  bool due_ = true;
  bool admission_due_ = true;
  TimePoint planned_at_;
  TimePoint reasons_at_;
  std::map<JobId, Waiter> waiters_;
  HallRoom room_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_HALL_SCHEDULER_H_
