/// @file
/// Adapts the budget of planning passes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/pass_budget.h"

#include <algorithm>

namespace limeledge::dispatch {

namespace {

// An urgent job within its guarantee waits for half a dozen batches, one after
// the other, and for a stop, in some three seconds.
constexpr Duration kMaxPassTime{100};
// A pass with less than this decides too little to be worth its fixed cost.
constexpr std::int64_t kMinLooks = 2000;
// Growth, in percent, after a pass that took less time.
constexpr std::int64_t kGrowth = 25;
// The budget is lifted once it is this many times what a pass uses.
constexpr std::int64_t kSpareFactor = 10;
constexpr std::int64_t kPercent = 100;

}  // namespace

void PassBudget::Record(std::int64_t looks, Duration taken) {
  if (taken > kMaxPassTime) {
    const std::int64_t affordable = looks * kMaxPassTime.ms() / taken.ms();
    max_looks_ = std::max(kMinLooks, std::min(max_looks_, affordable));
    return;
  }
  if (max_looks_ == kUnlimited) return;
  max_looks_ += max_looks_ * kGrowth / kPercent;
  const std::int64_t ample = kSpareFactor * std::max(looks, kMinLooks);
  if (max_looks_ > ample) max_looks_ = kUnlimited;
}

}  // namespace limeledge::dispatch
