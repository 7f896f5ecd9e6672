/// @file
/// A job, the progress of its tasks, and its state transitions.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_JOB_H_
#define LIMELEDGE_SRC_DISPATCH_JOB_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/incarnation.h"
#include "dispatch/job_spec.h"
#include "dispatch/observed_durations.h"
#include "dispatch/progress_blocks.h"
#include "dispatch/run_loss.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

enum class JobState { kQueued, kRunning, kDone, kFailed, kCancelled };

const char* ToString(JobState state);
bool IsFinal(JobState state);

enum class TaskPhase {
  kWaiting,
  /// A run was assigned to a runner; it may not have started.
  kAssigned,
  kDone,
  /// Failed `max_attempts` times, or was given up because it is believed to
  /// crash its runners.
  kFailed,
};

/// How a run ended.
enum class RunEnd {
  kDone,
  kFailed,
  /// Stopped on request.
  kStopped,
  /// The lease granted to the runner expired, or the runner no longer exists.
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members of the gang did not start in time.
  kGangIncomplete,
  /// The runner refused to start the run.
  kRejected,
};

const char* ToString(RunEnd end);

/// The progress of one task. The members up to `losses` are stored.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the latest run; each start increments it.
  int run = 0;
  int failures = 0;
  /// Runner incarnation on which the current run was started.
  IncarnationId incarnation;
  /// Address of that runner; empty if it is not known. A scheduler that takes
  /// over calls the runner there if its entry is gone.
  std::string address;
  /// Latest saved progress; empty if there is none.
  std::string checkpoint;
  /// Lost runs that count against the task.
  std::vector<RunLoss> losses;

  /// The task must not start until the fate of the runners on which it was lost
  /// is known.
  bool held_back = false;
  /// The task must not start before this time: a runner still lists one of its
  /// earlier runs, which is being stopped.
  TimePoint blocked_until;
  /// Last reported progress of the current run in percent.
  int percent = 0;
  TimePoint assigned_at;
};

/// A run that ended, and how.
struct EndedRun {
  int number = 0;
  RunnerId runner;
  RunEnd end = RunEnd::kStopped;
};

/// The first start that was sent of a run of a gang.
struct GangStart {
  int run = 0;
  TimePoint sent_at;
};

/// Tasks of one step in one occurrence of the job.
struct Step {
  std::vector<Task> tasks;
  /// Number of failed runs of the gang, and which runs they are.
  int gang_failures = 0;
  std::set<int> failed_runs;
  /// Failures of runs up to this one were counted by a version that did not
  /// record their numbers.
  int failures_counted_until = 0;
  /// Runs of the gang that may have failed although that was not reported, and
  /// until when their runner may still report it. Stored by schedulers of
  /// earlier versions, which took a member as over when all others were.
  std::map<int, TimePoint> unreported_runs;
  /// Of the gang's latest run that this scheduler started.
  std::optional<GangStart> first_start;
  /// Since when the step has been ready without interruption; the planner's
  /// waiting times count from it.
  TimePoint ready_since;
  bool ready = false;
  /// The duration of one run was recorded; other runs of the step take about as
  /// long, so that only one is recorded.
  bool duration_known = false;
  /// Runners on which a run of one of the tasks failed; other runners are tried
  /// first.
  std::set<IncarnationId> failed_on;
  ObservedDurations observed_durations;

  int CountIn(TaskPhase phase) const;
};

/// The largest number of accelerators that the steps of a job need, each for
/// all its tasks, in all occurrences together. Thread-safe.
std::int64_t PeakAccelerators(const JobSpec& spec);

/// One repetition of a job's steps.
struct Occurrence {
  std::vector<Step> steps;
  /// Wall-clock time before which the steps don't start.
  std::int64_t due_wall_ms = 0;
};

/// The scheduler's state of a job.
///
/// Thread safety: none; use it from one thread.
class Job {
 public:
  /// Creates a job without started tasks. Precondition: `spec` has at least one
  /// step.
  explicit Job(JobSpec spec);

  const JobSpec& spec() const { return spec_; }
  JobState state() const { return state_; }
  bool cancel_requested() const { return cancel_requested_; }
  /// True if a run of one of the tasks is known to have begun. A run that was
  /// assigned may still be rejected by its runner.
  bool has_begun() const { return has_begun_; }
  std::vector<Occurrence>& occurrences() { return occurrences_; }
  const std::vector<Occurrence>& occurrences() const { return occurrences_; }
  const StepSpec& step_spec(int step) const { return spec_.steps[step]; }
  bool HasStep(int step) const {
    return step >= 0 && static_cast<std::size_t>(step) < spec_.steps.size();
  }
  /// Sum of estimates along the longest chain of dependent steps of the job, or
  /// of those from `step` on.
  Duration critical_path() const { return critical_path_; }
  Duration CriticalPathFrom(int step) const { return critical_paths_[step]; }
  /// Returns null if the name doesn't identify a task of this job.
  Task* Find(const TaskName& name);

  /// Restores stored state. Precondition: called before any other change.
  void Restore(JobState state, bool has_begun) {
    state_ = state;
    has_begun_ = has_begun;
  }
  /// Concludes from the progress of the tasks whether one of them has begun,
  /// for rows that do not tell.
  void InferBegun();
  /// Records that a run of one of the tasks has begun. Returns true if the
  /// job's state changes.
  bool RecordBegun();
  void RequestCancel() { cancel_requested_ = true; }

