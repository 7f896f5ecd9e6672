/// @file
/// Scans the peer rows, and selects and checks standbys.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/standby_keeper.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "dispatch/row_codec.h"
#include "limeledge/rendezvous.h"

namespace limeledge::dispatch {

namespace {

using Candidates = std::vector<StandbyCandidate>;

/// A fixed random order, so that the same nodes are selected after each scan.
std::uint64_t OrderOf(const StandbyCandidate& candidate) {
  return RendezvousWeight("standby", InstanceId(candidate.address));
}

/// Appends candidates in turn from each hall until `selected` holds `count`.
void TakeFromHallsInTurn(const Candidates& candidates, std::size_t count,
                         std::vector<std::string>* selected) {
  std::map<HallId, std::vector<std::string>> by_hall;
  for (const StandbyCandidate& candidate : candidates) {
    by_hall[candidate.hall].push_back(candidate.address);
  }
  for (std::size_t turn = 0; turn < candidates.size(); ++turn) {
    for (const auto& [hall, addresses] : by_hall) {
      if (selected->size() >= count) return;
      if (turn < addresses.size()) selected->push_back(addresses[turn]);
    }
  }
}

}  // namespace

std::vector<std::string> SelectStandbys(Candidates candidates,
                                        std::size_t count,
                                        double capacity_factor) {
  std::sort(candidates.begin(), candidates.end(),
            [](const StandbyCandidate& a, const StandbyCandidate& b) {
              return OrderOf(a) < OrderOf(b);
            });
  std::int64_t largest = 0;
  for (const StandbyCandidate& candidate : candidates) {
    largest = std::max(largest, candidate.capacity);
  }
  const auto is_large = [largest, capacity_factor](const auto& candidate) {
    return static_cast<double>(candidate.capacity) * capacity_factor >=
           static_cast<double>(largest);
  };
  const auto first_small =
      std::stable_partition(candidates.begin(), candidates.end(), is_large);
  std::vector<std::string> selected;
  TakeFromHallsInTurn(Candidates(candidates.begin(), first_small), count,
                      &selected);
  TakeFromHallsInTurn(Candidates(first_small, candidates.end()), count,
                      &selected);
  return selected;
}

StandbyKeeper::StandbyKeeper(StandbyOptions options, std::string own_address,
                             const StoreTimeout* store_timeout, TimePoint now)
    : options_(options),
      own_address_(std::move(own_address)),
      store_timeout_(store_timeout),
      scan_at_(now),
      next_scan_interval_(options.first_scan_interval),
      check_at_(now) {}

TimePoint StandbyKeeper::next_at() const {
  if (own_address_.empty()) return kNever;
  return read_under_way_ ? check_at_ : std::min(scan_at_, check_at_);
}

void StandbyKeeper::Work(Context& ctx, bool store_answers) {
  if (own_address_.empty()) return;
  if (!read_under_way_ && ctx.now() >= scan_at_) ReadPage(ctx);
  if (ctx.now() < check_at_) return;
  for (const std::string& address : unanswered_) ++failed_checks_[address];
  unanswered_.clear();
  store_answered_at_check_ = store_answers;
  Select();
  Check(ctx);
}

void StandbyKeeper::ReadPage(Context& ctx) {
  read_under_way_ = true;
  call_ = ctx.NewTicket();
  ReadRows read;
  read.ticket = call_;
  read.lane = StoreLane::kPeers;
  read.table = kPeerTable;
  read.partition = kPeerPartition;
  read.from = next_key_;
  read.limit = options_.page_rows;
  read.timeout = store_timeout_->For();
  ctx.Emit(std::move(read));
}

void StandbyKeeper::Handle(Context& ctx, const ReadCompleted& answer) {
  read_under_way_ = false;
  if (answer.outcome != StoreOutcome::kDone) {
    scan_at_ = ctx.now() + options_.retry_pause;
    return;
  }
  for (const Row& row : answer.rows) {
    const absl::StatusOr<PeerRecord> peer = DecodePeer(row.value);
    const bool fresh = peer.ok() && ctx.wall_ms() - peer->renewed_wall_ms <
                                        options_.max_row_age.ms();
    if (!fresh || peer->address == own_address_) continue;
    found_.push_back({peer->address, peer->hall, peer->capacity});
  }
  if (answer.has_more && !answer.rows.empty()) {
    // Keys contain no spaces, so this is the smallest key after the last one.
    next_key_ = absl::StrCat(answer.rows.back().key.key, " ");
    scan_at_ = ctx.now();
    return;
  }
  FinishScan(ctx.now());
}

void StandbyKeeper::FinishScan(TimePoint now) {
  scan_at_ = now + next_scan_interval_;
  next_scan_interval_ =
      std::min(next_scan_interval_ * 2, options_.scan_interval);
  next_key_.clear();
  candidates_ = std::exchange(found_, {});
  nodes_ = static_cast<std::int64_t>(candidates_.size()) + 1;
  // Nodes that failed their checks get another chance.
  failed_checks_.clear();
  Select();
}

void StandbyKeeper::Select() {
  Candidates sound;
  for (const StandbyCandidate& candidate : candidates_) {
    const auto failed = failed_checks_.find(candidate.address);
    const bool replaced = failed != failed_checks_.end() &&
                          failed->second >= options_.max_failed_checks;
    if (!replaced) sound.push_back(candidate);
  }
  standbys_ = SelectStandbys(std::move(sound), options_.count,
                             options_.capacity_factor);
}

void StandbyKeeper::Check(Context& ctx) {
  check_at_ = ctx.now() + options_.check_interval;
  for (const std::string& address : standbys_) {
    unanswered_.insert(address);
    ctx.Emit(QueryPeer{address, options_.check_timeout,
                       PeerRequest::kAppointStandby, Epoch()});
  }
}

void StandbyKeeper::OfferLease(Context& ctx, Epoch epoch) {
  if (standbys_.empty() || ctx.now() < offer_at_) return;
  offer_at_ = ctx.now() + options_.offer_interval;
  const std::string& address = standbys_[next_offer_ % standbys_.size()];
  ++next_offer_;
  ctx.Log(LogId::kLeaseOffered,
          {{"epoch", std::to_string(epoch.value())}, {"to", address}});
  ctx.Emit(QueryPeer{address, options_.check_timeout, PeerRequest::kOfferLease,
                     epoch});
}

void StandbyKeeper::Handle(const PeerReplied& answer) {
  const bool failed =
      !answer.answered || (store_answered_at_check_ && !answer.store_answers);
  if (failed || unanswered_.erase(answer.address) == 0) return;
  failed_checks_.erase(answer.address);
}

}  // namespace limeledge::dispatch
