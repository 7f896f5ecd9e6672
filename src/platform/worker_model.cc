/// @file
/// Tasks of a worker.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "platform/worker_model.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace limeledge {

namespace {

/// Time that saving the progress takes.
constexpr Duration kSaveTime{20};
constexpr char kProgressPrefix[] = "remaining_ms=";

bool IsAlive(TaskState state) {
  return state == TaskState::kPrepared || state == TaskState::kRunning;
}

Duration RemainingOf(const std::string& checkpoint, Duration whole) {
  absl::string_view text = checkpoint;
  std::int64_t ms = 0;
  const bool saved = absl::ConsumePrefix(&text, kProgressPrefix) &&
                     absl::SimpleAtoi(text, &ms);
  return saved ? Duration(ms) : whole;
}

}  // namespace

WorkerModel::WorkerModel(WorkerInfo info, std::int64_t incarnation,
                         RunTime run_time)
    : info_(std::move(info)),
      incarnation_(incarnation),
      run_time_(std::move(run_time)) {}

WorkerReport WorkerModel::Handle(TimePoint now,
                                 const WorkerExchange& exchange) {
  Advance(now);
  if (!IsNewer(exchange)) return Report(false, now);
  epoch_ = exchange.epoch;
  sequence_ = exchange.sequence;
  notify_address_ = exchange.notify_address;
  // Without a stamp of this incarnation it is a query: nothing is leased.
  if (exchange.stamp.incarnation != incarnation_) return Report(true, now);
  const TimePoint lease_until = TimePoint(exchange.stamp.ms) + exchange.lease;
  std::set<TaskId> named;
  for (const TaskOrder& order : exchange.orders) {
    named.insert(order.id);
    Carry(now, order, lease_until);
  }
  StopUnnamed(now, named);
  Advance(now);
  return Report(true, now);
}

bool WorkerModel::Advance(TimePoint now) {
  bool changed = false;
  for (auto& [id, task] : tasks_) {
    if (!IsAlive(task.state)) continue;
    const bool running = task.state == TaskState::kRunning;
    const bool saved = task.checkpointing && task.saved_at <= now &&
                       task.saved_at <= task.lease_until;
    if (running && task.ends_at <= now && task.ends_at <= task.lease_until) {
      SetState(task.ends_at, id, &task, TaskState::kDone,
               absl::StrCat("result of ", id.value()));
    } else if (saved) {
      const Duration left = task.ends_at - now;
      SetState(
          now, id, &task, TaskState::kCheckpointed,
          absl::StrCat(kProgressPrefix, std::max<std::int64_t>(0, left.ms())));
    } else if (now > task.lease_until) {
      SetState(task.lease_until, id, &task, TaskState::kStopped,
               "the lease lapsed");
    } else {
      continue;
    }
    changed = true;
  }
  return changed;
}

TimePoint WorkerModel::NextChange() const {
  TimePoint next(std::numeric_limits<std::int64_t>::max());
  for (const auto& [id, task] : tasks_) {
    if (!IsAlive(task.state)) continue;
    next = std::min(next, task.lease_until + Duration(1));
    if (task.state == TaskState::kRunning) next = std::min(next, task.ends_at);
    if (task.checkpointing) next = std::min(next, task.saved_at);
  }
  return next;
}

void WorkerModel::Restart(TimePoint now, std::int64_t incarnation) {
  for (auto& [id, task] : tasks_) {
    if (IsAlive(task.state)) Note(now, id, TaskState::kStopped);
  }
  tasks_.clear();
  incarnation_ = incarnation;
  epoch_ = Epoch();
  sequence_ = 0;
}

std::vector<TaskId> WorkerModel::Running() const {
  std::vector<TaskId> running;
  for (const auto& [id, task] : tasks_) {
    if (task.state == TaskState::kRunning) running.push_back(id);
  }
  return running;
}

bool WorkerModel::IsNewer(const WorkerExchange& exchange) const {
  if (exchange.epoch != epoch_) return exchange.epoch > epoch_;
  return exchange.sequence > sequence_;
}

void WorkerModel::Carry(TimePoint now, const TaskOrder& order,
                        TimePoint lease_until) {
  auto it = tasks_.find(order.id);
  if (it == tasks_.end()) {
    // Only a preparation creates a task: a run order never does.
    if (order.goal == TaskGoal::kPrepare && now <= lease_until) {
      Prepare(order, lease_until, now);
    }
    return;
  }
  Task& task = it->second;
  if (!IsAlive(task.state)) return;
  task.lease_until = std::max(task.lease_until, lease_until);
  if (order.goal == TaskGoal::kRun) Run(&task, now);
  if (order.goal == TaskGoal::kCheckpoint) Checkpoint(&task, now);
}

void WorkerModel::Prepare(const TaskOrder& order, TimePoint lease_until,
                          TimePoint now) {
  Task& task = tasks_[order.id];
  task.order = order;
  task.lease_until = lease_until;
  const bool refused = faults_.refuse_prepare || !HasRoom(order);
  if (refused) {
    SetState(now, order.id, &task, TaskState::kStopped, "no room");
    return;
  }
  SetState(now, order.id, &task, TaskState::kPrepared, "");
}

void WorkerModel::Run(Task* task, TimePoint now) {
  if (task->state != TaskState::kPrepared) return;
  if (faults_.fail_everything) {
    SetState(now, task->order.id, task, TaskState::kFailed,
             "the worker fails everything");
    return;
  }
  task->remaining = RemainingOf(task->order.checkpoint, run_time_(task->order));
  task->ends_at = now + task->remaining;
  SetState(now, task->order.id, task, TaskState::kRunning, "");
}

void WorkerModel::Checkpoint(Task* task, TimePoint now) {
  if (faults_.ignore_checkpoint || task->checkpointing) return;
  if (task->state == TaskState::kPrepared) {
    task->ends_at =
        now + RemainingOf(task->order.checkpoint, run_time_(task->order));
  }
  task->checkpointing = true;
  task->saved_at = now + kSaveTime;
}

void WorkerModel::StopUnnamed(TimePoint now, const std::set<TaskId>& named) {
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    if (named.count(it->first) != 0) {
      ++it;
      continue;
    }
    if (IsAlive(it->second.state)) Note(now, it->first, TaskState::kStopped);
    it = tasks_.erase(it);
  }
}

bool WorkerModel::HasRoom(const TaskOrder& order) const {
  int cores = order.cores;
  std::int64_t memory_mb = order.memory_mb;
  std::uint64_t taken = 0;
  for (const auto& [id, task] : tasks_) {
    if (!IsAlive(task.state) || id == order.id) continue;
    cores += task.order.cores;
    memory_mb += task.order.memory_mb;
    taken |= task.order.accelerators;
  }
  return cores <= info_.cores && memory_mb <= info_.memory_mb &&
         (taken & order.accelerators) == 0;
}

WorkerReport WorkerModel::Report(bool accepted, TimePoint now) const {
  WorkerReport report;
  report.epoch = epoch_;
  report.accepted = accepted;
  report.leaving = leaving_;
  report.stamp = {incarnation_, now.ms()};
  for (const auto& [id, task] : tasks_) {
    report.tasks.push_back({id, task.state, task.detail});
  }
  return report;
}

void WorkerModel::SetState(TimePoint now, const TaskId& id, Task* task,
                           TaskState state, std::string detail) {
  task->state = state;
  task->detail = std::move(detail);
  Note(now, id, state);
}

void WorkerModel::Note(TimePoint now, const TaskId& id, TaskState state) {
  if (keep_history_) history_.push_back({now, id, state});
}

}  // namespace limeledge
