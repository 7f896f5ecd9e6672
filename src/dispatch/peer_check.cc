/// @file
/// Keeping the rows of peers, and asking them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/peer_check.h"

#include <algorithm>
#include <utility>

#include "dispatch/row_codec.h"

namespace limeledge::dispatch {

namespace {

// Peers that are known at once: enough to ask others each time.
constexpr int kMostPeers = 500;
// A renewal clears at most so many rows of nodes that are gone.
constexpr std::size_t kMostCleared = 20;
// One silent peer may have ended; it takes two to tell of a cut.
constexpr int kSilentForCut = 2;

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
                     std::string address, const StoreTimeout* patience)
    : options_(options),
      instance_(std::move(instance)),
      address_(std::move(address)),
      patience_(patience) {}

void PeerCheck::Work(Context& ctx, bool store_answers) {
  if (address_.empty()) return;
  if (!store_answers) {
    if (!lost_) ask_at_ = ctx.now();
    lost_ = true;
    if (ctx.now() >= ask_at_) Ask(ctx);
    return;
  }
  if (lost_) {
    lost_ = false;
    asked_.clear();
    SetLoss(ctx, StoreOutage::kUnknown);
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
  if (lost_) return ask_at_;
  return call_under_way_ ? kNever : std::min(renew_at_, read_at_);
}

void PeerCheck::Renew(Context& ctx) {
  call_under_way_ = true;
  call_ = ctx.NewTicket();
  RowTransaction renewal;
  renewal.partition = kPeerPartition;
  renewal.puts.push_back(
      {{kPeerTable, instance_}, EncodePeer({address_, ctx.wall_ms()})});
  for (const std::string& key : stale_) {
    if (renewal.removes.size() == kMostCleared) break;
    renewal.removes.push_back({kPeerTable, key});
  }
  ctx.Emit(CommitRows{call_, StoreLane::kPeers, std::move(renewal),
                      patience_->For()});
}

void PeerCheck::ReadPeers(Context& ctx) {
  call_under_way_ = true;
  call_ = ctx.NewTicket();
  ReadRows read;
  read.ticket = call_;
  read.lane = StoreLane::kPeers;
  read.table = kPeerTable;
  read.partition = kPeerPartition;
  read.limit = kMostPeers;
  read.timeout = patience_->For();
  ctx.Emit(std::move(read));
}

void PeerCheck::Handle(Context& ctx, const CommitCompleted& answer) {
  call_under_way_ = false;
  const bool done = answer.outcome == StoreOutcome::kDone;
  if (done) stale_.clear();
  renew_at_ =
      ctx.now() + (done ? options_.renew_interval : options_.retry_pause);
}

void PeerCheck::Handle(Context& ctx, const ReadCompleted& answer) {
  call_under_way_ = false;
  const bool done = answer.outcome == StoreOutcome::kDone;
  read_at_ = ctx.now() + (done ? options_.list_interval : options_.retry_pause);
  if (!done) return;
  peers_.clear();
  stale_.clear();
  for (const Row& row : answer.rows) {
    if (row.key.key == instance_) continue;
    const absl::StatusOr<PeerRecord> peer = DecodePeer(row.value);
    const bool fresh = peer.ok() && ctx.wall_ms() - peer->renewed_wall_ms <
                                        options_.row_age.ms();
    if (fresh) {
      peers_.push_back(peer->address);
    } else {
      stale_.insert(row.key.key);
    }
  }
  // Each node asks others first.
  const std::size_t start = std::hash<std::string>()(instance_);
  next_peer_ = peers_.empty() ? 0 : start % peers_.size();
}

void PeerCheck::Ask(Context& ctx) {
  ask_at_ = ctx.now() + options_.ask_interval;
  asked_.clear();
  round_ = Round();
  const std::size_t count =
      std::min(peers_.size(), static_cast<std::size_t>(options_.peers_asked));
  for (std::size_t i = 0; i < count; ++i) {
    const std::string& peer = peers_[next_peer_];
    next_peer_ = (next_peer_ + 1) % peers_.size();
    asked_.insert(peer);
    ctx.Emit(QueryPeer{peer, options_.ask_timeout});
  }
  round_.asked = static_cast<int>(count);
}

void PeerCheck::Handle(Context& ctx, const PeerReplied& answer) {
  if (!lost_ || asked_.erase(answer.address) == 0) return;
  if (!answer.answered) {
    ++round_.silent;
  } else if (!answer.store_answers) {
    ++round_.lost;
  } else {
    const TimePoint heard_at = ctx.now() - answer.store_answer_age;
    const std::optional<TimePoint> failing = patience_->failing_since();
    const bool since =
        failing.has_value() && heard_at > *failing + options_.margin;
    if (since) SetLoss(ctx, StoreOutage::kLocal);
    // It may not have noticed yet; the next round tells.
    return;
  }
  const StoreOutage outage = Judge();
  if (outage != StoreOutage::kUnknown) SetLoss(ctx, outage);
}

StoreOutage PeerCheck::Judge() const {
  if (!asked_.empty()) return StoreOutage::kUnknown;
  if (round_.silent == round_.asked) {
    return round_.silent >= kSilentForCut ? StoreOutage::kLocal
                                          : StoreOutage::kUnknown;
  }
  const bool none_served = round_.silent + round_.lost == round_.asked;
  return none_served ? StoreOutage::kGlobal : StoreOutage::kUnknown;
}

void PeerCheck::SetLoss(Context& ctx, StoreOutage outage) {
  if (outage == loss_) return;
  loss_ = outage;
  if (outage == StoreOutage::kUnknown) return;
  ctx.Log(LogId::kStoreLossJudged, {{"store_lost", ToString(outage)},
                                    {"peers", std::to_string(peers_.size())},
                                    {"silent", std::to_string(round_.silent)},
                                    {"lost_too", std::to_string(round_.lost)}});
}

}  // namespace limeledge::dispatch
