/// @file
/// Where time and work went, by cause, as the logs of all processes tell it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_WORK_REPORT_H_
#define LIMELEDGE_SRC_CLI_WORK_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cli/accelerator_use.h"
#include "cli/delays.h"
#include "cli/job_history.h"
#include "cli/open_jobs.h"
#include "cli/top_jobs.h"

namespace limeledge {

struct CauseTotal {
  Duration length;
  int jobs = 0;
  TopJobs top_jobs;
};

/// Settled jobs of one queue or workspace.
struct GroupTotal {
  int jobs = 0;
  Duration length;
  std::map<std::string, CauseTotal> causes;
};

/// Runs that did not end as done, of one fate.
struct WasteTotal {
  int runs = 0;
  /// Of them, those that left a checkpoint: not in the sums below.
  int saved = 0;
  double accelerator_seconds = 0;
  double core_seconds = 0;
  std::map<std::string, int> runs_by_queue;
  TopJobs top_jobs;
};

/// Runs that made way for urgent jobs of one queue.
struct PreemptionTotal {
  int jobs = 0;
  int runs = 0;
  double accelerator_seconds = 0;
  /// Runs whose runner was then taken by the job that they made way for.
  int used_runs = 0;
  /// From the first stop for a job to the next of its starts, summed.
  Duration wait;
  int waits = 0;
};

/// A second, by the time at which jobs were handed in.
struct SecondTotal {
  std::int64_t second = 0;
  int jobs = 0;
  /// Time of these jobs beyond their work.
  Duration lost;
  std::string main_cause;
  TopJobs top_jobs;
};

struct WorkReport {
  std::int64_t begin_ms = 0;
  int settled_jobs = 0;
  /// Accepted, and no line tells their end.
  std::vector<std::string> open_jobs;
  std::map<std::string, GroupTotal> queues;
  std::map<std::string, GroupTotal> workspaces;
  std::map<RunFate, WasteTotal> waste;
  std::map<std::string, PreemptionTotal> preemptions;
  /// The worst first.
  std::vector<SecondTotal> worst_seconds;
  std::map<std::string, QueueSummary> queue_summaries;
  std::vector<UseSlot> use;
};

/// Sums everything up. `entries`: in order of time; `most_seconds`: how many of
/// the worst seconds to name; `slot`: for the use over time, above zero. Safe
/// from any thread.
WorkReport MakeWorkReport(const std::vector<LogEntry>& entries,
                          std::size_t most_seconds,
                          Duration slot = kDefaultSlot);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_WORK_REPORT_H_
