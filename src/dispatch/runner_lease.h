/// @file
/// Until when a runner may hold a lease, whoever granted it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_RUNNER_LEASE_H_
#define LIMELEDGE_SRC_DISPATCH_RUNNER_LEASE_H_

#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// What the latest expiry of a runner's leases is derived from.
enum class LeaseBasis {
  /// No call that grants a lease is known of.
  kNone,
  /// This scheduler granted the lease to this incarnation.
  kGranted,
  /// A previous scheduler, which the runner may still obey, may grant one.
  kPreviousScheduler,
  /// A call to an earlier incarnation may still arrive and grant one.
  kCallToEarlierIncarnation,
  /// A foreign call may have granted one right before the incarnation first
  /// answered a call that outranks all of them.
  kForeignCallBeforeFirstAnswer,
};

/// Describes the basis, for logs.
const char* ToString(LeaseBasis basis);

/// The longest time for which a lease of `length` may last on a runner whose
/// steady clock runs as slow as is permitted, and whose timers fire late.
/// Thread-safe.
Duration OnSlowClock(Duration length);

/// When the leases of one incarnation of a runner have certainly expired.
///
/// A call is foreign to the incarnation if a previous scheduler sent it, or if
/// it was sent to an earlier incarnation. The end of a lease is given on the
/// clock of the incarnation that a call was meant for. The next one's clock
/// starts anew, so that a call to an earlier incarnation may grant the longest
/// lease that a runner accepts, and grants it to everything that runs there
/// later. The incarnation carries out foreign calls until it has answered one
/// that outranks all of them. That answer bounds what they granted, whether or
/// not anything is known of them.
///
/// Thread safety: none; use it from one thread.
class RunnerLease {
 public:
  /// Records that this scheduler granted the incarnation a lease that expires
  /// at `at` at the latest.
  void RecordGrant(TimePoint at);
  /// Records that foreign calls may still arrive, and that the leases that they
  /// grant expire at `at` at the latest.
  void AssumeForeignUntil(TimePoint at, LeaseBasis basis);
  /// Records that the incarnation rejects foreign calls from now on, and that
  /// the latest one arrived at `latest` or before. Each granted a lease of
  /// `longest` at most.
  void BoundForeign(TimePoint latest, Duration longest);

  /// From this moment on every lease has expired.
  TimePoint expires_at() const;
  /// What `expires_at` is derived from.
  LeaseBasis basis() const;

 private:
  TimePoint granted_until_;
  TimePoint foreign_until_;
  LeaseBasis foreign_basis_ = LeaseBasis::kNone;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_RUNNER_LEASE_H_
