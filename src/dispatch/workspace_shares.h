/// @file
/// What each workspace uses, for weighted fairness beyond the guarantees.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_WORKSPACE_SHARES_H_
#define LIMELEDGE_SRC_DISPATCH_WORKSPACE_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dispatch/job_spec.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// The largest of the fractions that `part` takes of the cores, memory and
/// accelerators of `total`. A resource of which `total` has none is ignored.
/// Safe from any thread.
double DominantFraction(const Resources& part, const Resources& total);

/// What the runs of a workspace take, and its guarantee.
struct WorkspaceUse {
  Resources used;
  std::int64_t guaranteed_accelerators = 0;
};

/// A waiting step as an order by shares sees it.
struct ShareRequest {
  WorkspaceId workspace;
  /// Needed by all waiting tasks of the step together.
  Resources need;
  /// Only steps of one group are reordered among each other; groups are
  /// consecutive.
  int group = 0;
  /// False for a step that keeps its place. What it needs still counts as used
  /// by its workspace.
  bool reorders = true;
};

/// Use of each workspace beyond its guarantee, as the larger of the present use
/// and an exponentially decayed average. The average alone would let a
/// workspace with little use so far take all free capacity before its use
/// shows; the present use alone would forget a workspace's runs as soon as they
/// end.
///
/// Thread safety: none; use it from one thread.
class WorkspaceShares {
 public:
  /// `window` is the time constant of the average. Precondition: positive.
  explicit WorkspaceShares(Duration window) : window_(window) {}

  /// Records the use of all workspaces from `now` on, out of `total`. The first
  /// record also sets the averages, since a new scheduler knows no earlier use.
  void Record(TimePoint now, const std::map<WorkspaceId, WorkspaceUse>& uses,
              const Resources& total);
  /// Adds runs that were started since the last record, so that they count at
  /// once.
  void AddStarted(const WorkspaceId& workspace, const Resources& need);

  /// Use beyond the guarantee, as a fraction of all capacity, over the weight,
  /// which is the number of guaranteed accelerators plus one. 0 for a workspace
  /// without a record.
  double WeightedUseOf(const WorkspaceId& workspace) const;
  /// Weighted use of each recorded workspace.
  std::map<WorkspaceId, double> WeightedUses() const;

  /// Returns the position of each step within its group, if each next step is
  /// that of the workspace with the smallest weighted use, including the steps
  /// before it. Steps of one workspace keep their order, and so do steps of
  /// workspaces with equal use.
  std::vector<int> Order(const std::vector<ShareRequest>& steps) const;

 private:
  struct Account {
    std::int64_t guaranteed_accelerators = 0;
    /// Fractions of the total.
    double present = 0;
    double average = 0;
  };
  /// Weighted use if the workspace used `more` of the total in addition.
  double WeightedUse(const Account& account, double more) const;

  Duration window_;
  std::optional<TimePoint> recorded_at_;
  Resources total_;
  std::map<WorkspaceId, Account> accounts_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_WORKSPACE_SHARES_H_
