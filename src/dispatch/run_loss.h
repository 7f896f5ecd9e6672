/// @file
/// Runs lost with their runners, and the rules by which a task is given up
/// because of them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_RUN_LOSS_H_
#define LIMELEDGE_SRC_DISPATCH_RUN_LOSS_H_

#include <string>
#include <vector>

#include "dispatch/incarnation.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// A run that ended because its runner crashed or became unreachable. Stored
/// with its task.
struct RunLoss {
  int run = 0;
  /// The incarnation on which the run was lost.
  IncarnationId incarnation;
  /// Address at which another incarnation of the runner would respond; empty if
  /// unknown.
  std::string address;
  /// How long the run had been running when the runner fell silent.
  Duration lasted;
  /// True if the runner is known or presumed to have crashed. Otherwise it may
  /// still be alive but unreachable.
  bool crashed = false;
  /// True if the runner fell silent soon after the run's start, and not
  /// together with runners whose loss no start explains.
  bool suspicious = false;
};

/// What happened to a runner incarnation on which runs were lost.
enum class IncarnationFate {
  /// It responds: it had only been unreachable, so the losses don't count
  /// against the task.
  kAlive,
  kCrashed,
  /// It was silent for so long that it counts as crashed. It may only have been
  /// unreachable, so the losses are not held to be suspicious.
  kPresumedCrashed,
};

/// Rules by which lost runs count against their task. docs/DECISIONS.md
/// compares these values with others, each over 1,000 random simulations: half
/// of them contain a task that crashes its runners, and in all of them runners
/// also crash for other reasons.
struct LossRules {
  /// A crash within this time of a run's start is suspicious. A call to an
  /// unresponsive runner times out within 1.5 s; the rest allows for the
  /// network.
  Duration soon{2000};
  /// Suspicious crashes after which a task is given up. The platform permits
  /// that from the second crash on.
  int suspicious_crashes = 2;
  /// Crashes of any kind after which a task is given up.
  int crashes = 4;
  /// After `counted_crashes` crashes of any kind, the platform counts further
  /// starts and permits `starts_after_counted` of them. A start counts even if
  /// the task never runs: a member of a gang may be started in vain because
  /// another member crashed its runner first.
  int counted_crashes = 3;
  int starts_after_counted = 2;
  /// Runners that fall silent within this time of each other may have a common
  /// cause.
  Duration same_moment{1000};
  /// A start explains a crash if the runner fell silent within this time after
  /// it: a few round trips. With twice the value, every second unrelated crash
  /// would be explained where a runner gets one start per second.
  Duration explained{250};
  /// This many unexplained crashes at the same moment indicate an external
  /// cause, such as a power failure.
  int min_unexplained_crashes = 2;
  /// How long the fate of a silent runner may stay unknown. Longer than a list
  /// entry takes to expire, and than a runner takes to come back after a crash.
  Duration fate_timeout{20000};
  /// How long a suspect task runs alone on a runner to find out whether it is
  /// the cause: twice the time after which a crash is no longer suspicious.
  Duration probation{4000};
};

/// Whether a task may be started, given its losses.
enum class LossVerdict {
  kMayStart,
  /// The losses are too many unless one of the runners turns out to be alive;
  /// wait for that.
  kMustWait,
  kGivenUp,
};

/// Evaluates a task's losses, which are in ascending order of runs.
/// `newest_run` is the last run that was assigned. Thread-safe.
LossVerdict EvaluateLosses(const std::vector<RunLoss>& losses, int newest_run,
                           const LossRules& rules);

/// Returns true if the task may have crashed a runner. Thread-safe.
bool IsSuspect(const std::vector<RunLoss>& losses);

/// Removes losses that occurred much earlier in their run than `lasted`, the
/// time for which a later run was healthy: a task that crashes its runners does
/// so at about the same point of each run. Thread-safe for different `losses`.
void ForgetOutlived(Duration lasted, const LossRules& rules,
                    std::vector<RunLoss>* losses);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_RUN_LOSS_H_
