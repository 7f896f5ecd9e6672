/// @file
/// Estimates run times for each queue from observed runs.
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

/// Combines callers' estimates with the observed run times of the queue, each
/// weighted by its past accuracy.
///
/// Thread safety: none; use it from one thread.
class RunTimeEstimator {
 public:
  /// Records that a run with the caller's `estimate` takes `actual` in total on
  /// a runner that is not known to be slow.
  void AddSample(const QueueId& queue, Duration estimate, Duration actual);
  /// The expected time of a run with the caller's `estimate`.
  Duration ExpectedTime(const QueueId& queue, Duration estimate) const;
  /// Factor above the expected time that a run on a sound runner rarely
  /// exceeds; nothing if too few runs of the queue were observed.
  std::optional<double> UpperBoundFactor(const QueueId& queue) const;
  /// How far callers' estimates of a queue are off, as logarithms.
  struct EstimateError {
    double mean = 0;
    double deviation = 0;
  };
  /// Nothing if too few runs of the queue were observed.
  std::optional<EstimateError> ErrorOf(const QueueId& queue) const;

 private:
  /// Exponentially weighted mean and variance of a logarithm.
  struct LogStatistics {
    double mean = 0;
    /// Initial value: callers' estimates are off by a factor of about 1.6.
    double variance = 0.25;
    int count = 0;
    void Add(double value);
    double Precision() const;
  };
  struct QueueStatistics {
    LogStatistics actual;
    LogStatistics error;
  };
  /// Null if too few runs were observed.
  const QueueStatistics* FindStatistics(const QueueId& queue) const;

  std::map<QueueId, QueueStatistics> queues_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_RUN_TIME_ESTIMATOR_H_
