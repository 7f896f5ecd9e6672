/// @file
/// Tests of group commit and of resolving lost replies.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "CppUTest/TestHarness.h"
#include "limeledge/commit_queue.h"
#include "platform/memory_table.h"

namespace limeledge {

TEST_GROUP(CommitQueue) {
  CommitQueue queue{{"instance/e1/1", 64}};
  RateLimiter budget{1000000, 1000000};
  MemoryTable table;
  int next = 1;

  IntentId Push(const std::string& key, int version, const std::string& value,
                TimePoint give_up = TimePoint(1000000),
                WritePriority priority = WritePriority::kJobs) {
    const IntentId id(next++);
    queue.Push({id,
                priority,
                {{key, Revision(version)}},
                {{key, value, false}},
                give_up});
    return id;
  }

  Transaction MustSend() {
    auto transaction = queue.Next(TimePoint(0), budget);
    CHECK_TRUE(transaction.has_value());
    return *transaction;
  }

  std::vector<IntentResult> Reply(const Transaction& transaction) {
    return queue.OnReply(TimePoint(0), table.Commit(transaction));
  }

  std::vector<IntentResult> LoseReply() {
    return queue.OnReply(TimePoint(0), TransactionLost{});
  }

  static bool HasOutcome(const std::vector<IntentResult>& results, IntentId id,
                         IntentOutcome outcome) {
    return std::any_of(results.begin(), results.end(),
                       [&](const IntentResult& result) {
                         return result.id == id && result.outcome == outcome;
                       });
  }
};

TEST(CommitQueue, WaitingIntentsShareOneTransaction) {
  const IntentId a = Push("a", 0, "1");
  const IntentId b = Push("b", 0, "2");
  const auto results = Reply(MustSend());
  CHECK_TRUE(HasOutcome(results, a, IntentOutcome::kCommitted));
  CHECK_TRUE(HasOutcome(results, b, IntentOutcome::kCommitted));
  STRCMP_EQUAL("2", table.Read("b").value.c_str());
}

TEST(CommitQueue, OneTransactionAtATime) {
  Push("a", 0, "1");
  const Transaction first = MustSend();
  Push("b", 0, "2");
  CHECK_FALSE(queue.Next(TimePoint(0), budget).has_value());
  Reply(first);
  CHECK_TRUE(queue.Next(TimePoint(0), budget).has_value());
}

TEST(CommitQueue, ConflictRejectsOnlyItsIntent) {
  table.Commit({{}, {{"a", "other", false}}});
  const IntentId a = Push("a", 0, "1");
  const IntentId b = Push("b", 0, "2");
  const auto results = Reply(MustSend());
  CHECK_TRUE(HasOutcome(results, a, IntentOutcome::kConflict));
  STRCMP_EQUAL("other", results.front().current.front().value.c_str());
  CHECK_TRUE(HasOutcome(Reply(MustSend()), b, IntentOutcome::kCommitted));
}

TEST(CommitQueue, LostReplyOfAppliedBatchResolvesAsCommitted) {
  const IntentId a = Push("a", 0, "1");
  table.Commit(MustSend());
  LONGS_EQUAL(0, LoseReply().size());
  CHECK_TRUE(queue.in_doubt());
  CHECK_TRUE(HasOutcome(Reply(MustSend()), a, IntentOutcome::kCommitted));
  CHECK_FALSE(queue.in_doubt());
}

TEST(CommitQueue, LostReplyResolvesAsCommittedAfterTheRowWasOverwritten) {
  const IntentId a = Push("a", 0, "1");
  table.Commit(MustSend());
  LoseReply();
  table.Commit({{}, {{"a", "somebody else", false}}});
  CHECK_TRUE(HasOutcome(Reply(MustSend()), a, IntentOutcome::kCommitted));
}

TEST(CommitQueue, LostTransactionThatWasNotAppliedIsSentAgain) {
  const IntentId a = Push("a", 0, "1");
  const Transaction lost = MustSend();
  LoseReply();
  LONGS_EQUAL(0, Reply(MustSend()).size());
  // The first transaction arrives late. Its condition on the fence row fails,
  // so the writes are not applied twice.
  CHECK_TRUE(std::holds_alternative<TransactionConflict>(table.Commit(lost)));
  CHECK_TRUE(HasOutcome(Reply(MustSend()), a, IntentOutcome::kCommitted));
  STRCMP_EQUAL("1", table.Read("a").value.c_str());
}

TEST(CommitQueue, LostResolvingWriteIsResolvedByTheNextOne) {
  const IntentId a = Push("a", 0, "1");
  MustSend();
  LoseReply();
  table.Commit(MustSend());
  LoseReply();
  LONGS_EQUAL(0, Reply(MustSend()).size());
  CHECK_TRUE(HasOutcome(Reply(MustSend()), a, IntentOutcome::kCommitted));
}

TEST(CommitQueue, DeletedFenceRowMakesTheOutcomeUnknown) {
  Push("a", 0, "1");
  Reply(MustSend());
  const IntentId b = Push("b", 0, "1");
  MustSend();
  LoseReply();
  table.Commit({{}, {{"instance/e1/1", "", true}}});
  CHECK_TRUE(HasOutcome(Reply(MustSend()), b, IntentOutcome::kUnknown));
}

TEST(CommitQueue, WritesOfOneKeyKeepTheirOrder) {
  Push("a", 0, "1");
  Push("a", 1, "2");
  const Transaction first = MustSend();
  LONGS_EQUAL(2, first.writes.size());
  Reply(first);
  Reply(MustSend());
  STRCMP_EQUAL("2", table.Read("a").value.c_str());
}

TEST(CommitQueue, SettingsAreSentBeforeBookkeeping) {
  CommitQueue small{{"fence", 2}};
  small.Push({IntentId(1),
              WritePriority::kBookkeeping,
              {},
              {{"slow", "", false}},
              TimePoint(1000)});
  small.Push({IntentId(2),
              WritePriority::kSettings,
              {},
              {{"fast", "", false}},
              TimePoint(1000)});
  const auto transaction = small.Next(TimePoint(0), budget);
  STRCMP_EQUAL("fast", transaction->writes.back().key.c_str());
}

TEST(CommitQueue, ExpiredIntentIsNotWritten) {
  const IntentId a = Push("a", 0, "1", TimePoint(10));
  CHECK_TRUE(
      HasOutcome(queue.Expire(TimePoint(10)), a, IntentOutcome::kNotWritten));
  CHECK_FALSE(queue.Next(TimePoint(10), budget).has_value());
}

TEST(CommitQueue, ExhaustedBudgetDelaysWrites) {
  RateLimiter small{10, 1};
  Push("a", 0, "1");
  CHECK_TRUE(queue.Next(TimePoint(0), small).has_value());
  Reply({});
  Push("b", 0, "1");
  CHECK_FALSE(queue.Next(TimePoint(10), small).has_value());
  CHECK_TRUE(queue.Next(TimePoint(300), small).has_value());
}

}  // namespace limeledge
