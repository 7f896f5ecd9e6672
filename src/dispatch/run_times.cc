/// @file
/// Learning run times in logarithms, since guesses are off by factors.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/run_times.h"

#include <algorithm>
#include <cmath>

namespace limeledge::dispatch {

namespace {

// A new value's least weight: about the last forty runs count.
constexpr double kLeastWeight = 0.025;
// Fewer runs than this say nothing yet.
constexpr int kEnough = 4;
// Keeps one lucky streak from counting as certainty.
constexpr double kLeastVariance = 0.01;

double LogOf(Duration duration) {
  return std::log(
      static_cast<double>(std::max<std::int64_t>(1, duration.ms())));
}

}  // namespace

void RunTimes::LogMean::Add(double value) {
  ++count;
  const double weight = std::max(1.0 / count, kLeastWeight);
  const double off = value - mean;
  mean += weight * off;
  variance = (1 - weight) * (variance + weight * off * off);
}

void RunTimes::Learn(const QueueId& queue, Duration estimate, Duration actual) {
  QueueTimes& times = queues_[queue];
  times.actual.Add(LogOf(actual));
  times.error.Add(LogOf(actual) - LogOf(estimate));
}

Duration RunTimes::Expect(const QueueId& queue, Duration estimate) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.actual.count < kEnough) {
    return estimate;
  }
  const LogMean& actual = found->second.actual;
  const LogMean& error = found->second.error;
  const double by_queue = 1 / std::max(actual.variance, kLeastVariance);
  const double by_guess = 1 / std::max(error.variance, kLeastVariance);
  const double guess = LogOf(estimate) + error.mean;
  const double expected =
      (by_queue * actual.mean + by_guess * guess) / (by_queue + by_guess);
  return Duration(std::llround(std::exp(expected)));
}

}  // namespace limeledge::dispatch
