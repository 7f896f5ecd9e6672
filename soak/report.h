/// @file
/// What a run tells: a line, a page and a plot.
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

/// All that a report tells of.
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

/// One line in Markdown's form of a table's row. Safe from any thread.
std::string TableRow(const RunSummary& run);
/// The header of such a table. Safe from any thread.
std::string TableHead();

/// A page with all numbers, faults and violations. Safe from any thread.
std::string Page(const RunSummary& run);

/// A plot of how long accepted calls took, over the faults (SVG). Safe from
/// any thread.
std::string Plot(const RunSummary& run);

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_REPORT_H_
