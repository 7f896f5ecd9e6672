/// @file
/// Jobs that have not settled, by age and by how often they made way.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_OPEN_JOBS_H_
#define LIMELEDGE_SRC_CLI_OPEN_JOBS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cli/job_history.h"
#include "cli/top_jobs.h"

namespace limeledge {

/// Ages in milliseconds at which the bands of open jobs begin. Each is about
/// twice the one before: a job whose runs take seconds is late in the third,
/// and starves in the last.
inline constexpr std::array<std::int64_t, 5> kAgeBandsMs = {0, 5000, 10000,
                                                            20000, 40000};

/// Numbers of jobs, by how often their runs made way: never, once, twice, and
/// three times or more. Runs of a job that are stopped in the same millisecond
/// make way once.
using PreemptionCounts = std::array<int, 4>;

/// Open jobs of one queue and similar age.
struct AgeBand {
  Duration from;
  int jobs = 0;
  /// Of steps that began, as far as the logs tell.
  int tasks_not_done = 0;
  std::map<std::string, Duration> causes;
  PreemptionCounts preemption_counts = {};
  /// By their time beyond work.
  TopJobs worst;
};

/// All jobs of one queue, without those that were cancelled.
struct QueueSummary {
  int settled = 0;
  int open = 0;
  /// One for each of `kAgeBandsMs`.
  std::array<AgeBand, kAgeBandsMs.size()> ages;
  /// Of settled and open jobs.
  PreemptionCounts preemption_counts = {};
  /// The longest time in which a job that was not over had no run.
  Duration longest_idle;
  std::string longest_idle_job;
};

/// How often runs of the job made way. Safe from any thread.
std::size_t CountPreemptions(const JobHistory& job);

/// The longest time without any run, from the job's acceptance to its end, or
/// to `end_ms` if it is open. Zero if it was not accepted. Safe from any
/// thread.
Duration LongestIdle(const JobHistory& job, std::int64_t end_ms);

/// Sums up settled and open jobs by queue. `end_ms`: the last line's wall time.
/// Safe from any thread.
std::map<std::string, QueueSummary> SummarizeQueues(const Histories& histories,
                                                    std::int64_t end_ms);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_OPEN_JOBS_H_
