/// @file
/// Implementation of the in-memory store.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "emulator/emulated_store.h"

#include <algorithm>

namespace limeledge::emulator {

using dispatch::StoreOutcome;

dispatch::Row EmulatedStore::RowOf(const Key& key, const Cell& cell) {
  dispatch::Row row;
  row.key = {std::get<0>(key), std::get<2>(key)};
  row.value = cell.value;
  row.revision = cell.removed ? Revision() : cell.revision;
  row.removed = cell.removed;
  return row;
}

bool EmulatedStore::Accepts(const dispatch::RowTransaction& transaction) const {
  constexpr std::size_t kMaxEntries = 100;
  constexpr std::size_t kMaxBytes = 750000;
  std::size_t bytes = 0;
  for (const dispatch::RowWrite& put : transaction.puts) {
    if (put.value.size() > limits_.max_row_bytes) return false;
    if (rejected_keys_.count(put.key.key) != 0) return false;
    bytes += put.value.size();
  }
  const std::size_t entries = transaction.conditions.size() +
                              transaction.puts.size() +
                              transaction.removes.size();
  return entries <= kMaxEntries && bytes <= kMaxBytes;
}

dispatch::CommitCompleted EmulatedStore::Commit(
    const dispatch::RowTransaction& transaction) {
  dispatch::CommitCompleted answer;
  if (!Accepts(transaction)) {
    answer.outcome = StoreOutcome::kRejected;
    return answer;
  }
  answer.outcome = StoreOutcome::kDone;
  for (const dispatch::RowCondition& condition : transaction.conditions) {
    const Key key{condition.key.table, transaction.partition,
                  condition.key.key};
    const auto found = cells_.find(key);
    const Cell cell =
        found == cells_.end() ? Cell{"", Revision(), true} : found->second;
    const dispatch::Row row = RowOf(key, cell);
    if (row.revision != condition.revision) {
      answer.outcome = StoreOutcome::kConflict;
    }
    if (!cell.removed) answer.rows.push_back(row);
  }
  if (answer.outcome == StoreOutcome::kConflict) return answer;
  answer.rows.clear();
  revision_ = revision_.Next();
  answer.revision = revision_;
  for (const dispatch::RowWrite& put : transaction.puts) {
    cells_[{put.key.table, transaction.partition, put.key.key}] = {
        put.value, revision_, false};
  }
  for (const dispatch::RowKey& key : transaction.removes) {
    cells_[{key.table, transaction.partition, key.key}] = {"", revision_, true};
  }
  return answer;
}

dispatch::ReadCompleted EmulatedStore::Read(const std::string& table,
                                            const std::string& partition,
                                            const std::string& from,
                                            const std::string& to,
                                            int limit) const {
  dispatch::ReadCompleted answer;
  answer.outcome = StoreOutcome::kDone;
  answer.newest = revision_;
  for (auto it = cells_.lower_bound({table, partition, from});
       it != cells_.end() && std::get<0>(it->first) == table &&
       std::get<1>(it->first) == partition;
       ++it) {
    if (!to.empty() && std::get<2>(it->first) >= to) break;
    if (it->second.removed) continue;
    if (static_cast<int>(answer.rows.size()) == limit) {
      answer.has_more = true;
      break;
    }
    answer.rows.push_back(RowOf(it->first, it->second));
  }
  return answer;
}

dispatch::ChangesReceived EmulatedStore::Changes(const std::string& table,
                                                 Revision after) const {
  dispatch::ChangesReceived answer;
  if (after < history_from_) {
    answer.outcome = StoreOutcome::kHistoryCompacted;
    return answer;
  }
  answer.outcome = StoreOutcome::kDone;
  answer.newest = revision_;
  std::vector<std::pair<Revision, dispatch::Row>> rows;
  for (auto it = cells_.lower_bound({table, "", ""});
       it != cells_.end() && std::get<0>(it->first) == table; ++it) {
    if (it->second.revision <= after) continue;
    rows.emplace_back(it->second.revision, RowOf(it->first, it->second));
  }
  std::sort(rows.begin(), rows.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  for (auto& [revision, row] : rows) answer.rows.push_back(std::move(row));
  return answer;
}

}  // namespace limeledge::emulator
