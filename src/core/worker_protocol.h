/// @file
/// Messages between a hall's planner and a worker.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_WORKER_PROTOCOL_H_
#define LIMELEDGE_SRC_CORE_WORKER_PROTOCOL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// What the planner wants a task to do. A task that is not named is to stop.
enum class TaskGoal { kPrepare, kRun, kCheckpoint };

/// How a worker reports a task.
enum class TaskState {
  kPrepared,
  kRunning,
  kDone,
  kFailed,
  kCheckpointed,
  /// Refused, or stopped before it ended, or its lease lapsed.
  kStopped,
};

const char* ToString(TaskGoal goal);
const char* ToString(TaskState state);
/// Read names that `ToString` gave; return false for any other.
bool ParseTaskGoal(const std::string& name, TaskGoal* goal);
bool ParseTaskState(const std::string& name, TaskState* state);

/// A task that the worker is to hold, under the lease of the exchange.
struct TaskOrder {
  TaskId id;
  TaskGoal goal = TaskGoal::kPrepare;
  /// The rest is sent with `kPrepare` only.
  std::uint64_t accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;
  Duration declared;
  std::string payload;
  std::string checkpoint;
};

/// A moment on a worker's own clock. The planner echoes the last one it got:
/// leases count from there, so that an exchange that was held up on its way
/// grants nothing.
struct WorkerStamp {
  /// Changes when the worker restarts; 0 when the planner has no stamp yet.
  std::int64_t incarnation = 0;
  std::int64_t ms = 0;
};

/// The whole of what one planner wants of one worker. It replaces the last
/// exchange; a worker ignores one whose (epoch, sequence) is not newer.
struct WorkerExchange {
  WorkerId worker;
  HallId hall;
  Epoch epoch;
  std::int64_t sequence = 0;
  /// Every named task is leased until `stamp` plus `lease`.
  WorkerStamp stamp;
  Duration lease;
  /// Where the worker says that a task changed state.
  std::string notify_address;
  std::vector<TaskOrder> orders;
};

struct TaskReport {
  TaskId id;
  TaskState state = TaskState::kStopped;
  /// Result for `kDone`, progress for `kCheckpointed`, cause for the others.
  std::string detail;
};

/// The worker's answer: everything it holds.
struct WorkerReport {
  /// The greatest epoch the worker has seen for its hall.
  Epoch epoch;
  /// False when the exchange was out of date and changed nothing.
  bool accepted = false;
  bool leaving = false;
  WorkerStamp stamp;
  std::vector<TaskReport> tasks;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_WORKER_PROTOCOL_H_
