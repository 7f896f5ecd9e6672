/// @file
/// Typed rows and transactions of the platform's table service.
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

/// A row as the table service returned it. Revision 0 means "no such row".
struct Row {
  std::string key;
  std::string value;
  /// Revision of the commit that last wrote the row; 0 when it is absent.
  Revision version;
};

/// Demands that a row still has the version that the writer last saw.
struct Condition {
  std::string key;
  /// 0 demands that the row does not exist.
  Revision version;
};

/// Replaces one row, or erases it.
struct Write {
  std::string key;
  std::string value;
  bool erase = false;
};

/// All conditions hold and all writes take effect, or nothing happens.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// The transaction took effect; every written row has this revision.
struct TransactionCommitted {
  Revision revision;
};

/// The transaction had no effect.
struct TransactionConflict {
  /// The present rows of the conditions that failed.
  std::vector<Row> current;
};

/// No answer came: the transaction may or may not have taken effect.
struct TransactionLost {};

using TransactionReply =
    std::variant<TransactionCommitted, TransactionConflict, TransactionLost>;

/// One page of rows that changed after a revision. Erased rows come with an
/// empty value.
struct ChangedRow {
  Row row;
  bool erased = false;
};
struct ChangedRows {
  /// Everything up to this revision has been read when `more` is false.
  Revision revision;
  bool more = false;
  std::vector<ChangedRow> rows;
};

}  // namespace limeledge

#endif  // LIMELEDGE_TABLE_H_
