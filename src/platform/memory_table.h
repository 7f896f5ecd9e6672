/// @file
/// An in-memory table service with versions and transactions.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_PLATFORM_MEMORY_TABLE_H_
#define LIMELEDGE_SRC_PLATFORM_MEMORY_TABLE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "limeledge/table.h"

namespace limeledge {

/// Stands in for the platform's table service.
///
/// Thread safety: none; callers lock.
class MemoryTable {
 public:
  /// Carries a transaction out, or returns the rows that stand against it.
  TransactionReply Commit(const Transaction& transaction);

  /// Returns the row; its version is 0 when there is none.
  Row Read(const std::string& key) const;

  /// Rows under any of `prefixes` that changed after `since`, oldest change
  /// first, at most `limit`.
  ChangedRows Changes(const std::vector<std::string>& prefixes, Revision since,
                      std::size_t limit) const;

  Revision revision() const { return revision_; }
  std::size_t size() const { return rows_.size(); }

 private:
  struct Cell {
    std::string value;
    Revision version;
    bool erased = false;
  };

  std::map<std::string, Cell> rows_;
  /// Keys by the revision of their last change; one revision may write many.
  std::multimap<Revision, std::string> by_revision_;
  Revision revision_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_PLATFORM_MEMORY_TABLE_H_
