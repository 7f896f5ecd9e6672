/// @file
/// Lasting speeds of runners, estimated from the progress of their runs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_RUNNER_SPEEDS_H_
#define LIMELEDGE_SRC_DISPATCH_RUNNER_SPEEDS_H_

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "dispatch/catalog.h"
#include "dispatch/incarnation.h"
#include "dispatch/job_spec.h"
#include "limeledge/clock.h"

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
  return (static_cast<double>(bin) - static_cast<double>(kPaceBins / 2)) *
         kPaceStep;
}

/// Probability of each log pace.
using PaceDistribution = std::array<float, kPaceBins>;

/// What is known about the lasting pace of one incarnation of a runner.
struct SpeedEstimate {
  /// Mean and standard deviation of the log pace.
  double log_pace = 0;
  double deviation = 0;
  /// Number of runs that were measured; a gang counts as one run.
  int runs = 0;
  /// When a run was measured last.
  TimePoint measured_at;
};

/// Distribution of the log pace of the slowest of several runners, at which a
/// gang runs.
///
/// Thread safety: none; use it from one thread.
class SlowestPace {
 public:
  /// Adds a runner.
  void Add(const PaceDistribution& pace);
  /// Chance that a run of log duration `log_duration` on an average runner,
  /// known up to the standard deviation `deviation`, takes no longer than
  /// `log_limit`. Precondition: at least one runner was added; `deviation > 0`.
  double ChanceWithin(double log_duration, double deviation,
                      double log_limit) const;
  /// Mean of the slowest log pace. Precondition: at least one runner was added.
  double Mean() const;

 private:
  /// Probability that the slowest log pace is at most that of the bin.
  std::array<double, kPaceBins> cumulative_;
  bool empty_ = true;
};

/// Limits of the estimates.
struct RunnerSpeedOptions {
  /// Standard deviation of log durations within one step of independent tasks,
  /// apart from the runners.
  double task_deviation = 0.3;
  /// Probability that a measurement says nothing about the runner: the task
  /// itself takes many times as long, or the runner is slow for some seconds.
  double outlier_share = 0.06;
  /// Standard deviation of log paces in a fleet of which nothing is known.
  double initial_deviation = 0.25;
  /// Number of measured runners that outweigh the initial deviation.
  double initial_weight = 30;
};

/// Estimates the lasting log pace of each incarnation from measured runs.
///
/// The duration of a run is the caller's estimate times a factor of its step,
/// times the pace of its runner. Independent tasks of one step are compared with
/// each other. The members of a gang advance together at the pace of the
/// slowest, so a gang is one measurement of the slowest of its runners: a slow
/// gang shows that one of them is slow, and a gang that is not slow shows that
/// none of them is. Measurements allow for outliers, so that a long task or a
/// passing slowness does not count as a lasting one.
///
/// Thread safety: none; use it from one thread.
class RunnerSpeeds {
 public:
  explicit RunnerSpeeds(RunnerSpeedOptions options = {});

  /// Records that the run of an independent task takes `duration` in total on
  /// `runner`, where the caller estimated `estimate`. A later record for the
  /// same task and runner replaces the earlier one. Precondition: the run
  /// started from the beginning and near its data.
  void RecordTask(TimePoint now, const TaskName& task, const QueueId& queue,
                  const IncarnationId& runner, Duration estimate,
                  Duration duration);
  /// The same for a gang and the runners of all its members, each named once
  /// for each member. A later record for the same runners replaces the earlier
  /// one.
  void RecordGang(TimePoint now, const StepName& step, const QueueId& queue,
                  const std::vector<IncarnationId>& runners, Duration estimate,
                  Duration duration);
  /// Drops the comparison between the runs of a job that is over. What they
  /// told about the runners is kept.
  void Forget(const JobId& job);
  /// Drops all knowledge about incarnations that are not in `present`.
  void RetainOnly(const std::set<IncarnationId>& present);

  /// The log pace of a runner, as far as it is known.
  const PaceDistribution& PaceOf(const IncarnationId& runner) const;
  SpeedEstimate EstimateOf(const IncarnationId& runner) const;
  /// Number of runners with at least one measurement.
  int measured_runners() const;
  /// Standard deviation of lasting log paces among the measured runners, apart
  /// from the uncertainty of each. 0 if too few were measured.
  double Spread() const;
  /// Adds what an earlier process stored about a runner that has no
  /// measurement here. Does nothing if it has one.
  void Restore(const IncarnationId& runner, const SpeedEstimate& stored);
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_RUNNER_SPEEDS_H_
