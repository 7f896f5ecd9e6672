/// @file
/// The behaviour of one worker: tasks under leases.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_PLATFORM_WORKER_MODEL_H_
#define LIMELEDGE_SRC_PLATFORM_WORKER_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/target.h"
#include "core/worker_protocol.h"
#include "limeledge/clock.h"

namespace limeledge {

/// How a worker misbehaves, for tests.
struct WorkerFaults {
  bool fail_everything = false;
  bool ignore_checkpoint = false;
  bool refuse_prepare = false;
};

/// One thing that a task did, for oracles.
struct TaskEvent {
  TimePoint at;
  TaskId task;
  TaskState state = TaskState::kStopped;
};

/// Stands in for a worker: prepares, runs, checkpoints and stops tasks, and
/// stops those whose lease lapsed. Time comes in with every call.
///
/// Thread safety: none; callers lock.
class WorkerModel {
 public:
  /// Real run time of a task, from its order.
  using RunTime = std::function<Duration(const TaskOrder&)>;

  /// `incarnation` is not 0 and differs for every start of the worker.
  WorkerModel(WorkerInfo info, std::int64_t incarnation, RunTime run_time);

  WorkerReport Handle(TimePoint now, const WorkerExchange& exchange);

  /// Lets time pass; returns true when a task changed state by itself.
  bool Advance(TimePoint now);
  /// The next moment at which a task may change by itself.
  TimePoint NextChange() const;

  void SetFaults(const WorkerFaults& faults) { faults_ = faults; }
  void SetLeaving() { leaving_ = true; }
  /// Loses all tasks and starts anew, as after a crash.
  void Restart(TimePoint now, std::int64_t incarnation);

  const WorkerInfo& info() const { return info_; }
  const std::string& notify_address() const { return notify_address_; }
  /// Tasks that run now.
  std::vector<TaskId> Running() const;
  /// Everything that tasks did, oldest first; only kept when asked for.
  const std::vector<TaskEvent>& history() const { return history_; }
  void KeepHistory() { keep_history_ = true; }

 private:
  struct Task {
    TaskOrder order;
    TaskState state = TaskState::kPrepared;
    std::string detail;
    TimePoint lease_until;
    TimePoint ends_at;
    Duration remaining;
    bool checkpointing = false;
    TimePoint saved_at;
  };

  bool IsNewer(const WorkerExchange& exchange) const;
  void Carry(TimePoint now, const TaskOrder& order, TimePoint lease_until);
  void Prepare(const TaskOrder& order, TimePoint lease_until, TimePoint now);
  void Run(Task* task, TimePoint now);
  void Checkpoint(Task* task, TimePoint now);
  void StopUnnamed(TimePoint now, const std::set<TaskId>& named);
  bool HasRoom(const TaskOrder& order) const;
  WorkerReport Report(bool accepted, TimePoint now) const;
  void SetState(TimePoint now, const TaskId& id, Task* task, TaskState state,
                std::string detail);
  void Note(TimePoint now, const TaskId& id, TaskState state);

  WorkerInfo info_;
  std::int64_t incarnation_;
  RunTime run_time_;
  WorkerFaults faults_;
  bool leaving_ = false;
  Epoch epoch_;
  std::int64_t sequence_ = 0;
  std::string notify_address_;
  std::map<TaskId, Task> tasks_;
  bool keep_history_ = false;
  std::vector<TaskEvent> history_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_PLATFORM_WORKER_MODEL_H_
