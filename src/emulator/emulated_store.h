/// @file
/// In-memory substitute for the platform's row store.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_EMULATOR_EMULATED_STORE_H_
#define LIMELEDGE_SRC_EMULATOR_EMULATED_STORE_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/event.h"
#include "dispatch/rows.h"

namespace limeledge::emulator {

/// A row store with revisions, conditional transactions and a change history.
///
/// Thread safety: none; callers lock.
class EmulatedStore {
 public:
  /// Applies the whole transaction, or nothing if a condition fails. The ticket
  /// of the result is not set.
  dispatch::CommitCompleted Commit(const dispatch::RowTransaction& transaction);
  /// Returns up to `limit` rows of one partition of a table, with keys in the
  /// range [`from`, `to`). An empty `to` means no upper bound.
  dispatch::ReadCompleted Read(const std::string& table,
                               const std::string& partition,
                               const std::string& from, const std::string& to,
                               int limit) const;
  /// Returns the rows of all partitions of a table that changed after a
  /// revision, each once with its latest value, ordered by revision.
  dispatch::ChangesReceived Changes(const std::string& table,
                                    Revision after) const;
  void SetLimits(const dispatch::StoreLimits& limits) { limits_ = limits; }
  /// Rejects every transaction that writes a row whose key is `key`.
  void Reject(const std::string& key) { rejected_keys_.insert(key); }
  void Accept(const std::string& key) { rejected_keys_.erase(key); }
  /// Compacts the history: changes up to the current revision can no longer be
  /// read.
  void ForgetHistory() { history_from_ = revision_; }

  Revision revision() const { return revision_; }

 private:
  /// Table, partition and row key.
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Cell {
    std::string value;
    Revision revision;
    bool removed = false;
  };
  bool Accepts(const dispatch::RowTransaction& transaction) const;
  static dispatch::Row RowOf(const Key& key, const Cell& cell);

  std::map<Key, Cell> cells_;
  Revision revision_;
  Revision history_from_;
  dispatch::StoreLimits limits_;
  std::set<std::string> rejected_keys_;
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_SRC_EMULATOR_EMULATED_STORE_H_
