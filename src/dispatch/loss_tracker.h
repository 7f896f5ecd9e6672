/// @file
/// Lost runs whose runner's fate is not known, and when runners were lost.
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

/// A runner that fell silent and is taken for lost.
struct LostRunner {
  IncarnationId incarnation;
  TimePoint silent_since;
  /// A start right before it fell silent explains its end.
  bool explained = false;
  /// Jobs of which a run had begun there soon before.
  std::set<JobId> recently_started_jobs;
};

/// Counts runners of one moment whose end nothing explains: no start right
/// before it, and no job that had begun soon before on two of them. Safe from
/// any thread.
int CountUnexplained(const std::vector<LostRunner>& lost);

/// Remembers runners that were lost. Pure bookkeeping.
///
/// Thread safety: none; use it from one thread.
class LossTracker {
 public:
  explicit LossTracker(const LossRules& rules) : rules_(rules) {}

  /// Notes a lost run whose runner may still live. Noted twice, it counts once.
  /// `listed`: the birth that the runner's entry told then, which may be that
  /// of a life before.
  void AddUnresolved(const TaskName& task, const RunLoss& loss,
                     StartTime listed, TimePoint now);
  /// Tasks that lost a run with the life, now that its fate is known; they are
  /// forgotten here.
  std::vector<TaskName> Resolve(const IncarnationId& incarnation);
  /// Lives with open losses at the address which are over, now that the list
  /// tells of `living` there.
  std::vector<IncarnationId> ReplacedAt(const std::string& address,
                                        const IncarnationId& living) const;
  /// Lives with open losses of the runner, but for `living`, which answers.
  std::vector<IncarnationId> EarlierIncarnations(
      const IncarnationId& living) const;
  /// Lives with open losses of which nothing was heard for too long.
  std::vector<IncarnationId> Overdue(TimePoint now) const;
  bool HasUnresolved() const { return !open_.empty(); }

  /// Notes a runner that is taken for lost now.
  void AddLostRunner(LostRunner lost);
  /// Runners that were lost about that moment.
  std::vector<LostRunner> LostNear(TimePoint moment) const;

 private:
  struct Open {
    std::string address;
    StartTime listed;
    TimePoint since;
    std::set<TaskName> tasks;
  };

  LossRules rules_;
  std::map<IncarnationId, Open> open_;
  /// The newest losses of runners, oldest first.
  std::deque<LostRunner> lost_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_LOSS_TRACKER_H_
