/// @file
/// How many accelerators and cores were in use over time, and for which queue.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_ACCELERATOR_USE_H_
#define LIMELEDGE_SRC_CLI_ACCELERATOR_USE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cli/job_history.h"
#include "cli/merged_log.h"

namespace limeledge {

/// Length of a slot unless another is asked for: about the time that room is
/// kept for a gang, so that room that stands free shows.
inline constexpr Duration kDefaultSlot = Duration(2000);

/// Means over a time.
struct ResourceAmount {
  double accelerators = 0;
  double cores = 0;
};

/// A slot of time. Accelerators and cores are means over it.
struct UseSlot {
  /// From the first line.
  Duration begin;
  /// Accelerators.
  std::map<std::string, double> used_by_queue;
  ResourceAmount used;
  /// At least so much was free on runners that could be used: a runner counts
  /// with the most that its runs ever held at once, since logs do not tell its
  /// size. Accelerators that are free on a runner without free cores serve
  /// nobody.
  ResourceAmount idle_at_least;
  /// At the slot's beginning.
  std::map<std::string, int> open_jobs;
};

/// Slots from the first line to the last; the last may be shorter. A run that
/// no line ends lasts to the last line. `entries`: in order of time;
/// `histories`: of these entries; `slot`: above zero. Safe from any thread.
std::vector<UseSlot> MakeAcceleratorUse(const std::vector<LogEntry>& entries,
                                        const Histories& histories,
                                        Duration slot);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_ACCELERATOR_USE_H_
