/// @file
/// What the preemption of a run loses.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PREEMPTION_COST_H_
#define LIMELEDGE_SRC_DISPATCH_PREEMPTION_COST_H_

#include <cstdint>
#include <vector>

#include "dispatch/job_spec.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// A run that a preemption ends: the preempted one or a member of its gang.
struct RunAtRisk {
  Resources need;
  /// Time since its last checkpoint, or since its start if it has none.
  Duration unsaved;
};

/// Weights of what is lost.
struct PreemptionWeights {
  /// Weight of an accelerator, in cores.
  int cores_per_accelerator = 8;
  /// Factor on all of it.
  std::int64_t factor = 1;
};

/// The work of one run that ends unsaved, in weighted core-milliseconds.
/// Without unsaved work it counts as one millisecond, so that of two runs that
/// have just saved the smaller one is cheaper. Thread-safe.
std::int64_t PreemptionCost(const RunAtRisk& run,
                            const PreemptionWeights& weights);
/// The same for all members of a gang.
std::int64_t PreemptionCost(const std::vector<RunAtRisk>& runs,
                            const PreemptionWeights& weights);

/// A step for which runs could be preempted.
struct PreemptionChoice {
  /// Time until there is room without a preemption.
  Duration free_in;
  /// Time that a stop takes.
  Duration stop_time;
  /// How long the step has waited so far, and for how long it has been waiting
  /// for capacity to become free.
  Duration waited;
  Duration delayed;
  /// The step is within the guarantee of its workspace, which must be met
  /// within `guarantee_time`.
  bool within_guarantee = false;
  Duration guarantee_time;
};

/// True if the step should wait for the capacity that becomes free by itself
/// rather than preempt. Waits no longer than one stop in total, since expected
/// ends of runs may be wrong. Within a guarantee, it waits only if two more
/// stops would still end in time: the first of them may free nothing.
/// Thread-safe.
bool ShouldWaitForCapacity(const PreemptionChoice& choice);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PREEMPTION_COST_H_
