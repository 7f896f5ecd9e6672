/// @file
/// Keeps the speeds of runners in the store, so that the next scheduler knows
/// them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_SPEED_KEEPER_H_
#define LIMELEDGE_SRC_DISPATCH_SPEED_KEEPER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/runner_speeds.h"
#include "dispatch/speed_rows.h"
#include "dispatch/state_writer.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

/// Timing and limits of reads and writes of stored speeds.
struct SpeedKeeperOptions {
  /// Speeds that were not measured for this long are neither stored nor
  /// restored.
  Duration max_age{900000};
  /// Standard deviation of the change of a log pace within `max_age`. At that
  /// age, a stored speed is hardly more certain than the speed of an unmeasured
  /// runner.
  double aging_deviation = 0.2;
  /// A row is written if the mean log pace of one of its runners changed by
  /// more than `min_change` and by more than `min_change_deviations` times its
  /// standard deviation, or if that deviation fell below `min_deviation_ratio`
  /// of the stored one: other changes hardly alter a placement.
  double min_change = kPaceStep / 2;
  double min_change_deviations = 0.5;
  double min_deviation_ratio = 0.5;
  /// A row is also written if a stored measurement is this old and the runner
  /// was measured since. Otherwise the speeds of runners that don't change
  /// would become too old to be restored.
  Duration refresh_age{450000};
  /// Maximum number of rows that are written together, and the minimum time
  /// between two such groups and between two writes of one row.
  std::size_t max_rows = 4;
  Duration write_interval{1000};
  Duration row_interval{5000};
  /// A row without measured runners is removed after this time. Exceeds the
  /// time for which the entries of healthy runners may be missing from the list
  /// after an outage of the store.
  Duration removal_delay{60000};
  /// How often rows without measured runners are looked for. Looking for them
  /// takes longer than all other work, since it visits all runners.
  Duration removal_check_interval{10000};
  /// Maximum number of rows that are removed together.
  int max_removed_rows = 40;
  /// Pause after a failed read; doubles with each failure, up to the maximum.
  Duration retry_pause{200};
  Duration max_retry_pause{10000};
  /// Rows per read; the store's own limit.
  int page_rows = 500;
  /// Of a row that would exceed them, the least certain speeds are left out.
  StoreLimits store_limits;
};

/// Reads the stored speeds once and adds them to the estimates, and writes the
/// estimates when they have changed, one row per rack. Lost reads and writes
/// cost knowledge, never correctness.
///
/// Nothing is written before the table has been read: the rows of the previous
/// scheduler would be overwritten by the few measurements made since.
///
/// Thread safety: none; use it from one thread.
class SpeedKeeper {
 public:
  /// `store_timeout` must outlive this object.
  SpeedKeeper(const StoreTimeout* store_timeout, TimePoint now,
              SpeedKeeperOptions options = {})
      : options_(options), store_timeout_(store_timeout), started_at_(now) {}

  /// Sends the read that is due, if any.
  void Read(Context& ctx);
  /// When `Read` has something to do next.
  TimePoint next_at() const;

  bool Owns(Ticket ticket) const {
    return read_in_flight_ && ticket_ == ticket;
  }
  /// Handles the response to the read in flight.
  void Handle(Context& ctx, const ReadCompleted& answer);

  /// Adds the speeds that were read to `speeds`, for the runners whose present
  /// incarnation is known. Those of other incarnations are dropped.
  void Restore(Context& ctx, const Fleet& fleet, RunnerSpeeds* speeds);
  /// True if any speed was restored: the previous scheduler had speeds in use.
  bool restored() const { return restored_; }

  /// Marks rows that are to be written or removed, and takes the changes of
  /// `speeds`. `in_use`: speeds influence decisions; otherwise all rows are
  /// removed, so that the next scheduler does not take speeds into use because
  /// of them.
  void Write(Context& ctx, const Fleet& fleet, bool in_use,
             RunnerSpeeds* speeds, StateWriter* writer);

 private:
  using Estimates = std::map<IncarnationId, SpeedEstimate>;
  /// A row as the store holds it.
  struct StoredRow {
    Estimates runners;
    TimePoint written_at;
    /// Since when no measured runner belongs to the row.
    std::optional<TimePoint> unused_since;
  };

  void HandleRow(Context& ctx, const Row& row);
  /// The estimate that a stored speed stands for at present.
  SpeedEstimate Aged(TimePoint now, const SpeedEstimate& stored) const;
  /// The estimate of a runner if it is to be stored.
  std::optional<SpeedEstimate> EstimateToStore(
      TimePoint now, const RunnerSpeeds& speeds,
      const IncarnationId& runner) const;
  /// Adds the rows of changed runners to `due_`.
  void FindDueRows(TimePoint now, const Fleet& fleet, RunnerSpeeds* speeds);
  /// The runners to be stored in each of the rows.
  std::map<std::string, Estimates> ComposeRows(
      TimePoint now, const Fleet& fleet, const RunnerSpeeds& speeds,
      const std::set<std::string>& keys) const;
  /// True if the difference may alter a placement, or the stored row would
  /// become too old.
  bool MustWrite(TimePoint now, const IncarnationId& runner,
                 const SpeedEstimate& estimate, const StoredRow& stored) const;
  /// Marks rows without measured runners for removal.
  void RemoveUnused(TimePoint now, const Fleet& fleet,
                    const RunnerSpeeds& speeds, bool in_use,
                    StateWriter* writer);
  void MarkRow(Context& ctx, const std::string& key, Estimates present,
               StateWriter* writer);

  SpeedKeeperOptions options_;
  const StoreTimeout* store_timeout_;
  TimePoint started_at_;

  // The read of the table.
  /// True once the table was read or is no longer worth reading.
  bool read_finished_ = false;
  bool read_in_flight_ = false;
  Ticket ticket_;
  std::string next_key_;
  int failed_reads_ = 0;
  TimePoint read_at_;
  /// Speeds that were read and match no known runner so far.
  Estimates unmatched_;
  bool restored_ = false;

  TimePoint write_at_;
  TimePoint removal_check_at_;
  /// All measured runners count as changed.
  bool all_changed_ = true;
  /// Keys of rows to be written.
  std::set<std::string> due_;
  std::map<std::string, StoredRow> rows_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_SPEED_KEEPER_H_
