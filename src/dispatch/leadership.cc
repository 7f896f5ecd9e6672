/// @file
/// Watches and claims the lease on scheduling.
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

/// The instance part of a holder, which has the form INSTANCE/INCARNATION.
std::string_view InstanceOf(std::string_view holder) {
  return holder.substr(0, holder.rfind('/'));
}

}  // namespace

Leadership::Leadership(LeadershipOptions options, std::string holder,
                       const StoreTimeout* store_timeout)
    : options_(options),
      holder_(std::move(holder)),
      store_timeout_(store_timeout),
      watch_(options.lease) {}

void Leadership::ScheduleRead(TimePoint now, Duration delay) {
  call_under_way_ = false;
  next_at_ = now + delay;
}

void Leadership::Reset(TimePoint now) {
  watch_ = WatchedLease(options_.lease);
  ScheduleRead(now, options_.poll_interval);
}

void Leadership::Follow(Context& ctx) {
  if (call_under_way_ || ctx.now() < next_at_) return;
  call_under_way_ = true;
  call_ = ctx.NewTicket();
  read_sent_at_ = ctx.now();
  const std::string after_key = absl::StrCat(kLeaderKey, "/");
  ctx.Emit(ReadRows{call_, StoreLane::kLeader, kLeadershipTable, "", kLeaderKey,
                    after_key, 1, store_timeout_->For(unanswered_reads_)});
}

void Leadership::Handle(Context& ctx, const ReadCompleted& answer) {
  ScheduleRead(ctx.now(), options_.poll_interval);
  const bool answered = answer.outcome == StoreOutcome::kDone;
  unanswered_reads_ = answered ? 0 : unanswered_reads_ + 1;
  refused_ = answer.outcome == StoreOutcome::kNotApplied;
  if (!answered) {
    // The holder may have renewed in the meantime, so the watch restarts.
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
  const Duration extra_wait =
      IsSmall(*record) ? options_.small_process_delay : Duration(0);
  watch_.SetLength(options_.lease + extra_wait +
                   latency * options_.latency_multiple);
  watch_.Observe(ctx.now(), row.revision);
  // The row may name this node although it does not lead: its claim got no
  // answer, it stepped down, or the holder is an earlier incarnation of this
  // instance, which is over. Should that incarnation still run, while its
  // machine is being replaced, the new epoch deposes it. An incarnation that
  // has led was deposed by the other one and does not claim the lease back.
  const bool earlier_incarnation =
      !has_led_ && InstanceOf(record->holder) == InstanceOf(holder_);
  const bool held_by_this_node =
      record->holder == holder_ || earlier_incarnation;
  const bool expired = watch_.LapsedAt(ctx.now());
  const bool offered = record->released && !IsSmall(*record);
  const bool claimable =
      offered || held_by_this_node || expired || IsMuchLargerThan(*record);
  if (claimable) Claim(ctx, *record, row.revision);
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
                      store_timeout_->For()});
}

std::optional<Leadership::Claimed> Leadership::Handle(
    Context& ctx, const CommitCompleted& answer) {
  // If the answer to the claim was lost, the next read shows the outcome.
  ScheduleRead(ctx.now(), options_.poll_interval);
  if (answer.outcome != StoreOutcome::kDone) return std::nullopt;
  has_led_ = true;
  return Claimed{claim_, answer.revision, claim_sent_at_};
}

}  // namespace limeledge::dispatch
