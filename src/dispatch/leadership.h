/// @file
/// Who schedules: a lease row in the store, taken over when it stands still.
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
  /// How often a follower reads the row. Short, since a planned hand-over is
  /// noticed by this reading.
  Duration poll_interval{300};
  /// The row must stand still for this long before it is taken over: four
  /// renewals. Much shorter than the runners' lease, so that what runs
  /// outlasts a take-over.
  Duration lease{1300};
  /// A store that answers slowly delays renewals too: the lease is longer by
  /// this many times what the newest reading took.
  int lease_per_latency = 3;
  /// Processor time that this process has, in thousandths of a core.
  std::int64_t capacity = 0;
  /// A process that has this many times less than the largest holder so far
  /// waits longer, so that a large one goes first; one that has so much more
  /// than the holder takes over at once.
  double capacity_factor = 1.5;
  Duration small_delay{900};
};

/// Follows the row that names the scheduler, and claims it when it lapsed.
///
/// Thread safety: none; use it from one thread.
class Leadership {
 public:
  /// `holder`, INSTANCE/LIFE, must be new for each life of a process.
  /// `patience` outlives this object.
  Leadership(LeadershipOptions options, std::string holder,
             const StoreTimeout* patience);

  /// Reads or claims when that is due. Precondition: this node does not lead.
  void Follow(Context& ctx);
  /// When `Follow` is due next.
  TimePoint next_at() const { return call_under_way_ ? kNever : next_at_; }

  /// What the claim's answer made of this node.
  struct Claimed {
    LeaderRecord record;
    Revision revision;
    /// When the claim was sent: the lease counts from then.
    TimePoint sent_at;
  };
  void Handle(Context& ctx, const ReadCompleted& answer);
  /// Takes in the answer to a claim; returns the lease if it is now this
  /// node's.
  std::optional<Claimed> Handle(Context& ctx, const CommitCompleted& answer);
  /// True if `ticket` is that of the call under way.
  bool Owns(Ticket ticket) const { return call_ == ticket; }

  /// Begins to watch again, after the lease was lost or released.
  void Reset(TimePoint now);
  /// Stops claiming, for a process that is about to end.
  void Retire() { retired_ = true; }

  /// False if the store refused the newest call, or left several unanswered.
  bool store_answers() const { return !refused_ && misses_ < kMaxUnanswered; }

 private:
  void Observe(Context& ctx, const Row& row);
  bool IsSmall(const LeaderRecord& record) const;
  bool IsMuchLargerThan(const LeaderRecord& record) const;
  void Claim(Context& ctx, const LeaderRecord& seen, Revision revision);
  void Wait(TimePoint now, Duration delay);

  LeadershipOptions options_;
  std::string holder_;
  const StoreTimeout* patience_;
  WatchedLease watch_;
  Ticket call_;
  bool call_under_way_ = false;
  LeaderRecord claim_;
  TimePoint claim_sent_at_;
  TimePoint next_at_;
  TimePoint read_sent_at_;
  /// Readings without an answer, one after the other.
  int misses_ = 0;
  bool refused_ = false;
  bool retired_ = false;
  /// This life has held the lease.
  bool has_led_ = false;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_LEADERSHIP_H_
