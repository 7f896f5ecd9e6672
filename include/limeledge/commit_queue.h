/// @file
/// Group commit of conditional writes, with lost answers settled by a fence
/// row.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_COMMIT_QUEUE_H_
#define LIMELEDGE_COMMIT_QUEUE_H_

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "limeledge/base.h"
#include "limeledge/clock.h"
#include "limeledge/rate_limiter.h"
#include "limeledge/table.h"

namespace limeledge {

/// Names one intent inside one queue.
using IntentId = Number<struct IntentIdTag>;

/// Which intents go first when the write budget is short.
enum class WritePriority { kSettings, kJobs, kClaims, kBookkeeping };
inline constexpr std::size_t kWritePriorities = 4;

/// A conditional write that waits for the store.
struct WriteIntent {
  IntentId id;
  WritePriority priority = WritePriority::kJobs;
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  /// Dropped as `kNotWritten` when it has not been sent by then.
  TimePoint give_up;
};

/// What became of an intent.
enum class IntentOutcome {
  kCommitted,
  /// A condition failed; nothing was written.
  kConflict,
  /// Never sent, or certainly without effect.
  kNotWritten,
  /// The fence row vanished while an answer was missing.
  kUnknown,
};

struct IntentResult {
  IntentId id;
  IntentOutcome outcome = IntentOutcome::kNotWritten;
  /// Revision of the written rows, for `kCommitted`.
  Revision revision;
  /// The present rows of this intent's failed conditions, for `kConflict`.
  std::vector<Row> current;
};

/// Bounds of one queue.
struct CommitQueueOptions {
  /// Row that only this queue writes; one key per process incarnation.
  std::string fence_key;
  std::size_t max_rows_per_batch = 64;
};

/// Sends all waiting intents in one transaction per round trip. Every
/// transaction also writes the fence row, so that a transaction whose answer
/// was lost is settled exactly: a new write of the fence row either succeeds,
/// and the lost one can never take effect, or fails and shows that it did.
///
///     queue.Push(intent);
///     if (auto tx = queue.Next(now)) Send(*tx);
///     for (const IntentResult& r : queue.OnReply(now, reply)) Handle(r);
///
/// Thread safety: none; use it from one thread.
class CommitQueue {
 public:
  explicit CommitQueue(CommitQueueOptions options);

  /// Adds an intent. Precondition: `intent.id` is not waiting here already.
  void Push(WriteIntent intent);

  /// Returns the next transaction to send, or nothing when one is in flight,
  /// nothing waits, or `budget` (in rows) is used up.
  std::optional<Transaction> Next(TimePoint now, RateLimiter& budget);

  /// Takes the reply to the transaction that `Next` returned last.
  /// Precondition: a transaction is in flight.
  std::vector<IntentResult> OnReply(TimePoint now,
                                    const TransactionReply& reply);

  /// Removes intents that were not sent by their `give_up` moment.
  std::vector<IntentResult> Expire(TimePoint now);

  bool in_flight() const { return phase_ != Phase::kIdle; }
  /// True while an answer is missing and the fence has not settled it.
  bool in_doubt() const { return in_doubt_; }
  std::size_t waiting() const;
  std::size_t batch_size() const { return batch_.size(); }

 private:
  enum class Phase { kIdle, kBatch, kSettle };

  Transaction StartBatch();
  Transaction StartSettle();
  std::vector<IntentResult> OnCommitted(Revision revision);
  std::vector<IntentResult> OnConflict(const TransactionConflict& conflict);
  std::vector<IntentResult> SettleAgainst(const Row& fence);
  std::vector<IntentResult> RejectConflicting(
      const TransactionConflict& conflict);
  std::vector<IntentResult> FinishBatch(IntentOutcome outcome,
                                        Revision revision);
  void RequeueBatch();
  Write FenceWrite();

  CommitQueueOptions options_;
  std::array<std::deque<WriteIntent>, kWritePriorities> waiting_;
  std::vector<WriteIntent> batch_;
  Phase phase_ = Phase::kIdle;
  bool in_doubt_ = false;
  Revision fence_version_;
  std::int64_t next_token_ = 1;
  std::int64_t batch_token_ = 0;
};

}  // namespace limeledge

#endif  // LIMELEDGE_COMMIT_QUEUE_H_
