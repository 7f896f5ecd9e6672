/// @file
/// Learning run times in logarithms, since guesses are off by factors.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace limeledge::dispatch {

namespace {

// A new value's least weight: about the last forty runs count.
constexpr double kLeastWeight = 0.025;
// Fewer runs than this say nothing yet.
constexpr int kEnough = 4;
// The variance that is assumed at first counts as so many runs.
constexpr int kPriorRuns = 3;
// Keeps one lucky streak from counting as certainty.
constexpr double kLeastVariance = 0.01;

// Standard deviations within which nearly all runs lie.
constexpr double kLikelyDeviations = 2;

double LogOf(Duration duration) {
  return std::log(
      static_cast<double>(std::max<std::int64_t>(1, duration.ms())));
}

}  // namespace

void RunTimeEstimator::LogMean::Add(double value) {
  ++count;
  // The first value is its own mean.
  if (count == 1) mean = value;
  const double off = value - mean;
  mean += std::max(1.0 / count, kLeastWeight) * off;
  const double weight = std::max(1.0 / (count + kPriorRuns), kLeastWeight);
  variance += weight * (off * off - variance);
}

double RunTimeEstimator::LogMean::Precision() const {
  return 1 / std::max(variance, kLeastVariance);
}

void RunTimeEstimator::AddSample(const QueueId& queue, Duration estimate,
                                 Duration actual) {
  QueueTimes& times = queues_[queue];
  times.actual.Add(LogOf(actual));
  times.error.Add(LogOf(actual) - LogOf(estimate));
}

const RunTimeEstimator::QueueTimes* RunTimeEstimator::Known(
    const QueueId& queue) const {
  const auto found = queues_.find(queue);
  const bool enough =
      found != queues_.end() && found->second.actual.count >= kEnough;
  return enough ? &found->second : nullptr;
}

Duration RunTimeEstimator::Expect(const QueueId& queue,
                                  Duration estimate) const {
  const QueueTimes* known = Known(queue);
  if (known == nullptr) return estimate;
  const double by_queue = known->actual.Precision();
  const double by_guess = known->error.Precision();
  const double guess = LogOf(estimate) + known->error.mean;
  const double expected = (by_queue * known->actual.mean + by_guess * guess) /
                          (by_queue + by_guess);
  return Duration(std::llround(std::exp(expected)));
}

std::optional<double> RunTimeEstimator::UpperBoundFactor(
    const QueueId& queue) const {
  const QueueTimes* known = Known(queue);
  if (known == nullptr) return std::nullopt;
  const double precision = known->actual.Precision() + known->error.Precision();
  return std::exp(kLikelyDeviations / std::sqrt(precision));
}

}  // namespace limeledge::dispatch
