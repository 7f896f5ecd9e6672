/// @file
/// Group commit of conditional writes. A fence row resolves transactions whose
/// replies were lost.
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

/// Identifies an intent within one queue.
using IntentId = Number<struct IntentIdTag>;

/// Priority of an intent, highest first. Batches are filled in this order, so
/// lower priorities wait longer when the write budget is short.
enum class WritePriority { kSettings, kJobs, kClaims, kBookkeeping };
inline constexpr std::size_t kWritePriorities = 4;

/// A conditional write of one or more rows, applied completely or not at all.
struct WriteIntent {
  IntentId id;
  WritePriority priority = WritePriority::kJobs;
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  /// Deadline for sending. An intent that is still waiting then is dropped with
  /// the outcome `kNotWritten`.
  TimePoint give_up;
};

/// Final outcome of an intent.
enum class IntentOutcome {
  /// All writes were applied.
  kCommitted,
  /// A condition failed; nothing was written.
  kConflict,
  /// The intent was not sent, or the store certainly did not apply it.
  kNotWritten,
  /// The fence row was deleted, so the outcome of the transaction could not be
  /// determined.
  kUnknown,
};

/// The outcome of one intent.
struct IntentResult {
  IntentId id;
  IntentOutcome outcome = IntentOutcome::kNotWritten;
  /// Revision of the written rows; set only for `kCommitted`.
  Revision revision;
  /// Current rows of this intent's failed conditions; set only for `kConflict`.
  std::vector<Row> current;
};

/// Options of a commit queue.
struct CommitQueueOptions {
  /// Key of the fence row, which only this queue writes. Every process
  /// incarnation must use a key of its own.
  std::string fence_key;
  /// A batch takes no further intent once it has this many rows, including the
  /// fence row. The last intent may exceed the limit.
  std::size_t max_rows_per_batch = 64;
};

/// Batches waiting intents into one transaction per round trip.
///
/// Every transaction also writes the fence row, on condition that the row has
/// the version last seen. This resolves a transaction whose reply was lost: the
/// queue writes the fence row again on the same condition. If that write
/// succeeds, the lost transaction was not applied and can no longer be applied;
/// if it fails, the value of the fence row tells which write was applied.
///
///     queue.Push(intent);
///     if (auto tx = queue.Next(now, budget)) Send(*tx);
///     for (const IntentResult& r : queue.OnReply(now, reply)) Handle(r);
///
/// Thread safety: none; use it from one thread.
class CommitQueue {
 public:
  explicit CommitQueue(CommitQueueOptions options);

  /// Adds an intent. Precondition: no intent with `intent.id` is waiting.
  void Push(WriteIntent intent);

  /// Returns the next transaction to send. Returns nothing if a transaction is
  /// in flight, there is nothing to send, or `budget` (in rows) is exhausted.
  std::optional<Transaction> Next(TimePoint now, RateLimiter& budget);

  /// Handles the reply to the transaction that `Next` returned last, and
  /// returns the intents that are finished, including expired ones.
  /// Precondition: a transaction is in flight.
  std::vector<IntentResult> OnReply(TimePoint now,
                                    const TransactionReply& reply);

  /// Removes waiting intents whose `give_up` time has come and returns them
  /// with the outcome `kNotWritten`.
  std::vector<IntentResult> Expire(TimePoint now);

  /// True while a transaction was sent and its reply is outstanding.
  bool in_flight() const { return phase_ != Phase::kIdle; }
  /// True from a lost reply until the fence row has resolved it.
  bool in_doubt() const { return in_doubt_; }
  /// Number of intents that wait to be sent.
  std::size_t waiting() const;
  /// Number of intents that were sent and have no known outcome.
  std::size_t batch_size() const { return batch_.size(); }

 private:
  enum class Phase { kIdle, kBatch, kResolve };

  Transaction StartBatch();
  Transaction StartResolve();
  std::vector<IntentResult> OnCommitted(Revision revision);
  std::vector<IntentResult> OnConflict(const TransactionConflict& conflict);
  std::vector<IntentResult> ResolveAgainst(const Row& fence);
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
