/// @file
/// Final checks of a run, after all faults have ended.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_VERDICT_H_
#define LIMELEDGE_SOAK_VERDICT_H_

#include <map>
#include <string>
#include <vector>

#include "soak/callers.h"
#include "soak/fault_driver.h"
#include "soak/soak_platform.h"

namespace limeledge::soak {

/// Longest time without a start after a fault that limits it.
struct StartGap {
  Fault fault;
  Duration longest;
};

/// Measures the time without a start after each fault that limits it, and
/// reports violations to the platform's oracle. Call this after the plan has
/// ended.
std::vector<StartGap> JudgeStartGaps(const std::vector<Fault>& plan,
                                     TimePoint began_at,
                                     SoakPlatform* platform);

/// Result of a run.
struct Verdict {
  std::map<std::string, int> jobs_by_state;
  /// Time until the final urgent gang started, with all runners occupied.
  Duration urgent_start;
  Duration settled_after;
};

/// Waits until all jobs are final, and checks their states against the recorded
/// runs. If times are checked, an urgent gang then reclaims its guarantee.
/// Violations are reported to the platform's oracle. Call this from one thread,
/// after `FaultDriver::Heal`.
Verdict Judge(const Experiment& experiment, SoakPlatform* platform,
              Callers* callers, FaultDriver* driver, JobMaker* maker);

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_VERDICT_H_
