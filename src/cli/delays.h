/// @file
/// Causes of the time between a job's first submit and its final state.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_DELAYS_H_
#define LIMELEDGE_SRC_CLI_DELAYS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cli/job_history.h"

namespace limeledge {

/// Part of a job's time, and its cause.
struct Delay {
  std::string cause;
  Duration length;
};

/// Causes other than waits. The causes of waits contain the reason that the
/// scheduler logged.
inline constexpr char kCauseWork[] = "work";
inline constexpr char kCauseFarRun[] = "run far from its data or rack";
inline constexpr char kCauseLongRun[] = "run longer than expected";
inline constexpr char kCauseNotAccepted[] = "not accepted yet";
inline constexpr char kCauseNoScheduler[] = "nobody schedules";
inline constexpr char kCauseDeciding[] = "being decided and stored";
inline constexpr char kCauseSettling[] = "last run over, job not settled";

/// Splits a settled job's time, from its first submit to its final state, by
/// cause. Follows the critical path: the task that ended last, then the task of
/// an earlier step that ended last, and so on. Empty if the logs lack the job's
/// acceptance or its end. Safe from any thread.
std::vector<Delay> DelaysOf(
    const JobHistory& job, const std::vector<LeadershipTerm>& leadership_terms);

/// The same for a job that is open at `until_ms`, the wall time of the last log
/// line. Starts from the unfinished task that has had no run for the longest
/// time or, if all unfinished tasks are running, from the one whose run began
/// last. Empty if the logs lack the job's acceptance. Safe from any thread.
std::vector<Delay> DelaysUntil(
    const JobHistory& job, const std::vector<LeadershipTerm>& leadership_terms,
    std::int64_t until_ms);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_DELAYS_H_
