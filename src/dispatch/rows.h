/// @file
/// Rows, transactions and tables of the store as the dispatcher uses them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_ROWS_H_
#define LIMELEDGE_SRC_DISPATCH_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "limeledge/base.h"

namespace limeledge::dispatch {

/// Identifies a row.
struct RowKey {
  std::string table;
  std::string key;

  friend bool operator==(const RowKey& a, const RowKey& b) {
    return a.table == b.table && a.key == b.key;
  }
  friend bool operator<(const RowKey& a, const RowKey& b) {
    return std::tie(a.table, a.key) < std::tie(b.table, b.key);
  }
};

struct Row {
  RowKey key;
  std::string value;
  /// Changes with every write of the row; 0 if the row does not exist.
  Revision revision;
  /// True if the row was removed.
  bool removed = false;
};

/// A condition of a transaction: the row has this revision, or does not exist
/// if the revision is 0.
struct RowCondition {
  RowKey key;
  Revision revision;
};

struct RowWrite {
  RowKey key;
  std::string value;
};

/// Changes to rows of one partition that are applied atomically. The store
/// applies the transactions of a partition one at a time.
struct RowTransaction {
  /// Empty for the partition that holds the scheduler's rows.
  std::string partition;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> puts;
  std::vector<RowKey> removes;
};

/// The outcome of a call to the store.
enum class StoreOutcome {
  kDone,
  /// A condition did not hold; nothing was changed.
  kConflict,
  /// The call is known not to have been applied; it may succeed later.
  kNotApplied,
  /// The store answered that it does not accept the call, which would be
  /// refused again. Nothing was changed.
  kRejected,
  /// No response: the call may have been applied, or may still be applied later
  /// if its conditions hold then.
  kUnknown,
  /// The store no longer keeps the changes after the requested revision.
  kHistoryCompacted,
};

/// True if the store reported the outcome, so that it is available.
/// Thread-safe.
inline bool IsAnswered(StoreOutcome outcome) {
  return outcome == StoreOutcome::kDone || outcome == StoreOutcome::kConflict ||
         outcome == StoreOutcome::kRejected;
}

/// Limits of the store.
struct StoreLimits {
  /// Maximum size of a row's value in bytes.
  std::size_t max_row_bytes = 65536;
};

/// Names of the dispatcher's tables.
inline constexpr char kLeadershipTable[] = "leader";
inline constexpr char kJobTable[] = "job";
inline constexpr char kProgressTable[] = "progress";
inline constexpr char kPeerTable[] = "peer";
inline constexpr char kSpeedTable[] = "speed";
/// Partition of the peer table, so that its writes do not wait for the
/// scheduler's.
inline constexpr char kPeerPartition[] = "peers";
/// Returns the key of an instance's peer row. Keys are ordered by a hash of the
/// instance, so that neighboring rows belong to nodes of different halls.
/// Thread-safe.
std::string PeerKey(const std::string& instance);
/// Key of the row that holds the scheduler's lease.
inline constexpr char kLeaderKey[] = "scheduler";
/// Key of the row with the number of waiting jobs per queue.
inline constexpr char kWaitingKey[] = "waiting";
/// Number of partitions of the job table. With eight, callers' writes do not
/// queue behind each other or behind the scheduler's when the store is eighty
/// times as slow as usual: a partition then takes 2.5 writes a second, and
/// callers send up to ten.
inline constexpr int kJobPartitions = 8;
/// Returns the key of the row that holds one block of a job's progress.
/// Thread-safe.
RowKey ProgressBlockKey(const std::string& job, int block);
/// Returns the job to which a row of the progress table belongs. Thread-safe.
std::string JobOfProgressKey(const std::string& key);
/// Returns the partition that holds a job's rows. Thread-safe.
std::string JobPartition(const std::string& job);
/// Returns all partitions of the job table. Thread-safe.
std::vector<std::string> AllJobPartitions();
/// Appended to a job's key: the row that requests the job's cancellation.
inline constexpr char kCancelSuffix[] = ".cancel";
/// Appended to a job's key: the tombstone of a job that was cancelled before it
/// was stored. No submit stores the job while it exists. The key lies outside
/// the range that is read for the job's other rows, and ends in
/// `kCancelSuffix`, so that nodes of versions without tombstones ignore it.
inline constexpr char kTombstoneSuffix[] = "/.cancel";
/// Returns the key of a job's tombstone. It is in the partition of the job's
/// rows. Thread-safe.
RowKey TombstoneKey(const std::string& job);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_ROWS_H_
