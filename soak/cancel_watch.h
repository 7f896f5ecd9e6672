/// @file
/// Checks that the runs of cancelled jobs end in time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_CANCEL_WATCH_H_
#define LIMELEDGE_SOAK_CANCEL_WATCH_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/job_spec.h"
#include "soak/fault_log.h"

namespace limeledge::soak {

/// A task that runs on a runner that is up.
using RunPlace = std::pair<RunnerId, dispatch::TaskName>;

/// Longest times after the acknowledgement of a cancel at which jobs still ran
/// or were started: over all jobs, and without a fault nearby.
struct CancelTimes {
  int acknowledged = 0;
  Duration last_run;
  Duration last_run_calm;
  Duration last_start;
  Duration last_start_calm;
};

/// Checks the runs of all runners against the acknowledged cancels. While no
/// fault is near, a job must not start later than `kCancelBound` after the
/// acknowledgement, and must not run later than `kCancelBound` plus `kStopTime`
/// after it. For a run that a runner started late, this time counts from
/// `kDisturbed` after its start. After one such fault-free period, the job must
/// not start at all.
///
/// Thread safety: none; callers lock.
class CancelWatch {
 public:
  /// No task of a cancelled job is started later than this; required by the
  /// users.
  static constexpr Duration kCancelBound{3000};
  /// Time that a stand-in runner takes to stop a run, as in
  /// `emulator::RunnerBounds`.
  static constexpr Duration kStopTime{300};
  /// Maximum sampling delay: runs are sampled every 50 ms, and later on a busy
  /// machine.
  static constexpr Duration kSampleSlack{200};
  /// A fault counts as near for this long after its end; required by the users.
  static constexpr Duration kDisturbed{3000};

  /// `faults` must outlive this object; `violate` is called with each
  /// violation.
  CancelWatch(const FaultLog* faults,
              std::function<void(const std::string&)> violate)
      : faults_(faults), violate_(std::move(violate)) {}

  /// Records that a cancel was acknowledged. Only the first call for a job
  /// counts.
  void RecordCancellation(const JobId& job, TimePoint at);
  /// Records that a runner carried out an order to start this run, or already
  /// had the run.
  void RecordStart(const RunPlace& place, int run, TimePoint at);
  /// Checks all tasks that run at `now`. `now` must not decrease between calls.
  void NoteRunning(const std::vector<RunPlace>& running, TimePoint now);

  CancelTimes times() const { return times_; }

 private:
  struct CancelledJob {
    TimePoint at;
    /// A fault-free period in which the job had to end has passed.
    bool settled = false;
  };
  struct StartedRun {
    int run = 0;
    TimePoint at;
    bool reported = false;
  };

  /// Returns true if no fault was near between the two times.
  bool IsCalm(TimePoint from, TimePoint to) const;
  /// Like `IsCalm`, and no late order may have been carried out.
  bool IsCalmForStarts(TimePoint from, TimePoint to) const;
  /// Returns the time from which the bound for the end of the run counts.
  TimePoint DueFrom(const CancelledJob& job, const StartedRun& run) const;
  void CheckRun(const RunPlace& place, const CancelledJob& job, TimePoint now);
  /// Marks the jobs that must not start any more.
  void Settle(TimePoint now);

  const FaultLog* faults_;
  std::function<void(const std::string&)> violate_;
  std::map<JobId, CancelledJob> cancelled_;
  std::map<RunPlace, StartedRun> started_;
  CancelTimes times_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_CANCEL_WATCH_H_
