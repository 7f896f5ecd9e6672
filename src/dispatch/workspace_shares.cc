/// @file
/// Sliding use of the workspaces and the order by shares.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/workspace_shares.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

namespace limeledge::dispatch {

namespace {

double Fraction(std::int64_t part, std::int64_t total) {
  if (total <= 0) return 0;
  return static_cast<double>(part) / static_cast<double>(total);
}

}  // namespace

double DominantFraction(const Resources& part, const Resources& total) {
  return std::max({Fraction(part.cpu_millis, total.cpu_millis),
                   Fraction(part.memory_mb, total.memory_mb),
                   Fraction(part.accelerators, total.accelerators)});
}

void WorkspaceShares::Record(TimePoint now,
                             const std::map<WorkspaceId, WorkspaceUse>& uses,
                             const Resources& total) {
  const bool first = !recorded_at_.has_value();
  const double elapsed =
      first ? 0 : static_cast<double>((now - *recorded_at_).ms());
  const double kept = std::exp(-elapsed / static_cast<double>(window_.ms()));
  recorded_at_ = now;
  total_ = total;
  std::map<WorkspaceId, Account> accounts;
  for (const auto& [id, use] : uses) {
    Account account;
    const auto before = accounts_.find(id);
    if (before != accounts_.end()) {
      account = before->second;
      account.average =
          account.present + (account.average - account.present) * kept;
    }
    account.present = DominantFraction(use.used, total);
    if (first) account.average = account.present;
    account.guaranteed_accelerators = use.guaranteed_accelerators;
    accounts.emplace(id, account);
  }
  accounts_ = std::move(accounts);
}

void WorkspaceShares::AddStarted(const WorkspaceId& workspace,
                                 const Resources& need) {
  const auto found = accounts_.find(workspace);
  if (found == accounts_.end()) return;
  found->second.present += DominantFraction(need, total_);
}

double WorkspaceShares::WeightedUse(const Account& account, double more) const {
  const double used = std::max(account.present, account.average) + more;
  const double guaranteed =
      Fraction(account.guaranteed_accelerators, total_.accelerators);
  const auto weight = static_cast<double>(account.guaranteed_accelerators + 1);
  return std::max(0.0, used - guaranteed) / weight;
}

double WorkspaceShares::WeightedUseOf(const WorkspaceId& workspace) const {
  const auto found = accounts_.find(workspace);
  return found == accounts_.end() ? 0 : WeightedUse(found->second, 0);
}

std::map<WorkspaceId, double> WorkspaceShares::WeightedUses() const {
  std::map<WorkspaceId, double> uses;
  for (const auto& [id, account] : accounts_) {
    uses.emplace(id, WeightedUse(account, 0));
  }
  return uses;
}

std::vector<int> WorkspaceShares::Order(
    const std::vector<ShareRequest>& steps) const {
  struct Claimant {
    Account account;
    double added = 0;
    /// Steps of the present group, in their order.
    std::deque<std::size_t> steps;
  };
  // Smallest weighted use first, then the earliest step.
  using Next = std::tuple<double, std::size_t, Claimant*>;
  std::map<WorkspaceId, Claimant> claimants;
  std::vector<int> positions(steps.size());
  for (std::size_t begin = 0; begin < steps.size();) {
    std::vector<Claimant*> in_group;
    std::size_t end = begin;
    int position = 0;
    for (; end < steps.size() && steps[end].group == steps[begin].group;
         ++end) {
      const auto [entry, added] = claimants.try_emplace(steps[end].workspace);
      Claimant& claimant = entry->second;
      if (added) {
        const auto found = accounts_.find(steps[end].workspace);
        if (found != accounts_.end()) claimant.account = found->second;
      }
      if (!steps[end].reorders) {
        positions[end] = position++;
        claimant.added += DominantFraction(steps[end].need, total_);
        continue;
      }
      if (claimant.steps.empty()) in_group.push_back(&claimant);
      claimant.steps.push_back(end);
    }
    std::priority_queue<Next, std::vector<Next>, std::greater<>> next;
    const auto add = [this, &next](Claimant* claimant) {
      next.emplace(WeightedUse(claimant->account, claimant->added),
                   claimant->steps.front(), claimant);
    };
    for (Claimant* claimant : in_group) add(claimant);
    while (!next.empty()) {
      const auto [use, index, claimant] = next.top();
      next.pop();
      positions[index] = position++;
      claimant->steps.pop_front();
      claimant->added += DominantFraction(steps[index].need, total_);
      if (!claimant->steps.empty()) add(claimant);
    }
    begin = end;
  }
  return positions;
}

}  // namespace limeledge::dispatch
