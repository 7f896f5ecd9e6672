/// @file
/// Group commit for the scheduler: collects changed rows, writes them in one
/// conditional transaction at a time, and runs callbacks once their changes are
/// stored.
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
#include <utility>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/leadership.h"

namespace limeledge::dispatch {

/// Timing and size limits of the scheduler's writes.
struct StateWriterOptions {
  /// If nothing was written for this long, a write renews the lease by itself.
  /// A quarter of the lease.
  Duration renewal{325};
  /// Pause before a write that the store did not apply is sent again.
  Duration retry_pause{150};
  /// Pause before a write without a response is sent again on a new connection;
  /// doubles with each attempt up to `retry_pause`.
  Duration resend_pause{10};
  /// Maximum rows of one transaction, below the store's limit of 100 entries.
  std::size_t max_rows = 96;
  /// Maximum bytes of one transaction, below the store's limit of 1 MB as
  /// base64.
  std::size_t max_bytes = 600000;
  /// Rows with larger values are not sent.
  StoreLimits limits;
  /// Pause before a row that the store rejected is sent again; doubles with
  /// each rejection, up to the maximum.
  Duration rejected_pause{1000};
  Duration max_rejected_pause{30000};
};

/// Writes rows on condition that this node still holds the scheduler's lease.
/// Every write also updates the leader's row. That tells a write whose response
/// was lost from one that was never applied, and keeps a delayed write from
/// being applied after a newer one.
///
/// A row that the store does not accept does not hold up the others: after a
/// transaction was rejected, each of its rows is sent in one of its own.
///
/// Thread safety: none; use it from one thread.
class StateWriter {
 public:
  using Action = std::function<void(Context&)>;
  /// Returns a row's value at the time the write is sent; `nullopt` leaves the
  /// row unchanged.
  using Render = std::function<std::optional<std::string>()>;

  /// `store_timeout` must outlive this object.
  StateWriter(StateWriterOptions options, const Leadership::Claimed& claimed,
              const StoreTimeout* store_timeout, TimePoint now);

  /// Marks the row dirty: the next write stores the value that `render` returns
  /// then.
  void Mark(const RowKey& key, Render render);
  /// Removes the row with the next write.
  void Remove(const RowKey& key);
  /// Returns true if the row has a change that is not confirmed as stored.
  bool IsPending(const RowKey& key) const;
  /// Runs `action` once all changes made to the row so far are stored.
  /// Precondition: `IsPending(key)`.
  void RunWhenStored(const RowKey& key, Action action);
  /// The same for all changes made to several rows. Preconditions: `keys` is
  /// not empty, and all rows are pending.
  void RunWhenAllStored(const std::set<RowKey>& keys, Action action);

  /// Returns the rows that were found to be too large since the last call. They
  /// stay pending and are not sent unless they are marked again.
  std::set<RowKey> TakeOversized() { return std::exchange(new_oversized_, {}); }
  /// Returns the rows that the store has rejected since the last call. They
  /// stay pending and are sent again from time to time.
  std::set<RowKey> TakeRejected() { return std::exchange(new_rejected_, {}); }
  /// Drops the change of a row that is not in flight, and returns the actions
  /// that wait for it.
  std::vector<Action> Withdraw(const RowKey& key);

  /// Sends the next write if one is due and none is in flight.
  void Flush(Context& ctx);
  /// When `Flush` is due next if no row is marked until then.
  TimePoint next_at() const;

  enum class LeaseStatus { kHeld, kDeposed, kReleased };
  bool Owns(Ticket ticket) const { return in_flight_ && ticket_ == ticket; }
  /// Handles the response to the write in flight.
  LeaseStatus Handle(Context& ctx, const CommitCompleted& answer);

  /// Called after the process was paused until `now`. Another node may hold the
  /// lease since then, so the next write only renews the lease.
  void RequireConfirmation(TimePoint now) {
    confirmation_required_since_ = now;
  }
  /// Returns false until a write sent after that moment is stored.
  bool MayAct() const { return confirmed_at_ >= confirmation_required_since_; }

