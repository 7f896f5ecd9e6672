/// @file
/// Following and claiming the lease on scheduling.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/leadership.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

namespace {

RowKey LeaderRowKey() { return {kLeadershipTable, kLeaderKey}; }

/// The instance of a holder, which is named INSTANCE/LIFE.
std::string_view InstanceOf(std::string_view holder) {
  return holder.substr(0, holder.rfind('/'));
}

}  // namespace

Leadership::Leadership(LeadershipOptions options, std::string holder,
                       const StoreTimeout* patience)
    : options_(options),
      holder_(std::move(holder)),
      patience_(patience),
      watch_(options.lease) {}

void Leadership::Wait(TimePoint now, Duration delay) {
  call_under_way_ = false;
  next_at_ = now + delay;
}

void Leadership::Reset(TimePoint now) {
  watch_ = WatchedLease(options_.lease);
  Wait(now, options_.poll_interval);
}

void Leadership::Follow(Context& ctx) {
  if (call_under_way_ || ctx.now() < next_at_) return;
  call_under_way_ = true;
  call_ = ctx.NewTicket();
  read_sent_at_ = ctx.now();
  const std::string after_key = absl::StrCat(kLeaderKey, "/");
  ctx.Emit(ReadRows{call_, StoreLane::kLeader, kLeadershipTable, "", kLeaderKey,
                    after_key, 1, patience_->For(misses_)});
}

void Leadership::Handle(Context& ctx, const ReadCompleted& answer) {
  Wait(ctx.now(), options_.poll_interval);
  const bool answered = answer.outcome == StoreOutcome::kDone;
  misses_ = answered ? 0 : misses_ + 1;
  refused_ = answer.outcome == StoreOutcome::kNotApplied;
  if (!answered) {
    // The holder may have renewed meanwhile: watch from the start.
    watch_ = WatchedLease(options_.lease);
    return;
  }
  if (answer.rows.empty()) {
    Claim(ctx, LeaderRecord(), Revision());
  } else {
    Observe(ctx, answer.rows.front());
  }
}

void Leadership::Observe(Context& ctx, const Row& row) {
  const absl::StatusOr<LeaderRecord> record = DecodeLeader(row.value);
  if (!record.ok()) {
    ctx.Log(LogId::kRowUnreadable,
            {{"row", "leader"}, {"error", record.status().ToString()}});
    return;
  }
  const Duration latency = ctx.now() - read_sent_at_;
  const Duration wait = IsSmall(*record) ? options_.small_delay : Duration(0);
  watch_.SetLength(options_.lease + wait +
                   latency * options_.lease_per_latency);
  watch_.Observe(ctx.now(), row.revision);
  // Its own name: a claim whose answer was lost, a lease that this node stepped
  // back from, or an earlier life of the instance, which is over. Should that
  // one live on, while its machine is replaced, the new epoch deposes it.
  // One that has led already was deposed by it, and does not claim back.
  const bool earlier_life =
      !has_led_ && InstanceOf(record->holder) == InstanceOf(holder_);
  const bool own = record->holder == holder_ || earlier_life;
  const bool lapsed = watch_.LapsedAt(ctx.now());
  const bool given_up = record->released && !IsSmall(*record);
  const bool free = given_up || own || lapsed || IsMuchLargerThan(*record);
  if (free) Claim(ctx, *record, row.revision);
}

bool Leadership::IsSmall(const LeaderRecord& record) const {
  return static_cast<double>(options_.capacity) * options_.capacity_factor <
         static_cast<double>(record.largest_capacity);
}

bool Leadership::IsMuchLargerThan(const LeaderRecord& record) const {
  return static_cast<double>(options_.capacity) >
         static_cast<double>(record.capacity) * options_.capacity_factor;
}

void Leadership::Claim(Context& ctx, const LeaderRecord& seen,
                       Revision revision) {
  if (retired_) return;
  claim_ = LeaderRecord();
  claim_.epoch = seen.epoch.Next();
  claim_.holder = holder_;
  claim_.capacity = options_.capacity;
  claim_.largest_capacity = std::max(seen.largest_capacity, options_.capacity);
  call_under_way_ = true;
  call_ = ctx.NewTicket();
  claim_sent_at_ = ctx.now();
  RowTransaction claim;
  claim.conditions.push_back({LeaderRowKey(), revision});
  claim.puts.push_back({LeaderRowKey(), EncodeLeader(claim_)});
  ctx.Emit(CommitRows{call_, StoreLane::kLeader, std::move(claim),
                      patience_->For()});
}

std::optional<Leadership::Claimed> Leadership::Handle(
    Context& ctx, const CommitCompleted& answer) {
  // A lost answer shows at the next reading.
  Wait(ctx.now(), options_.poll_interval);
  if (answer.outcome != StoreOutcome::kDone) return std::nullopt;
  has_led_ = true;
  return Claimed{claim_, answer.revision, claim_sent_at_};
}

}  // namespace limeledge::dispatch
