/// @file
/// Distributions of the lasting pace of runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/pace_distribution.h"

#include <cmath>

namespace limeledge::dispatch {

namespace {

constexpr double kSqrtTwo = 1.4142135623730951;

double NormalCumulative(double x) { return std::erfc(-x / kSqrtTwo) / 2; }

}  // namespace

OnTimeChance::OnTimeChance(double slack, double deviation) {
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    chance_[bin] = static_cast<float>(
        NormalCumulative((slack - LogPaceOf(bin)) / deviation));
  }
}

double OnTimeChance::Of(const PaceDistribution& pace) const {
  float sum = 0;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    sum += pace[bin] * chance_[bin];
  }
  return sum;
}

void SlowestPace::Add(const PaceDistribution& pace) {
  float sum = 0;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    sum += pace[bin];
    cumulative_[bin] *= sum;
  }
}

PaceDistribution SlowestPace::Distribution() const {
  PaceDistribution pace;
  float below = 0;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    pace[bin] = cumulative_[bin] - below;
    below = cumulative_[bin];
  }
  return pace;
}

double MeanOf(const PaceDistribution& pace) {
  double mean = 0;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    mean += pace[bin] * LogPaceOf(bin);
  }
  return mean;
}

double DeviationOf(const PaceDistribution& pace) {
  const double mean = MeanOf(pace);
  double variance = 0;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    const double off = LogPaceOf(bin) - mean;
    variance += pace[bin] * off * off;
  }
  return std::sqrt(variance);
}

}  // namespace limeledge::dispatch
