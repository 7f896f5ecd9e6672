/// @file
/// Seeded workloads: heavy-tailed run times, wrong declarations, bursts.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_TRIAL_WORKLOAD_H_
#define LIMELEDGE_SRC_TRIAL_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/job.h"
#include "limeledge/clock.h"

namespace limeledge {

/// How large a trial is and how hard it is pressed.
struct WorkloadOptions {
  std::uint64_t seed = 1;
  int jobs = 400;
  /// Accelerators asked for over accelerators there, in percent.
  int load_percent = 90;
  int racks = 6;
  int workers_per_rack = 8;
  int accelerators_per_worker = 8;
  int workspaces = 4;
  /// Largest number of members of a gang.
  int largest_gang = 8;
  /// Jobs that their owners cancel, in percent.
  int cancel_percent = 3;
  /// Workers that fail everything for the first half, in percent.
  int bad_worker_percent = 2;

  int accelerators() const {
    return racks * workers_per_rack * accelerators_per_worker;
  }
};

/// One job with what only the trial knows.
struct WorkloadJob {
  JobSpec spec;
  Duration at;
  /// What it really takes; the declaration is far off in both directions.
  Duration run_time;
  /// Zero when it is not cancelled.
  Duration cancel_after;
};

struct Workload {
  WorkloadOptions options;
  std::vector<WorkloadJob> jobs;
};

/// Draws a workload; the same options give the same workload. Safe from any
/// thread.
Workload MakeWorkload(const WorkloadOptions& options);

/// Settings for a trial of the workload: its hall, its workspaces with
/// guarantees of about half the hall, its classes, and `policy` everywhere.
std::string WorkloadSettings(const WorkloadOptions& options,
                             const std::string& policy);

/// Least mean completion time that any scheduler could reach if jobs could be
/// cut freely over all accelerators (shortest remaining work first), and no
/// job ended before its run time.
Duration CompletionLowerBound(const Workload& workload);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_TRIAL_WORKLOAD_H_
