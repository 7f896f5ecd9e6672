/// @file
/// Runs that went with their runners, and when a task is given up for them.
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

/// A run that went with its runner. Stored with its task.
struct RunLoss {
  int run = 0;
  /// The life that was lost.
  IncarnationId incarnation;
  /// Where another life of the runner would answer; empty if not known.
  std::string address;
  /// How long the run had been under way when the runner fell silent.
  Duration lasted;
  /// The runner crashed; else it may still live, cut off from here.
  bool crashed = false;
  /// The runner fell silent soon after the run's start, and not together with
  /// others for which no start can be to blame.
  bool suspicious = false;
};

/// What became of a life of a runner that runs were lost with.
enum class IncarnationFate {
  /// It answers: it was cut off, and the runs were lost by chance.
  kAlive,
  kCrashed,
  /// Nothing was heard of it for so long that it counts as crashed. It may have
  /// been cut off all the while: that is no ground to suspect a task.
  kPresumedCrashed,
};

/// When runs that went with their runners tell against their task. Over 1,000
/// random courses each, of which half have a task that crashes its runners and
/// all have runners that crash by themselves, docs/DECISIONS.md compares these
/// figures with others.
struct LossRules {
  /// A crash so soon after the start of a run is suspicious: a call that waits
  /// on a runner without answers ends within 1.5 s, and some for the network.
  Duration soon{2000};
  /// A task is given up after so many suspicious crashes. The platform allows
  /// it from the second crash on.
  int suspicious_crashes = 2;
  /// The same for crashes of any kind.
  int crashes = 4;
  /// After so many crashes of any kind the platform counts further starts, of
  /// which it allows so many: a member of a gang may be started in vain since
  /// another one crashed its runner first.
  int counted_crashes = 3;
  int starts_after_them = 2;
  /// Runners that fall silent within this of each other may have one cause.
  Duration same_moment{1000};
  /// A start explains a crash if the runner fell silent within this after it: a
  /// few round trips. Twice as much explains every second crash by chance where
  /// a runner gets a start a second.
  Duration explained{250};
  /// So many crashes at the same moment that no start explains tell of a cause
  /// from outside, such as power that is lost.
  int min_unexplained_crashes = 2;
  /// How long it is waited for what became of a silent runner. Longer than an
  /// entry takes to lapse, and a runner to come back after a crash.
  Duration fate_timeout{20000};
  /// A suspect task is told from others by running alone for so long: twice the
  /// time after which a crash is no longer suspicious.
  Duration probation{4000};
};

/// What a task's losses say about its next start.
enum class LossVerdict {
  kMayStart,
  /// Too many unless one of the runners turns out to live: it is waited for.
  kMustWait,
  kGivenUp,
};

/// Judges a task by what it lost so far, in rising order of runs; `newest_run`
/// is the last that was decided on. Thread-safe.
LossVerdict EvaluateLosses(const std::vector<RunLoss>& losses, int newest_run,
                           const LossRules& rules);

/// True if the task may be what crashed a runner. Thread-safe.
bool IsSuspect(const std::vector<RunLoss>& losses);

/// Forgets losses that came much sooner than `lasted`, after which a later run
/// was still well: a task that crashes its runners does so each time at about
/// the same point. Thread-safe for different `losses`.
void ForgetOutlived(Duration lasted, const LossRules& rules,
                    std::vector<RunLoss>* losses);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_RUN_LOSS_H_
