/// @file
/// Rows and transactions of the platform's table service.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TABLE_H_
#define LIMELEDGE_TABLE_H_

#include <string>
#include <variant>
#include <vector>

#include "limeledge/base.h"

namespace limeledge {

/// A row as the table service returned it.
struct Row {
  std::string key;
  std::string value;
  /// Revision of the commit that last wrote the row; 0 if the row does not
  /// exist.
  Revision version;
};

/// Requires that a row has the version that the writer last read (optimistic
/// concurrency control).
struct Condition {
  std::string key;
  /// Required version; 0 requires that the row does not exist.
  Revision version;
};

/// Creates, replaces or deletes one row.
struct Write {
  std::string key;
  /// New value of the row, unless `erase` is set.
  std::string value;
  /// Deletes the row instead of writing `value`.
  bool erase = false;
};

/// An atomic transaction: if all conditions hold, all writes are applied,
/// otherwise none.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// The transaction was applied.
struct TransactionCommitted {
  /// Revision of the commit, which is the version of every written row.
  Revision revision;
};

/// A condition failed and the transaction was not applied.
struct TransactionConflict {
  /// Current rows of the conditions that failed.
  std::vector<Row> current;
};

/// No reply was received; it is unknown whether the transaction was or will be
/// applied.
struct TransactionLost {};

/// Result of sending a transaction.
using TransactionReply =
    std::variant<TransactionCommitted, TransactionConflict, TransactionLost>;

/// A row that was written or deleted after a revision.
struct ChangedRow {
  /// The current row; its value is empty if it was deleted.
  Row row;
  /// True if the row was deleted.
  bool erased = false;
};

/// One page of the rows that changed after a revision.
struct ChangedRows {
  /// If `more` is false, all changes up to this revision have been returned.
  Revision revision;
  /// True if further pages follow.
  bool more = false;
  std::vector<ChangedRow> rows;
};

}  // namespace limeledge

#endif  // LIMELEDGE_TABLE_H_
