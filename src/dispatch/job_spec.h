/// @file
/// What a caller hands in: a job of steps, each with tasks of one shape.
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

/// Room on a runner, or what a task takes of it.
struct Resources {
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool Fits(const Resources& room) const {
    return cpu_millis <= room.cpu_millis && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
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

/// How a task shares its runner's processors with the others there. Fillers and
/// serving tasks disturb each other by amounts that nobody can foresee.
enum class Sharing {
  /// Takes what it asked for.
  kNone,
  /// Takes only what the others leave unused.
  kBestEffort,
  /// Serves users of its own, within a bound on the tail of answer times.
  kLatencySensitive,
};

/// The other kind of task that must not be beside one of this kind; `kNone` if
/// any may be.
inline Sharing ConflictingSharing(Sharing sharing) {
  if (sharing == Sharing::kBestEffort) return Sharing::kLatencySensitive;
  return sharing == Sharing::kLatencySensitive ? Sharing::kBestEffort
                                               : Sharing::kNone;
}

/// Tasks of one shape.
struct StepSpec {
  int count = 1;
  Resources need;
  /// The caller's guess of how long a task takes.
  Duration estimate;
  /// Steps, by number, whose tasks must all be done first.
  std::vector<int> after;
  /// A run can be resumed from the last text that it saved.
  bool saves_progress = false;
  /// All tasks run at the same time or none does.
  bool gang = false;
  /// The gang is several times slower when spread over racks.
  bool same_rack = false;
  /// Label that the runner must carry; empty for any.
  std::string required_label;
  /// Rack that holds the data; elsewhere tasks are several times slower.
  std::string data_rack;
  /// Most tasks of the step on one runner; 0 for no limit.
  int max_per_runner = 0;
  /// Copies may run side by side.
  bool speculative = false;
  /// Tasks run until the job is cancelled.
  bool long_running = false;
  std::string image;
  /// Bound on the tail of the answer times of tasks that serve; 0 for none.
  Duration tail_latency_target;
  /// Takes only processor time that others leave unused.
  bool filler = false;
  /// Tasks that may be away at once by the system's doing; -1 for no limit.
  int max_unavailable = -1;

  /// The system may not stop its tasks at will.
  bool limits_unavailability() const { return max_unavailable >= 0; }
  /// Whether its runs may be stopped so that others have their room.
  bool preemptible() const { return !long_running && !limits_unavailability(); }
  Sharing sharing() const {
    if (filler) return Sharing::kBestEffort;
    return tail_latency_target > Duration(0) ? Sharing::kLatencySensitive
                                             : Sharing::kNone;
  }
  /// What a task takes of a runner's room: of the processors, a filler takes
  /// nothing that others could have.
  Resources room() const {
    Resources taken = need;
    if (filler) taken.cpu_millis = 0;
    return taken;
  }
};

/// A job that repeats at a fixed interval of wall-clock time.
struct Recurrence {
  /// 0 for a job that runs once, when it is accepted.
  int times = 0;
  std::int64_t first_wall_ms = 0;
  Duration interval;
};

/// A job as it was accepted; never changes afterwards.
struct JobSpec {
  JobId id;
  QueueId queue;
  WorkspaceId workspace;
  /// The queue's policy when the job was accepted; a newer one goes first.
  QueuePolicy policy;
  /// Opaque text that each task is started with.
  std::string payload;
  std::vector<StepSpec> steps;
  Recurrence recurrence;
  /// Wall-clock time of acceptance, to order jobs by age.
  std::int64_t accepted_wall_ms = 0;

  /// Occurrences of the steps; at least 1.
  int occurrences() const {
    return recurrence.times > 0 ? recurrence.times : 1;
  }
};

/// Names one task: the job, which occurrence of it, the step and the index.
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

/// Names one run of a task.
using RunKey = std::pair<TaskName, int>;

/// Names one occurrence of a step.
struct StepName {
  JobId job;
  int occurrence = 0;
  int step = 0;

  friend bool operator<(const StepName& a, const StepName& b) {
    return std::tie(a.job, a.occurrence, a.step) <
           std::tie(b.job, b.occurrence, b.step);
  }
};

/// Returns "JOB.OCCURRENCE.STEP".
std::string ToString(const StepName& name);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_JOB_SPEC_H_
