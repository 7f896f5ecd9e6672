/// @file
/// Group commit under the scheduler's lease.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/state_writer.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace limeledge::dispatch {

namespace {

RowKey LeaderRowKey() { return {kLeadershipTable, kLeaderKey}; }

}  // namespace

StateWriter::StateWriter(StateWriterOptions options,
                         const Leadership::Claimed& claimed,
                         const StoreTimeout* store_timeout, TimePoint now)
    : options_(options),
      store_timeout_(store_timeout),
      record_(claimed.record),
      latest_sequence_(claimed.record.sequence),
      revision_(claimed.revision),
      confirmed_at_(now) {}

void StateWriter::Mark(const RowKey& key, Render render) {
  Pending& pending = dirty_[key];
  pending.render = std::move(render);
  pending.remove = false;
  oversized_.erase(key);
}

void StateWriter::Remove(const RowKey& key) {
  Pending& pending = dirty_[key];
  pending.render = nullptr;
  pending.remove = true;
  oversized_.erase(key);
}

bool StateWriter::IsPending(const RowKey& key) const {
  return dirty_.count(key) != 0 || in_flight_rows_.count(key) != 0;
}

void StateWriter::RunWhenStored(const RowKey& key, Action action) {
  auto found = dirty_.find(key);
  if (found == dirty_.end()) found = in_flight_rows_.find(key);
  found->second.actions.push_back(std::move(action));
}

void StateWriter::RunWhenAllStored(const std::set<RowKey>& keys,
                                   Action action) {
  const auto remaining = std::make_shared<std::size_t>(keys.size());
  const auto shared_action = std::make_shared<Action>(std::move(action));
  for (const RowKey& key : keys) {
    RunWhenStored(key, [remaining, shared_action](Context& ctx) {
      if (--*remaining == 0) (*shared_action)(ctx);
    });
  }
}

std::vector<StateWriter::Action> StateWriter::Withdraw(const RowKey& key) {
  const auto found = dirty_.find(key);
  if (found == dirty_.end()) return {};
  std::vector<Action> actions = std::move(found->second.actions);
  dirty_.erase(found);
  oversized_.erase(key);
  suspects_.erase(key);
  return actions;
}

TimePoint StateWriter::SendableAt(const RowKey& key) const {
  if (oversized_.count(key) != 0) return kNever;
  const auto suspect = suspects_.find(key);
  return suspect == suspects_.end() ? TimePoint() : suspect->second.retry_at;
}

TimePoint StateWriter::FirstSendableAt() const {
  TimePoint first = kNever;
  for (const auto& [key, pending] : dirty_) {
    first = std::min(first, SendableAt(key));
    if (first == TimePoint()) break;
  }
  return first;
}

TimePoint StateWriter::next_at() const {
  if (in_flight_) return retry_scheduled_ ? retry_at_ : kNever;
  if (!MayAct()) return retry_at_;
  return std::max(
      retry_at_, std::min(FirstSendableAt(), confirmed_at_ + options_.renewal));
}

void StateWriter::Flush(Context& ctx) {
  if (in_flight_) {
    if (retry_scheduled_ && ctx.now() >= retry_at_) Send(ctx);
    return;
  }
  if (ctx.now() < retry_at_) return;
  const bool renewal_due =
      ctx.now() - confirmed_at_ >= options_.renewal || !MayAct();
  const bool has_rows = FirstSendableAt() <= ctx.now();
  if (!has_rows && !renewal_due && !release_) return;
  Compose(ctx.now());
  Send(ctx);
}

bool StateWriter::TransactionIsFull() const {
  return transaction_.puts.size() + transaction_.removes.size() >=
             options_.max_rows ||
         transaction_bytes_ >= options_.max_bytes;
}

