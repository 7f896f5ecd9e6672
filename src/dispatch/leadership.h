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
#include "dispatch/jitter.h"
#include "dispatch/row_codec.h"
#include "dispatch/store_timeout.h"
#include "limeledge/lease.h"

namespace limeledge::dispatch {

/// Timing of the lease on scheduling.
struct LeadershipOptions {
  /// How often a standby reads the row. Short, because a planned hand-over is
  /// noticed by this read.
  Duration poll_interval{300};
  /// How often all nodes together that are not standbys look at the row. If all
  /// standbys are lost with the scheduler, one of these nodes notices within
  /// the reciprocal. The rate does not depend on the number of nodes.
  std::int64_t backup_looks_per_second = 20;
  /// A node is a standby for this long after it was appointed.
  Duration standby_term{5000};
  /// While the store does not answer, a node that is no standby reads the row
  /// at random intervals of this mean, and when a call arrives.
  Duration backup_retry_interval{1500};
  /// Minimum time between a read and a probe.
  Duration min_probe_gap{50};
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
/// A standby reads the row all the time. Any other node looks at it now and
/// then: it reads the row until it has seen a renewal. If there is none, it
/// goes on reading and claims the lease like a standby.
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
  /// Makes this node a standby for a term.
  void Appoint(TimePoint now);
  /// Claims the lease of `epoch`, whose holder offers it, as soon as a read
  /// shows that the row still names that epoch.
  void AcceptOffer(TimePoint now, Epoch epoch);
  /// Ends a pause between two looks, since there is a sign that the store does
  /// not answer.
  void EndPause(TimePoint now);
  /// Reads the row at once, unless it was just read, since a caller or a peer
  /// waits to know whether the store answers.
  void Probe(TimePoint now);
  /// True if this node reads the row only now and then, so that it may not know
  /// whether the store answers.
  bool is_backup() const { return backup_; }
  /// The row as last read.
  const LeaderRecord& record() const { return record_; }
  /// The row as last read was written after this moment: when the latest read
  /// that showed an earlier revision was sent. A single read does not tell how
  /// old a row is.
  TimePoint record_written_after() const { return record_written_after_; }

  /// The lease that a successful claim gave this node.
  struct Claimed {
    LeaderRecord record;
    Revision revision;
    /// When the claim was sent; the lease is counted from then.
    TimePoint sent_at;
    /// The holder before this claim; empty if there was none.
    std::string previous_holder;
  };
  void Handle(Context& ctx, const ReadCompleted& answer);
  /// Processes the answer to a claim; returns the lease if this node now holds
  /// it.
  std::optional<Claimed> Handle(Context& ctx, const CommitCompleted& answer);
  /// True if `ticket` belongs to the call in flight.
  bool Owns(Ticket ticket) const { return call_ == ticket; }

  /// Starts watching again after the lease was lost or released.
  /// `store_answers` is what the scheduler found.
  void Reset(TimePoint now, bool store_answers);
  /// Stops claiming; for a process that is shutting down.
  void Retire() { retired_ = true; }

  /// False if the store refused the latest call, or left several in a row
  /// unanswered.
  bool store_answers() const {
    return !refused_ && unanswered_reads_ < kMaxUnanswered;
  }

 private:
  /// A time in the distant past.
  static constexpr TimePoint kNeverWritten{INT64_MIN / 4};

  void Observe(Context& ctx, const Row& row);
  /// Updates the bound on the age of the row.
  void RecordRevision(Revision revision);
  /// Creates the row, which does not exist, unless another node may do so at
  /// the same moment.
  void CreateRow(Context& ctx);
  bool IsSmall(const LeaderRecord& record) const;
  bool IsMuchLargerThan(const LeaderRecord& record) const;
  void Claim(Context& ctx, const LeaderRecord& seen, Revision revision);
  void ScheduleRead(TimePoint now, Duration delay);
  /// Schedules the next look.
  void Pause(TimePoint now, std::int64_t nodes);

  LeadershipOptions options_;
  std::string holder_;
  const StoreTimeout* store_timeout_;
  WatchedLease watch_;
  Ticket call_;
  bool call_under_way_ = false;
  LeaderRecord record_;
  TimePoint record_written_after_ = kNeverWritten;
  std::optional<Revision> record_revision_;
  /// When the latest read that was answered was sent.
  TimePoint answered_read_sent_at_ = kNeverWritten;
  /// The row's revision when the present look began; not set before its first
  /// read.
  std::optional<Revision> first_revision_;
  bool backup_ = false;
  /// The read that is due next is a probe.
  bool probes_ = false;
  bool probe_in_flight_ = false;
  TimePoint standby_until_;
  /// Epoch of the lease that its holder has offered to this node.
  std::optional<Epoch> offered_epoch_;
  Jitter jitter_;
  /// Earliest time to create the row if it does not exist.
  std::optional<TimePoint> create_at_;
  LeaderRecord claim_;
  std::string previous_holder_;
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
