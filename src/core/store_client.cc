/// @file
/// Store traffic of one instance.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/store_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

constexpr Duration kFirstBackoff{100};
constexpr Duration kLongestBackoff{1000};
/// Rows that may be written at once, in seconds of the budget.
constexpr double kBurstSeconds = 1.0;
constexpr double kDefaultRowsPerSecond = 30.0;

CommitQueueOptions QueueOptions(const Identity& self) {
  CommitQueueOptions options;
  options.fence_key =
      absl::StrCat("instance/", self.id.value(), "/", self.incarnation);
  return options;
}

}  // namespace

StoreClient::StoreClient(const Identity& self)
    : queue_(QueueOptions(self)),
      budget_(kDefaultRowsPerSecond, kDefaultRowsPerSecond) {}

void StoreClient::Push(WriteRequest request) {
  const IntentId id = next_id_;
  next_id_ = next_id_.Next();
  pending_[id] = {std::move(request.purpose), request.writes};
  queue_.Push({id, request.priority, std::move(request.conditions),
               std::move(request.writes), request.give_up});
}

std::vector<FinishedWrite> StoreClient::OnTransactionReply(
    Context& ctx, const TransactionReply& reply) {
  const bool lost = std::holds_alternative<TransactionLost>(reply);
  const bool was_in_doubt = queue_.in_doubt();
  NoteReachable(ctx, !lost);
  ctx.shared.counters.store_time.Add(ctx.now - sent_at_);
  if (lost) {
    ++ctx.shared.counters.lost_answers;
    if (!was_in_doubt) ctx.Log(LogId::kWriteInDoubt, {});
  }
  if (std::holds_alternative<TransactionConflict>(reply)) {
    ++ctx.shared.counters.conflicts;
  }
  std::vector<IntentResult> results = queue_.OnReply(ctx.now, reply);
  if (was_in_doubt && !queue_.in_doubt()) ctx.Log(LogId::kWriteSettled, {});
  return Finish(std::move(results));
}

void StoreClient::OnRowsRead(Context& ctx, const RowsRead& read) {
  reading_ = false;
  NoteReachable(ctx, read.changes.has_value());
  if (!read.changes.has_value()) return;
  ctx.shared.counters.rows_read +=
      static_cast<std::int64_t>(read.changes->rows.size());
  if (read.changes->more) {
    read_now_ = true;
  } else {
    readings_done_ = readings_begun_;
  }
}

std::int64_t StoreClient::ReadSoon() {
  read_now_ = true;
  return readings_begun_ + 1;
}

std::vector<FinishedWrite> StoreClient::Expire(Context& ctx) {
  return Finish(queue_.Expire(ctx.now));
}

void StoreClient::Advance(Context& ctx) {
  if (ctx.now < retry_at_) return;
  AdvanceWrites(ctx);
  AdvanceReads(ctx);
}

bool StoreClient::idle() const {
  return pending_.empty() && !queue_.in_flight();
}

std::vector<FinishedWrite> StoreClient::Finish(
    std::vector<IntentResult> results) {
  std::vector<FinishedWrite> finished;
  finished.reserve(results.size());
  for (IntentResult& result : results) {
    const auto it = pending_.find(result.id);
    if (it == pending_.end()) continue;
    finished.push_back({std::move(it->second.purpose), result.outcome,
                        result.revision, std::move(it->second.writes),
                        std::move(result.current)});
    pending_.erase(it);
  }
  return finished;
}

void StoreClient::NoteReachable(Context& ctx, bool reachable) {
  if (reachable != ctx.shared.store_reachable) {
    ctx.Log(reachable ? LogId::kStoreBack : LogId::kStoreLost, {});
  }
  ctx.shared.store_reachable = reachable;
  if (reachable) {
    backoff_ = Duration();
    retry_at_ = ctx.now;
    return;
  }
  backoff_ = std::min(kLongestBackoff, std::max(kFirstBackoff, backoff_ * 2));
  retry_at_ = ctx.now + backoff_;
}

void StoreClient::AdvanceWrites(Context& ctx) {
  const std::size_t members =
      std::max<std::size_t>(1, ctx.shared.members.Live(ctx.now).size());
  const double rows =
      ctx.shared.system.store_rows_per_second / static_cast<double>(members);
  budget_.SetRate(rows, std::max(1.0, rows * kBurstSeconds));
  std::optional<Transaction> transaction = queue_.Next(ctx.now, budget_);
  if (!transaction.has_value()) return;
  ++ctx.shared.counters.transactions;
  ctx.shared.counters.rows_written +=
      static_cast<std::int64_t>(transaction->writes.size());
  sent_at_ = ctx.now;
  ctx.Emit(SendTransaction{*std::move(transaction)});
}

void StoreClient::AdvanceReads(Context& ctx) {
  if (reading_) return;
  const bool due = ctx.now - last_read_ >= ctx.shared.system.store_poll;
  if (!due && !read_now_) return;
  reading_ = true;
  ++readings_begun_;
  read_now_ = false;
  last_read_ = ctx.now;
  ctx.Emit(ReadRows{ctx.shared.mirror.read_up_to()});
}

}  // namespace limeledge
