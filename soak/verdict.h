/// @file
/// The last checks of a run, once all troubles are over.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_VERDICT_H_
#define LIMELEDGE_SOAK_VERDICT_H_

#include <map>
#include <string>

#include "soak/callers.h"
#include "soak/fault_driver.h"
#include "soak/soak_platform.h"

namespace limeledge::soak {

/// How a run went.
struct Verdict {
  std::map<std::string, int> jobs_by_state;
  /// Until the urgent gang at the end began, with all runners taken.
  Duration urgent_start;
  Duration settled_after;
};

/// Waits until all jobs are final, and holds their states against what ran;
/// then has an urgent gang reclaim its guarantee, if times are checked. What is
/// wrong goes to the platform's oracle. Use it from one thread, after
/// `FaultDriver::Heal`.
Verdict Judge(const Experiment& experiment, SoakPlatform* platform,
              Callers* callers, FaultDriver* driver, JobMaker* maker);

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_VERDICT_H_
