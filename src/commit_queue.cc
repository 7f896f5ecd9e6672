/// @file
/// Group commit, and resolution of lost replies by the fence row.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/commit_queue.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

std::size_t Index(WritePriority priority) {
  return static_cast<std::size_t>(priority);
}

/// Returns true if the intent reads or writes a key in `keys`.
bool UsesAny(const WriteIntent& intent, const std::set<std::string>& keys) {
  for (const Write& write : intent.writes) {
    if (keys.count(write.key) != 0) return true;
  }
  for (const Condition& condition : intent.conditions) {
    if (keys.count(condition.key) != 0) return true;
  }
  return false;
}

void AddKeys(const WriteIntent& intent, std::set<std::string>* keys) {
  for (const Write& write : intent.writes) keys->insert(write.key);
}

std::vector<Row> FailedRows(const WriteIntent& intent,
                            const std::vector<Row>& current) {
  std::vector<Row> failed;
  for (const Condition& condition : intent.conditions) {
    for (const Row& row : current) {
      const bool mismatch =
          row.key == condition.key && row.version != condition.version;
      if (mismatch) failed.push_back(row);
    }
  }
  return failed;
}

}  // namespace

CommitQueue::CommitQueue(CommitQueueOptions options)
    : options_(std::move(options)) {}

void CommitQueue::Push(WriteIntent intent) {
  waiting_[Index(intent.priority)].push_back(std::move(intent));
}

std::optional<Transaction> CommitQueue::Next(TimePoint now,
                                             RateLimiter& budget) {
  if (in_flight()) return std::nullopt;
  if (in_doubt_) {
    if (!budget.Take(now, 1.0)) return std::nullopt;
    return StartResolve();
  }
  if (waiting() == 0 || !budget.ReadyAt(now)) return std::nullopt;
  Transaction transaction = StartBatch();
  budget.Take(now, static_cast<double>(transaction.writes.size()));
  return transaction;
}

std::vector<IntentResult> CommitQueue::OnReply(TimePoint now,
                                               const TransactionReply& reply) {
  if (std::holds_alternative<TransactionLost>(reply)) {
    phase_ = Phase::kIdle;
    in_doubt_ = true;
    return {};
  }
  std::vector<IntentResult> results;
  if (const auto* committed = std::get_if<TransactionCommitted>(&reply)) {
    results = OnCommitted(committed->revision);
  } else {
    results = OnConflict(std::get<TransactionConflict>(reply));
  }
  std::vector<IntentResult> expired = Expire(now);
  results.insert(results.end(), std::make_move_iterator(expired.begin()),
                 std::make_move_iterator(expired.end()));
  return results;
}

std::vector<IntentResult> CommitQueue::Expire(TimePoint now) {
  std::vector<IntentResult> results;
  for (std::deque<WriteIntent>& queue : waiting_) {
    for (auto it = queue.begin(); it != queue.end();) {
      if (it->give_up > now) {
        ++it;
        continue;
      }
      results.push_back({it->id, IntentOutcome::kNotWritten, Revision(), {}});
      it = queue.erase(it);
    }
  }
  return results;
}

std::size_t CommitQueue::waiting() const {
  std::size_t count = 0;
  for (const std::deque<WriteIntent>& queue : waiting_) count += queue.size();
  return count;
}

Transaction CommitQueue::StartBatch() {
  Transaction transaction;
  batch_token_ = next_token_;
  transaction.conditions.push_back({options_.fence_key, fence_version_});
  transaction.writes.push_back(FenceWrite());
  std::set<std::string> written;
  for (std::deque<WriteIntent>& queue : waiting_) {
    // Intents with the same key must keep their order, so a skipped intent
    // also holds back the later intents of this priority that use its keys.
    std::set<std::string> skipped;
    for (auto it = queue.begin(); it != queue.end();) {
      const bool full =
          transaction.writes.size() >= options_.max_rows_per_batch;
      if (full || UsesAny(*it, written) || UsesAny(*it, skipped)) {
        AddKeys(*it, &skipped);
        ++it;
        continue;
      }
      AddKeys(*it, &written);
      transaction.conditions.insert(transaction.conditions.end(),
                                    it->conditions.begin(),
                                    it->conditions.end());
      transaction.writes.insert(transaction.writes.end(), it->writes.begin(),
                                it->writes.end());
      batch_.push_back(std::move(*it));
      it = queue.erase(it);
    }
  }
  phase_ = Phase::kBatch;
  return transaction;
}

Transaction CommitQueue::StartResolve() {
  Transaction transaction;
  transaction.conditions.push_back({options_.fence_key, fence_version_});
  transaction.writes.push_back(FenceWrite());
  phase_ = Phase::kResolve;
  return transaction;
}

Write CommitQueue::FenceWrite() {
  return {options_.fence_key, absl::StrCat(next_token_++), false};
}

std::vector<IntentResult> CommitQueue::OnCommitted(Revision revision) {
  const bool resolved = phase_ == Phase::kResolve;
  phase_ = Phase::kIdle;
  in_doubt_ = false;
  fence_version_ = revision;
  if (!resolved) return FinishBatch(IntentOutcome::kCommitted, revision);
  RequeueBatch();
  return {};
}

std::vector<IntentResult> CommitQueue::OnConflict(
    const TransactionConflict& conflict) {
  const bool resolving = phase_ == Phase::kResolve;
  phase_ = Phase::kIdle;
  for (const Row& row : conflict.current) {
    const bool fence_changed =
        row.key == options_.fence_key && row.version != fence_version_;
    if (fence_changed) return ResolveAgainst(row);
  }
  if (resolving) return {};
  return RejectConflicting(conflict);
}

std::vector<IntentResult> CommitQueue::ResolveAgainst(const Row& fence) {
  in_doubt_ = false;
  fence_version_ = fence.version;
  if (fence.version == Revision(0)) {
    return FinishBatch(IntentOutcome::kUnknown, Revision());
  }
  if (fence.value == absl::StrCat(batch_token_)) {
    return FinishBatch(IntentOutcome::kCommitted, fence.version);
  }
  // The fence row holds the token of an earlier resolving write whose reply was
  // lost. That write was applied, so the batch was not.
  RequeueBatch();
  return {};
}

std::vector<IntentResult> CommitQueue::RejectConflicting(
    const TransactionConflict& conflict) {
  std::vector<IntentResult> results;
  std::vector<WriteIntent> retry;
  for (WriteIntent& intent : batch_) {
    std::vector<Row> failed = FailedRows(intent, conflict.current);
    if (failed.empty()) {
      retry.push_back(std::move(intent));
      continue;
    }
    results.push_back(
        {intent.id, IntentOutcome::kConflict, Revision(), std::move(failed)});
  }
  batch_ = std::move(retry);
  RequeueBatch();
  return results;
}

std::vector<IntentResult> CommitQueue::FinishBatch(IntentOutcome outcome,
                                                   Revision revision) {
  std::vector<IntentResult> results;
  results.reserve(batch_.size());
  for (const WriteIntent& intent : batch_) {
    results.push_back({intent.id, outcome, revision, {}});
  }
  batch_.clear();
  return results;
}

void CommitQueue::RequeueBatch() {
  for (auto it = batch_.rbegin(); it != batch_.rend(); ++it) {
    waiting_[Index(it->priority)].push_front(std::move(*it));
  }
  batch_.clear();
}

}  // namespace limeledge
