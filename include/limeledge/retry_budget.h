/// @file
/// A budget that keeps retries a bounded share of first attempts.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_RETRY_BUDGET_H_
#define LIMELEDGE_RETRY_BUDGET_H_

namespace limeledge {

/// Lets retries be at most a share of first attempts, plus a small reserve, so
/// that a failing runner does not multiply its own load.
///
///     budget.OnFirstAttempt();
///     if (budget.TakeRetry()) Retry();
///
/// Thread safety: none; use it from one thread.
class RetryBudget {
 public:
  /// `share` is retries per first attempt (0.1 is a tenth); `reserve` is how
  /// many retries may be saved up. Precondition: neither is negative.
  RetryBudget(double share, double reserve);

  /// Earns `share` of a retry.
  void OnFirstAttempt();
  /// Spends one retry; returns false when none is left.
  bool TakeRetry();

  double available() const { return available_; }

 private:
  double share_;
  double reserve_;
  double available_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_RETRY_BUDGET_H_
