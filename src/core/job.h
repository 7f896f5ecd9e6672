/// @file
/// Jobs as callers submit them and as the table service keeps them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_JOB_H_
#define LIMELEDGE_SRC_CORE_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// What a caller asks for. Resources are per member.
struct JobSpec {
  /// "WORKSPACE/NAME": workspaces may use the same names.
  JobId id;
  WorkspaceId workspace;
  ClassId job_class;
  int members = 1;
  int accelerators = 0;
  int cores = 1;
  std::int64_t memory_mb = 0;
  /// The caller's guess of the run time; a hint only.
  Duration declared;
  bool repeatable = false;
  /// Passed to every member unread.
  std::string payload;

  int total_accelerators() const { return members * accelerators; }
};

bool operator==(const JobSpec& a, const JobSpec& b);

enum class JobState {
  kWaiting,
  /// The placement is committed; members are being prepared, none may run.
  kStarting,
  /// The start is committed: from here on members may have run.
  kRunning,
  /// Members were asked to save their progress and stop.
  kCheckpointing,
  /// Members are being stopped; `JobRow::next` follows.
  kStopping,
  kDone,
  kFailed,
  kCancelled,
  /// No hall can hold the shape any more.
  kImpossible,
  /// A not-repeatable job that may have run without a recorded result.
  kUnknown,
};

/// Lower-case name as the API shows it. Safe from any thread.
const char* ToString(JobState state);
/// Reads a name that `ToString` gave; returns false for any other.
bool ParseJobState(const std::string& name, JobState* state);

/// True for states that a job never leaves.
bool IsFinal(JobState state);
/// True for states in which the job's accelerators are taken.
bool HoldsPlacement(JobState state);

/// One member of a placed gang.
struct Member {
  WorkerId worker;
  /// Bit i is accelerator i of the worker.
  std::uint64_t accelerators = 0;
};

/// Where one attempt runs.
struct Placement {
  std::vector<Member> members;
  /// True when it uses cells outside the workspace's guarantee, and so has to
  /// make way for the workspace whose guarantee it fills.
  bool borrowed = false;
};

/// The row `job/ID`.
struct JobRow {
  JobSpec spec;
  JobState state = JobState::kWaiting;
  HallId hall;
  /// Number of the present or last attempt; 0 before the first.
  int attempt = 0;
  Placement placement;
  /// Planner epoch that placed the attempt.
  Epoch epoch;
  /// What follows `kStopping`.
  JobState next = JobState::kWaiting;
  bool cancel_requested = false;
  /// Good workers on which the job failed by its own doing.
  int failures = 0;
  /// Workers that refused, lost or failed the job lately, without repeats; it
  /// is placed elsewhere where it can be.
  std::vector<WorkerId> avoid;
  /// Progress saved by the last checkpoint.
  std::string checkpoint;
  /// Why it is in this state, in words.
  std::string reason;
  /// Results of the members, in member order, for `kDone`.
  std::vector<std::string> results;
  /// Wall-clock milliseconds since 1970, for people and retention only.
  std::int64_t submitted_ms = 0;
  /// When it last began to wait.
  std::int64_t waiting_since_ms = 0;
  std::int64_t started_ms = 0;
  std::int64_t ended_ms = 0;
  /// Version of the row as read; not part of its value.
  Revision version;
};

/// Returns the id of the job that `workspace` calls `name`.
JobId FullJobId(const WorkspaceId& workspace, const std::string& name);
/// Returns the name that the workspace uses.
std::string JobName(const JobId& id);

/// Returns the table key of a job.
std::string JobKey(const JobId& id);

/// Names the task of one member of one attempt.
TaskId MemberTask(const JobId& job, int attempt, std::size_t member);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_JOB_H_
