/// @file
/// Test oracle for the guarantees to callers about the execution of their jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_EMULATOR_PROMISE_ORACLE_H_
#define LIMELEDGE_SRC_EMULATOR_PROMISE_ORACLE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "dispatch/effect.h"
#include "dispatch/event.h"
#include "emulator/emulated_runner.h"

namespace limeledge::emulator {

/// Time limits within which the tasks of a cancelled job must have stopped.
struct CancelBounds {
  /// No run starts later than this after the cancellation was acknowledged.
  Duration notice{3000};
  /// Additional time that active runs may take to stop.
  Duration stop{300};
  /// The limits count from this long after the latest fault or the late
  /// execution of a start, if that is after the cancellation.
  Duration recovery{3000};
};

/// A job as its caller knows it, and what the oracle observed of it.
struct JobWatch {
  dispatch::JobSpec spec;
  std::vector<TaskTruth> truths;
  bool accepted = false;
  /// At least one submit was not refused, or a task of the job started, so the
  /// job may run.
  bool may_be_accepted = false;
  bool cancel_sent = false;
  /// The caller does not submit the job again.
  bool given_up = false;
  /// The caller was told that the job is not stored when it cancelled it. No
  /// task may start from then on, unless the job is submitted anew later.
  bool cancelled_before_stored = false;
  /// When the cancellation was first acknowledged to a caller.
  std::optional<TimePoint> cancelled_at;
  /// Per task, the starts that runners executed and the highest run number of
  /// them.
  std::map<dispatch::TaskName, int> starts;
  std::map<dispatch::TaskName, int> highest_run;
  /// Acknowledged ends: failures of each task, the highest number of its failed
  /// runs, and the tasks that are done.
  std::map<dispatch::TaskName, int> failures;
  std::map<dispatch::TaskName, int> highest_failed_run;
  std::set<dispatch::TaskName> done;
  /// Tasks that a runner has reported as done. If any member of a gang is done,
  /// all of its members are.
  std::set<dispatch::TaskName> reported_done;
  /// Runs of the job's tasks that runners have reported as failed.
  int reported_failures = 0;
  /// Per task, the runners that it crashed, and its starts after it had crashed
  /// as many as the oracle tolerates.
  std::map<dispatch::TaskName, int> crashes;
  std::map<dispatch::TaskName, int> starts_after_crashes;
  /// Per task, the runners that crashed while they executed it, whatever the
  /// cause.
  std::map<dispatch::TaskName, int> observed_crashes;
  /// When a task of the job first crashed a runner.
  std::optional<TimePoint> first_crash;
};

/// Checks every start and every acknowledged end against these invariants:
/// - only tasks of submitted jobs run;
/// - no task has two runs at a time;
/// - no task starts again after a run that is acknowledged as done, even if the
///   acknowledgement comes after the start;
/// - no task starts before the preceding steps are done;
/// - no task starts again after all of its attempts have failed;
/// - a task that has crashed several runners is not restarted indefinitely;
/// - these two and the one about done runs hold for all tasks but those of
///   long-running steps, which start again until their job is cancelled;
/// - the tasks of a cancelled job stop within `CancelBounds`;
/// - no task starts once its job's cancellation was acknowledged while the job
///   was not stored, whatever faults there are.
///
/// Thread safety: none; callers lock.
class PromiseOracle {
 public:
  /// A task may fail `max_attempts` times.
  explicit PromiseOracle(int max_attempts, CancelBounds cancel = {})
      : max_attempts_(max_attempts), cancel_(cancel) {}

  /// Starts watching a job. Precondition: `truths` has one entry for each step.
  JobWatch& Watch(const dispatch::JobSpec& spec, std::vector<TaskTruth> truths);
  /// Returns null if the job is not watched.
  JobWatch* Find(const JobId& job);
  const std::map<JobId, JobWatch>& jobs() const { return jobs_; }
  /// Returns the task's actual behavior and the requirements of its step.
  TaskTruth TruthOf(const dispatch::TaskName& name) const;

