/// @file
/// A job with the progress of its tasks, and the rules by which it moves on.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_JOB_H_
#define LIMELEDGE_SRC_DISPATCH_JOB_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dispatch/incarnation.h"
#include "dispatch/job_spec.h"
#include "dispatch/run_loss.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

enum class JobState { kQueued, kRunning, kDone, kFailed, kCancelled };

const char* ToString(JobState state);
bool IsFinal(JobState state);

enum class TaskPhase {
  kWaiting,
  /// A run was decided on; it may not have begun yet.
  kAssigned,
  kDone,
  /// Failed as often as its queue allows, or given up for what it did to its
  /// runners.
  kFailed,
};

/// How a run came to its end.
enum class RunEnd {
  kDone,
  kFailed,
  /// Stopped on request.
  kStopped,
  /// The runner's lease ran out, or the runner is gone.
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members did not come in time.
  kGangIncomplete,
  /// The runner did not begin the run.
  kRejected,
};

const char* ToString(RunEnd end);

/// One task's progress. The first block is stored, the second is not.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  /// Number of the newest run; rises by each start.
  int run = 0;
  int failures = 0;
  /// Where its present run was started.
  IncarnationId incarnation;
  /// Newest saved progress; empty for none.
  std::string checkpoint;
  /// Runs that went with their runners and tell against the task.
  std::vector<RunLoss> losses;

  /// It is not to start until it is known what became of runners it was lost
  /// with.
  bool held_back = false;
  /// Last seen progress of the present run in percent.
  int percent = 0;
  TimePoint assigned_at;
};

/// Tasks of one step in one occurrence.
struct Step {
  std::vector<Task> tasks;
  /// Runs of the gang that failed, and the newest of them.
  int gang_failures = 0;
  int last_failed_run = 0;
  /// Since when the step's turn has come without a break; for patience.
  TimePoint ready_since;
  bool ready = false;
  /// The length of one of its runs was learnt; the others are much alike.
  bool duration_known = false;
  /// Runners on which a run of one of its tasks failed; others are tried first.
  std::set<IncarnationId> failed_on;
  /// The shortest length that runs on each runner were seen to have: what is
  /// long everywhere is no runner's fault.
  std::map<IncarnationId, Duration> observed_durations;

  int CountIn(TaskPhase phase) const;
  /// The mean length seen on other runners than that of `incarnation`; 0 for
  /// none.
  Duration MeanDurationElsewhere(const IncarnationId& incarnation) const;
};

/// One occurrence of a job's steps.
struct Occurrence {
  std::vector<Step> steps;
  /// Wall-clock time from which it may run.
  std::int64_t due_wall_ms = 0;
};

/// A job as the scheduler knows it.
///
/// Thread safety: none; use it from one thread.
class Job {
 public:
  /// A job none of whose tasks has begun. Precondition: `spec` has a step.
  explicit Job(JobSpec spec);

  const JobSpec& spec() const { return spec_; }
  JobState state() const { return state_; }
  bool cancel_requested() const { return cancel_asked_; }
  bool has_begun() const { return has_begun_; }
  std::vector<Occurrence>& occurrences() { return occurrences_; }
  const std::vector<Occurrence>& occurrences() const { return occurrences_; }
  const StepSpec& step_spec(int step) const { return spec_.steps[step]; }
  bool HasStep(int step) const {
    return step >= 0 && static_cast<std::size_t>(step) < spec_.steps.size();
  }
  /// The longest chain of estimates of steps, all of them or from `step` on.
  Duration critical_path() const { return longest_chain_; }
  Duration CriticalPathFrom(int step) const { return chains_[step]; }
  /// Null when the name is not one of this job's.
  Task* Find(const TaskName& name);

  /// Sets what was stored. Precondition: called before any other change.
  void Restore(JobState state, bool has_begun) {
    state_ = state;
    has_begun_ = has_begun;
  }
  void RequestCancel() { cancel_asked_ = true; }

  /// True if all tasks of the steps before `step` are done.
  bool StepIsReady(const Occurrence& occurrence, int step) const;

  /// Decides on a new run of `name` at `runner`; returns the run's number.
  /// All members of a gang are assigned with one `run`.
  /// Precondition: the task waits, and `run` is above all of its runs.
  void Assign(const TaskName& name, int run, const IncarnationId& incarnation,
              TimePoint now);
  /// Notes that the task's present run is to be found on another life of its
  /// runner.
  void MoveRun(const TaskName& name, int run, const IncarnationId& incarnation);
  /// Smallest number for a next run of the step's task, or of its whole gang.
  int NextRun(const TaskName& name) const;

  /// Notes the end of a run. Returns false, and changes nothing, if that run
  /// is not the task's present one.
  bool EndRun(const TaskName& name, int run, RunEnd end,
              const std::string& checkpoint, int max_attempts);

  /// Notes that a run which counted as over was done all the same: the task is
  /// done, whatever run it has now. Returns false, and changes nothing, if the
  /// task has come to its end before, or never does.
  bool CompleteLate(const TaskName& name);

  /// Notes progress that a run has saved; for a gang, that of all members.
  void SaveProgress(const TaskName& name, const std::string& checkpoint);

  /// Notes that the task's present run went with its runner. Returns false, and
  /// changes nothing, if that run is not the task's present one.
  bool RecordLoss(const TaskName& name, const RunLoss& loss);
  /// Notes that a run of the task was well for so long.
  void DropOutlivedLosses(const TaskName& name, Duration lasted,
                          const LossRules& rules);
  /// Notes what became of a life that the task lost runs with. Returns false if
  /// nothing changes.
  bool ResolveLosses(const TaskName& name, const IncarnationId& incarnation,
                     IncarnationFate fate);
  /// Gives up a task that waits. Returns false, and changes nothing, if it does
  /// not wait.
  bool FailWaitingTask(const TaskName& name);

  /// Moves the job's own state on by that of its tasks. A cancelled job is
  /// final at once; its runs are still to be stopped by the caller.
  void Settle();

 private:
  void EndGangRun(const TaskName& name, RunEnd end,
                  const std::string& checkpoint, int max_attempts);
  void MeasureChains();
  bool AllTasksDone() const;
  bool AnyTaskFailed() const;

  JobSpec spec_;
  JobState state_ = JobState::kQueued;
  bool cancel_asked_ = false;
  bool has_begun_ = false;
  std::vector<Occurrence> occurrences_;
  std::vector<Duration> chains_;
  Duration longest_chain_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_JOB_H_
