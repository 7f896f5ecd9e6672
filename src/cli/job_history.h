/// @file
/// Jobs and their runs, read from the logs of all processes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_JOB_HISTORY_H_
#define LIMELEDGE_SRC_CLI_JOB_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cli/merged_log.h"
#include "limeledge/clock.h"

namespace limeledge {

/// Final state of a job that its caller cancelled.
inline constexpr char kStateCancelled[] = "cancelled";

/// How a run ended, or why the scheduler stopped it.
enum class RunFate {
  kOngoing,
  kDone,
  /// The run or its runner failed.
  kFailed,
  /// Stopped to free its capacity for an urgent job.
  kPreempted,
  /// Moved off a slow runner.
  kMovedOffSlow,
  /// Moved because it made no progress on its runner.
  kStalled,
  /// Moved because its runner is about to leave.
  kEvacuated,
  /// Its runner was lost, or its lease expired.
  kRunnerLost,
  /// A new scheduler did not find it on its runner.
  kLostInFailover,
  kCancelled,
  /// The runner did not start it.
  kRejected,
  /// Stopped for a reason that the logs do not state.
  kStopped,
};

/// Returns the text that reports show; part of the report format.
const char* ToString(RunFate fate);

/// Identifies a task within its job.
struct TaskKey {
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend bool operator<(const TaskKey& a, const TaskKey& b) {
    return std::tie(a.occurrence, a.step, a.index) <
           std::tie(b.occurrence, b.step, b.index);
  }
};

/// One run of a task. Times are milliseconds of wall time.
struct LoggedRun {
  int number = 0;
  std::string runner;
  std::int64_t begun_ms = 0;
  /// 0 if the logs contain no end.
  std::int64_t ended_ms = 0;
  Duration expected;
  /// Expected length near the data of the task; equals `expected` for a run
  /// that is near its data.
  Duration expected_near;
  std::int64_t accelerators = 0;
  std::int64_t cpu_millis = 0;
  RunFate fate = RunFate::kOngoing;
  /// The run left a checkpoint, from which the next run continues.
  bool saved = false;
  /// When the scheduler decided to stop the run; 0 if the logs do not state it.
  std::int64_t stopped_ms = 0;
  /// The urgent job for which the run was preempted.
  std::string preempted_for;
  /// Another member of the gang ended first; `fate` is the fate of that member.
  bool ended_with_gang = false;

  Duration length() const { return Duration(ended_ms - begun_ms); }
};

/// Start of a wait of a step, or a change of the reason of the wait.
struct LoggedWait {
  std::int64_t from_ms = 0;
  std::string reason;
  /// Number of waiting tasks.
  int tasks = 0;
};

/// A decision of the scheduler or of a front end about a job, in words, such as
/// a refused submit or a move that was declined.
struct LoggedDecision {
  std::int64_t at_ms = 0;
  std::string text;
};

/// Occurrence and step.
using StepKey = std::pair<int, int>;

/// Numbers of tasks of a step.
struct StepTasks {
  /// Tasks that the logs show to exist: from the highest index of a task that
  /// was logged, or from lines that state how many tasks wait.
  int known = 0;
  /// Tasks that had a run.
  int started = 0;
  int done = 0;
};

/// One job. Times are milliseconds of wall time, 0 if the logs do not state
/// them.
struct JobHistory {
  std::string id;
  std::string queue;
  std::string workspace;
  /// First response to a submit, even if the submit was refused.
  std::int64_t first_submit_ms = 0;
  std::int64_t accepted_ms = 0;
  std::int64_t settled_ms = 0;
  std::string state;
  /// Runs of each task, in order of their start.
  std::map<TaskKey, std::vector<LoggedRun>> tasks;
  /// Waits of each step, in order of time.
  std::map<StepKey, std::vector<LoggedWait>> waits;
  /// In order of time.
  std::vector<LoggedDecision> decisions;
};

/// A time span in which one process was the scheduler.
struct LeadershipTerm {
  std::string instance;
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

/// Jobs, and which process was the scheduler at which time.
struct Histories {
  std::map<std::string, JobHistory> jobs;
  /// In order of time.
  std::vector<LeadershipTerm> leadership_terms;
};

/// Builds the histories from log lines. `entries`: in order of time. Safe from
/// any thread.
Histories ReadHistories(const std::vector<LogEntry>& entries);

/// Counts the tasks of each step that the logs mention. Safe from any thread.
std::map<StepKey, StepTasks> CountTasks(const JobHistory& job);

/// Returns the name of a queue or workspace, or a placeholder if the logs do
/// not state it. Safe from any thread.
std::string GroupName(const std::string& name);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_JOB_HISTORY_H_
