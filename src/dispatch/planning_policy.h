/// @file
/// Policies that order the waiting steps and decide on preemption, backfill and
/// reservations. Selected by name.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PLANNING_POLICY_H_
#define LIMELEDGE_SRC_DISPATCH_PLANNING_POLICY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/job_spec.h"

namespace limeledge::dispatch {

/// State of a waiting step relative to its objective, in the order in which the
/// default policy places steps of one priority.
enum class DeadlineStatus {
  /// Late for so long that it is placed before all others of its priority.
  kOverdue,
  /// Can still finish by its objective.
  kOnTime,
  /// Cannot finish by its objective and is worth less.
  kLate,
  /// Finishing it earns nothing any more.
  kWorthless,
};

/// Attributes of a waiting step that a policy compares.
struct StepRank {
  StepName name;
  /// The step is urgent and fits in its workspace's guarantee.
  bool within_guarantee = false;
  /// The step is within its guarantee and has waited longer than a reservation
  /// lasts, so the guarantee is about to be missed.
  bool guarantee_expiring = false;
  int priority = 0;
  DeadlineStatus deadline_status = DeadlineStatus::kOnTime;
  std::int64_t accepted_wall_ms = 0;
  std::int64_t deadline_wall_ms = 0;
  /// The step is urgent and was not selected, since not all urgent steps can be
  /// in time.
  bool deferred = false;
  /// Position by the shares of the workspaces among the steps of equal priority
  /// and deadline status; 0 for all of them while room is not short.
  int share_position = 0;
};

/// Ordering, preemption and reservation rules of the planner. Guarantees hold
/// under every policy: steps within their guarantee are placed first and may
/// preempt others.
///
/// Thread safety: immutable.
class PlanningPolicy {
 public:
  virtual ~PlanningPolicy() = default;

  virtual std::string_view name() const = 0;
  /// True if `a` is placed before `b`; a strict ordering.
  virtual bool Precedes(const StepRank& a, const StepRank& b) const = 0;
  /// True if a step that does not fit blocks all later steps of its service.
  virtual bool ForbidsBackfill() const = 0;
  /// True if a step near its deadline may preempt lower priorities.
  virtual bool PreemptsNearDeadline() const = 0;
  /// True if urgent work beyond its guarantee may preempt lower priorities.
  virtual bool PreemptsBeyondGuarantee() const = 0;
  /// Number of gangs, at limit `limit`, that may have capacity reserved at
  /// once.
  virtual int MaxReservedGangs(int limit) const = 0;
  /// True if the policy uses `deferred` and `share_position`, and places
  /// worthless steps beyond their guarantee after all others.
  virtual bool SharesCapacity() const = 0;
};

/// True if `a` is placed before `b`. Steps within their guarantee precede all
/// others. Among those, steps whose guarantee is about to be missed come first,
/// oldest first; otherwise capacity freed for them could go to newer steps
/// again and again. Safe from any thread.
bool IsPlacedBefore(const PlanningPolicy& policy, const StepRank& a,
                    const StepRank& b);

/// The policy with that name; null if there is none. Safe from any thread.
const PlanningPolicy* FindPlanningPolicy(std::string_view name);
/// The policy used if none is named. Safe from any thread.
const PlanningPolicy& DefaultPlanningPolicy();
/// Names of all policies, the default first. Safe from any thread.
std::vector<std::string> PlanningPolicyNames();

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PLANNING_POLICY_H_
