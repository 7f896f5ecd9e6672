/// @file
/// Tests of group commit and of settling lost answers.
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

  std::vector<IntentResult> Answer(const Transaction& transaction) {
    return queue.OnReply(TimePoint(0), table.Commit(transaction));
  }

  std::vector<IntentResult> Lose() {
    return queue.OnReply(TimePoint(0), TransactionLost{});
  }

  static bool Is(const std::vector<IntentResult>& results, IntentId id,
                 IntentOutcome outcome) {
    return std::any_of(results.begin(), results.end(),
                       [&](const IntentResult& result) {
                         return result.id == id && result.outcome == outcome;
                       });
  }
};

TEST(CommitQueue, WaitingIntentsGoInOneTransaction) {
  const IntentId a = Push("a", 0, "1");
  const IntentId b = Push("b", 0, "2");
  const auto results = Answer(MustSend());
  CHECK_TRUE(Is(results, a, IntentOutcome::kCommitted));
  CHECK_TRUE(Is(results, b, IntentOutcome::kCommitted));
  STRCMP_EQUAL("2", table.Read("b").value.c_str());
}

TEST(CommitQueue, OneTransactionAtATime) {
  Push("a", 0, "1");
  const Transaction first = MustSend();
  Push("b", 0, "2");
  CHECK_FALSE(queue.Next(TimePoint(0), budget).has_value());
  Answer(first);
  CHECK_TRUE(queue.Next(TimePoint(0), budget).has_value());
}

TEST(CommitQueue, ConflictRejectsOnlyItsIntent) {
  table.Commit({{}, {{"a", "other", false}}});
  const IntentId a = Push("a", 0, "1");
  const IntentId b = Push("b", 0, "2");
  const auto results = Answer(MustSend());
  CHECK_TRUE(Is(results, a, IntentOutcome::kConflict));
  STRCMP_EQUAL("other", results.front().current.front().value.c_str());
  CHECK_TRUE(Is(Answer(MustSend()), b, IntentOutcome::kCommitted));
}

TEST(CommitQueue, LostAnswerAfterEffectIsSettledAsCommitted) {
  const IntentId a = Push("a", 0, "1");
  table.Commit(MustSend());
  LONGS_EQUAL(0, Lose().size());
  CHECK_TRUE(queue.in_doubt());
  CHECK_TRUE(Is(Answer(MustSend()), a, IntentOutcome::kCommitted));
  CHECK_FALSE(queue.in_doubt());
}

TEST(CommitQueue, LostAnswerStaysCommittedAfterTheRowWasOverwritten) {
  const IntentId a = Push("a", 0, "1");
  table.Commit(MustSend());
  Lose();
  table.Commit({{}, {{"a", "somebody else", false}}});
  CHECK_TRUE(Is(Answer(MustSend()), a, IntentOutcome::kCommitted));
}

TEST(CommitQueue, LostTransactionWithoutEffectIsSentAgainAfterAFence) {
  const IntentId a = Push("a", 0, "1");
  const Transaction lost = MustSend();
  Lose();
  LONGS_EQUAL(0, Answer(MustSend()).size());
  // The first one arrives late: the fence has made it void.
  CHECK_TRUE(std::holds_alternative<TransactionConflict>(table.Commit(lost)));
  CHECK_TRUE(Is(Answer(MustSend()), a, IntentOutcome::kCommitted));
  STRCMP_EQUAL("1", table.Read("a").value.c_str());
}

TEST(CommitQueue, LostFenceIsSettledByTheNextOne) {
  const IntentId a = Push("a", 0, "1");
  MustSend();
  Lose();
  table.Commit(MustSend());
  Lose();
  LONGS_EQUAL(0, Answer(MustSend()).size());
  CHECK_TRUE(Is(Answer(MustSend()), a, IntentOutcome::kCommitted));
}

TEST(CommitQueue, VanishedFenceMakesTheOutcomeUnknown) {
  Push("a", 0, "1");
  Answer(MustSend());
  const IntentId b = Push("b", 0, "1");
  MustSend();
  Lose();
  table.Commit({{}, {{"instance/e1/1", "", true}}});
  CHECK_TRUE(Is(Answer(MustSend()), b, IntentOutcome::kUnknown));
}

TEST(CommitQueue, WritesOfOneKeyKeepTheirOrder) {
  Push("a", 0, "1");
  Push("a", 1, "2");
  const Transaction first = MustSend();
  LONGS_EQUAL(2, first.writes.size());
  Answer(first);
  Answer(MustSend());
  STRCMP_EQUAL("2", table.Read("a").value.c_str());
}

TEST(CommitQueue, SettingsGoBeforeBookkeeping) {
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

TEST(CommitQueue, OldIntentIsNotWritten) {
  const IntentId a = Push("a", 0, "1", TimePoint(10));
  CHECK_TRUE(Is(queue.Expire(TimePoint(10)), a, IntentOutcome::kNotWritten));
  CHECK_FALSE(queue.Next(TimePoint(10), budget).has_value());
}

TEST(CommitQueue, UsedUpBudgetHoldsWritesBack) {
  RateLimiter small{10, 1};
  Push("a", 0, "1");
  CHECK_TRUE(queue.Next(TimePoint(0), small).has_value());
  Answer({});
  Push("b", 0, "1");
  CHECK_FALSE(queue.Next(TimePoint(10), small).has_value());
  CHECK_TRUE(queue.Next(TimePoint(300), small).has_value());
}

}  // namespace limeledge
