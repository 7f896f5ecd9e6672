/// @file
/// Chooses runners for tasks, over a view of the room that a pass uses up.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PLACEMENT_H_
#define LIMELEDGE_SRC_DISPATCH_PLACEMENT_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dispatch/job.h"
#include "dispatch/runner.h"

namespace limeledge::dispatch {

/// A runner as one pass sees it.
struct Candidate {
  Runner* runner = nullptr;
  std::string rack;
  /// The same rack as a number from 0; set by the pool.
  std::size_t rack_number = 0;
  /// The rack is set apart for urgent work.
  bool urgent_rack = false;
  /// What is left after all that this pass decided on.
  Resources room;
  /// Room that runs which are being stopped, or end soon, will give back.
  Resources releasing;
  /// A run failed there lately, and none was done since.
  bool suspect = false;
  /// A run failed there as soon as it had begun. One other run is enough to
  /// tell whether it still fails all that it starts: `tried` once there is one.
  bool may_fail_immediately = false;
  bool tried = false;
  /// A task that may crash its runners is being tried there, and nothing is to
  /// be put beside it meanwhile.
  bool on_probation = false;
  /// Work that would be lost with the runner, in core-milliseconds; only known
  /// once `Planner::Pass` needs it.
  std::int64_t work_at_risk = 0;
  /// Runs there that share the processors in some way, with those that this
  /// pass decided on.
  int best_effort_runs = 0;
  int latency_sensitive_runs = 0;

  int CountSharing(Sharing sharing) const {
    if (sharing == Sharing::kBestEffort) return best_effort_runs;
    return sharing == Sharing::kLatencySensitive ? latency_sensitive_runs : 0;
  }
};

/// How a request stands to the racks that are set apart for urgent work.
enum class UrgentRacks { kOpen, kPreferred, kClosed };

/// What is looked for.
struct PlacementRequest {
  const StepSpec* step = nullptr;
  ServiceId service;
  int count = 1;
  /// Runners of the step's tasks now, for the limit on each.
  std::map<RunnerId, int> tasks_per_runner;
  /// Runners to pass over while there are others; null for none.
  const std::set<IncarnationId>* avoided = nullptr;
  /// Runners outside the rack with the data, or in several racks, are taken
  /// too.
  bool ignore_locality = false;
  /// Only these runners may be tasks_per_runner; null for any.
  const std::set<IncarnationId>* allowed = nullptr;
  /// Runners that are usually faster go first.
  bool prefers_fast = false;
  /// A further failure is final: runners that may fail the tasks are passed
  /// over.
  bool is_last_attempt = false;
  /// The tasks may crash their runners: those go first on which the least work
  /// is at risk.
  bool is_suspect = false;
  UrgentRacks urgent_racks = UrgentRacks::kOpen;
};

/// The runners that may be given work now.
///
/// Thread safety: none; lives for one pass.
class CandidatePool {
 public:
  explicit CandidatePool(std::vector<Candidate> candidates);

  std::size_t rack_count() const { return free_accelerators_.size(); }

  std::vector<Candidate>& candidates() { return seats_; }
  const std::vector<Candidate>& candidates() const { return seats_; }

  /// One candidate for each of `count` tasks, or none at all. Takes their room.
  std::vector<Candidate*> PlaceAll(const PlacementRequest& request);
  /// The best candidate for one task; null if it fits nowhere. Takes its room.
  Candidate* PlaceOne(const PlacementRequest& request);

  /// True if suitable runners have room for the request's tasks so many times
  /// over, were nothing kept free for others.
  bool FitsMultiple(const PlacementRequest& request, int times) const;

  /// True if the candidate is one that the request allows, whatever its room.
  static bool MeetsConstraints(const Candidate& candidate,
                               const PlacementRequest& request);

 private:
  std::vector<Candidate*> PlaceWithin(
      const PlacementRequest& request,
      const std::vector<Candidate*>& candidates);
  void Take(Candidate* candidate, const StepSpec& step, bool is_suspect);

  std::vector<Candidate> seats_;
  /// Free accelerators of each rack, by its number.
  std::vector<std::int64_t> free_accelerators_;
};

/// How many tasks of `need` fit in `room`, at most `limit`.
int CountFitting(const Resources& need, const Resources& room, int limit);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PLACEMENT_H_