void StateWriter::AddRow(DirtyRows::iterator dirty) {
  const Pending& pending = dirty->second;
  std::optional<std::string> value;
  if (!pending.remove && pending.render) value = pending.render();
  const bool too_large =
      value.has_value() && value->size() > options_.limits.max_row_bytes;
  if (too_large) {
    oversized_.insert(dirty->first);
    new_oversized_.insert(dirty->first);
    return;
  }
  if (pending.remove) {
    transaction_.removes.push_back(dirty->first);
  } else if (value.has_value()) {
    transaction_bytes_ += value->size();
    transaction_.puts.push_back({dirty->first, *std::move(value)});
  }
  in_flight_rows_.insert(dirty_.extract(dirty));
}

void StateWriter::AddRows(TimePoint now) {
  if (!MayAct()) return;
  const bool has_other_rows = std::any_of(
      dirty_.begin(), dirty_.end(),
      [this](const auto& row) { return SendableAt(row.first) == TimePoint(); });
  // Suspect rows take turns with all others.
  const bool tested_suspect = std::exchange(tests_suspect_, false);
  if (!tested_suspect || !has_other_rows) {
    for (const auto& [key, suspect] : suspects_) {
      const auto dirty = dirty_.find(key);
      if (dirty == dirty_.end() || SendableAt(key) > now) continue;
      tests_suspect_ = true;
      AddRow(dirty);
      return;
    }
  }
  for (auto it = dirty_.begin(); it != dirty_.end() && !TransactionIsFull();) {
    const auto dirty = it++;
    const bool waits = SendableAt(dirty->first) != TimePoint();
    if (!waits) AddRow(dirty);
  }
}

std::string StateWriter::EncodeNextRecord() {
  std::string value = EncodeLeader(next_record_);
  if (value.size() > options_.limits.max_row_bytes) {
    next_record_.forecast.reset();
    value = EncodeLeader(next_record_);
  }
  return value;
}

void StateWriter::Compose(TimePoint now) {
  in_flight_ = true;
  outcome_unknown_ = false;
  transaction_ = RowTransaction();
  transaction_bytes_ = 0;
  AddRows(now);
  next_record_ = record_;
  // An attempt of an earlier write may still be applied, so its number is not
  // used again.
  next_record_.sequence = ++latest_sequence_;
  next_record_.released = release_ && FirstSendableAt() > now;
  // Before this node has counted the others, its predecessor's number holds.
  if (nodes_ > 0) next_record_.nodes = nodes_;
  next_record_.catalog = std::max(record_.catalog, announced_catalog_);
  next_record_.catalog_revision =
      std::max(record_.catalog_revision, announced_catalog_revision_);
  next_record_.forecast = announced_forecast_;
  next_record_.divides_progress =
      divides_progress_.value_or(record_.divides_progress);
  transaction_.conditions.push_back({LeaderRowKey(), revision_});
  transaction_.puts.push_back({LeaderRowKey(), EncodeNextRecord()});
}

void StateWriter::Send(Context& ctx) {
  retry_scheduled_ = false;
  sent_at_ = ctx.now();
  timeout_ = store_timeout_->For(unanswered_attempts_);
  ticket_ = ctx.NewTicket();
  ctx.Emit(CommitRows{ticket_, StoreLane::kLeader, transaction_, timeout_});
}

void StateWriter::Confirm(TimePoint now) {
  const bool confirmation_required = !MayAct();
  // The lease counts from the time the write was sent.
  confirmed_at_ = sent_at_;
  // An answer that was handled after its timeout waited while the process was
  // paused once more.
  if (confirmation_required && now - sent_at_ > timeout_) {
    RequireConfirmation(now);
  }
}

void StateWriter::OnStored(Context& ctx, Revision revision) {
  if (outcome_unknown_) {
    ctx.Log(LogId::kWriteSettled,
            {{"sequence", std::to_string(next_record_.sequence)}});
  }
  in_flight_ = false;
  outcome_unknown_ = false;
  rejections_ = 0;
  unanswered_attempts_ = 0;
  record_ = next_record_;
  revision_ = revision;
  Confirm(ctx.now());
  DirtyRows sent = std::move(in_flight_rows_);
  in_flight_rows_.clear();
  for (auto& [key, pending] : sent) {
    suspects_.erase(key);
    for (Action& action : pending.actions) action(ctx);
  }
}

