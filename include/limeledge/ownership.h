/// @file
/// Who owns a named resource, decided by epochs in the table service.
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

/// The row that decides who owns a resource.
struct OwnershipRecord {
  Epoch epoch;
  /// Empty when the last owner handed the resource over.
  InstanceId holder;
  /// Incarnation of the holder: a restarted instance does not hold what its
  /// former process held.
  std::int64_t incarnation = 0;
  /// Version of the record's row; 0 when there is none yet. It changes only
  /// with the epoch or the holder, so writes can be conditional on it.
  Revision version;
  /// Version of the row that the holder rewrites to renew its lease.
  Revision renewal;
};

/// What an instance should write now: `kRenew` rewrites the renewal row on
/// condition that the record's row is unchanged; the others rewrite the
/// record's row, `kClaim` on condition that both rows are unchanged.
enum class OwnershipAction { kNone, kClaim, kRenew, kRelease };

/// How long an ownership lasts without renewal.
struct OwnershipOptions {
  Duration lease{6000};
  /// Kept back by the holder for clock drift and slow effects.
  Duration margin{1000};
};

/// Decides claims and renewals of one resource by one instance. Safety rests
/// on the epoch, which every write for the resource is conditional on; the
/// lease only keeps two instances from wasting work.
///
///     switch (ownership.Decide(now, preferred)) { ... }
///     ownership.OnWritten(sent_at, record);
///     if (ownership.HoldsAt(now)) Plan(ownership.record().epoch);
///
/// Thread safety: none; use it from one thread.
class Ownership {
 public:
  Ownership(InstanceId self, std::int64_t incarnation,
            OwnershipOptions options);

  /// Changes the lease from the next renewal on.
  void SetOptions(OwnershipOptions options);

  /// Notes the record as it was read at `now`. Older versions are ignored.
  void OnRead(TimePoint now, const OwnershipRecord& record);

  /// Notes this instance's own committed write, sent at `sent_at`.
  void OnWritten(TimePoint sent_at, const OwnershipRecord& record);

  /// Returns what to write now. `preferred` says whether this instance is the
  /// rendezvous owner among live members; `stopping` that it is to hand over.
  OwnershipAction Decide(TimePoint now, bool preferred, bool stopping) const;

  /// The record to write for `action`. Precondition: `action` is not `kNone`.
  OwnershipRecord Proposal(OwnershipAction action) const;

  /// True while this instance is the holder and its lease has not run out.
  bool HoldsAt(TimePoint now) const;
  /// True while the last record known names this instance, lease or not.
  bool named() const {
    return record_.holder == self_ && record_.incarnation == incarnation_;
  }
  /// When this instance learned that it holds its present epoch.
  TimePoint since() const { return since_; }

  const OwnershipRecord& record() const { return record_; }

 private:
  void NoteEpoch(TimePoint now);

  InstanceId self_;
  std::int64_t incarnation_;
  OwnershipRecord record_;
  HeldLease held_;
  WatchedLease watched_;
  /// This instance's last epoch, and when it learned of it.
  Epoch since_epoch_;
  TimePoint since_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_OWNERSHIP_H_
