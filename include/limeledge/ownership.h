/// @file
/// Exclusive ownership of a named resource, with epochs as fencing tokens.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_OWNERSHIP_H_
#define LIMELEDGE_OWNERSHIP_H_

#include <cstdint>

#include "limeledge/base.h"
#include "limeledge/clock.h"
#include "limeledge/lease.h"

namespace limeledge {

/// The stored owner of a resource.
struct OwnershipRecord {
  /// Fencing token; each claim increments it.
  Epoch epoch;
  /// Empty if the last holder released the resource.
  InstanceId holder;
  /// Incarnation of the holder. A restarted instance does not hold the
  /// resources of its previous incarnation.
  std::int64_t incarnation = 0;
  /// Version of the record's row; 0 if the row does not exist. It changes only
  /// with the epoch or the holder, so writes can be conditional on it.
  Revision version;
  /// Version of the renewal row, which the holder rewrites to renew its lease.
  Revision renewal;
};

/// The write that an instance should make next.
enum class OwnershipAction {
  /// No write.
  kNone,
  /// Rewrite the record's row, on condition that the record's row and the
  /// renewal row are unchanged.
  kClaim,
  /// Rewrite the renewal row, on condition that the record's row is unchanged.
  kRenew,
  /// Rewrite the record's row without a holder.
  kRelease
};

/// Lease times of a resource.
struct OwnershipOptions {
  /// How long ownership lasts without renewal.
  Duration lease{6000};
  /// The holder stops acting this long before the lease ends, to allow for
  /// clock drift and for effects that take time.
  Duration margin{1000};
};

/// Decides when one instance claims, renews and releases one resource.
///
/// Safety depends only on the epoch: every write for the resource must be
/// conditional on it. The lease only avoids wasted work by two instances at the
/// same time.
///
///     switch (ownership.Decide(now, preferred, stopping)) { ... }
///     ownership.OnWritten(sent_at, record);
///     if (ownership.HoldsAt(now)) Plan(ownership.record().epoch);
///
/// Thread safety: none; use it from one thread.
class Ownership {
 public:
  Ownership(InstanceId self, std::int64_t incarnation,
            OwnershipOptions options);

  /// Changes the lease times.
  void SetOptions(OwnershipOptions options);

  /// Records the stored record as read at `now`. A record older than the known
  /// one is ignored.
  void OnRead(TimePoint now, const OwnershipRecord& record);

  /// Records a committed write of this instance that was sent at `sent_at`.
  /// `record` has the versions that the write produced. A record older than the
  /// known one is ignored.
  void OnWritten(TimePoint sent_at, const OwnershipRecord& record);

  /// Returns the write to make now. `preferred` tells whether this instance is
  /// the rendezvous owner among the live members, `stopping` whether it is
  /// shutting down and must release the resource.
  OwnershipAction Decide(TimePoint now, bool preferred, bool stopping) const;

  /// Returns the record to write for `action`. Precondition: `action` is not
  /// `kNone`.
  OwnershipRecord Proposal(OwnershipAction action) const;

  /// Returns true while this instance is the holder and its lease is valid.
  bool HoldsAt(TimePoint now) const;
  /// Returns true if the newest known record names this incarnation as the
  /// holder, even if the lease has expired.
  bool named() const {
    return record_.holder == self_ && record_.incarnation == incarnation_;
  }
  /// Returns when this instance sent the write that claimed its last epoch, or
  /// when it read that claim from the store if the reply was lost.
  TimePoint since() const { return since_; }

  /// Returns the newest known record.
  const OwnershipRecord& record() const { return record_; }

 private:
  void RecordEpoch(TimePoint now);

  InstanceId self_;
  std::int64_t incarnation_;
  OwnershipRecord record_;
  HeldLease held_;
  WatchedLease watched_;
  /// The epoch that this instance claimed last, and when (see `since`).
  Epoch claimed_epoch_;
  TimePoint since_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_OWNERSHIP_H_
