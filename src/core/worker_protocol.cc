/// @file
/// Names used in the worker protocol.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/worker_protocol.h"

namespace limeledge {

namespace {

constexpr TaskGoal kAllGoals[] = {TaskGoal::kPrepare, TaskGoal::kRun,
                                  TaskGoal::kCheckpoint};
constexpr TaskState kAllStates[] = {
    TaskState::kPrepared, TaskState::kRunning,      TaskState::kDone,
    TaskState::kFailed,   TaskState::kCheckpointed, TaskState::kStopped};

template <typename T, std::size_t N>
bool ParseName(const std::string& name, const T (&all)[N], T* value) {
  for (const T candidate : all) {
    if (name != ToString(candidate)) continue;
    *value = candidate;
    return true;
  }
  return false;
}

}  // namespace

const char* ToString(TaskGoal goal) {
  switch (goal) {
    case TaskGoal::kPrepare:
      return "prepare";
    case TaskGoal::kRun:
      return "run";
    case TaskGoal::kCheckpoint:
      return "checkpoint";
  }
  return "prepare";
}

const char* ToString(TaskState state) {
  switch (state) {
    case TaskState::kPrepared:
      return "prepared";
    case TaskState::kRunning:
      return "running";
    case TaskState::kDone:
      return "done";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kCheckpointed:
      return "checkpointed";
    case TaskState::kStopped:
      return "stopped";
  }
  return "stopped";
}

bool ParseTaskGoal(const std::string& name, TaskGoal* goal) {
  return ParseName(name, kAllGoals, goal);
}

bool ParseTaskState(const std::string& name, TaskState* state) {
  return ParseName(name, kAllStates, state);
}

}  // namespace limeledge
