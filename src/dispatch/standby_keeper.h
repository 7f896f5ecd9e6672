/// @file
/// Selection of the nodes that follow the scheduler closely.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_STANDBY_KEEPER_H_
#define LIMELEDGE_SRC_DISPATCH_STANDBY_KEEPER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

struct StandbyOptions {
  /// Number of standbys. It does not depend on the number of nodes: what all
  /// standbys together read from the store stays the same in a larger fleet.
  std::size_t count = 8;
  /// The peer rows are read this often. Right after a take-over the interval
  /// is shorter and doubles, since the nodes register over several seconds
  /// when all of them start.
  Duration scan_interval{15000};
  Duration first_scan_interval{1000};
  /// Rows of one page of a scan.
  int page_rows = 500;
  /// Pause after a failed read.
  Duration retry_pause{1000};
  /// How often each standby is appointed again, and asked whether the store
  /// answers it.
  Duration check_interval{1000};
  Duration check_timeout{250};
  /// A standby that fails this many checks in a row is replaced.
  int max_failed_checks = 2;
  /// How long a standby has to claim a lease that was offered to it before the
  /// next one is asked: many times what a read and a write take.
  Duration offer_interval{200};
  /// A row that was not renewed for this long belongs to a node that is gone.
  Duration max_row_age{200000};
  /// Nodes whose capacity is within this factor of the largest are preferred.
  double capacity_factor = 1.5;
};

/// A node that may become a standby.
struct StandbyCandidate {
  std::string address;
  HallId hall;
  /// Processor time in thousandths of a core.
  std::int64_t capacity = 0;
};

/// Selects up to `count` standbys: large nodes before small ones, and in turn
/// from each hall, so that the loss of a hall leaves some. The result depends
/// only on the set of candidates. Thread-safe.
std::vector<std::string> SelectStandbys(
    std::vector<StandbyCandidate> candidates, std::size_t count,
    double capacity_factor);

/// Keeps the standbys of the node that schedules. A standby reads the leader
/// row often enough to take over quickly; all other nodes read it at a rate
/// that depends on the number of nodes, which is also counted here. Nothing is
/// agreed on: a node that wrongly is or is not a standby only reads more or
/// less often.
///
/// Thread safety: none; use it from one thread.
class StandbyKeeper {
 public:
  /// `own_address` is the address of this node's own peer row. `store_timeout`
  /// must outlive this object.
  StandbyKeeper(StandbyOptions options, std::string own_address,
                const StoreTimeout* store_timeout, TimePoint now);

  /// Sends the calls that are due. `store_answers` is false while the store
  /// counts as unavailable here; checks then count only silent standbys as
  /// failed.
  void Work(Context& ctx, bool store_answers);
  TimePoint next_at() const;

  /// Offers the lease to the next standby, unless that was just done. For a
  /// scheduler whose writes the store refuses: a standby that reaches the store
  /// takes over without waiting for the lease to expire.
  void OfferLease(Context& ctx, Epoch epoch);

  bool Owns(Ticket ticket) const { return read_under_way_ && call_ == ticket; }
  void Handle(Context& ctx, const ReadCompleted& answer);
  /// Processes the result of a check; ignores answers of other nodes.
  void Handle(const PeerReplied& answer);

  /// The number of nodes at the last scan, this one included; 0 before the
  /// first scan.
  std::int64_t nodes() const { return nodes_; }
  /// Addresses of the standbys.
  const std::vector<std::string>& standbys() const { return standbys_; }

 private:
  void ReadPage(Context& ctx);
  void FinishScan(TimePoint now);
  void Check(Context& ctx);
  /// Selects the standbys among the candidates that passed their checks.
  void Select();

  StandbyOptions options_;
  std::string own_address_;
  const StoreTimeout* store_timeout_;
  Ticket call_;
  bool read_under_way_ = false;
  TimePoint scan_at_;
  Duration next_scan_interval_;
  /// Key from which the scan in progress continues, and what it has found.
  std::string next_key_;
  std::vector<StandbyCandidate> found_;
  std::vector<StandbyCandidate> candidates_;
  std::int64_t nodes_ = 0;
  std::vector<std::string> standbys_;
  TimePoint check_at_;
  /// Standbys whose answer to the latest check is missing.
  std::set<std::string> unanswered_;
  bool store_answered_at_check_ = true;
  /// When the lease may be offered again, and to which standby.
  TimePoint offer_at_;
  std::size_t next_offer_ = 0;
  /// Consecutive failed checks by address.
  std::map<std::string, int> failed_checks_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_STANDBY_KEEPER_H_
