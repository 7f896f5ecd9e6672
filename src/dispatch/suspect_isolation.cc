/// @file
/// Keeps new runs away from lasting tasks that keep losing their runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/suspect_isolation.h"

#include <cstddef>
#include <set>
#include <vector>

#include "dispatch/run_loss.h"

namespace limeledge::dispatch {

namespace {

/// A run of a lasting suspect is alone for at most this long: longer than most
/// runs take, so that those that start later lose little work in a crash.
constexpr Duration kLongestIsolation{20000};
/// At most one runner in this many is excluded for a run of a suspect.
constexpr std::size_t kRunnersPerIsolated = 4;

/// True if the run may still be about to crash its runner as earlier runs of
/// its task did. Only the tasks of long-running steps are started that often.
bool NeedsIsolation(const Job& job, const TaskName& name, const Run& run,
                    TimePoint now) {
  if (!run.suspect || !job.step_spec(name.step).long_running) return false;
  const Step& step = job.occurrences()[name.occurrence].steps[name.step];
  std::vector<RunLoss> losses = step.tasks[name.index].losses;
  const Duration healthy = now - run.started_at;
  ForgetOutlived(healthy, LossRules(), &losses);
  return healthy < kLongestIsolation && !losses.empty();
}

}  // namespace

void IsolateSuspects(TimePoint now, JobRegistry* jobs, CandidatePool* pool) {
  std::set<StepName> isolated;
  for (Candidate& candidate : pool->candidates()) {
    for (const auto& [name, run] : candidate.runner->runs()) {
      if (isolated.size() * kRunnersPerIsolated >= pool->candidates().size()) {
        return;
      }
      const Job* job = run.suspect ? jobs->Find(name.job) : nullptr;
      if (job == nullptr || !NeedsIsolation(*job, name, run, now)) continue;
      const StepName step{name.job, name.occurrence, name.step};
      if (isolated.insert(step).second) candidate.on_probation = true;
    }
  }
}

}  // namespace limeledge::dispatch
