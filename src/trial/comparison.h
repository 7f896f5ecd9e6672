/// @file
/// Policies side by side over one workload.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_TRIAL_COMPARISON_H_
#define LIMELEDGE_SRC_TRIAL_COMPARISON_H_

#include <string>
#include <vector>

#include "limeledge/clock.h"
#include "trial/workload.h"

namespace limeledge {

/// A moment of a trial, for plots.
struct TrialSample {
  Duration at;
  int free = 0;
  int stranded = 0;
  int waiting = 0;
};

/// What one policy made of one workload.
struct PolicyOutcome {
  std::string policy;
  int done = 0;
  int cancelled = 0;
  int failed = 0;
  int unfinished = 0;
  Duration mean;
  Duration p50;
  Duration p95;
  Duration p99;
  /// Completion time over run time, mean.
  double slowdown = 0;
  /// Stranded over free accelerators while something waits, mean over time.
  double fragmentation = 0;
  Duration longest_reclaim;
  /// Longest wait of a job with more than one member.
  Duration longest_large_wait;
  int preemptions = 0;
  /// Mean completion time over the lower bound.
  double over_bound = 0;
  /// Completion weighted 0.7 and fragmentation 0.3, relative to the first
  /// policy of the comparison; less is better.
  double crash_score = 0;
  /// Completion weighted 0.3 and fragmentation 0.7.
  double materials_score = 0;
  std::vector<TrialSample> samples;
};

struct Comparison {
  WorkloadOptions workload;
  Duration lower_bound;
  std::vector<PolicyOutcome> outcomes;
};

/// Runs each policy over the workload, one after another, with small fakes
/// that model run times only.
Comparison ComparePolicies(const Workload& workload,
                           const std::vector<std::string>& policies);

/// The comparison as a table for people.
std::string FormatTable(const Comparison& comparison);
/// The comparison as JSON.
std::string FormatJson(const Comparison& comparison);
/// A page with the table and plots that needs no other file.
std::string FormatHtml(const Comparison& comparison);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_TRIAL_COMPARISON_H_
