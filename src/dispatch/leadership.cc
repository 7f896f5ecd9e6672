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

constexpr std::int64_t kMsPerSecond = 1000;

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
      watch_(options.lease),
      jitter_(holder_) {}

void Leadership::ScheduleRead(TimePoint now, Duration delay) {
  call_under_way_ = false;
  next_at_ = now + delay;
}

void Leadership::Pause(TimePoint now, std::int64_t nodes) {
  first_revision_.reset();
  const Duration mean(nodes * kMsPerSecond / options_.backup_looks_per_second);
  // Random pauses keep nodes that started together from looking together.
  const Duration pause = jitter_.Below(mean * 2 + Duration(1));
  ScheduleRead(now, std::max(pause, options_.poll_interval));
}

void Leadership::Appoint(TimePoint now) {
  standby_until_ = now + options_.standby_term;
  if (!call_under_way_) {
    next_at_ = std::min(next_at_, now + options_.poll_interval);
  }
}

void Leadership::AcceptOffer(TimePoint now, Epoch epoch) {
  offered_epoch_ = epoch;
  if (!call_under_way_) next_at_ = now;
}

void Leadership::EndPause(TimePoint now) {
  const bool pauses =
      !call_under_way_ && next_at_ > now + options_.poll_interval;
  if (pauses) next_at_ = now;
}

void Leadership::Probe(TimePoint now) {
  if (call_under_way_) return;
  if (now - read_sent_at_ < options_.min_probe_gap) return;
  probes_ = unanswered_reads_ == 0;
  next_at_ = now;
}

void Leadership::Reset(TimePoint now, bool store_answers) {
  watch_ = WatchedLease(options_.lease);
  refused_ = false;
  unanswered_reads_ = store_answers ? 0 : kMaxUnanswered;
  ScheduleRead(now, options_.poll_interval);
}

void Leadership::Follow(Context& ctx) {
  if (call_under_way_ || ctx.now() < next_at_) return;
  call_under_way_ = true;
  call_ = ctx.NewTicket();
  read_sent_at_ = ctx.now();
  const std::string after_key = absl::StrCat(kLeaderKey, "/");
  ctx.Emit(ReadRows{call_, StoreLane::kLeader, kLeadershipTable, "", kLeaderKey,
                    after_key, 1,
                    probes_ ? store_timeout_->ForProbe()
                            : store_timeout_->For(unanswered_reads_)});
  probe_in_flight_ = std::exchange(probes_, false);
}

void Leadership::Handle(Context& ctx, const ReadCompleted& answer) {
  ScheduleRead(ctx.now(), options_.poll_interval);
  const bool answered = answer.outcome == StoreOutcome::kDone;
  unanswered_reads_ = answered ? 0 : unanswered_reads_ + 1;
  refused_ = answer.outcome == StoreOutcome::kNotApplied;
  if (!answered) {
    // The holder may have renewed in the meantime, so the watch restarts.
    watch_ = WatchedLease(options_.lease);
    // A probe has a short timeout and is followed by a read with the usual one.
    if (std::exchange(probe_in_flight_, false)) {
      next_at_ = ctx.now();
    } else if (backup_ && !store_answers()) {
      next_at_ = ctx.now() + jitter_.Below(options_.backup_retry_interval * 2);
    }
    return;
  }
  probe_in_flight_ = false;
  if (answer.rows.empty()) {
    CreateRow(ctx);
  } else {
    Observe(ctx, answer.rows.front());
  }
}

void Leadership::CreateRow(Context& ctx) {
  // All nodes find no row at the same moment when the system starts for the
  // first time. The first to create it is seen by the others.
  if (!create_at_.has_value()) {
    create_at_ = ctx.now() + jitter_.Below(options_.poll_interval);
  }
  if (ctx.now() >= *create_at_) {
    Claim(ctx, LeaderRecord(), Revision());
  } else {
    ScheduleRead(ctx.now(), *create_at_ - ctx.now());
  }
}

void Leadership::Observe(Context& ctx, const Row& row) {
  const absl::StatusOr<LeaderRecord> record = DecodeLeader(row.value);
  if (!record.ok()) {
    ctx.Log(LogId::kRowUnreadable,
            {{"row", "leader"}, {"error", record.status().ToString()}});
    return;
  }
  record_ = *record;
  RecordRevision(row.revision);
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
  const bool offered = (record->released && !IsSmall(*record)) ||
                       offered_epoch_ == record->epoch;
  const bool claimable =
      offered || held_by_this_node || expired || IsMuchLargerThan(*record);
  if (claimable) {
    Claim(ctx, *record, row.revision);
    return;
  }
  backup_ = record_.nodes > 0 && ctx.now() >= standby_until_;
  const bool renewed =
      first_revision_.has_value() && *first_revision_ != row.revision;
  if (!first_revision_.has_value()) first_revision_ = row.revision;
  if (backup_ && renewed) Pause(ctx.now(), record_.nodes);
}

void Leadership::RecordRevision(Revision revision) {
  if (record_revision_.has_value() && *record_revision_ != revision) {
    record_written_after_ = answered_read_sent_at_;
  }
  record_revision_ = revision;
  answered_read_sent_at_ = read_sent_at_;
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
  claim_.nodes = seen.nodes;
  claim_.catalog = seen.catalog;
  claim_.catalog_revision = seen.catalog_revision;
  claim_.divides_progress = seen.divides_progress;
  previous_holder_ = seen.holder;
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
  return Claimed{claim_, answer.revision, claim_sent_at_, previous_holder_};
}

}  // namespace limeledge::dispatch
