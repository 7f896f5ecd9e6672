/// @file
/// Tracks lost runs whose runner's fate is unknown, and when runners were lost.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_LOSS_TRACKER_H_
#define LIMELEDGE_SRC_DISPATCH_LOSS_TRACKER_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dispatch/job_spec.h"
#include "dispatch/run_loss.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// A runner that stopped responding and is considered lost.
struct LostRunner {
  IncarnationId incarnation;
  TimePoint silent_since;
  /// True if a run was started right before the runner fell silent, which
  /// explains a crash.
  bool explained = false;
  /// Jobs with a run that started on the runner shortly before.
  std::set<JobId> recently_started_jobs;
};

/// Counts the runners in `lost`, all lost at about the same time, whose loss is
/// unexplained: no run was started right before it, and no job had recently
/// started runs on two of the runners. Thread-safe.
int CountUnexplained(const std::vector<LostRunner>& lost);

/// Records lost runners and unresolved losses of runs.
///
/// Thread safety: none; use it from one thread.
class LossTracker {
 public:
  explicit LossTracker(const LossRules& rules) : rules_(rules) {}

  /// Records a lost run whose runner may still be alive. Recording it twice has
  /// no effect.
  void AddUnresolved(const TaskName& task, const RunLoss& loss, TimePoint now);
  /// Returns the tasks that lost a run with the incarnation, and drops their
  /// records. Called once the incarnation's fate is known.
  std::vector<TaskName> Resolve(const IncarnationId& incarnation);
  /// Returns the incarnations with unresolved losses that have ended, given
  /// that the runner `living` responds at the address now. Those of the same
  /// runner are not among them: see `EarlierIncarnations`.
  std::vector<IncarnationId> ReplacedAt(const std::string& address,
                                        const RunnerId& living) const;
  /// Returns the incarnations of the runner with unresolved losses, except
  /// `living`, which responds.
  std::vector<IncarnationId> EarlierIncarnations(
      const IncarnationId& living) const;
  /// Returns the incarnations with losses that have been unresolved for
  /// `fate_timeout`.
  std::vector<IncarnationId> Overdue(TimePoint now) const;
  bool HasUnresolved() const { return !unresolved_.empty(); }

  /// Records a runner that is considered lost from now on.
  void AddLostRunner(LostRunner lost);
  /// Returns the runners that were lost within `same_moment` of `moment`.
  std::vector<LostRunner> LostNear(TimePoint moment) const;

 private:
  struct UnresolvedLosses {
    std::string address;
    TimePoint since;
    std::set<TaskName> tasks;
  };

  LossRules rules_;
  std::map<IncarnationId, UnresolvedLosses> unresolved_;
  /// The latest losses of runners, oldest first.
  std::deque<LostRunner> lost_runners_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_LOSS_TRACKER_H_
