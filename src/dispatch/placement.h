/// @file
/// Best-fit placement of tasks on the candidate runners of a planning pass.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PLACEMENT_H_
#define LIMELEDGE_SRC_DISPATCH_PLACEMENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/job.h"
#include "dispatch/runner.h"
#include "dispatch/runner_speeds.h"

namespace limeledge::dispatch {

/// A runner as a planning pass sees it.
struct Candidate {
  Runner* runner = nullptr;
  std::string rack;
  /// Index of the rack, from 0; set by `CandidatePool`.
  std::size_t rack_number = 0;
  /// The runner, or its whole rack, is reserved for urgent work.
  bool reserved = false;
  /// Capacity left after the decisions of this pass.
  Resources room;
  /// Capacity that will be freed by runs that are being stopped.
  Resources releasing;
  /// A run failed here recently, and none has succeeded since.
  bool suspect = false;
  /// A run failed here immediately after its start. One further run is enough
  /// to find out whether the runner still fails all runs; `tried` is set while
  /// there is one.
  bool may_fail_immediately = false;
  bool tried = false;
  /// A task suspected of crashing its runners is running here. Nothing else may
  /// be placed here meanwhile.
  bool on_probation = false;
  /// Work that a crash of the runner would lose, in weighted core-milliseconds.
  /// Set only when `Planner::Pass` needs it.
  std::int64_t work_at_risk = 0;
  /// Best-effort and latency-sensitive runs, including those placed by this
  /// pass.
  int best_effort_runs = 0;
  int latency_sensitive_runs = 0;
  /// The lasting pace of the runner; null while speeds are not in use.
  const PaceDistribution* pace = nullptr;
  /// Mean of `pace`.
  double log_pace = 0;
  /// Nothing is known of the runner's lasting pace, and no run measures it.
  bool unmeasured = false;

  int CountSharing(Sharing sharing) const {
    if (sharing == Sharing::kBestEffort) return best_effort_runs;
    return sharing == Sharing::kLatencySensitive ? latency_sensitive_runs : 0;
  }
};

/// Whether a request may use the racks reserved for urgent work.
enum class UrgentRacks { kOpen, kPreferred, kClosed };

/// How a request ranks runners by their lasting pace.
struct PacePreference {
  /// The chance to end in time by the pace of the slowest runner.
  OnTimeChance on_time;
  /// Ranks only large differences in that chance, so that the tasks are packed
  /// and do not compete with urgent work for the last percent.
  bool has_slack = false;
  /// Prefers runners of unknown pace, and may use one for each of them in racks
  /// that are closed to the request.
  bool measures_runners = false;
};

/// Describes the tasks to place and the constraints on their runners.
struct PlacementRequest {
  const StepSpec* step = nullptr;
  ServiceId service;
  int count = 1;
  /// Number of the step's tasks on each runner, for the limit per runner.
  std::map<RunnerId, int> tasks_per_runner;
  /// Runners to use only if no other is left; null for none.
  const std::set<IncarnationId>* avoided = nullptr;
  /// Allows runners away from the step's data and gangs spread over racks.
  bool ignore_locality = false;
  /// Restricts placement to these runners; null for any.
  const std::set<IncarnationId>* allowed = nullptr;
  /// Prefers runners that are usually faster. Not used with `pace`.
  bool prefers_fast = false;
  /// Not set while speeds are not in use.
  std::optional<PacePreference> pace;
  /// One more failure is final: skips runners that failed a run recently.
  bool is_last_attempt = false;
  /// The tasks are suspected of crashing their runners: prefers runners with
  /// the least work at risk.
  bool is_suspect = false;
  UrgentRacks urgent_racks = UrgentRacks::kOpen;
};

/// The runners that may be given work in this pass.
///
/// Thread safety: none; lives for one pass.
class CandidatePool {
 public:
  explicit CandidatePool(std::vector<Candidate> candidates);

  std::size_t rack_count() const { return free_accelerators_.size(); }

  std::vector<Candidate>& candidates() { return candidates_; }
  const std::vector<Candidate>& candidates() const { return candidates_; }

  /// Places all `count` tasks, or none if they do not all fit. Returns one
  /// candidate for each task and takes the capacity from it.
  std::vector<Candidate*> PlaceAll(const PlacementRequest& request);
  /// Places one task on the best candidate and takes the capacity from it.
  /// Returns null if the task fits nowhere.
  Candidate* PlaceOne(const PlacementRequest& request);

  /// Sorts the candidates, those that the request prefers first, and drops all
  /// beyond the first `limit`.
  void KeepBest(const PlacementRequest& request, std::size_t limit,
                std::vector<const Candidate*>* candidates) const;

  /// True if the free capacity of eligible runners, including what is reserved
  /// for others, fits the request's tasks `times` times.
  bool FitsMultiple(const PlacementRequest& request, int times) const;

  /// True if the request may use the candidate, regardless of its capacity.
  static bool MeetsConstraints(const Candidate& candidate,
                               const PlacementRequest& request);
  /// Number of the request's tasks that may be placed on the candidate if
  /// `room` is free there.
  static int CountTasks(const Candidate& candidate,
                        const PlacementRequest& request, const Resources& room);

 private:
  std::vector<Candidate*> PlaceWithin(
      const PlacementRequest& request,
      const std::vector<Candidate*>& candidates);
  void Take(Candidate* candidate, const StepSpec& step, bool is_suspect);

  std::vector<Candidate> candidates_;
  /// Free accelerators by rack number.
  std::vector<std::int64_t> free_accelerators_;
};

/// Number of tasks with the requirements `need` that fit in `room`, at most
/// `limit`.
int CountFitting(const Resources& need, const Resources& room, int limit);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PLACEMENT_H_
