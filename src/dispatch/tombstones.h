/// @file
/// The tombstones of jobs that were cancelled before they were stored, as the
/// scheduler knows them, and their removal from the store.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_TOMBSTONES_H_
#define LIMELEDGE_SRC_DISPATCH_TOMBSTONES_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/rows.h"

namespace limeledge::dispatch {

/// A tombstone is kept for this long. It must outlast every submit that was
/// sent before the cancellation: `FrontEndOptions::max_submit_age`, and some
/// seconds by which the store may carry out a write late.
inline constexpr Duration kTombstoneRetention{60000};

/// The tombstones in the store.
///
/// Thread safety: none; use it from one thread.
class Tombstones {
 public:
  /// Records that the tombstone of a job was read. Its age counts from when its
  /// revision was read first.
  void Record(const JobId& job, Revision revision, TimePoint now);
  /// Records that the job has no tombstone. Does nothing if none is known.
  void Erase(const JobId& job);
  /// Forgets the tombstones that are not recorded again before the next call of
  /// `EndReload`: the rows are read from the beginning.
  void BeginReload();
  void EndReload() { unconfirmed_.clear(); }

  bool Contains(const JobId& job) const { return known_.count(job) != 0; }
  /// Precondition: `Contains(job)`.
  Revision RevisionOf(const JobId& job) const {
    return known_.at(job).revision;
  }
  std::size_t size() const { return known_.size(); }
  /// Returns up to `limit` jobs of one partition whose tombstones were read
  /// before `moment`.
  std::vector<JobId> ReadBefore(TimePoint moment, std::size_t limit) const;

 private:
  struct Tombstone {
    Revision revision;
    TimePoint read_at;
  };

  std::map<JobId, Tombstone> known_;
  /// The jobs of `known_`, the longest known first.
  std::set<std::pair<TimePoint, JobId>> by_age_;
  /// What was known before `BeginReload`, until it is read again.
  std::map<JobId, Tombstone> unconfirmed_;
};

/// Timing and size limits of removing tombstones.
struct TombstoneCleanerOptions {
  Duration retention = kTombstoneRetention;
  /// Pause after a failed removal, as while a partition is unavailable.
  Duration retry_pause{1000};
  /// Tombstones per transaction: a condition and a removal each, below the
  /// store's limit of 100 entries.
  std::size_t max_tombstones = 48;
  /// Timeout of one call to the store.
  Duration call_timeout{1200};
};

/// Removes old tombstones from the store, one transaction at a time. Each
/// removal depends on the revision that was read: a tombstone that a later
/// cancel has written again stays, even if the removal is carried out late or
/// was sent by a node that no longer schedules.
///
/// Thread safety: none; use it from one thread.
class TombstoneCleaner {
 public:
  explicit TombstoneCleaner(TombstoneCleanerOptions options = {})
      : options_(options) {}

  /// Sends the next removal if one is due.
  void Work(Context& ctx, const Tombstones& tombstones);

  bool Owns(Ticket ticket) const { return in_flight_ && ticket_ == ticket; }
  /// Handles the response to the removal in flight (`Owns`).
  void Handle(Context& ctx, const CommitCompleted& answer,
              Tombstones* tombstones);

 private:
  TombstoneCleanerOptions options_;
  bool in_flight_ = false;
  Ticket ticket_;
  std::vector<JobId> jobs_;
  TimePoint next_at_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_TOMBSTONES_H_