  /// Sets what each write tells the other nodes besides the lease.
  void Announce(std::int64_t nodes, CatalogVersion catalog,
                Revision catalog_revision) {
    nodes_ = nodes;
    announced_catalog_ = catalog;
    announced_catalog_revision_ = catalog_revision;
  }
  /// Sets whether the progress of some job is stored in blocks. Until the first
  /// call, the predecessor's value is kept.
  void AnnounceDividedProgress(bool divided) { divides_progress_ = divided; }
  /// Sets the forecast that each write tells the other nodes, if any.
  void AnnounceForecast(std::optional<CapacitySummary> forecast) {
    announced_forecast_ = std::move(forecast);
  }
  /// Sets the wall-clock time as of which the announced forecast holds.
  void ConfirmForecast(std::int64_t wall_ms) {
    if (!announced_forecast_.has_value()) return;
    announced_forecast_->confirmed_wall_ms = wall_ms;
  }
  const std::optional<CapacitySummary>& announced_forecast() const {
    return announced_forecast_;
  }

  /// Releases the lease with the next write; dirty rows are written first.
  void Release() { release_ = true; }

  Epoch epoch() const { return record_.epoch; }
  /// When the store last confirmed this node's lease.
  TimePoint confirmed_at() const { return confirmed_at_; }
  /// Returns true if the store has refused several writes in a row. Unlike a
  /// write without an answer, a refusal leaves no doubt that the lease is not
  /// renewed.
  bool refused() const { return rejections_ >= kMaxRejections; }
  /// Returns false if the store did not apply the newest write, or left several
  /// attempts of it without a response.
  bool store_answers() const {
    return rejections_ == 0 && unanswered_attempts_ < kMaxUnanswered;
  }

 private:
  /// A single refusal may be due to a momentary load.
  static constexpr int kMaxRejections = 2;

  struct Pending {
    Render render;
    bool remove = false;
    std::vector<Action> actions;
  };
  using DirtyRows = std::map<RowKey, Pending>;
  /// A row of a transaction that the store rejected.
  struct Suspect {
    TimePoint retry_at;
    Duration pause;
  };

  void Compose(TimePoint now);
  void AddRows(TimePoint now);
  /// Adds a dirty row to the transaction unless it is too large.
  void AddRow(DirtyRows::iterator dirty);
  bool TransactionIsFull() const;
  /// The leader's row as the next write stores it.
  std::string EncodeNextRecord();
  /// When the row may be sent: at once, at a later time, or only after it was
  /// marked again.
  TimePoint SendableAt(const RowKey& key) const;
  /// When the first of the dirty rows may be sent.
  TimePoint FirstSendableAt() const;
  void Send(Context& ctx);
  /// Schedules another attempt of the write in flight.
  void Resend(TimePoint now);
  /// The write in flight is stored, which renews the lease.
  void Confirm(TimePoint now);
  void OnStored(Context& ctx, Revision revision);
  void Requeue();
  /// Handles a transaction that the store does not accept.
  void OnRejected(Context& ctx);

  StateWriterOptions options_;
  const StoreTimeout* store_timeout_;
  LeaderRecord record_;
  /// Sequence number of the latest write, stored or not.
  std::int64_t latest_sequence_;
  std::int64_t nodes_ = 0;
  CatalogVersion announced_catalog_;
  Revision announced_catalog_revision_;
  std::optional<CapacitySummary> announced_forecast_;
  Revision revision_;
  TimePoint confirmed_at_;
  TimePoint confirmation_required_since_;
  std::optional<bool> divides_progress_;
  DirtyRows dirty_;
  /// Rows of rejected transactions that have not been stored since.
  std::map<RowKey, Suspect> suspects_;
  std::set<RowKey> oversized_;
  std::set<RowKey> new_oversized_;
  std::set<RowKey> new_rejected_;

  // The write in flight. It stays unchanged until its outcome is known.
  bool in_flight_ = false;
  bool retry_scheduled_ = false;
  bool outcome_unknown_ = false;
  bool release_ = false;
  /// The latest transaction was sent to test a single row.
  bool tests_suspect_ = false;
  std::size_t transaction_bytes_ = 0;
  int rejections_ = 0;
  /// Attempts of the write in flight that got no response.
  int unanswered_attempts_ = 0;
  Ticket ticket_;
  TimePoint sent_at_;
  Duration timeout_;
  TimePoint retry_at_;
  LeaderRecord next_record_;
  RowTransaction transaction_;
  DirtyRows in_flight_rows_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_STATE_WRITER_H_
