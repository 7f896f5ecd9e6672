/// @file
/// How long runs really take, learnt for each queue from what was seen.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_RUN_TIME_ESTIMATOR_H_
#define LIMELEDGE_SRC_DISPATCH_RUN_TIME_ESTIMATOR_H_

#include <map>
#include <optional>

#include "dispatch/catalog.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// Weighs callers' guesses against what the queue's runs took: the better one
/// of the two in the past counts for more.
///
/// Thread safety: none; use it from one thread.
class RunTimeEstimator {
 public:
  /// Notes that a run guessed at `estimate` takes `actual` in all, on a sound
  /// runner as far as is known.
  void AddSample(const QueueId& queue, Duration estimate, Duration actual);
  /// The expected time of a run guessed at `estimate`.
  Duration ExpectedTime(const QueueId& queue, Duration estimate) const;
  /// By which factor a sound run may well take longer than expected; nothing
  /// while too little was seen of the queue.
  std::optional<double> UpperBoundFactor(const QueueId& queue) const;

 private:
  /// Mean and variance of a logarithm, newer values counting for more.
  struct LogStatistics {
    double mean = 0;
    /// At first: guesses are off by a factor of 1.6 or so.
    double variance = 0.25;
    int count = 0;
    void Add(double value);
    double Precision() const;
  };
  struct QueueStatistics {
    LogStatistics actual;
    LogStatistics error;
  };
  /// Null while too little was seen.
  const QueueStatistics* FindStatistics(const QueueId& queue) const;

  std::map<QueueId, QueueStatistics> queues_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_RUN_TIME_ESTIMATOR_H_
