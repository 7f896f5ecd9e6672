/// @file
/// Compares the expected end of a run here and elsewhere.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/run_move.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace limeledge::dispatch {

namespace {

// A runner is slow by chance in about one of forty cases with this many
// deviations.
constexpr double kSlowDeviations = 2;

double Ms(Duration duration) { return static_cast<double>(duration.ms()); }
Duration FromMs(double ms) { return Duration(std::llround(ms)); }

/// The knowledge with a slowness of at most `pace`.
PaceKnowledge BoundedBy(double pace, PaceKnowledge runner) {
  const double slowness = std::min(runner.slowness(), std::max(pace, 0.0));
  runner.lasting = std::min(runner.lasting, slowness);
  runner.transient = slowness - runner.lasting;
  return runner;
}

/// Expected remaining time on the runner, in milliseconds, if its transient
/// slowness ends as expected.
double RemainingHere(const MoveQuery& query, const PaceKnowledge& runner,
                     const MoveRules& rules) {
  const double remaining = Ms(query.remaining);
  if (runner.transient <= 0) return remaining;
  const double slow = Ms(std::max(runner.slow_for, rules.min_slow_time));
  if (remaining <= slow) return remaining;
  return slow + (remaining - slow) / std::exp(runner.transient);
}

}  // namespace

const char* ToString(MoveVerdict verdict) {
  switch (verdict) {
    case MoveVerdict::kMove:
      return "it ends sooner elsewhere";
    case MoveVerdict::kLongByItself:
      return "no runner of it is known to be slow";
    case MoveVerdict::kNoGain:
      return "it would not surely end sooner elsewhere";
  }
  return "";
}

MoveDecision DecideMove(const MoveQuery& query, const MoveRules& rules) {
  MoveDecision decision;
  PaceKnowledge slowest;
  for (std::size_t i = 0; i < query.runners.size(); ++i) {
    const PaceKnowledge runner = BoundedBy(query.pace, query.runners[i]);
    const bool slow = runner.slowness() > kSlowDeviations * runner.deviation;
    if (!slow || runner.slowness() <= slowest.slowness()) continue;
    slowest = runner;
    decision.slow_runner = static_cast<int>(i);
  }
  if (decision.slow_runner < 0) return decision;
  const double here = RemainingHere(query, slowest, rules);
  const double work = Ms(query.remaining + query.unsaved) *
                      std::exp(query.pace_elsewhere - slowest.slowness());
  const double elsewhere =
      Ms(std::max(rules.stop_time, query.wait) + rules.restart_time) + work;
  const double deviation = std::hypot(
      here * query.remaining_deviation,
      work * std::hypot(slowest.deviation, query.pace_elsewhere_deviation));
  decision.here = FromMs(here);
  decision.elsewhere = FromMs(elsewhere);
  decision.verdict =
      here - elsewhere > deviation ? MoveVerdict::kMove : MoveVerdict::kNoGain;
  return decision;
}

}  // namespace limeledge::dispatch
