/// @file
/// Fuzzed courses: actions drawn by a generator, carried out on a cluster.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_FUZZ_COURSE_H_
#define LIMELEDGE_TEST_FUZZ_COURSE_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace limeledge {

/// What a step of a course does. The numbers of a step choose among what is
/// there, so that every step is always possible.
enum class ActionKind {
  kRun,
  kSubmit,
  kRequest,
  kRepeatRequest,
  kCancel,
  kKill,
  kStart,
  kPause,
  kWake,
  kCutStore,
  kCutPeers,
  kCutTargets,
  kStoreDown,
  kLoseCommits,
  kLateCommits,
  kLateExchanges,
  kLoseExchanges,
  kLoseHeartbeats,
  kRunnerNotSent,
  kRunnerLost,
  kWorkerFaults,
  kRestartWorker,
  kCutWorker,
  kRunnerFaults,
  kPropose,
  kPlannedStop,
  kListLag,
  kLeaveRunner,
  kLeaveWorker,
  kLateSettings,
};
inline constexpr int kActionKinds = 30;

const char* ToString(ActionKind kind);

struct Action {
  ActionKind kind = ActionKind::kRun;
  int a = 0;
  int b = 0;
  /// How long to run afterwards, milliseconds.
  int run_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& action);

/// What a course came to.
struct CourseResult {
  /// Empty when every promise was kept.
  std::string violation;
  std::int64_t events = 0;
};

/// Carries a course out on a new cluster, heals it, lets it rest, and judges.
CourseResult RunCourse(std::uint64_t seed, const std::vector<Action>& actions);

/// The settings that courses run under.
const std::string& CourseSettings();

}  // namespace limeledge

#endif  // LIMELEDGE_TEST_FUZZ_COURSE_H_
