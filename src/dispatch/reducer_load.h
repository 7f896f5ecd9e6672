/// @file
/// How far a reducer is behind its events, and how much planning adds to that.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_REDUCER_LOAD_H_
#define LIMELEDGE_SRC_DISPATCH_REDUCER_LOAD_H_

#include <cstddef>
#include <cstdint>

#include "dispatch/context.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// One batch of events that a reducer has handled.
struct BatchTime {
  /// How long its oldest event waited until the reducer began.
  Duration waited;
  /// How long the reducer took.
  Duration taken;
  std::size_t events = 0;
};

/// What the planning passes of a scheduler have done since it began to lead.
struct PlanningUse {
  std::int64_t passes = 0;
  /// Steps that the passes tried to place.
  std::int64_t steps = 0;
  /// Candidates and runs that they looked at, each as often as they did.
  std::int64_t looks = 0;
};

/// Collects the times of a scheduler's batches, and logs those of late ones.
///
/// Thread safety: none; use it from one thread.
class ReducerLoad {
 public:
  void Record(const BatchTime& batch);
  /// Logs the batches since the previous call that did so, once a second at
  /// most, if one of them was late.
  void Report(Context& ctx, const PlanningUse& use);

 private:
  Duration longest_wait_;
  Duration longest_batch_;
  std::int64_t batches_ = 0;
  std::int64_t events_ = 0;
  /// The use at the previous report.
  PlanningUse reported_use_;
  TimePoint next_report_at_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_REDUCER_LOAD_H_
