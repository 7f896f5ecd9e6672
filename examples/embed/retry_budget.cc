/// @file
/// Limits retries to a fraction of first attempts.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/retry_budget.h"

#include <cstdio>

int main() {
  limeledge::RetryBudget budget(0.1, 2);
  int retries = 0;
  for (int i = 0; i < 100; ++i) {
    budget.OnFirstAttempt();
    if (budget.TakeRetry()) ++retries;
  }
  std::printf("100 calls that all fail: %d retries\n", retries);
  return 0;
}
