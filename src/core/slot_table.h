/// @file
/// Which runner slots this instance may use, and how they do.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_SLOT_TABLE_H_
#define LIMELEDGE_SRC_CORE_SLOT_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/runner_protocol.h"
#include "core/target.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// How slots are divided between instances.
enum class SlotDivision {
  /// Every slot has its own owner by rendezvous hash: each instance has a few
  /// slots on nearly every runner.
  kBySlot,
  /// Every runner has one owner by rendezvous hash, who has all its slots.
  kByRunner,
};

/// One runner as seen by one instance.
struct RunnerState {
  RunnerInfo info;
  /// Slots that this instance owns now.
  int owned = 0;
  /// Slots that rest, because another instance owned them a moment ago.
  int resting = 0;
  TimePoint rest_until;
  int in_use = 0;
  int failures_in_a_row = 0;
  TimePoint avoid_until;
  bool heard_leaving = false;
  /// Mean service time, milliseconds.
  double mean_ms = 0;

  int usable(TimePoint now) const {
    return now < rest_until ? owned - resting : owned;
  }
  int free(TimePoint now) const { return usable(now) - in_use; }
};

/// Divides every runner's slots between the live instances without talking:
/// all compute the same owners from the same members. While they disagree, a
/// slot may have two owners for a moment; a slot that is new here rests first,
/// and the runner's own refusal is the last guard.
///
/// Thread safety: none; a plain value.
class SlotTable {
 public:
  explicit SlotTable(SlotDivision division) : division_(division) {}

  /// Takes up the present runners and members.
  void Update(TimePoint now, const InstanceId& self,
              const std::vector<InstanceId>& members,
              const std::map<RunnerId, RunnerInfo>& runners, Duration rest);

  /// Picks a runner with a free slot that is not in `tried`: the one with the
  /// most free slots, the faster one of equals. A runner that failed is left
  /// out until its time is over, and gets one call as a probe then.
  std::optional<RunnerId> Pick(TimePoint now,
                               const std::set<RunnerId>& tried) const;

  /// Notes that a call to the runner began or ended.
  void OnSent(const RunnerId& runner);
  /// Returns true when the runner is avoided from now on.
  bool OnReply(TimePoint now, const RunnerId& runner, RunnerOutcome outcome,
               Duration took);
  void MarkLeaving(const RunnerId& runner);

  /// Runners that are neither leaving nor unknown.
  int LiveRunners() const;
  int FreeSlots(TimePoint now) const;
  int OwnedSlots() const;
  /// Mean service time over all runners, milliseconds.
  double MeanServiceMs() const;
  const std::map<RunnerId, RunnerState>& runners() const { return runners_; }
  std::vector<RunnerId> Leaving() const;

 private:
  int CountOwned(const RunnerInfo& runner, const InstanceId& self,
                 const std::vector<InstanceId>& members) const;
  static bool MayUse(TimePoint now, const RunnerState& runner);

  SlotDivision division_;
  std::map<RunnerId, RunnerState> runners_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_SLOT_TABLE_H_
