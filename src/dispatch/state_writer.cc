/// @file
/// Group commit under the scheduler's lease.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/state_writer.h"

#include <algorithm>
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
      revision_(claimed.revision),
      confirmed_at_(now) {}

void StateWriter::Mark(const RowKey& key, Render render) {
  dirty_[{key.table, key.key}].render = std::move(render);
}

void StateWriter::Remove(const RowKey& key) {
  dirty_[{key.table, key.key}].remove = true;
}

bool StateWriter::IsPending(const RowKey& key) const {
  const PendingKey pending{key.table, key.key};
  return dirty_.count(pending) != 0 || in_flight_rows_.count(pending) != 0;
}

void StateWriter::RunWhenStored(const RowKey& key, Action action) {
  const PendingKey pending{key.table, key.key};
  auto found = dirty_.find(pending);
  if (found == dirty_.end()) found = in_flight_rows_.find(pending);
  found->second.actions.push_back(std::move(action));
}

TimePoint StateWriter::next_at() const {
  if (in_flight_) return retry_scheduled_ ? retry_at_ : kNever;
  if (!dirty_.empty() || !MayAct()) return retry_at_;
  return std::max(retry_at_, confirmed_at_ + options_.renewal);
}

void StateWriter::Flush(Context& ctx) {
  if (in_flight_) {
    if (retry_scheduled_ && ctx.now() >= retry_at_) Send(ctx);
    return;
  }
  if (ctx.now() < retry_at_) return;
  const bool renewal_due =
      ctx.now() - confirmed_at_ >= options_.renewal || !MayAct();
  if (dirty_.empty() && !renewal_due && !release_) return;
  Compose();
  Send(ctx);
}

void StateWriter::Compose() {
  in_flight_ = true;
  outcome_unknown_ = false;
  transaction_ = RowTransaction();
  std::size_t bytes = 0;
  while (!dirty_.empty() && MayAct()) {
    const bool full = transaction_.puts.size() + transaction_.removes.size() >=
                          options_.max_rows ||
                      bytes >= options_.max_bytes;
    if (full) break;
    auto entry = dirty_.extract(dirty_.begin());
    const RowKey key{entry.key().first, entry.key().second};
    const Pending& pending = entry.mapped();
    std::optional<std::string> value;
    if (pending.render) value = pending.render();
    if (pending.remove) {
      transaction_.removes.push_back(key);
    } else if (value.has_value()) {
      bytes += value->size();
      transaction_.puts.push_back({key, *std::move(value)});
    }
    in_flight_rows_.insert(std::move(entry));
  }
  next_record_ = record_;
  ++next_record_.sequence;
  next_record_.released = release_ && dirty_.empty();
  // Before this node has counted the others, its predecessor's number holds.
  if (nodes_ > 0) next_record_.nodes = nodes_;
  next_record_.catalog = std::max(record_.catalog, announced_catalog_);
  next_record_.catalog_revision =
      std::max(record_.catalog_revision, announced_catalog_revision_);
  next_record_.forecast = announced_forecast_;
  transaction_.conditions.push_back({LeaderRowKey(), revision_});
  transaction_.puts.push_back({LeaderRowKey(), EncodeLeader(next_record_)});
}

void StateWriter::Send(Context& ctx) {
  retry_scheduled_ = false;
  sent_at_ = ctx.now();
  ticket_ = ctx.NewTicket();
  ctx.Emit(CommitRows{ticket_, StoreLane::kLeader, transaction_,
                      store_timeout_->For(unanswered_attempts_)});
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
  // The lease counts from the time the write was sent.
  confirmed_at_ = sent_at_;
  std::map<PendingKey, Pending> sent = std::move(in_flight_rows_);
  in_flight_rows_.clear();
  for (auto& [key, pending] : sent) {
    for (Action& action : pending.actions) action(ctx);
  }
}

void StateWriter::Requeue() {
  in_flight_ = false;
  for (auto& [key, pending] : in_flight_rows_) {
    Pending& newer = dirty_[key];
    if (!newer.render) newer.render = std::move(pending.render);
    newer.remove = newer.remove || pending.remove;
    // Older actions run first.
    pending.actions.insert(pending.actions.end(),
                           std::make_move_iterator(newer.actions.begin()),
                           std::make_move_iterator(newer.actions.end()));
    newer.actions = std::move(pending.actions);
  }
  in_flight_rows_.clear();
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
