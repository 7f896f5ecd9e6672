/// @file
/// Asks peers whether the store is down, or only unreachable from this node.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PEER_CHECK_H_
#define LIMELEDGE_SRC_DISPATCH_PEER_CHECK_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/jitter.h"
#include "dispatch/row_codec.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

struct PeerCheckOptions {
  /// If the first write of the peer row fails, the next one is put off by a
  /// random part of this: a whole fleet may have started at once, and the store
  /// applies the writes of a partition one at a time.
  Duration first_renewal_spread{5000};
  /// How often this node renews its peer row, which holds its address.
  Duration renew_interval{60000};
  /// A row that was not renewed for this long belongs to a node that is gone.
  Duration max_row_age{200000};
  /// How often a new sample of the peer rows is read while the store answers.
  /// The interval is shorter after the start, while the other nodes may still
  /// be registering, and doubles up to this.
  Duration list_interval{15000};
  Duration first_list_interval{1000};
  /// Rows of a sample. Enough to ask different peers in several rounds, and
  /// independent of the number of nodes.
  int sample_rows = 12;
  /// Pause after a failed call to the store.
  Duration retry_pause{1000};
  /// While the store does not answer, this many peers are asked at once.
  int peers_per_round = 3;
  /// Pause before the next peers are asked, and the pause once they have shown
  /// that the outage is local.
  Duration round_interval{300};
  Duration local_outage_round_interval{1000};
  /// A peer that does not answer within this time counts as unreachable. Many
  /// times the usual latency of peers in other halls.
  Duration peer_timeout{250};
  /// A peer's report that the store answered it counts only for answers at
  /// least this long after the store began to fail here; an answer from the
  /// same moment proves nothing.
  Duration min_answer_delay{50};
};

/// Why the store does not answer this node.
enum class StoreOutage {
  /// The store answers, or the reason is not known.
  kUnknown,
  /// The store answers other nodes, so callers should retry on another node at
  /// once.
  kLocal,
  /// The store answers none of the peers that were asked.
  kGlobal,
};

const char* ToString(StoreOutage outage);

/// Keeps a row with this node's address in the store, and asks other nodes
/// while the store does not answer. If neither the store nor any peer answers,
/// this node is the one that is cut off.
///
/// Thread safety: none; use it from one thread.
class PeerCheck {
 public:
  /// `self` is this node's peer row. If its address is empty, no peer is asked.
  /// `store_timeout` must outlive this object.
  PeerCheck(PeerCheckOptions options, const std::string& instance,
            PeerRecord self, const StoreTimeout* store_timeout);

  /// Sends the calls that are due. `store_answers` is false while the store
  /// counts as unavailable.
  void Work(Context& ctx, bool store_answers);
  TimePoint next_at() const;
  /// When this node's row is written next.
  TimePoint renew_at() const { return renew_at_; }

  bool Owns(Ticket ticket) const { return call_under_way_ && call_ == ticket; }
  /// Processes the peer rows that were read.
  void Handle(Context& ctx, const ReadCompleted& answer);
  /// Processes the result of a renewal.
  void Handle(Context& ctx, const CommitCompleted& answer);
  /// Processes a peer's report about the store.
  void Handle(Context& ctx, const PeerReplied& answer);

  StoreOutage outage() const { return outage_; }
  /// Address at which a peer that reaches the store serves callers. Set only
  /// during a local outage, and not if that was concluded from the silence of
  /// all peers.
  const std::optional<std::string>& serving_peer() const {
    return serving_peer_;
  }

 private:
  /// A sample that is being read: up to the end of the table, and then, if that
  /// gave too few rows, from its start to the key `start`.
  struct Sample {
    std::string start;
    int rows = 0;
    std::vector<std::string> peers;
    std::set<std::string> outdated_rows;
  };
  struct Round {
    int asked = 0;
    int silent = 0;
    /// Peers that the store does not answer either.
    int without_store = 0;
  };

  void Renew(Context& ctx);
  /// Starts to read a sample at a random key. Keys are hashed, so the rows that
  /// follow it belong to random nodes.
  void ReadSample(Context& ctx);
  void ReadRange(Context& ctx, const std::string& from, const std::string& to,
                 int limit);
  /// Adds the peer of a row to the sample.
  void AddToSample(Context& ctx, const Row& row);
  void Ask(Context& ctx);
  /// Classifies the outage by the answers of the round so far.
  StoreOutage ClassifyOutage() const;
  void SetOutage(Context& ctx, StoreOutage outage);

  PeerCheckOptions options_;
  std::string key_;
  PeerRecord self_;
  const StoreTimeout* store_timeout_;
  Ticket call_;
  bool call_under_way_ = false;
  Jitter jitter_;
  bool registered_ = false;
  Sample sample_;
  /// When each kind of store call is due while the store answers.
  TimePoint renew_at_;
  TimePoint read_at_;
  Duration next_list_interval_;
  /// Addresses of other nodes, and keys of outdated rows to be removed.
  std::vector<std::string> peers_;
  std::set<std::string> outdated_rows_;
  std::size_t next_peer_ = 0;
  bool store_lost_ = false;
  TimePoint ask_at_;
  /// Peers of the present round that have not answered.
  std::set<std::string> asked_;
  Round round_;
  StoreOutage outage_ = StoreOutage::kUnknown;
  std::optional<std::string> serving_peer_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PEER_CHECK_H_
