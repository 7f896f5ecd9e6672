/// @file
/// Jobs that have not settled, by age and by how often they were preempted.
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

/// Lower bounds of the age bands of open jobs, in milliseconds. Each is about
/// twice the previous one: a job whose runs take seconds is late in the third
/// band, and starves in the last.
inline constexpr std::array<std::int64_t, 5> kAgeBandsMs = {0, 5000, 10000,
                                                            20000, 40000};

/// Numbers of jobs, by how often their runs were preempted: never, once, twice,
/// and three times or more. Runs of a job that are stopped in the same
/// millisecond count as one preemption.
using PreemptionCounts = std::array<int, 4>;

/// Open jobs of one queue and similar age.
struct AgeBand {
  Duration from;
  int jobs = 0;
  /// Unfinished tasks of the steps that the logs mention.
  int tasks_not_done = 0;
  std::map<std::string, Duration> causes;
  PreemptionCounts preemption_counts = {};
  /// The jobs with the most time spent on causes other than work.
  TopJobs worst;
};

/// All jobs of one queue, without those that were cancelled.
struct QueueSummary {
  int settled = 0;
  int open = 0;
  /// Open jobs, one band for each entry of `kAgeBandsMs`.
  std::array<AgeBand, kAgeBandsMs.size()> ages;
  /// Preemptions of settled and open jobs.
  PreemptionCounts preemption_counts = {};
  /// The longest time in which an unsettled job had no run.
  Duration longest_idle;
  std::string longest_idle_job;
};

/// Returns how often the job's runs were preempted. Safe from any thread.
std::size_t CountPreemptions(const JobHistory& job);

/// Returns the longest time without any run, from the job's acceptance to its
/// end, or to `end_ms` if the job is open. Zero if the job was not accepted.
/// Safe from any thread.
Duration LongestIdle(const JobHistory& job, std::int64_t end_ms);

/// Summarizes settled and open jobs by queue. `end_ms`: the wall time of the
/// last log line. Safe from any thread.
std::map<std::string, QueueSummary> SummarizeQueues(const Histories& histories,
                                                    std::int64_t end_ms);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_OPEN_JOBS_H_
