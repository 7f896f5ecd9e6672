/// @file
/// Orders to a runner that got no answer and may be carried out seconds later.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_LATE_ORDERS_H_
#define LIMELEDGE_SRC_DISPATCH_LATE_ORDERS_H_

#include <map>

#include "dispatch/job_spec.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// Orders that may still arrive at a runner. If the runner has restarted by
/// then, its present incarnation carries them out: it has received neither an
/// order of a newer scheduler nor a stop, and its clock starts near zero, so
/// that the expiry of every lease seems to be far ahead. Pure bookkeeping.
///
/// Thread safety: none; use it from one thread.
class LateOrders {
 public:
  struct Start {
    /// The capacity that the run takes if the start arrives.
    Resources need;
    TimePoint until;
  };

  /// Records a start without an answer that may arrive up to `until`, and
  /// removes the starts that cannot arrive any more.
  void RecordStart(const RunKey& run, const Resources& need, TimePoint now,
                   TimePoint until);
  bool MayArrive(const RunKey& run, TimePoint now) const;
  /// Returns the starts that may arrive after `now`, and removes the others.
  const std::map<RunKey, Start>& StartsArrivingAfter(TimePoint now);

  /// Records a call without an answer that grants a lease and may arrive up to
  /// `until`.
  void RecordGrant(TimePoint until);
  /// The latest arrival of a call that grants a lease.
  TimePoint grants_until() const { return grants_until_; }

 private:
  std::map<RunKey, Start> starts_;
  TimePoint grants_until_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_LATE_ORDERS_H_
