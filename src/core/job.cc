/// @file
/// Names of job states and keys.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/job.h"

#include <tuple>

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

constexpr JobState kAllJobStates[] = {
    JobState::kWaiting,       JobState::kStarting,  JobState::kRunning,
    JobState::kCheckpointing, JobState::kStopping,  JobState::kDone,
    JobState::kFailed,        JobState::kCancelled, JobState::kImpossible,
    JobState::kUnknown,
};

auto Tie(const JobSpec& spec) {
  return std::tie(spec.id, spec.workspace, spec.job_class, spec.members,
                  spec.accelerators, spec.cores, spec.memory_mb, spec.declared,
                  spec.repeatable, spec.payload);
}

}  // namespace

bool operator==(const JobSpec& a, const JobSpec& b) { return Tie(a) == Tie(b); }

const char* ToString(JobState state) {
  switch (state) {
    case JobState::kWaiting:
      return "waiting";
    case JobState::kStarting:
      return "starting";
    case JobState::kRunning:
      return "running";
    case JobState::kCheckpointing:
      return "checkpointing";
    case JobState::kStopping:
      return "stopping";
    case JobState::kDone:
      return "done";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
    case JobState::kImpossible:
      return "impossible";
    case JobState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

bool ParseJobState(const std::string& name, JobState* state) {
  for (const JobState candidate : kAllJobStates) {
    if (name != ToString(candidate)) continue;
    *state = candidate;
    return true;
  }
  return false;
}

bool IsFinal(JobState state) {
  switch (state) {
    case JobState::kDone:
    case JobState::kFailed:
    case JobState::kCancelled:
    case JobState::kImpossible:
    case JobState::kUnknown:
      return true;
    default:
      return false;
  }
}

bool HoldsPlacement(JobState state) {
  return state != JobState::kWaiting && !IsFinal(state);
}

JobId FullJobId(const WorkspaceId& workspace, const std::string& name) {
  return JobId(absl::StrCat(workspace.value(), "/", name));
}

std::string JobName(const JobId& id) {
  return id.value().substr(id.value().find('/') + 1);
}

std::string JobKey(const JobId& id) { return absl::StrCat("job/", id.value()); }

TaskId MemberTask(const JobId& job, int attempt, std::size_t member) {
  return TaskId(absl::StrCat(job.value(), "#", attempt, "#", member));
}

}  // namespace limeledge
