/// @file
/// The policies of the planner.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/planning_policy.h"

#include <array>
#include <tuple>

namespace limeledge::dispatch {

namespace {

/// By priority, outlook and time left; displaces for what is urgent or runs out
/// of time. What can be in time goes before what is late: under load, each late
/// step that goes first makes the next one late. On the most loaded of fourteen
/// days, gangs of a middle queue earned 0.46 of what they could by it, 0.33
/// without.
class DeadlinePolicy : public PlanningPolicy {
 public:
  std::string_view name() const override { return "deadline"; }
  bool GoesBefore(const WaitingStep& a, const WaitingStep& b) const override {
    // Outlooks are declared in the order in which they are served.
    return std::tie(a.priority, a.outlook, a.deadline_wall_ms, a.name) <
           std::tie(b.priority, b.outlook, b.deadline_wall_ms, b.name);
  }
  bool LetsNothingOvertake() const override { return false; }
  bool DisplacesUnderPressure() const override { return true; }
  bool DisplacesBeyondGuarantee() const override { return true; }
  int KeptGangs(int most) const override { return most; }
};

/// By age alone; a baseline. Nothing overtakes what does not fit.
class FifoPolicy : public PlanningPolicy {
 public:
  std::string_view name() const override { return "fifo"; }
  bool GoesBefore(const WaitingStep& a, const WaitingStep& b) const override {
    return std::tie(a.accepted_wall_ms, a.name) <
           std::tie(b.accepted_wall_ms, b.name);
  }
  bool LetsNothingOvertake() const override { return true; }
  bool DisplacesUnderPressure() const override { return false; }
  bool DisplacesBeyondGuarantee() const override { return false; }
  int KeptGangs(int) const override { return 0; }
};

/// By age, but what fits overtakes; room is kept for the oldest gang only.
class BackfillPolicy : public FifoPolicy {
 public:
  std::string_view name() const override { return "backfill"; }
  bool LetsNothingOvertake() const override { return false; }
  int KeptGangs(int) const override { return 1; }
};

const std::array<const PlanningPolicy*, 3>& AllPolicies() {
  static const DeadlinePolicy* const deadline = new DeadlinePolicy;
  static const FifoPolicy* const fifo = new FifoPolicy;
  static const BackfillPolicy* const backfill = new BackfillPolicy;
  static const auto* const all =
      new std::array<const PlanningPolicy*, 3>{deadline, fifo, backfill};
  return *all;
}

}  // namespace

bool IsPlacedBefore(const PlanningPolicy& policy, const WaitingStep& a,
                    const WaitingStep& b) {
  if (a.entitled != b.entitled) return a.entitled;
  if (a.guarantee_runs_out != b.guarantee_runs_out) {
    return a.guarantee_runs_out;
  }
  if (a.guarantee_runs_out) {
    return std::tie(a.accepted_wall_ms, a.name) <
           std::tie(b.accepted_wall_ms, b.name);
  }
  return policy.GoesBefore(a, b);
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
