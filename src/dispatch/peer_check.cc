/// @file
/// Maintains the peer rows and asks peers about the store.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/peer_check.h"

#include <algorithm>
#include <utility>

#include "dispatch/row_codec.h"

namespace limeledge::dispatch {

namespace {

// Maximum number of peer rows read; enough to ask different peers in each
// round.
constexpr int kMaxPeerRows = 500;
// Maximum number of outdated rows that one renewal removes.
constexpr std::size_t kMaxRemovedRows = 20;
// A single silent peer may have shut down; two are needed to conclude that this
// node is cut off.
constexpr int kMinSilentPeers = 2;

}  // namespace

const char* ToString(StoreOutage outage) {
  switch (outage) {
    case StoreOutage::kUnknown:
      return "unknown";
    case StoreOutage::kLocal:
      return "here only";
    case StoreOutage::kGlobal:
      return "everywhere";
  }
  return "";
}

PeerCheck::PeerCheck(PeerCheckOptions options, std::string instance,
                     std::string address, const StoreTimeout* store_timeout)
    : options_(options),
      instance_(std::move(instance)),
      address_(std::move(address)),
      store_timeout_(store_timeout) {}

void PeerCheck::Work(Context& ctx, bool store_answers) {
  if (address_.empty()) return;
  if (!store_answers) {
    if (!store_lost_) ask_at_ = ctx.now();
    store_lost_ = true;
    if (ctx.now() >= ask_at_) Ask(ctx);
    return;
  }
  if (store_lost_) {
    store_lost_ = false;
    asked_.clear();
    SetOutage(ctx, StoreOutage::kUnknown);
  }
  if (call_under_way_) return;
  if (ctx.now() >= renew_at_) {
    Renew(ctx);
  } else if (ctx.now() >= read_at_) {
    ReadPeers(ctx);
  }
}

TimePoint PeerCheck::next_at() const {
  if (address_.empty()) return kNever;
  if (store_lost_) return ask_at_;
  return call_under_way_ ? kNever : std::min(renew_at_, read_at_);
}

void PeerCheck::Renew(Context& ctx) {
  call_under_way_ = true;
  call_ = ctx.NewTicket();
  RowTransaction renewal;
  renewal.partition = kPeerPartition;
  renewal.puts.push_back(
      {{kPeerTable, instance_}, EncodePeer({address_, ctx.wall_ms()})});
  for (const std::string& key : outdated_rows_) {
    if (renewal.removes.size() == kMaxRemovedRows) break;
    renewal.removes.push_back({kPeerTable, key});
  }
  ctx.Emit(CommitRows{call_, StoreLane::kPeers, std::move(renewal),
                      store_timeout_->For()});
}

void PeerCheck::ReadPeers(Context& ctx) {
  call_under_way_ = true;
  call_ = ctx.NewTicket();
  ReadRows read;
  read.ticket = call_;
  read.lane = StoreLane::kPeers;
  read.table = kPeerTable;
  read.partition = kPeerPartition;
  read.limit = kMaxPeerRows;
  read.timeout = store_timeout_->For();
  ctx.Emit(std::move(read));
}

void PeerCheck::Handle(Context& ctx, const CommitCompleted& answer) {
  call_under_way_ = false;
  const bool done = answer.outcome == StoreOutcome::kDone;
  if (done) outdated_rows_.clear();
  renew_at_ =
      ctx.now() + (done ? options_.renew_interval : options_.retry_pause);
}

void PeerCheck::Handle(Context& ctx, const ReadCompleted& answer) {
  call_under_way_ = false;
  const bool done = answer.outcome == StoreOutcome::kDone;
  read_at_ = ctx.now() + (done ? options_.list_interval : options_.retry_pause);
  if (!done) return;
  peers_.clear();
  outdated_rows_.clear();
  for (const Row& row : answer.rows) {
    if (row.key.key == instance_) continue;
    const absl::StatusOr<PeerRecord> peer = DecodePeer(row.value);
    const bool fresh = peer.ok() && ctx.wall_ms() - peer->renewed_wall_ms <
                                        options_.max_row_age.ms();
    if (fresh) {
      peers_.push_back(peer->address);
    } else {
      outdated_rows_.insert(row.key.key);
    }
  }
  // Nodes start at different peers.
  const std::size_t start = std::hash<std::string>()(instance_);
  next_peer_ = peers_.empty() ? 0 : start % peers_.size();
}

void PeerCheck::Ask(Context& ctx) {
  ask_at_ = ctx.now() + options_.round_interval;
  asked_.clear();
  round_ = Round();
  const std::size_t count = std::min(
      peers_.size(), static_cast<std::size_t>(options_.peers_per_round));
  for (std::size_t i = 0; i < count; ++i) {
    const std::string& peer = peers_[next_peer_];
    next_peer_ = (next_peer_ + 1) % peers_.size();
    asked_.insert(peer);
    ctx.Emit(QueryPeer{peer, options_.peer_timeout});
  }
  round_.asked = static_cast<int>(count);
}

void PeerCheck::Handle(Context& ctx, const PeerReplied& answer) {
  if (!store_lost_ || asked_.erase(answer.address) == 0) return;
  if (!answer.answered) {
    ++round_.silent;
  } else if (!answer.store_answers) {
    ++round_.without_store;
  } else {
    const TimePoint answered_at = ctx.now() - answer.store_answer_age;
    const std::optional<TimePoint> failing = store_timeout_->failing_since();
    const bool after_failure =
        failing.has_value() &&
        answered_at > *failing + options_.min_answer_delay;
    if (after_failure) SetOutage(ctx, StoreOutage::kLocal);
    // The peer may not have noticed the outage; the next round shows.
    return;
  }
  const StoreOutage outage = ClassifyOutage();
  if (outage != StoreOutage::kUnknown) SetOutage(ctx, outage);
}

StoreOutage PeerCheck::ClassifyOutage() const {
  if (!asked_.empty()) return StoreOutage::kUnknown;
  if (round_.silent == round_.asked) {
    return round_.silent >= kMinSilentPeers ? StoreOutage::kLocal
                                            : StoreOutage::kUnknown;
  }
  const bool none_served = round_.silent + round_.without_store == round_.asked;
  return none_served ? StoreOutage::kGlobal : StoreOutage::kUnknown;
}

void PeerCheck::SetOutage(Context& ctx, StoreOutage outage) {
  if (outage == outage_) return;
  outage_ = outage;
  if (outage == StoreOutage::kUnknown) return;
  ctx.Log(LogId::kStoreLossJudged,
          {{"store_lost", ToString(outage)},
           {"peers", std::to_string(peers_.size())},
           {"silent", std::to_string(round_.silent)},
           {"lost_too", std::to_string(round_.without_store)}});
}

}  // namespace limeledge::dispatch
