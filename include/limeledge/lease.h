/// @file
/// Lease timing, for the holder and for other processes that observe the lease.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_LEASE_H_
#define LIMELEDGE_LEASE_H_

#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// A lease from the holder's side. It starts when the write that granted it was
/// sent, is measured on the holder's steady clock, and ends earlier than its
/// length by a safety margin. A holder that was paused for too long therefore
/// finds its lease expired when it resumes.
///
///     lease.Renewed(sent_at);
///     if (lease.ValidAt(clock.Now())) Act();
///
/// Thread safety: none; use it from one thread.
class HeldLease {
 public:
  /// Creates a lease that is not held. `margin` is subtracted from `length`.
  /// Precondition: 0 <= margin < length.
  HeldLease(Duration length, Duration margin)
      : length_(length), margin_(margin) {}

  /// Changes the length and margin, also of a lease that is held.
  /// Precondition: 0 <= margin < length.
  void SetLength(Duration length, Duration margin) {
    length_ = length;
    margin_ = margin;
  }

  /// Records a grant or renewal whose write was sent at `sent_at`.
  void Renewed(TimePoint sent_at);
  /// Ends the lease immediately.
  void Drop() { held_ = false; }

  /// Returns true while the holder may act. With an unchanged length and a
  /// non-decreasing `now`, an expired lease stays invalid until `Renewed` is
  /// called.
  bool ValidAt(TimePoint now) const {
    return held_ && now - start_ < length_ - margin_;
  }
  /// Returns true if the lease should be renewed: it is not held, or a third of
  /// its length has passed. Renewing this early tolerates two failed renewals.
  bool DueAt(TimePoint now) const {
    return !held_ || now - start_ >= length_ / 3;
  }

 private:
  Duration length_;
  Duration margin_;
  TimePoint start_;
  bool held_ = false;
};

/// A lease of another process. The observer cannot read the holder's clock, so
/// it treats the lease as expired once the lease row has not changed for the
/// full length of the lease.
///
/// Thread safety: none; use it from one thread.
class WatchedLease {
 public:
  explicit WatchedLease(Duration length) : length_(length) {}

  /// Changes the length, also for a version that was observed before.
  void SetLength(Duration length) { length_ = length; }

  /// Records that the lease row had `version` at `now`.
  void Observe(TimePoint now, Revision version);
  /// Returns true if the row has kept its version for the length of the lease.
  /// Returns false if no version was observed.
  bool LapsedAt(TimePoint now) const {
    return seen_ && now - since_ >= length_;
  }

 private:
  Duration length_;
  Revision version_;
  TimePoint since_;
  bool seen_ = false;
};

}  // namespace limeledge

#endif  // LIMELEDGE_LEASE_H_
