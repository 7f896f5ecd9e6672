/// @file
/// What a job's time between handing in and final state went on.
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

/// Part of a job's time, and what it went on.
struct Delay {
  std::string cause;
  Duration length;
};

/// The causes that are not reasons of a wait, which the scheduler names itself.
inline constexpr char kCauseWork[] = "work";
inline constexpr char kCauseFarRun[] = "run far from its data or rack";
inline constexpr char kCauseLongRun[] = "run longer than expected";
inline constexpr char kCauseNotAccepted[] = "not accepted yet";
inline constexpr char kCauseNoScheduler[] = "nobody schedules";
inline constexpr char kCauseDeciding[] = "being decided and stored";
inline constexpr char kCauseSettling[] = "last run over, job not settled";

/// Parts a settled job's time, from its first submit to its final state, along
/// the runs that decided its length: the task that ended last, the step before
/// it that ended last, and so on. Empty if the logs do not tell its beginning
/// and its end. Safe from any thread.
std::vector<Delay> DelaysOf(
    const JobHistory& job, const std::vector<LeadershipTerm>& leadership_terms);

/// The same for a job that is open at `until_ms`, the last line's wall time:
/// along the task not done that has had no run for longest or, if all have one,
/// whose run began last. Empty if the logs do not tell its beginning. Safe from
/// any thread.
std::vector<Delay> DelaysUntil(
    const JobHistory& job, const std::vector<LeadershipTerm>& leadership_terms,
    std::int64_t until_ms);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_DELAYS_H_
