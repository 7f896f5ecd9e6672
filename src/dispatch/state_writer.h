/// @file
/// The scheduler's writes: one conditional transaction at a time, many changes
/// in each, and actions that wait until their change is stored.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_STATE_WRITER_H_
#define LIMELEDGE_SRC_DISPATCH_STATE_WRITER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/leadership.h"

namespace limeledge::dispatch {

/// Timing and size of the scheduler's writes.
struct StateWriterOptions {
  /// The lease is renewed by a write of its own when nothing else was written
  /// for this long; a quarter of the lease.
  Duration renewal{325};
  /// Pause before a write that was refused is sent again.
  Duration retry_pause{150};
  /// Pause before a write without an answer is sent again on a new connection;
  /// doubles with each further sending up to `retry_pause`.
  Duration resend_pause{10};
  /// Rows of one transaction, below the store's limit of 100 entries.
  std::size_t max_rows = 96;
  /// Bytes of one transaction, below the store's limit of 1 MB as base64.
  std::size_t max_bytes = 600000;
};

/// Writes rows under the condition that this node still leads. Every write
/// also changes the leader's row, so that a write whose answer was lost can
/// be told apart from one that never happened, and can not come through after
/// a newer one.
///
/// Thread safety: none; use it from one thread.
class StateWriter {
 public:
  using Action = std::function<void(Context&)>;
  /// Gives a row's value when its write is sent; nothing leaves it as it is.
  using Render = std::function<std::optional<std::string>()>;

  /// `patience` outlives this object.
  StateWriter(StateWriterOptions options, const Leadership::Claimed& claimed,
              const StoreTimeout* patience, TimePoint now);

  /// The row is to be written with what `render` gives then.
  void Mark(const RowKey& key, Render render);
  /// The row is to be removed.
  void Remove(const RowKey& key);
  /// True if a change of the row is not known to be stored yet.
  bool IsPending(const RowKey& key) const;
  /// Runs `action` once all changes of the row up to now are stored.
  /// Precondition: `IsPending(key)`.
  void RunWhenStored(const RowKey& key, Action action);

  /// Sends what is due, if nothing is under way.
  void Flush(Context& ctx);
  /// When `Flush` is due next without new marks.
  TimePoint next_at() const;

  enum class LeaseStatus { kHeld, kDeposed, kReleased };
  bool Owns(Ticket ticket) const { return in_flight_ && call_ == ticket; }
  /// Takes in the answer of the write under way.
  LeaseStatus Handle(Context& ctx, const CommitCompleted& answer);

  /// The process stood still until `now`, and another may schedule since: the
  /// next write changes nothing but the lease.
  void RequireConfirmation(TimePoint now) { confirm_after_ = now; }
  /// False until a write that was sent after that moment has been stored.
  bool MayAct() const { return confirmed_at_ >= confirm_after_; }

  /// Gives the lease up with the next write; what is marked goes before it.
  void Release() { release_ = true; }

  Epoch epoch() const { return record_.epoch; }
  /// When the store last confirmed that this node leads.
  TimePoint confirmed_at() const { return confirmed_at_; }
  bool idle() const { return !in_flight_ && marked_.empty(); }
  /// False if the store refused the newest write, or left several sendings of
  /// it unanswered.
  bool store_answers() const {
    return refusals_ == 0 && misses_ < kMaxUnanswered;
  }

 private:
  struct Pending {
    Render render;
    bool remove = false;
    std::vector<Action> actions;
  };
  using PendingKey = std::pair<std::string, std::string>;

  void Compose();
  void Send(Context& ctx);
  /// Lets the write under way be sent again after a pause.
  void Resend(TimePoint now);
  void Stored(Context& ctx, Revision revision);
  void PutBack();

  StateWriterOptions options_;
  const StoreTimeout* patience_;
  LeaderRecord record_;
  Revision revision_;
  TimePoint confirmed_at_;
  TimePoint confirm_after_;
  std::map<PendingKey, Pending> marked_;

  // The write under way, kept as it is until it is settled.
  bool in_flight_ = false;
  bool waits_ = false;
  bool unsettled_ = false;
  bool release_ = false;
  int refusals_ = 0;
  /// Sendings of the write under way that were not answered.
  int misses_ = 0;
  Ticket call_;
  TimePoint sent_at_;
  TimePoint retry_at_;
  LeaderRecord next_record_;
  RowTransaction transaction_;
  std::map<PendingKey, Pending> sent_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_STATE_WRITER_H_
