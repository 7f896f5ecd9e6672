/// @file
/// Reports of a run: a table row, a page and a plot.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_REPORT_H_
#define LIMELEDGE_SOAK_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "soak/callers.h"
#include "soak/experiment.h"
#include "soak/verdict.h"

namespace limeledge::soak {

/// Input of a report.
struct RunSummary {
  std::uint64_t seed = 0;
  Experiment experiment;
  std::vector<Fault> plan;
  TimePoint began_at;
  std::vector<SubmitTiming> timings;
  int submitted = 0;
  int accepted = 0;
  int refused = 0;
  int unknown = 0;
  int starts = 0;
  std::vector<StartGap> start_gaps;
  CancelTimes cancels;
  Verdict verdict;
  std::vector<std::string> violations;
};

/// Returns one row of a Markdown table. Safe from any thread.
std::string TableRow(const RunSummary& run);
/// Returns the header of the Markdown table. Safe from any thread.
std::string TableHead();

/// Returns a Markdown page with all counters, faults and violations. Safe from
/// any thread.
std::string Page(const RunSummary& run);

/// Returns a plot (SVG) of the latencies of accepted submits and of the faults.
/// Safe from any thread.
std::string Plot(const RunSummary& run);

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_REPORT_H_
