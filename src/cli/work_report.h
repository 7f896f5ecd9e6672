/// @file
/// Report of how time and work were spent, by cause, from the logs of all
/// processes.
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

/// Time that jobs spent on one cause.
struct CauseTotal {
  Duration length;
  int jobs = 0;
  TopJobs top_jobs;
};

/// Totals of the settled jobs of one queue or workspace.
struct GroupTotal {
  int jobs = 0;
  Duration length;
  std::map<std::string, CauseTotal> causes;
};

/// Totals of runs that ended with one fate other than done or rejected.
struct WasteTotal {
  int runs = 0;
  /// Runs among them that left a checkpoint; not in the sums below.
  int saved = 0;
  double accelerator_seconds = 0;
  double core_seconds = 0;
  std::map<std::string, int> runs_by_queue;
  TopJobs top_jobs;
};

/// Totals of runs that were preempted for urgent jobs of one queue.
struct PreemptionTotal {
  int jobs = 0;
  int runs = 0;
  double accelerator_seconds = 0;
  /// Preempted runs on whose runner the urgent job then started a run.
  int used_runs = 0;
  /// Sum over the urgent jobs of the time from the end of the first run that
  /// was preempted for the job to the next start of the job.
  Duration wait;
  int waits = 0;
};

/// Totals of one kind of decision with one reason.
struct DecisionTotal {
  int decisions = 0;
  int jobs = 0;
  TopJobs top_jobs;
};

/// Totals of the jobs that were submitted within one second.
struct SecondTotal {
  std::int64_t second = 0;
  int jobs = 0;
  /// Time of these jobs spent on causes other than work.
  Duration lost;
  std::string main_cause;
  TopJobs top_jobs;
};

/// Totals over all jobs in the logs.
struct WorkReport {
  std::int64_t begin_ms = 0;
  int settled_jobs = 0;
  /// Accepted jobs whose end is not in the logs.
  std::vector<std::string> open_jobs;
  std::map<std::string, GroupTotal> queues;
  std::map<std::string, GroupTotal> workspaces;
  std::map<RunFate, WasteTotal> waste;
  std::map<std::string, PreemptionTotal> preemptions;
  /// Refused submits, deferred steps, declined moves and delayed preemptions,
  /// by their text.
  std::map<std::string, DecisionTotal> decisions;
  /// In descending order of lost time.
  std::vector<SecondTotal> worst_seconds;
  std::map<std::string, QueueSummary> queue_summaries;
  std::vector<UseSlot> use;
};

/// Builds the report. `entries`: in order of time; `max_seconds`: maximum
/// number of worst seconds to include; `slot`: length of a time slot of the
/// accelerator use, above zero. Safe from any thread.
WorkReport MakeWorkReport(const std::vector<LogEntry>& entries,
                          std::size_t max_seconds,
                          Duration slot = kDefaultSlot);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_WORK_REPORT_H_
