/// @file
/// Leader election: the scheduler holds a lease row in the store, and another
/// node takes it over when the row is no longer renewed.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_LEADERSHIP_H_
#define LIMELEDGE_SRC_DISPATCH_LEADERSHIP_H_

#include <optional>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/row_codec.h"
#include "dispatch/store_timeout.h"
#include "limeledge/lease.h"

namespace limeledge::dispatch {

/// Timing of the lease on scheduling.
struct LeadershipOptions {
  /// How often a follower reads the row. Short, because a planned hand-over is
  /// noticed by this read.
  Duration poll_interval{300};
  /// The row must stay unchanged for this long, four renewal intervals, before
  /// it is taken over. Much shorter than the runners' lease, so that runs
  /// outlast a take-over.
  Duration lease{1300};
  /// A slow store delays renewals too, so the lease is extended by this many
  /// times the latency of the latest read.
  int latency_multiple = 3;
  /// Processor time available to this process, in thousandths of a core.
  std::int64_t capacity = 0;
  /// A process whose capacity is smaller than that of the largest holder so far
  /// by more than this factor waits `small_process_delay` longer, so that a
  /// larger one takes over first. A process that is larger than the holder by
  /// more than this factor takes over at once.
  double capacity_factor = 1.5;
  Duration small_process_delay{900};
};

/// Watches the row that names the scheduler, and claims it when its lease has
/// expired.
///
/// Thread safety: none; use it from one thread.
class Leadership {
 public:
  /// `holder` has the form INSTANCE/INCARNATION and must be unique for each
  /// incarnation of a process. `store_timeout` must outlive this object.
  Leadership(LeadershipOptions options, std::string holder,
             const StoreTimeout* store_timeout);

  /// Reads the row if that is due. Precondition: this node is not the leader.
  void Follow(Context& ctx);
  /// When `Follow` is due next.
  TimePoint next_at() const { return call_under_way_ ? kNever : next_at_; }

  /// The lease that a successful claim gave this node.
  struct Claimed {
    LeaderRecord record;
    Revision revision;
    /// When the claim was sent; the lease is counted from then.
    TimePoint sent_at;
  };
  void Handle(Context& ctx, const ReadCompleted& answer);
  /// Processes the answer to a claim; returns the lease if this node now holds
  /// it.
  std::optional<Claimed> Handle(Context& ctx, const CommitCompleted& answer);
  /// True if `ticket` belongs to the call in flight.
  bool Owns(Ticket ticket) const { return call_ == ticket; }

  /// Starts watching again after the lease was lost or released.
  void Reset(TimePoint now);
  /// Stops claiming; for a process that is shutting down.
  void Retire() { retired_ = true; }

  /// False if the store refused the latest call, or left several in a row
  /// unanswered.
  bool store_answers() const {
    return !refused_ && unanswered_reads_ < kMaxUnanswered;
  }

 private:
  void Observe(Context& ctx, const Row& row);
  bool IsSmall(const LeaderRecord& record) const;
  bool IsMuchLargerThan(const LeaderRecord& record) const;
  void Claim(Context& ctx, const LeaderRecord& seen, Revision revision);
  void ScheduleRead(TimePoint now, Duration delay);

  LeadershipOptions options_;
  std::string holder_;
  const StoreTimeout* store_timeout_;
  WatchedLease watch_;
  Ticket call_;
  bool call_under_way_ = false;
  LeaderRecord claim_;
  TimePoint claim_sent_at_;
  TimePoint next_at_;
  TimePoint read_sent_at_;
  /// Consecutive reads without an answer.
  int unanswered_reads_ = 0;
  bool refused_ = false;
  bool retired_ = false;
  /// This incarnation has held the lease.
  bool has_led_ = false;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_LEADERSHIP_H_
