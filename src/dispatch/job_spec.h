/// @file
/// What a caller submits: a job made of steps, each with tasks of one shape.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_JOB_SPEC_H_
#define LIMELEDGE_SRC_DISPATCH_JOB_SPEC_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "dispatch/catalog.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// Capacity of a runner, or the part of it that a task needs.
struct Resources {
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool Fits(const Resources& capacity) const {
    return cpu_millis <= capacity.cpu_millis &&
           memory_mb <= capacity.memory_mb &&
           accelerators <= capacity.accelerators;
  }
  Resources& operator+=(const Resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  bool operator==(const Resources& other) const {
    return cpu_millis == other.cpu_millis && memory_mb == other.memory_mb &&
           accelerators == other.accelerators;
  }
};

/// How a task shares its runner's processors with other tasks. Best-effort and
/// latency-sensitive tasks interfere with each other to an extent that can't be
/// predicted.
enum class Sharing {
  /// Uses the processors it requested.
  kNone,
  /// Uses only processor time that other tasks leave unused.
  kBestEffort,
  /// Serves requests within a bound on tail latency.
  kLatencySensitive,
};

/// Returns the kind of task that must not share a runner with `sharing`;
/// `kNone` if there is none.
inline Sharing ConflictingSharing(Sharing sharing) {
  if (sharing == Sharing::kBestEffort) return Sharing::kLatencySensitive;
  return sharing == Sharing::kLatencySensitive ? Sharing::kBestEffort
                                               : Sharing::kNone;
}

/// A step of a job: tasks of one shape.
struct StepSpec {
  int count = 1;
  Resources need;
  /// The caller's estimate of a task's run time.
  Duration estimate;
  /// Indexes of the steps whose tasks must all be done first.
  std::vector<int> after;
  /// A run can resume from the last checkpoint that a previous run saved.
  bool saves_progress = false;
  /// All tasks run at the same time, or none does.
  bool gang = false;
  /// The gang runs several times slower when it is spread over racks.
  bool same_rack = false;
  /// Label that the runner must have; empty for any runner.
  std::string required_label;
  /// Rack that holds the input data; tasks in other racks run several times
  /// slower.
  std::string data_rack;
  /// Maximum number of the step's tasks on one runner; 0 for no limit.
  int max_per_runner = 0;
  /// Several copies of a task may run at the same time.
  bool speculative = false;
  /// Tasks run until the job is cancelled.
  bool long_running = false;
  std::string image;
  /// Bound on the tail latency of latency-sensitive tasks; 0 for none.
  Duration tail_latency_target;
  /// The tasks are best effort: they use only processor time that other tasks
  /// leave unused.
  bool filler = false;
  /// Maximum number of tasks that the system may make unavailable at the same
  /// time; -1 for no limit.
  int max_unavailable = -1;

  /// Returns true if the system may stop only a limited number of tasks at a
  /// time.
  bool limits_unavailability() const { return max_unavailable >= 0; }
  /// Returns true if the scheduler may stop the step's runs to give their
  /// capacity to any step that outranks it. Runs of other steps make way only
  /// for guaranteed capacity.
  bool preemptible() const { return !long_running && !limits_unavailability(); }
  Sharing sharing() const {
    if (filler) return Sharing::kBestEffort;
    return tail_latency_target > Duration(0) ? Sharing::kLatencySensitive
                                             : Sharing::kNone;
  }
  /// Capacity that a task reserves on a runner. A best-effort task reserves no
  /// processors.
  Resources room() const {
    Resources reserved = need;
    if (filler) reserved.cpu_millis = 0;
    return reserved;
  }
};

/// Repeats a job at a fixed interval of wall-clock time.
struct Recurrence {
  /// Number of repetitions; 0 for a job that runs once, when it is accepted.
  int times = 0;
  std::int64_t first_wall_ms = 0;
  Duration interval;
};

/// A job as it was accepted. Never changes afterwards.
struct JobSpec {
  JobId id;
  QueueId queue;
  WorkspaceId workspace;
  /// The queue's policy when the job was accepted. A newer version of the
  /// policy takes precedence.
  QueuePolicy policy;
  /// Opaque text that is passed to each task.
  std::string payload;
  std::vector<StepSpec> steps;
  Recurrence recurrence;
  /// Wall-clock time of acceptance; orders jobs by age.
  std::int64_t accepted_wall_ms = 0;

  /// Number of times that the steps run; at least 1.
  int occurrences() const {
    return recurrence.times > 0 ? recurrence.times : 1;
  }
};

/// Identifies one task: job, occurrence of the job, step and index within the
/// step.
struct TaskName {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend bool operator<(const TaskName& a, const TaskName& b) {
    return std::tie(a.job, a.occurrence, a.step, a.index) <
           std::tie(b.job, b.occurrence, b.step, b.index);
  }
  friend bool operator==(const TaskName& a, const TaskName& b) {
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step &&
           a.index == b.index;
  }
};

/// Returns "JOB.OCCURRENCE.STEP.INDEX", for logs.
std::string ToString(const TaskName& name);

/// Identifies one run of a task.
using RunKey = std::pair<TaskName, int>;

/// Identifies one occurrence of a step.
struct StepName {
  JobId job;
  int occurrence = 0;
  int step = 0;

  friend bool operator==(const StepName& a, const StepName& b) {
    return a.occurrence == b.occurrence && a.step == b.step && a.job == b.job;
  }
  friend bool operator!=(const StepName& a, const StepName& b) {
    return !(a == b);
  }
  friend bool operator<(const StepName& a, const StepName& b) {
    return std::tie(a.job, a.occurrence, a.step) <
           std::tie(b.job, b.occurrence, b.step);
  }
};

/// Returns "JOB.OCCURRENCE.STEP".
std::string ToString(const StepName& name);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_JOB_SPEC_H_
