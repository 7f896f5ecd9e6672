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

/// How long after the acknowledgement of their cancelling jobs still ran or
/// were started: the longest times, and those with no fault around them.
struct CancelTimes {
  int acknowledged = 0;
  Duration last_run;
  Duration last_run_calm;
  Duration last_start;
  Duration last_start_calm;
};

/// Holds what runners run against the cancels that callers saw acknowledged.
/// While no fault is near, a job is not started later than `kCancelBound` after
/// that, and does not run later than `kCancelBound` and `kStopTime` after it; a
/// run that a runner began late is given this from `kDisturbed` after its
/// start. Once such a stretch of calm has passed, no start of the job follows
/// at all.
///
/// Thread safety: none; callers lock.
class CancelWatch {
 public:
  /// Nothing of a cancelled job is started later than this: the users' bound.
  static constexpr Duration kCancelBound{3000};
  /// What a stand-in's runner takes to stop a run, as in
  /// `emulator::RunnerBounds`.
  static constexpr Duration kStopTime{300};
  /// Runs are sampled this late at most: every 50 ms, on a busy machine.
  static constexpr Duration kSampleSlack{200};
  /// A fault counts as near for this long after it: the users' bound.
  static constexpr Duration kDisturbed{3000};

  /// `faults` outlives this object; `violate` is called with each violation.
  CancelWatch(const FaultLog* faults,
              std::function<void(const std::string&)> violate)
      : faults_(faults), violate_(std::move(violate)) {}

  /// A caller was told that the job is cancelled. Only the first time counts.
  void RecordCancellation(const JobId& job, TimePoint at);
  /// A runner carried an order out to begin this run, or has it already.
  void RecordStart(const RunPlace& place, int run, TimePoint at);
  /// All that runs at this time. Times do not go back.
  void NoteRunning(const std::vector<RunPlace>& running, TimePoint now);

  CancelTimes times() const { return times_; }

 private:
  struct CancelledJob {
    TimePoint at;
    /// A stretch of calm has passed in which it had to end.
    bool settled = false;
  };
  struct StartedRun {
    int run = 0;
    TimePoint at;
    bool reported = false;
  };

  /// True if no fault was near between the two times.
  bool IsCalm(TimePoint from, TimePoint to) const;
  /// The same, and no order that lost its answer may have come.
  bool IsCalmForStarts(TimePoint from, TimePoint to) const;
  /// When the time begins in which the run has to end.
  TimePoint DueFrom(const CancelledJob& job, const StartedRun& run) const;
  void CheckRun(const RunPlace& place, const CancelledJob& job, TimePoint now);
  /// Marks the jobs of which nothing may be started any more.
  void Settle(TimePoint now);

  const FaultLog* faults_;
  std::function<void(const std::string&)> violate_;
  std::map<JobId, CancelledJob> cancelled_;
  std::map<RunPlace, StartedRun> started_;
  CancelTimes times_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_CANCEL_WATCH_H_
