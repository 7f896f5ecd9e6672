/// @file
/// What a gang does next, decided from the reports of its members.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_GANG_H_
#define LIMELEDGE_SRC_CORE_GANG_H_

#include <string>
#include <vector>

#include "core/job.h"
#include "core/worker_protocol.h"
#include "limeledge/clock.h"
#include "settings/settings.h"

namespace limeledge {

/// What the planner knows of one member's task.
enum class GangMemberState {
  /// No report since the order was sent, and its lease may still run.
  kUnheard,
  kPrepared,
  kRunning,
  kDone,
  kFailed,
  kCheckpointed,
  /// The worker holds no such task, or stopped it.
  kAbsent,
  /// Unheard for longer than any lease on it can last.
  kLapsed,
};

/// One member as last seen.
struct MemberView {
  GangMemberState state = GangMemberState::kUnheard;
  /// Result, progress or cause, as the worker gave it.
  std::string detail;
  /// The worker is leaving.
  bool leaving = false;
};

/// Everything that decides the next step of one attempt.
struct GangView {
  const JobRow* job = nullptr;
  std::vector<MemberView> members;
  EffectiveSettings settings;
  /// Time since this planner first saw the job in its present state.
  Duration in_state;
  /// Time since the job began to run, by the rows' wall clock.
  Duration running;
  /// The placement must make way.
  bool reclaim = false;
};

/// How an attempt goes on.
enum class GangAction {
  /// Keep renewing and wait.
  kWait,
  /// Commit `kRunning`.
  kRun,
  /// Commit `kDone` with the members' results.
  kFinish,
  /// Commit `kCheckpointing`.
  kCheckpoint,
  /// Stop renewing, stop all members and commit `kStopping`.
  kStop,
  /// All members are gone: commit the state that follows `kStopping`, or
  /// `kWaiting` after a checkpoint.
  kRelease,
};

/// A decision, with all that its row needs.
struct GangStep {
  GangAction action = GangAction::kWait;
  JobState next = JobState::kWaiting;
  std::string reason;
  /// The job itself failed, rather than a worker.
  bool job_failure = false;
  /// Members whose workers are to blame, by index.
  std::vector<std::size_t> blamed;
};

/// Decides the next step. A gang runs only after every member is prepared; a
/// gang that lost a member is stopped whole; a job that is not repeatable and
/// may have run is never started again. Safe from any thread.
GangStep DecideGang(const GangView& view);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_GANG_H_
