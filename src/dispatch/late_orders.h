/// @file
/// Orders to a runner that got no answer, and may be carried out seconds later.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_LATE_ORDERS_H_
#define LIMELEDGE_SRC_DISPATCH_LATE_ORDERS_H_

#include <map>

#include "dispatch/job_spec.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// Orders that may still arrive at a runner. One that arrives after the runner
/// started again is carried out by the life it finds: that life has seen no
/// newer scheduler and no stop, and its clock is small, so that every lease
/// seems to end far ahead. Pure bookkeeping.
///
/// Thread safety: none; use it from one thread.
class LateOrders {
 public:
  struct Start {
    /// What the run takes if it comes.
    Resources need;
    TimePoint until;
  };

  /// Notes a sending of the start without an answer, which may come up to
  /// `until`; forgets what can not come any more.
  void RecordStart(const RunKey& run, const Resources& need, TimePoint now,
                   TimePoint until);
  bool MayArrive(const RunKey& run, TimePoint now) const;
  /// Starts that may come after `now`; the others are forgotten.
  const std::map<RunKey, Start>& StartsArrivingAfter(TimePoint now);

  /// Notes a call without an answer that grants a lease, and may come up to
  /// `until`.
  void RecordGrant(TimePoint until);
  /// Up to then such a call may come.
  TimePoint grants_until() const { return grants_until_; }

 private:
  std::map<RunKey, Start> starts_;
  TimePoint grants_until_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_LATE_ORDERS_H_
