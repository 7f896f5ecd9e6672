/// @file
/// Decides whether a run is moved to another runner, by the time that this is
/// expected to save.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_RUN_MOVE_H_
#define LIMELEDGE_SRC_DISPATCH_RUN_MOVE_H_

#include <vector>

#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// What is known of a runner's pace without the run in question. Paces are
/// logarithms of run durations over those that the run was placed with.
struct PaceKnowledge {
  /// The part that lasts as long as the runner.
  double lasting = 0;
  /// The part that passes.
  double transient = 0;
  /// Standard deviation of the sum.
  double deviation = 0;
  /// How long the transient part has lasted so far.
  Duration slow_for;

  double slowness() const { return lasting + transient; }
};

/// A run, or a gang whose members advance together, and where it could
/// continue.
struct MoveQuery {
  /// Logarithm of the projected duration here over the expected one. A run does
  /// not suffer more from its runner than it is late itself.
  double pace = 0;
  /// Remaining time here at the present pace, and its relative standard
  /// deviation.
  Duration remaining;
  double remaining_deviation = 0;
  /// Time that the work since the last checkpoint would take here at the
  /// present pace.
  Duration unsaved;
  /// The runners of the run or of all members of the gang, in their order.
  std::vector<PaceKnowledge> runners;
  /// Pace where the run would continue, relative to the pace that it was placed
  /// with, and its standard deviation.
  double pace_elsewhere = 0;
  double pace_elsewhere_deviation = 0;
  /// Time until there is room elsewhere.
  Duration wait;
};

/// Costs of a move, and what is assumed about slow runners.
struct MoveRules {
  /// The longest time from a stop until the run has ended, and the longest
  /// restart from a checkpoint.
  Duration stop_time{900};
  Duration restart_time{600};
  /// A transient slowness is expected to last for as long again as it has
  /// lasted, and at least for this time. Most of them last for some seconds.
  Duration min_slow_time{3000};
};

enum class MoveVerdict {
  kMove,
  /// No runner of the run is known to be slow, so it would take as long
  /// elsewhere.
  kLongByItself,
  /// A runner is slow, but the move would not save more time than the
  /// uncertainty of the estimates.
  kNoGain,
};

/// Description for logs.
const char* ToString(MoveVerdict verdict);

struct MoveDecision {
  MoveVerdict verdict = MoveVerdict::kLongByItself;
  /// Expected time until the end, here and elsewhere; 0 if no runner is slow.
  Duration here;
  Duration elsewhere;
  /// Index of the slowest runner; -1 if none is known to be slow.
  int slow_runner = -1;
};

/// Decides whether the run is moved. Thread-safe.
MoveDecision DecideMove(const MoveQuery& query, const MoveRules& rules);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_RUN_MOVE_H_
