/// @file
/// Statistics of run times. They use logarithms because callers' estimates are
/// off by factors.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace limeledge::dispatch {

namespace {

// Minimum weight of a new sample: about the last 40 runs count.
constexpr double kMinWeight = 0.025;
// Minimum number of runs before an estimate is used.
constexpr int kMinRuns = 4;
// Weight of the initial variance, in runs.
constexpr int kPriorWeight = 3;
// Keeps a few similar runs from being taken for certainty.
constexpr double kMinVariance = 0.01;

// Standard deviations that cover nearly all runs.
constexpr double kBoundDeviations = 2;

double LogOf(Duration duration) {
  return std::log(
      static_cast<double>(std::max<std::int64_t>(1, duration.ms())));
}

}  // namespace

void RunTimeEstimator::LogStatistics::Add(double value) {
  ++count;
  // The mean starts at the first sample.
  if (count == 1) mean = value;
  const double off = value - mean;
  mean += std::max(1.0 / count, kMinWeight) * off;
  const double weight = std::max(1.0 / (count + kPriorWeight), kMinWeight);
  variance += weight * (off * off - variance);
}

double RunTimeEstimator::LogStatistics::Precision() const {
  return 1 / std::max(variance, kMinVariance);
}

void RunTimeEstimator::AddSample(const QueueId& queue, Duration estimate,
                                 Duration actual) {
  QueueStatistics& statistics = queues_[queue];
  statistics.actual.Add(LogOf(actual));
  statistics.error.Add(LogOf(actual) - LogOf(estimate));
}

const RunTimeEstimator::QueueStatistics* RunTimeEstimator::FindStatistics(
    const QueueId& queue) const {
  const auto found = queues_.find(queue);
  const bool enough =
      found != queues_.end() && found->second.actual.count >= kMinRuns;
  return enough ? &found->second : nullptr;
}

Duration RunTimeEstimator::ExpectedTime(const QueueId& queue,
                                        Duration estimate) const {
  const QueueStatistics* statistics = FindStatistics(queue);
  if (statistics == nullptr) return estimate;
  const double queue_weight = statistics->actual.Precision();
  const double estimate_weight = statistics->error.Precision();
  const double corrected_estimate = LogOf(estimate) + statistics->error.mean;
  const double expected = (queue_weight * statistics->actual.mean +
                           estimate_weight * corrected_estimate) /
                          (queue_weight + estimate_weight);
  return Duration(std::llround(std::exp(expected)));
}

std::optional<RunTimeEstimator::EstimateError> RunTimeEstimator::ErrorOf(
    const QueueId& queue) const {
  const QueueStatistics* statistics = FindStatistics(queue);
  if (statistics == nullptr) return std::nullopt;
  return EstimateError{statistics->error.mean,
                       1 / std::sqrt(statistics->error.Precision())};
}

std::optional<double> RunTimeEstimator::UpperBoundFactor(
    const QueueId& queue) const {
  const QueueStatistics* statistics = FindStatistics(queue);
  if (statistics == nullptr) return std::nullopt;
  const double precision =
      statistics->actual.Precision() + statistics->error.Precision();
  return std::exp(kBoundDeviations / std::sqrt(precision));
}

}  // namespace limeledge::dispatch
