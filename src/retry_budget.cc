/// @file
/// Implementation of the retry budget.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/retry_budget.h"

#include <algorithm>

namespace limeledge {

RetryBudget::RetryBudget(double share, double reserve)
    : share_(share), reserve_(reserve), available_(reserve) {}

void RetryBudget::OnFirstAttempt() {
  available_ = std::min(reserve_, available_ + share_);
}

bool RetryBudget::TakeRetry() {
  if (available_ < 1.0) return false;
  available_ -= 1.0;
  return true;
}

}  // namespace limeledge
