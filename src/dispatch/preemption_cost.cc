/// @file
/// Compares preemptions by the work that they lose.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/preemption_cost.h"

namespace limeledge::dispatch {

namespace {

constexpr std::int64_t kMillisPerCore = 1000;

}  // namespace

std::int64_t PreemptionCost(const RunAtRisk& run,
                            const PreemptionWeights& weights) {
  const std::int64_t cores =
      run.need.cpu_millis +
      run.need.accelerators * weights.cores_per_accelerator * kMillisPerCore;
  return cores * (run.unsaved.ms() + 1) / kMillisPerCore * weights.factor;
}

std::int64_t PreemptionCost(const std::vector<RunAtRisk>& runs,
                            const PreemptionWeights& weights) {
  std::int64_t cost = 0;
  for (const RunAtRisk& run : runs) cost += PreemptionCost(run, weights);
  return cost;
}

bool ShouldWaitForCapacity(const PreemptionChoice& choice) {
  if (choice.free_in >= choice.stop_time) return false;
  if (choice.delayed >= choice.stop_time) return false;
  if (!choice.within_guarantee) return true;
  return choice.waited + choice.free_in + choice.stop_time * 2 <=
         choice.guarantee_time;
}

}  // namespace limeledge::dispatch