void StateWriter::Requeue() {
  in_flight_ = false;
  for (auto& [key, pending] : in_flight_rows_) {
    Pending& newer = dirty_[key];
    const bool superseded = newer.render || newer.remove;
    if (!superseded) {
      newer.render = std::move(pending.render);
      newer.remove = pending.remove;
    }
    // Older actions run first.
    pending.actions.insert(pending.actions.end(),
                           std::make_move_iterator(newer.actions.begin()),
                           std::make_move_iterator(newer.actions.end()));
    newer.actions = std::move(pending.actions);
  }
  in_flight_rows_.clear();
}

void StateWriter::OnRejected(Context& ctx) {
  std::vector<RowKey> rows;
  for (const RowWrite& put : transaction_.puts) {
    if (!(put.key == LeaderRowKey())) rows.push_back(put.key);
  }
  for (const RowKey& key : transaction_.removes) rows.push_back(key);
  ctx.Log(LogId::kWriteRejected,
          {{"sequence", std::to_string(next_record_.sequence)},
           {"rows", std::to_string(rows.size())},
           {"bytes", std::to_string(transaction_bytes_)},
           {"row", rows.empty() ? "" : rows.front().key}});
  unanswered_attempts_ = 0;
  // Without a row, the lease itself is not renewed.
  rejections_ = rows.empty() ? rejections_ + 1 : 0;
  if (rows.empty()) retry_at_ = ctx.now() + options_.retry_pause;
  for (const RowKey& key : rows) {
    const auto [suspect, added] =
        suspects_.try_emplace(key, Suspect{ctx.now(), Duration(0)});
    if (rows.size() > 1) continue;
    Duration& pause = suspect->second.pause;
    pause = pause == Duration(0)
                ? options_.rejected_pause
                : std::min(pause * 2, options_.max_rejected_pause);
    suspect->second.retry_at = ctx.now() + pause;
    new_rejected_.insert(key);
  }
  Requeue();
}

StateWriter::LeaseStatus StateWriter::Handle(Context& ctx,
                                             const CommitCompleted& answer) {
  switch (answer.outcome) {
    case StoreOutcome::kDone:
      OnStored(ctx, answer.revision);
      return record_.released ? LeaseStatus::kReleased : LeaseStatus::kHeld;
    case StoreOutcome::kConflict: {
      for (const Row& row : answer.rows) {
        if (!(row.key == LeaderRowKey())) continue;
        const absl::StatusOr<LeaderRecord> now = DecodeLeader(row.value);
        const bool ours = now.ok() && now->epoch == next_record_.epoch &&
                          now->holder == next_record_.holder &&
                          now->sequence == next_record_.sequence;
        // An earlier attempt of the same write was applied.
        if (outcome_unknown_ && ours) {
          OnStored(ctx, row.revision);
          return record_.released ? LeaseStatus::kReleased : LeaseStatus::kHeld;
        }
      }
      return LeaseStatus::kDeposed;
    }
    case StoreOutcome::kNotApplied:
      ++rejections_;
      if (outcome_unknown_) {
        Resend(ctx.now());
      } else {
        retry_at_ = ctx.now() + options_.retry_pause;
        Requeue();
      }
      return LeaseStatus::kHeld;
    case StoreOutcome::kRejected:
      OnRejected(ctx);
      return LeaseStatus::kHeld;
    default:
      break;
  }
  if (!outcome_unknown_) {
    ctx.Log(LogId::kWriteInDoubt,
            {{"sequence", std::to_string(next_record_.sequence)}});
  }
  outcome_unknown_ = true;
  Resend(ctx.now());
  ++unanswered_attempts_;
  return LeaseStatus::kHeld;
}

void StateWriter::Resend(TimePoint now) {
  retry_scheduled_ = true;
  Duration pause = options_.resend_pause;
  for (int i = 0; i < unanswered_attempts_ && pause < options_.retry_pause;
       ++i) {
    pause = pause * 2;
  }
  retry_at_ = now + std::min(pause, options_.retry_pause);
}

}  // namespace limeledge::dispatch
