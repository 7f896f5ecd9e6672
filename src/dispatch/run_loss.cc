/// @file
/// Evaluates lost runs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/run_loss.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace limeledge::dispatch {

namespace {

// A run outlives a lost one if it lasts this many times as long, plus the
// probation.
constexpr int kOutlivesFactor = 2;

}  // namespace

LossVerdict EvaluateLosses(const std::vector<RunLoss>& losses, int newest_run,
                           const LossRules& rules) {
  int crashes = 0;
  int suspicious = 0;
  std::optional<int> last_allowed_run;
  for (const RunLoss& loss : losses) {
    if (!loss.crashed) continue;
    ++crashes;
    if (loss.suspicious) ++suspicious;
    if (crashes == rules.counted_crashes) last_allowed_run = loss.run;
  }
  const auto too_many_starts = [&](std::optional<int> after) {
    return after.has_value() &&
           newest_run - *after >= rules.starts_after_counted;
  };
  const bool given_up = suspicious >= rules.suspicious_crashes ||
                        crashes >= rules.crashes ||
                        too_many_starts(last_allowed_run);
  if (given_up) return LossVerdict::kGivenUp;
  // Evaluate again as if all unresolved losses were crashes.
  const auto counted = static_cast<std::size_t>(rules.counted_crashes);
  if (losses.size() >= counted) last_allowed_run = losses[counted - 1].run;
  const bool may_be_too_many =
      static_cast<int>(losses.size()) >= rules.crashes ||
      too_many_starts(last_allowed_run);
  return may_be_too_many ? LossVerdict::kMustWait : LossVerdict::kMayStart;
}

bool IsSuspect(const std::vector<RunLoss>& losses) {
  return std::any_of(losses.begin(), losses.end(),
                     [](const RunLoss& loss) { return loss.suspicious; });
}

void ForgetOutlived(Duration lasted, const LossRules& rules,
                    std::vector<RunLoss>* losses) {
  const auto outlived = [&](const RunLoss& loss) {
    return lasted >= loss.lasted * kOutlivesFactor + rules.probation;
  };
  losses->erase(std::remove_if(losses->begin(), losses->end(), outlived),
                losses->end());
}

}  // namespace limeledge::dispatch
