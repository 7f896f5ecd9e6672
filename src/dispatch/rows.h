/// @file
/// Rows of the store as the dispatcher uses them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_ROWS_H_
#define LIMELEDGE_SRC_DISPATCH_ROWS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "limeledge/base.h"

namespace limeledge::dispatch {

/// Names a row.
struct RowKey {
  std::string table;
  std::string key;

  friend bool operator==(const RowKey& a, const RowKey& b) {
    return a.table == b.table && a.key == b.key;
  }
};

struct Row {
  RowKey key;
  std::string value;
  /// Changes with every write of the row; 0 if the row is not there.
  Revision revision;
  /// The row was removed.
  bool removed = false;
};

/// The row must have this revision; 0: it must not be there.
struct RowCondition {
  RowKey key;
  Revision revision;
};

struct RowWrite {
  RowKey key;
  std::string value;
};

/// Changes that are made all together or not at all, to rows of one part. The
/// store carries out the transactions of a part one after the other.
struct RowTransaction {
  /// Empty for the part that holds the scheduler's rows.
  std::string partition;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> puts;
  std::vector<RowKey> removes;
};

/// What is known of a call to the store.
enum class StoreOutcome {
  kDone,
  /// A condition did not hold; nothing was done.
  kConflict,
  /// Surely not done.
  kNotApplied,
  /// No answer: it may have been done, or may be done later if its
  /// conditions still hold then.
  kUnknown,
  /// The changes since the wanted revision are no longer kept.
  kHistoryCompacted,
};

/// Tables of the dispatcher.
inline constexpr char kLeadershipTable[] = "leader";
inline constexpr char kJobTable[] = "job";
inline constexpr char kProgressTable[] = "progress";
inline constexpr char kPeerTable[] = "peer";
/// Part of the table of peers: its writes do not wait for the scheduler's.
inline constexpr char kPeerPartition[] = "peers";
/// Key of the row that names the scheduler.
inline constexpr char kLeaderKey[] = "scheduler";
/// Key of the row with the numbers of waiting jobs.
inline constexpr char kWaitingKey[] = "waiting";
/// Parts of the table of jobs. Callers' writes to it do not wait for each other
/// nor for the scheduler's when the store is eighty times as slow as usual: a
/// part then takes 2.5 of them a second, and callers send up to ten.
inline constexpr int kJobPartitions = 8;
/// The part that holds a job's rows. Safe from any thread.
std::string JobPartition(const std::string& job);
/// All of them. Safe from any thread.
std::vector<std::string> AllJobPartitions();
/// Behind a job's key: the row that asks for its cancelling.
inline constexpr char kCancelSuffix[] = ".cancel";

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_ROWS_H_
