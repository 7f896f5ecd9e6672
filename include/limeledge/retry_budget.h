/// @file
/// A retry budget: limits retries to a share of first attempts.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_RETRY_BUDGET_H_
#define LIMELEDGE_RETRY_BUDGET_H_

namespace limeledge {

/// Limits retries to a share of first attempts plus a fixed reserve, so that
/// retries do not multiply the load on a failing runner.
///
///     budget.OnFirstAttempt();
///     if (budget.TakeRetry()) Retry();
///
/// Thread safety: none; use it from one thread.
class RetryBudget {
 public:
  /// `share` is the number of retries per first attempt, such as 0.1. `reserve`
  /// is the initial and the maximum number of available retries.
  /// Precondition: neither is negative.
  RetryBudget(double share, double reserve);

  /// Records a first attempt, which adds `share` to the available retries.
  void OnFirstAttempt();
  /// Takes one retry; returns false if less than one retry is available.
  bool TakeRetry();

  /// Returns the number of available retries; it may be fractional.
  double available() const { return available_; }

 private:
  double share_;
  double reserve_;
  double available_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_RETRY_BUDGET_H_