  /// A runner executed a start.
  void RecordStart(const dispatch::StartRun& order);
  /// An incarnation of a runner executes a start that was sent to the previous
  /// one, before any scheduler could have cancelled the start there. Nothing
  /// can prevent that, so the run violates no invariant. Call it before
  /// `RecordStart`.
  void RecordMisdeliveredStart(const RunName& run) {
    misdelivered_.insert(run);
  }
  /// Number of starts recorded by `RecordMisdeliveredStart`.
  int misdelivered_starts() const {
    return static_cast<int>(misdelivered_.size());
  }
  /// A poll by the scheduler of this epoch was answered at `now` with the runs
  /// that are active.
  void RecordListedRuns(const std::vector<dispatch::ReportedRun>& running,
                        Epoch epoch, TimePoint now);
  /// A runner crashed while it executed these tasks.
  void RecordRunnerCrash(const std::vector<dispatch::TaskName>& tasks);
  /// The task crashed a runner.
  void RecordCrashCause(const dispatch::TaskName& task, TimePoint now);
  /// A runner answered a poll. `lease_held` returns true if the runner's lease
  /// has not expired since the end with that number occurred.
  void RecordPoll(const dispatch::PollRunner& poll,
                  const dispatch::RunnerPolled& answer,
                  const std::function<bool(std::int64_t)>& lease_held);
  /// Ends were acknowledged to an incarnation of a runner that had never
  /// reported them, so it dropped ends that no scheduler had read.
  void RecordUnreportedEnds(const std::vector<dispatch::ReportedEnd>& ends);
  /// The cancellation of a job was acknowledged to a caller.
  void RecordCancellation(const JobId& job, TimePoint now);
  /// A cancellation was acknowledged for a job that is not stored.
  void RecordCancelledBeforeStored(const JobId& job) {
    Find(job)->cancelled_before_stored = true;
  }
  /// The caller submits a job anew, long after its cancellation.
  void ForgetCancellation(const JobId& job) {
    Find(job)->cancelled_before_stored = false;
    Find(job)->cancelled_at.reset();
  }
  /// A fault starts, is active or ends.
  void RecordFault(TimePoint now) { last_fault_ = now; }
  /// A runner receives no orders. Its runs cannot be stopped, but that does not
  /// excuse new starts there.
  void RecordMuteRunner(TimePoint now) { last_mute_runner_ = now; }
  /// A runner executed a start long after it was sent.
  void RecordLateStart(const RunName& run, TimePoint now) {
    late_starts_[run] = now;
  }
  /// A run started: its job must not have been cancelled too long before.
  void CheckStartAfterCancel(const RunName& run, TimePoint now);
  /// Checks that none of the active runs belongs to a job that was cancelled
  /// too long ago. Call it several times within the cancel bounds.
  void CheckCancelledRuns(const std::vector<RunName>& runs, TimePoint now);
  /// Checks that no task has two of the active runs.
  void CheckRunning(const std::vector<RunName>& running);
  /// Checks a start that was sent at `sent_at` against earlier active runs of
  /// misdelivered starts: a scheduler that has been shown such a run waits for
  /// its end.
  void CheckStartBesideListed(const dispatch::StartRun& order,
                              TimePoint sent_at,
                              const std::vector<RunName>& running);

  /// Sets a function that is called with a line of text for each violation and
  /// for each end that was acknowledged.
  void SetTrace(std::function<void(const std::string&)> trace) {
    trace_ = std::move(trace);
  }

  /// Adds the description of a violation.
  void Violate(const std::string& what);
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void Trace(const std::string& what) const {
    if (trace_) trace_(what);
  }
  /// Checks that a task that has crashed several runners is not restarted
  /// indefinitely.
  void CheckCrashes(JobWatch* watch, const dispatch::TaskName& task);
  /// Checks that all tasks of the preceding steps are done.
  void CheckStepOrder(const JobWatch& watch, const dispatch::TaskName& task);
  /// Returns the time since the job's cancellation, or since the end of the
  /// recovery from the latest disturbance if that is later. It is negative
  /// during the recovery, and empty if the job was not cancelled.
  std::optional<Duration> UndisturbedTimeSinceCancel(const RunName& run,
                                                     TimePoint now) const;
  void RecordEnd(const dispatch::ReportedEnd& end);
  void RecordDone(JobWatch* watch, const dispatch::ReportedEnd& end);
  void RecordFailure(JobWatch* watch, const dispatch::ReportedEnd& end);
  void RecordReportedEnd(const dispatch::ReportedEnd& end);

  int max_attempts_;
  CancelBounds cancel_;
  std::optional<TimePoint> last_fault_;
  std::optional<TimePoint> last_mute_runner_;
  std::map<RunName, TimePoint> late_starts_;
  /// Runs started by an order that was sent to the previous incarnation.
  std::set<RunName> misdelivered_;
  /// When such runs were first listed to the scheduler of an epoch.
  std::map<std::pair<RunName, Epoch>, TimePoint> listed_at_;
  /// Runs already reported as active too long after the cancellation.
  std::set<RunName> reported_overdue_;
  std::map<JobId, JobWatch> jobs_;
  /// Ends that each incarnation of a runner has reported, until they are
  /// acknowledged.
  std::map<dispatch::IncarnationId,
           std::map<std::int64_t, dispatch::ReportedEnd>>
      reported_ends_;
  std::vector<std::string> violations_;
  std::function<void(const std::string&)> trace_;
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_SRC_EMULATOR_PROMISE_ORACLE_H_
