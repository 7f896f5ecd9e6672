/// @file
/// Use of accelerators and cores over time, by queue.
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

/// Default length of a time slot: about as long as capacity stays reserved for
/// a gang, so that the report shows reserved capacity that is idle.
inline constexpr Duration kDefaultSlot = Duration(2000);

/// An amount of accelerators and cores. Fractional, since means are computed.
struct ResourceAmount {
  double accelerators = 0;
  double cores = 0;
};

/// Use during one time slot. Accelerators and cores are means over the slot.
struct UseSlot {
  /// Offset from the first log line.
  Duration begin;
  /// Accelerators in use, by queue.
  std::map<std::string, double> used_by_queue;
  ResourceAmount used;
  /// Lower bound on the free resources of usable runners. The logs do not state
  /// the size of a runner, so the peak that its runs held at the same time
  /// counts as its size. No task can use free accelerators on a runner without
  /// free cores.
  ResourceAmount idle_at_least;
  /// Jobs that were open at the start of the slot, by queue.
  std::map<std::string, int> open_jobs;
};

/// Returns the slots from the first log line to the last; the last slot may be
/// shorter. A run without a logged end lasts to the last line. `entries`: in
/// order of time; `histories`: built from these entries; `slot`: slot length,
/// above zero. Safe from any thread.
std::vector<UseSlot> MakeAcceleratorUse(const std::vector<LogEntry>& entries,
                                        const Histories& histories,
                                        Duration slot);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_ACCELERATOR_USE_H_
