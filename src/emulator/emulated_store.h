/// @file
/// The platform's store of rows, kept in memory.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_EMULATOR_EMULATED_STORE_H_
#define LIMELEDGE_SRC_EMULATOR_EMULATED_STORE_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/event.h"
#include "dispatch/rows.h"

namespace limeledge::emulator {

/// Rows with revisions, conditional transactions and a history of changes.
///
/// Thread safety: none; callers lock.
class EmulatedStore {
 public:
  /// Does all of it or nothing. The ticket of the answer is not set.
  dispatch::CommitCompleted Commit(const dispatch::RowTransaction& transaction);
  /// Rows of a part of a table with keys from `from` to before `to` (empty: the
  /// last).
  dispatch::ReadCompleted Read(const std::string& table,
                               const std::string& partition,
                               const std::string& from, const std::string& to,
                               int limit) const;
  /// Changes of all parts of a table after a revision, each row once, in order.
  dispatch::ChangesReceived Changes(const std::string& table,
                                    Revision after) const;
  /// Changes up to now can not be asked for any more.
  void ForgetHistory() { history_from_ = revision_; }

  Revision revision() const { return revision_; }

 private:
  /// Table, part and key.
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Cell {
    std::string value;
    Revision revision;
    bool removed = false;
  };
  static dispatch::Row RowOf(const Key& key, const Cell& cell);

  std::map<Key, Cell> cells_;
  Revision revision_;
  Revision history_from_;
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_SRC_EMULATOR_EMULATED_STORE_H_
