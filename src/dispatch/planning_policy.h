/// @file
/// In which order waiting steps are placed, and what is done for those that do
/// not fit; chosen by name.
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

/// How a waiting step stands against its objective, in the order in which the
/// default policy serves steps of one priority.
enum class DeadlineStatus {
  /// It has been late for so long that nothing may overtake it any more.
  kOverdue,
  /// It can still be done by its objective.
  kOnTime,
  /// It can not, and is of less worth.
  kLate,
  /// It is of no worth any more.
  kWorthless,
};

/// What a policy may go by.
struct StepRank {
  StepName name;
  /// Urgent and within its workspace's guarantee.
  bool within_guarantee = false;
  /// Entitled, and waiting for longer than room that is made for it is kept:
  /// its guarantee runs out.
  bool guarantee_expiring = false;
  int priority = 0;
  DeadlineStatus deadline_status = DeadlineStatus::kOnTime;
  std::int64_t accepted_wall_ms = 0;
  std::int64_t deadline_wall_ms = 0;
};

/// A policy of the planner. Guarantees are kept whatever it says:
/// within_guarantee steps go first and may displace others.
///
/// Thread safety: immutable.
class PlanningPolicy {
 public:
  virtual ~PlanningPolicy() = default;

  virtual std::string_view name() const = 0;
  /// True if `a` is placed before `b`; a strict order.
  virtual bool Precedes(const StepRank& a, const StepRank& b) const = 0;
  /// True if nothing of a service overtakes a step that does not fit.
  virtual bool ForbidsBackfill() const = 0;
  /// True if a step that runs out of time may displace lower priorities.
  virtual bool PreemptsNearDeadline() const = 0;
  /// True if urgent work beyond its guarantee may displace other work.
  virtual bool PreemptsBeyondGuarantee() const = 0;
  /// Gangs that room is kept free for at once, of at most `most`.
  virtual int MaxReservedGangs(int most) const = 0;
};

/// True if `a` is placed before `b`: guarantees come before any policy. Steps
/// whose guarantee runs out go first, the oldest of them foremost, or the room
/// that others make way for would go to one within_guarantee step after the
/// other that came later. Safe from any thread.
bool IsPlacedBefore(const PlanningPolicy& policy, const StepRank& a,
                    const StepRank& b);

/// The policy of that name; null if there is none. Safe from any thread.
const PlanningPolicy* FindPlanningPolicy(std::string_view name);
/// The policy that is used when none is named. Safe from any thread.
const PlanningPolicy& DefaultPlanningPolicy();
/// Names of all policies, the default first. Safe from any thread.
std::vector<std::string> PlanningPolicyNames();

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PLANNING_POLICY_H_