  /// Stores the progress in blocks of `tasks_per_block` tasks from now on.
  /// Precondition: `tasks_per_block` is positive.
  void DivideProgress(int tasks_per_block);
  /// The blocks in which the progress is stored; null if one row holds it.
  const ProgressBlocks* blocks() const {
    return blocks_.has_value() ? &*blocks_ : nullptr;
  }
  /// Counts all blocks as changed. Precondition: `blocks()` is not null.
  void MarkAllBlocksChanged() { blocks_->MarkAllChanged(); }
  /// Returns the blocks whose stored progress has changed since the last call.
  /// Precondition: `blocks()` is not null.
  std::set<int> TakeChangedBlocks() { return blocks_->TakeChanged(); }
  /// Records whether the store accepts the job's progress.
  void SetStorable(bool storable) { storable_ = storable; }
  /// False if it does not; no further runs can be assigned then.
  bool storable() const { return storable_; }
  /// Makes the members of each gang consistent after blocks were restored that
  /// were stored by different writes.
  void ReconcileGangs();

  /// Returns true if all tasks of the steps that `step` depends on are done.
  bool StepIsReady(const Occurrence& occurrence, int step) const;

  /// Assigns a new run of `name` to `incarnation` at `address`. All members of
  /// a gang are assigned with the same `run`. Precondition: the task is
  /// waiting, and `run` is higher than the number of any earlier run.
  void Assign(const TaskName& name, int run, const IncarnationId& incarnation,
              const std::string& address, TimePoint now);
  /// Records that the start of a member of this run of a gang was sent.
  void RecordGangStart(const TaskName& name, int run, TimePoint now);
  /// Records that the task's current run is on another incarnation of its
  /// runner.
  void MoveRun(const TaskName& name, int run, const IncarnationId& incarnation);
  /// Returns the lowest valid number for the next run of the task, or of its
  /// whole gang.
  int NextRun(const TaskName& name) const;

  /// Records that the runner has reported how the run ended, if that was
  /// awaited. Returns false if it was not.
  bool RecordReport(const TaskName& name, int run);
  /// Limits how long the reports are awaited that a predecessor waited for.
  void LimitInheritedReports(TimePoint until);
  /// Until when a step must not start again since its gang would have used up
  /// its attempts if all runs whose reports are awaited have failed; `now` or
  /// earlier if it may start.
  TimePoint MayHaveFailedUntil(const Occurrence& occurrence, int step,
                               TimePoint now, int max_attempts) const;
  /// Records the end of a run. Returns false and changes nothing if `run` isn't
  /// the task's current run.
  bool EndRun(const TaskName& name, int run, RunEnd end,
              const std::string& checkpoint, int max_attempts);

  /// The task's latest run, while the task waits for its next one; nothing if
  /// it had none or if that ended under a previous scheduler.
  std::optional<EndedRun> FindEndedRun(const TaskName& name) const;

  /// Completes a task because a run that was counted as ended turned out to be
  /// done, whatever the task's current run. Returns false and changes nothing
  /// if the task is already done or failed, or if its step is long-running.
  bool CompleteLate(const TaskName& name);

  /// Counts the failure of a run that was counted as ended before. The current
  /// run goes on; unless it is done, the task fails after `max_attempts`
  /// failures. Returns false and changes nothing if the task is already done or
  /// failed, or if the failure was counted.
  bool RecordLateFailure(const TaskName& name, int run, int max_attempts);

  /// Stores progress saved by a run; for a gang, it applies to all members.
  void SaveProgress(const TaskName& name, const std::string& checkpoint);

  /// Records that the task's current run was lost. Returns false and changes
  /// nothing if `loss.run` isn't the task's current run.
  bool RecordLoss(const TaskName& name, const RunLoss& loss);
  /// Drops losses that a run of the task outlived by running for `lasted` (see
  /// `ForgetOutlived`).
  void DropOutlivedLosses(const TaskName& name, Duration lasted,
                          const LossRules& rules);
  /// Updates the task's losses on an incarnation whose fate is now known.
  /// Returns true if a loss changed.
  bool ResolveLosses(const TaskName& name, const IncarnationId& incarnation,
                     IncarnationFate fate);
  /// Marks a waiting task as failed. Returns false and changes nothing if the
  /// task isn't waiting.
  bool FailWaitingTask(const TaskName& name);

  /// Updates the job's state from that of its tasks. A cancelled job is final
  /// at once; the caller still has to stop its runs.
  void Settle();

 private:
  /// Record that the stored progress of a task, or of all tasks of its step,
  /// has changed.
  void MarkChanged(const TaskName& name) {
    if (blocks_.has_value()) blocks_->MarkChanged(name);
  }
  void MarkStepChanged(const TaskName& name) {
    if (blocks_.has_value()) {
      blocks_->MarkStepChanged(name.occurrence, name.step);
    }
  }
  void EndGangRun(const TaskName& name, RunEnd end,
                  const std::string& checkpoint, int max_attempts);
  /// Counts a failed run of a gang. False if it was counted before.
  static bool CountGangFailure(Step* step, int run);
  void ComputeCriticalPaths();
  bool AllTasksDone() const;
  bool AnyTaskFailed() const;

  JobSpec spec_;
  JobState state_ = JobState::kQueued;
  bool cancel_requested_ = false;
  bool has_begun_ = false;
  std::vector<Occurrence> occurrences_;
  /// Ended runs of tasks that have no later one, one for each task at most; not
  /// stored.
  std::map<TaskName, EndedRun> ended_runs_;
  std::vector<Duration> critical_paths_;
  Duration critical_path_;
  std::optional<ProgressBlocks> blocks_;
  bool storable_ = true;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_JOB_H_
