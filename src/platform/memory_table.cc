/// @file
/// Rows in memory.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "platform/memory_table.h"

#include <algorithm>

#include "absl/strings/match.h"

namespace limeledge {

TransactionReply MemoryTable::Commit(const Transaction& transaction) {
  TransactionConflict conflict;
  for (const Condition& condition : transaction.conditions) {
    Row row = Read(condition.key);
    if (row.version != condition.version) {
      conflict.current.push_back(std::move(row));
    }
  }
  if (!conflict.current.empty()) return conflict;
  revision_ = revision_.Next();
  for (const Write& write : transaction.writes) {
    Cell& cell = rows_[write.key];
    const auto range = by_revision_.equal_range(cell.version);
    const auto old = std::find_if(
        range.first, range.second,
        [&write](const auto& entry) { return entry.second == write.key; });
    if (old != range.second) by_revision_.erase(old);
    cell.value = write.erase ? "" : write.value;
    cell.erased = write.erase;
    cell.version = revision_;
    by_revision_.emplace(revision_, write.key);
  }
  return TransactionCommitted{revision_};
}

Row MemoryTable::Read(const std::string& key) const {
  const auto it = rows_.find(key);
  if (it == rows_.end() || it->second.erased) return {key, "", Revision(0)};
  return {key, it->second.value, it->second.version};
}

ChangedRows MemoryTable::Changes(const std::vector<std::string>& prefixes,
                                 Revision since, std::size_t limit) const {
  ChangedRows changes;
  changes.revision = revision_;
  for (auto it = by_revision_.upper_bound(since); it != by_revision_.end();
       ++it) {
    const std::string& key = it->second;
    const bool wanted = std::any_of(prefixes.begin(), prefixes.end(),
                                    [&key](const std::string& prefix) {
                                      return absl::StartsWith(key, prefix);
                                    });
    if (!wanted) continue;
    const bool full =
        changes.rows.size() >= limit && it->first != changes.revision;
    if (full && changes.rows.back().row.version != it->first) {
      changes.more = true;
      changes.revision = changes.rows.back().row.version;
      break;
    }
    const Cell& cell = rows_.at(key);
    changes.rows.push_back({{key, cell.value, cell.version}, cell.erased});
  }
  return changes;
}

}  // namespace limeledge
