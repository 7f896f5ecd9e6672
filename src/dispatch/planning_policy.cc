/// @file
/// The planning policies.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/planning_policy.h"

#include <array>
#include <tuple>

namespace limeledge::dispatch {

namespace {

/// Orders by priority, deadline status and deadline; preempts for urgent work
/// and near deadlines. On-time steps precede late ones: under load, placing a
/// late step first makes the next one late as well.
class DeadlinePolicy : public PlanningPolicy {
 public:
  std::string_view name() const override { return "deadline"; }
  bool Precedes(const StepRank& a, const StepRank& b) const override {
    // `DeadlineStatus` values are declared in the order of placement.
    return std::tie(a.priority, a.deadline_status, a.deadline_wall_ms, a.name) <
           std::tie(b.priority, b.deadline_status, b.deadline_wall_ms, b.name);
  }
  bool ForbidsBackfill() const override { return false; }
  bool PreemptsNearDeadline() const override { return true; }
  bool PreemptsBeyondGuarantee() const override { return true; }
  int MaxReservedGangs(int limit) const override { return limit; }
  bool SharesCapacity() const override { return false; }
};

/// Like `DeadlinePolicy`, but defers urgent steps that were not selected, and
/// orders by the shares of workspaces before deadlines.
class SharePolicy : public DeadlinePolicy {
 public:
  std::string_view name() const override { return "share"; }
  bool Precedes(const StepRank& a, const StepRank& b) const override {
    const int group_of_a = GroupOf(a);
    const int group_of_b = GroupOf(b);
    return std::tie(a.priority, group_of_a, a.share_position,
                    a.deadline_wall_ms,
                    a.name) < std::tie(b.priority, group_of_b, b.share_position,
                                       b.deadline_wall_ms, b.name);
  }
  bool SharesCapacity() const override { return true; }

 private:
  /// The deadline status, with deferred steps between those on time and those
  /// that are late.
  static int GroupOf(const StepRank& rank) {
    const bool deferred =
        rank.deferred && rank.deadline_status == DeadlineStatus::kOnTime;
    return 2 * static_cast<int>(rank.deadline_status) + (deferred ? 1 : 0);
  }
};

/// First in, first out, without backfill; a baseline.
class FifoPolicy : public PlanningPolicy {
 public:
  std::string_view name() const override { return "fifo"; }
  bool Precedes(const StepRank& a, const StepRank& b) const override {
    return std::tie(a.accepted_wall_ms, a.name) <
           std::tie(b.accepted_wall_ms, b.name);
  }
  bool ForbidsBackfill() const override { return true; }
  bool PreemptsNearDeadline() const override { return false; }
  bool PreemptsBeyondGuarantee() const override { return false; }
  int MaxReservedGangs(int) const override { return 0; }
  bool SharesCapacity() const override { return false; }
};

/// Like `FifoPolicy`, but with backfill; reserves capacity for the first gang
/// that does not fit.
class BackfillPolicy : public FifoPolicy {
 public:
  std::string_view name() const override { return "backfill"; }
  bool ForbidsBackfill() const override { return false; }
  int MaxReservedGangs(int) const override { return 1; }
};

const std::array<const PlanningPolicy*, 4>& AllPolicies() {
  static const DeadlinePolicy* const deadline = new DeadlinePolicy;
  static const FifoPolicy* const fifo = new FifoPolicy;
  static const BackfillPolicy* const backfill = new BackfillPolicy;
  static const SharePolicy* const share = new SharePolicy;
  static const auto* const all =
      new std::array<const PlanningPolicy*, 4>{deadline, fifo, backfill, share};
  return *all;
}

}  // namespace

bool IsPlacedBefore(const PlanningPolicy& policy, const StepRank& a,
                    const StepRank& b) {
  if (a.within_guarantee != b.within_guarantee) return a.within_guarantee;
  if (a.guarantee_expiring != b.guarantee_expiring) {
    return a.guarantee_expiring;
  }
  if (a.guarantee_expiring) {
    return std::tie(a.accepted_wall_ms, a.name) <
           std::tie(b.accepted_wall_ms, b.name);
  }
  return policy.Precedes(a, b);
}

const PlanningPolicy* FindPlanningPolicy(std::string_view name) {
  for (const PlanningPolicy* policy : AllPolicies()) {
    if (policy->name() == name) return policy;
  }
  return nullptr;
}

const PlanningPolicy& DefaultPlanningPolicy() { return *AllPolicies().front(); }

std::vector<std::string> PlanningPolicyNames() {
  std::vector<std::string> names;
  for (const PlanningPolicy* policy : AllPolicies()) {
    names.emplace_back(policy->name());
  }
  return names;
}

}  // namespace limeledge::dispatch
