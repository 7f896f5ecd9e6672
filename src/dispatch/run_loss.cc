/// @file
/// The judgement of runs that went with their runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/run_loss.h"

#include <algorithm>

namespace limeledge::dispatch {

namespace {

// A run that lasts so many times as long as a lost one did outlives it.
constexpr int kOutlives = 2;

}  // namespace

LossVerdict JudgeLosses(const std::vector<RunLoss>& losses, int newest_run,
                        const LossRules& rules) {
  int crashes = 0;
  int suspicious = 0;
  int starts_since = 0;
  for (const RunLoss& loss : losses) {
    if (!loss.crashed) continue;
    ++crashes;
    if (loss.suspicious) ++suspicious;
    if (crashes == rules.counted_crashes) starts_since = newest_run - loss.run;
  }
  const bool given_up = suspicious >= rules.suspicious_crashes ||
                        crashes >= rules.crashes ||
                        starts_since >= rules.starts_after_them;
  if (given_up) return LossVerdict::kGivenUp;
  const bool too_many = static_cast<int>(losses.size()) >= rules.crashes;
  return too_many ? LossVerdict::kMustWait : LossVerdict::kMayStart;
}

bool IsSuspect(const std::vector<RunLoss>& losses) {
  return std::any_of(losses.begin(), losses.end(),
                     [](const RunLoss& loss) { return loss.suspicious; });
}

void ForgetOutlived(Duration lasted, const LossRules& rules,
                    std::vector<RunLoss>* losses) {
  const auto outlived = [&](const RunLoss& loss) {
    return lasted >= loss.lasted * kOutlives + rules.probation;
  };
  losses->erase(std::remove_if(losses->begin(), losses->end(), outlived),
                losses->end());
}

}  // namespace limeledge::dispatch
