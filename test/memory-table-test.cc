/// @file
/// Tests of the stand-in table.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "platform/memory_table.h"

namespace limeledge {

TEST_GROUP(MemoryTable) {
  MemoryTable table;

  Revision Put(const std::string& key, const std::string& value) {
    const auto reply = table.Commit({{}, {{key, value, false}}});
    return std::get<TransactionCommitted>(reply).revision;
  }
};

TEST(MemoryTable, FailedConditionWritesNothing) {
  Put("a", "1");
  const auto reply = table.Commit(
      {{{"a", Revision(0)}, {"b", Revision(0)}}, {{"b", "2", false}}});
  const auto* conflict = std::get_if<TransactionConflict>(&reply);
  CHECK_TRUE(conflict != nullptr);
  LONGS_EQUAL(1, conflict->current.size());
  LONGS_EQUAL(0, table.Read("b").version.value());
}

TEST(MemoryTable, ChangesCarryErasedRows) {
  const Revision first = Put("job/1", "x");
  table.Commit({{}, {{"job/1", "", true}}});
  const ChangedRows changes = table.Changes({"job/"}, first, 10);
  LONGS_EQUAL(1, changes.rows.size());
  CHECK_TRUE(changes.rows.front().erased);
}

TEST(MemoryTable, PagesCoverEveryChangeOnce) {
  for (int i = 0; i < 25; ++i) Put("job/" + std::to_string(i), "x");
  Put("claim/1", "x");
  Revision since;
  int rows = 0;
  bool more = true;
  while (more) {
    const ChangedRows page = table.Changes({"job/"}, since, 10);
    rows += static_cast<int>(page.rows.size());
    since = page.revision;
    more = page.more;
  }
  LONGS_EQUAL(25, rows);
  CHECK_TRUE(since == table.revision());
}

}  // namespace limeledge
