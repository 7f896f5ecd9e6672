/// @file
/// Jobs and their runs, as the logs of all processes tell them.
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

/// Final state of a job that its caller took back.
inline constexpr char kStateCancelled[] = "cancelled";

/// Why the scheduler stopped a run, or how it ended otherwise.
enum class RunFate {
  kOngoing,
  kDone,
  /// By its own fault or its runner's.
  kFailed,
  /// Made way for an urgent job.
  kPreempted,
  /// Taken off a runner that is slow, stands still or leaves.
  kMovedOffSlow,
  kStalled,
  kEvacuated,
  /// Its runner went, or its lease ran out.
  kRunnerLost,
  /// A new scheduler did not find it on its runner.
  kLostInFailover,
  kCancelled,
  /// Never began.
  kRejected,
  /// Stopped, and no line tells why.
  kStopped,
};

/// For people.
const char* ToString(RunFate fate);

/// A task of a job: occurrence, step and index.
struct TaskKey {
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend bool operator<(const TaskKey& a, const TaskKey& b) {
    return std::tie(a.occurrence, a.step, a.index) <
           std::tie(b.occurrence, b.step, b.index);
  }
};

/// One run of a task. Moments are milliseconds of wall time.
struct LoggedRun {
  int number = 0;
  std::string runner;
  std::int64_t begun_ms = 0;
  /// 0 while no line tells its end.
  std::int64_t ended_ms = 0;
  Duration expected;
  /// What was expected near its data; the same for a run that is there.
  Duration expected_near;
  std::int64_t accelerators = 0;
  std::int64_t cpu_millis = 0;
  RunFate fate = RunFate::kOngoing;
  /// A checkpoint was left, from which the next run goes on.
  bool saved = false;
  /// When the scheduler decided to stop it; 0 if no line tells that.
  std::int64_t stopped_ms = 0;
  /// The urgent job it made way for.
  std::string preempted_for;
  /// Another member of its gang ended first; `fate` is that member's.
  bool ended_with_gang = false;

  Duration length() const { return Duration(ended_ms - begun_ms); }
};

/// A step begins to wait, or waits for another reason than before.
struct LoggedWait {
  std::int64_t from_ms = 0;
  std::string reason;
  /// How many of its tasks wait.
  int tasks = 0;
};

/// Occurrence and step.
using StepKey = std::pair<int, int>;

/// Tasks of a step.
struct StepTasks {
  /// As far as the logs tell: a task that never ran is known by its index, or
  /// from lines that tell how many wait.
  int known = 0;
  /// That had a run.
  int started = 0;
  int done = 0;
};

/// One job. Moments are milliseconds of wall time, 0 when no line tells them.
struct JobHistory {
  std::string id;
  std::string queue;
  std::string workspace;
  /// First answer to a submit, also a refusal.
  std::int64_t first_submit_ms = 0;
  std::int64_t accepted_ms = 0;
  std::int64_t settled_ms = 0;
  std::string state;
  /// Runs of each task, in order.
  std::map<TaskKey, std::vector<LoggedRun>> tasks;
  /// By occurrence and step, in order.
  std::map<StepKey, std::vector<LoggedWait>> waits;
};

/// A time in which one process scheduled.
struct LeadershipTerm {
  std::string instance;
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

/// All that the logs tell of jobs, and of who scheduled when.
struct Histories {
  std::map<std::string, JobHistory> jobs;
  /// In order of time.
  std::vector<LeadershipTerm> leadership_terms;
};

/// Puts the histories together. `entries`: in order of time. Safe from any
/// thread.
Histories ReadHistories(const std::vector<LogEntry>& entries);

/// Tasks of each step that began. Safe from any thread.
std::map<StepKey, StepTasks> CountTasks(const JobHistory& job);

/// The name of a queue or workspace, or what stands for one that no line tells.
/// Safe from any thread.
std::string GroupName(const std::string& name);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_JOB_HISTORY_H_
