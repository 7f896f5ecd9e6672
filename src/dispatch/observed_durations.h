/// @file
/// Run durations that were observed for a step, by runner.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_OBSERVED_DURATIONS_H_
#define LIMELEDGE_SRC_DISPATCH_OBSERVED_DURATIONS_H_

#include <cstdint>
#include <map>

#include "dispatch/incarnation.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// The shortest observed duration of a step's runs on each incarnation of a
/// runner. A run that is slow on every runner is not the fault of one of them.
///
/// Thread safety: none; use it from one thread.
class ObservedDurations {
 public:
  /// Records a duration; the shortest one of each incarnation counts.
  void Record(const IncarnationId& incarnation, Duration duration);
  /// Returns the mean on other runners than `runner`; 0 if there is none.
  Duration MeanElsewhere(const RunnerId& runner) const;

 private:
  /// Durations on the incarnations of one runner.
  struct OfRunner {
    std::map<StartTime, Duration> shortest;
    Duration sum;
  };

  std::map<RunnerId, OfRunner> runners_;
  // Over all incarnations.
  Duration sum_;
  std::int64_t count_ = 0;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_OBSERVED_DURATIONS_H_
