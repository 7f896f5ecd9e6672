/// @file
/// Maintains the peer rows and asks peers about the store.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/peer_check.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "dispatch/row_codec.h"

namespace limeledge::dispatch {

namespace {

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

PeerCheck::PeerCheck(PeerCheckOptions options, const std::string& instance,
                     PeerRecord self, const StoreTimeout* store_timeout)
    : options_(options),
      key_(PeerKey(instance)),
      self_(std::move(self)),
      store_timeout_(store_timeout),
      jitter_(key_),
      next_list_interval_(options.first_list_interval) {}

void PeerCheck::Work(Context& ctx, bool store_answers) {
  if (self_.address.empty()) return;
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
    ReadSample(ctx);
  }
}

TimePoint PeerCheck::next_at() const {
  if (self_.address.empty()) return kNever;
  if (store_lost_) return ask_at_;
  return call_under_way_ ? kNever : std::min(renew_at_, read_at_);
}

void PeerCheck::Renew(Context& ctx) {
  call_under_way_ = true;
  call_ = ctx.NewTicket();
  RowTransaction renewal;
  renewal.partition = kPeerPartition;
  self_.renewed_wall_ms = ctx.wall_ms();
  renewal.puts.push_back({{kPeerTable, key_}, EncodePeer(self_)});
  for (const std::string& key : outdated_rows_) {
    if (renewal.removes.size() == kMaxRemovedRows) break;
    renewal.removes.push_back({kPeerTable, key});
  }
  ctx.Emit(CommitRows{call_, StoreLane::kPeers, std::move(renewal),
                      store_timeout_->For()});
}

void PeerCheck::ReadSample(Context& ctx) {
  sample_ = Sample();
  sample_.start = absl::StrCat(absl::Hex(jitter_.Next(), absl::kZeroPad16));
  ReadRange(ctx, sample_.start, "", options_.sample_rows);
}

void PeerCheck::ReadRange(Context& ctx, const std::string& from,
                          const std::string& to, int limit) {
  call_under_way_ = true;
  call_ = ctx.NewTicket();
  ReadRows read;
  read.ticket = call_;
  read.lane = StoreLane::kPeers;
  read.table = kPeerTable;
  read.partition = kPeerPartition;
  read.from = from;
  read.to = to;
  read.limit = limit;
  read.timeout = store_timeout_->For();
  ctx.Emit(std::move(read));
}

void PeerCheck::Handle(Context& ctx, const CommitCompleted& answer) {
  call_under_way_ = false;
  if (answer.outcome == StoreOutcome::kDone) {
    registered_ = true;
    outdated_rows_.clear();
    renew_at_ = ctx.now() + options_.renew_interval;
    return;
  }
  renew_at_ = ctx.now() + options_.retry_pause;
  if (!registered_) {
    renew_at_ = renew_at_ + jitter_.Below(options_.first_renewal_spread);
  }
}

void PeerCheck::Handle(Context& ctx, const ReadCompleted& answer) {
  call_under_way_ = false;
  if (answer.outcome != StoreOutcome::kDone) {
    // The previous sample remains in use.
    read_at_ = ctx.now() + options_.retry_pause;
    return;
  }
  for (const Row& row : answer.rows) AddToSample(ctx, row);
  sample_.rows += static_cast<int>(answer.rows.size());
  const std::string start = std::exchange(sample_.start, "");
  const int missing = options_.sample_rows - sample_.rows;
  if (!start.empty() && missing > 0) {
    ReadRange(ctx, "", start, missing);
    return;
  }
  peers_ = std::move(sample_.peers);
  outdated_rows_ = std::move(sample_.outdated_rows);
  next_peer_ = peers_.empty() ? 0 : jitter_.Next() % peers_.size();
  read_at_ = ctx.now() + next_list_interval_;
  next_list_interval_ =
      std::min(next_list_interval_ * 2, options_.list_interval);
}

void PeerCheck::AddToSample(Context& ctx, const Row& row) {
  if (row.key.key == key_) return;
  const absl::StatusOr<PeerRecord> peer = DecodePeer(row.value);
  const bool fresh = peer.ok() && ctx.wall_ms() - peer->renewed_wall_ms <
                                      options_.max_row_age.ms();
  if (fresh) {
    sample_.peers.push_back(peer->address);
  } else {
    sample_.outdated_rows.insert(row.key.key);
  }
}

void PeerCheck::Ask(Context& ctx) {
  ask_at_ = ctx.now() + (outage_ == StoreOutage::kLocal
                             ? options_.local_outage_round_interval
                             : options_.round_interval);
  asked_.clear();
  round_ = Round();
  const std::size_t count = std::min(
      peers_.size(), static_cast<std::size_t>(options_.peers_per_round));
  for (std::size_t i = 0; i < count; ++i) {
    const std::string& peer = peers_[next_peer_];
    next_peer_ = (next_peer_ + 1) % peers_.size();
    asked_.insert(peer);
    ctx.Emit(
        QueryPeer{peer, options_.peer_timeout, PeerRequest::kNone, Epoch()});
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
    if (after_failure) {
      SetOutage(ctx, StoreOutage::kLocal);
      serving_peer_ = answer.callers_address;
    }
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
  if (outage != StoreOutage::kLocal) serving_peer_.reset();
  if (outage == StoreOutage::kUnknown) return;
  ctx.Log(LogId::kStoreLossJudged,
          {{"store_lost", ToString(outage)},
           {"peers", std::to_string(peers_.size())},
           {"silent", std::to_string(round_.silent)},
           {"lost_too", std::to_string(round_.without_store)}});
}

}  // namespace limeledge::dispatch
