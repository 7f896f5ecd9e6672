/// @file
/// Finds out by its peers whether the store is away, or only this node's way to
/// it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PEER_CHECK_H_
#define LIMELEDGE_SRC_DISPATCH_PEER_CHECK_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

struct PeerCheckOptions {
  /// How often this node renews its row of peers, which tells its address.
  Duration renew_interval{60000};
  /// Rows that were not renewed for so long are of nodes that are gone.
  Duration row_age{200000};
  /// How often the peers are read while the store answers.
  Duration list_interval{15000};
  /// Pause after a call to the store that failed.
  Duration retry_pause{1000};
  /// While the store does not answer, so many peers are asked at once...
  int peers_asked = 3;
  /// ...and others after this pause.
  Duration ask_interval{300};
  /// A peer that does not answer within this counts as cut off from this node:
  /// many times what peers in other halls take.
  Duration ask_timeout{250};
  /// A peer's word that the store answered it holds from so long after the
  /// store failed this node: what was answered at that moment says nothing.
  Duration margin{50};
};

/// Why the store does not answer this node.
enum class StoreOutage {
  /// It does, or nobody knows yet.
  kUnknown,
  /// It serves others: callers do well to come back to another node at once.
  kLocal,
  /// It serves none of those that were asked.
  kGlobal,
};

const char* ToString(StoreOutage outage);

/// Keeps a row with this node's address in the store, and asks the others while
/// the store is lost. Peers that hear nothing of each other nor of the store
/// tell of a node that is cut off.
///
/// Thread safety: none; use it from one thread.
class PeerCheck {
 public:
  /// `address` is where this node answers its peers, HOST:PORT; empty for none,
  /// which asks nobody. `patience` outlives this object.
  PeerCheck(PeerCheckOptions options, std::string instance, std::string address,
            const StoreTimeout* patience);

  /// Does what is due. `store_answers`: false while the store counts as lost.
  void Work(Context& ctx, bool store_answers);
  TimePoint next_at() const;

  bool Owns(Ticket ticket) const { return call_under_way_ && call_ == ticket; }
  /// Takes in the peers that were read.
  void Handle(Context& ctx, const ReadCompleted& answer);
  /// Takes in the end of a renewal.
  void Handle(Context& ctx, const CommitCompleted& answer);
  /// Takes in what a peer tells of the store.
  void Handle(Context& ctx, const PeerReplied& answer);

  StoreOutage outage() const { return loss_; }

 private:
  struct Round {
    int asked = 0;
    int silent = 0;
    /// Peers that the store does not answer either.
    int lost = 0;
  };

  void Renew(Context& ctx);
  void ReadPeers(Context& ctx);
  void Ask(Context& ctx);
  /// Judges by the answers of the round so far.
  StoreOutage Judge() const;
  void SetLoss(Context& ctx, StoreOutage outage);

  PeerCheckOptions options_;
  std::string instance_;
  std::string address_;
  const StoreTimeout* patience_;
  Ticket call_;
  bool call_under_way_ = false;
  /// The next turn of each kind while the store answers.
  TimePoint renew_at_;
  TimePoint read_at_;
  /// Addresses of the others, and keys of rows that are to be cleared away.
  std::vector<std::string> peers_;
  std::set<std::string> stale_;
  std::size_t next_peer_ = 0;
  bool lost_ = false;
  TimePoint ask_at_;
  /// Those of the present round that have not answered.
  std::set<std::string> asked_;
  Round round_;
  StoreOutage loss_ = StoreOutage::kUnknown;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PEER_CHECK_H_
