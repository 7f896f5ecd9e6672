/// @file
/// Distributions of the lasting pace of runners, and the chance to end in time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PACE_DISTRIBUTION_H_
#define LIMELEDGE_SRC_DISPATCH_PACE_DISTRIBUTION_H_

#include <array>
#include <cstddef>

namespace limeledge::dispatch {

// A log pace is the natural logarithm of the duration of a run on a runner over
// the duration of the same run on an average runner: 0 on an average runner,
// positive on a slow one.

/// Number of log paces that are told apart, and the difference between two
/// neighbors. The grid is centered on 0 and covers factors from 0.3 to 3.3.
inline constexpr std::size_t kPaceBins = 25;
inline constexpr double kPaceStep = 0.1;
/// The log pace that a bin stands for. Precondition: `bin < kPaceBins`.
/// Thread-safe.
inline constexpr double LogPaceOf(std::size_t bin) {
  constexpr std::size_t kMiddle = kPaceBins / 2;
  return (static_cast<double>(bin) - static_cast<double>(kMiddle)) * kPaceStep;
}

/// Probability of each log pace.
using PaceDistribution = std::array<float, kPaceBins>;

/// For each log pace, the chance that a run ends in time on a runner of that
/// pace.
///
/// Thread safety: immutable.
class OnTimeChance {
 public:
  /// `slack` is the logarithm of the time that is left over the run time that
  /// is expected on an average runner, and `deviation` the standard deviation
  /// of the logarithm of that run time. Precondition: `deviation > 0`.
  OnTimeChance(double slack, double deviation);

  double AtBin(std::size_t bin) const { return chance_[bin]; }
  /// The chance on a runner with this distribution of the log pace.
  double Of(const PaceDistribution& pace) const;

 private:
  std::array<float, kPaceBins> chance_;
};

/// Distribution of the log pace of the slowest of several runners, at which a
/// gang runs.
///
/// Thread safety: none; use it from one thread.
class SlowestPace {
 public:
  SlowestPace() { cumulative_.fill(1); }

  /// Adds a runner.
  void Add(const PaceDistribution& pace);
  /// The distribution. Without any runner, the fastest log pace is certain.
  PaceDistribution Distribution() const;

 private:
  /// Probability that the slowest log pace is at most that of the bin.
  std::array<float, kPaceBins> cumulative_;
};

/// Mean and standard deviation of a log pace. Thread-safe.
double MeanOf(const PaceDistribution& pace);
double DeviationOf(const PaceDistribution& pace);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PACE_DISTRIBUTION_H_
