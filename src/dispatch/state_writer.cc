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
                         const StoreTimeout* patience, TimePoint now)
    : options_(options),
      patience_(patience),
      record_(claimed.record),
      revision_(claimed.revision),
      confirmed_at_(now) {}

void StateWriter::Mark(const RowKey& key, Render render) {
  marked_[{key.table, key.key}].render = std::move(render);
}

void StateWriter::Remove(const RowKey& key) {
  marked_[{key.table, key.key}].remove = true;
}

bool StateWriter::IsPending(const RowKey& key) const {
  const PendingKey pending{key.table, key.key};
  return marked_.count(pending) != 0 || sent_.count(pending) != 0;
}

void StateWriter::RunWhenStored(const RowKey& key, Action action) {
  const PendingKey pending{key.table, key.key};
  auto found = marked_.find(pending);
  if (found == marked_.end()) found = sent_.find(pending);
  found->second.actions.push_back(std::move(action));
}

TimePoint StateWriter::next_at() const {
  if (in_flight_) return waits_ ? retry_at_ : kNever;
  if (!marked_.empty() || !MayAct()) return retry_at_;
  return std::max(retry_at_, confirmed_at_ + options_.renewal);
}

void StateWriter::Flush(Context& ctx) {
  if (in_flight_) {
    if (waits_ && ctx.now() >= retry_at_) Send(ctx);
    return;
  }
  if (ctx.now() < retry_at_) return;
  const bool renewal_due =
      ctx.now() - confirmed_at_ >= options_.renewal || !MayAct();
  if (marked_.empty() && !renewal_due && !release_) return;
  Compose();
  Send(ctx);
}

void StateWriter::Compose() {
  in_flight_ = true;
  unsettled_ = false;
  transaction_ = RowTransaction();
  std::size_t bytes = 0;
  while (!marked_.empty() && MayAct()) {
    const bool full = transaction_.puts.size() + transaction_.removes.size() >=
                          options_.max_rows ||
                      bytes >= options_.max_bytes;
    if (full) break;
    auto entry = marked_.extract(marked_.begin());
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
    sent_.insert(std::move(entry));
  }
  next_record_ = record_;
  ++next_record_.sequence;
  next_record_.released = release_ && marked_.empty();
  transaction_.conditions.push_back({LeaderRowKey(), revision_});
  transaction_.puts.push_back({LeaderRowKey(), EncodeLeader(next_record_)});
}

void StateWriter::Send(Context& ctx) {
  waits_ = false;
  sent_at_ = ctx.now();
  call_ = ctx.NewTicket();
  ctx.Emit(CommitRows{call_, StoreLane::kLeader, transaction_,
                      patience_->For(misses_)});
}

void StateWriter::Stored(Context& ctx, Revision revision) {
  if (unsettled_) {
    ctx.Log(LogId::kWriteSettled,
            {{"sequence", std::to_string(next_record_.sequence)}});
  }
  in_flight_ = false;
  unsettled_ = false;
  refusals_ = 0;
  misses_ = 0;
  record_ = next_record_;
  revision_ = revision;
  // The lease counts from before the write.
  confirmed_at_ = sent_at_;
  std::map<PendingKey, Pending> sent = std::move(sent_);
  sent_.clear();
  for (auto& [key, pending] : sent) {
    for (Action& action : pending.actions) action(ctx);
  }
}

void StateWriter::PutBack() {
  in_flight_ = false;
  for (auto& [key, pending] : sent_) {
    Pending& newer = marked_[key];
    if (!newer.render) newer.render = std::move(pending.render);
    newer.remove = newer.remove || pending.remove;
    // What waited longer comes first.
    pending.actions.insert(pending.actions.end(),
                           std::make_move_iterator(newer.actions.begin()),
                           std::make_move_iterator(newer.actions.end()));
    newer.actions = std::move(pending.actions);
  }
  sent_.clear();
}

StateWriter::LeaseStatus StateWriter::Handle(Context& ctx,
                                             const CommitCompleted& answer) {
  switch (answer.outcome) {
    case StoreOutcome::kDone:
      Stored(ctx, answer.revision);
      return record_.released ? LeaseStatus::kReleased : LeaseStatus::kHeld;
    case StoreOutcome::kConflict: {
      for (const Row& row : answer.rows) {
        if (!(row.key == LeaderRowKey())) continue;
        const absl::StatusOr<LeaderRecord> now = DecodeLeader(row.value);
        const bool ours = now.ok() && now->epoch == next_record_.epoch &&
                          now->holder == next_record_.holder &&
                          now->sequence == next_record_.sequence;
        // An earlier sending of this very write has come through.
        if (unsettled_ && ours) {
          Stored(ctx, row.revision);
          return record_.released ? LeaseStatus::kReleased : LeaseStatus::kHeld;
        }
      }
      return LeaseStatus::kDeposed;
    }
    case StoreOutcome::kNotApplied:
      ++refusals_;
      if (unsettled_) {
        Resend(ctx.now());
      } else {
        retry_at_ = ctx.now() + options_.retry_pause;
        PutBack();
      }
      return LeaseStatus::kHeld;
    default:
      break;
  }
  if (!unsettled_) {
    ctx.Log(LogId::kWriteInDoubt,
            {{"sequence", std::to_string(next_record_.sequence)}});
  }
  unsettled_ = true;
  Resend(ctx.now());
  ++misses_;
  return LeaseStatus::kHeld;
}

void StateWriter::Resend(TimePoint now) {
  waits_ = true;
  Duration pause = options_.resend_pause;
  for (int i = 0; i < misses_ && pause < options_.retry_pause; ++i) {
    pause = pause * 2;
  }
  retry_at_ = now + std::min(pause, options_.retry_pause);
}

}  // namespace limeledge::dispatch
