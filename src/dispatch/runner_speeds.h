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
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/catalog.h"
#include "dispatch/incarnation.h"
#include "dispatch/job_spec.h"
#include "dispatch/pace_distribution.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

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

/// Sums of a one-way analysis of variance of log run times: by how much they
/// differ between runners and between the tasks on one runner.
struct VarianceTerms {
  double between = 0;
  double within = 0;
  double between_freedom = 0;
  double within_freedom = 0;
  /// Tasks per runner, weighted by the degrees of freedom between runners.
  double weighted_size = 0;

  VarianceTerms& operator+=(const VarianceTerms& other);
  VarianceTerms& operator-=(const VarianceTerms& other);
  VarianceTerms& operator*=(double factor);
};

/// Limits of the estimates.
struct RunnerSpeedOptions {
  /// Standard deviation of log durations within one step of independent tasks,
  /// apart from the runners.
  double task_deviation = 0.3;
  /// Probability that a measurement says nothing about the runner: the task
  /// itself takes many times as long, or the runner is slow for some seconds.
  double outlier_share = 0.06;
  /// Probability that all runs of a step on one runner say nothing about it,
  /// since the runner is slow for some seconds.
  double passing_share = 0.003;
  /// Standard deviation of log paces in a fleet of which nothing is known.
  double initial_deviation = 0.25;
  /// Number of measured runners that outweigh the initial deviation.
  double initial_weight = 30;
};

/// Estimates the lasting log pace of each incarnation from measured runs.
///
/// The duration of a run is the caller's estimate times a factor of its step,
/// times the pace of its runner. Independent tasks of one step are compared
/// with each other. The members of a gang advance together at the pace of the
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
  /// Drops all knowledge about incarnations that are not in `present`. What
  /// their runs told about other runners is kept.
  void RetainOnly(const std::set<IncarnationId>& present);

  /// The log pace of a runner, as far as it is known.
  const PaceDistribution& PaceOf(const IncarnationId& runner) const;
  SpeedEstimate EstimateOf(const IncarnationId& runner) const;
  bool IsMeasured(const IncarnationId& runner) const {
    return evidence_.count(runner) != 0;
  }
  /// Returns the runners that were measured or restored since the last call.
  std::set<IncarnationId> TakeChanged() { return std::exchange(changed_, {}); }
  /// Number of runners with at least one measurement.
  int measured_runners() const;
  /// Number of steps and gangs whose runs may still be compared or replaced.
  std::size_t open_comparisons() const { return steps_.size() + gangs_.size(); }
  /// A lower bound, by one standard error, on the standard deviation of lasting
  /// log paces among runners; 0 if too little was measured.
  double Spread() const;
  /// An upper bound, by one standard error, on the same; infinite if too little
  /// was measured.
  double MaxSpread() const;
  /// The run time that a run with the caller's `estimate` is expected to take
  /// on an average runner, and the standard deviation of its logarithm.
  struct Prediction {
    double log_ms = 0;
    double deviation = 0;
  };
  Prediction Predict(const QueueId& queue, Duration estimate) const;
  /// Adds what an earlier process stored about a runner that has no
  /// measurement here. Does nothing if it has one, or if a stored value is not
  /// a finite number.
  void Restore(const IncarnationId& runner, const SpeedEstimate& stored);

 private:
  /// Logarithm of the likelihood of a measurement for each log pace.
  using LogLikelihood = std::array<float, kPaceBins>;

  /// What the measurements of one incarnation add up to.
  struct Evidence {
    LogLikelihood log_likelihood{};
    int runs = 0;
    TimePoint measured_at;
    /// Posterior for the present prior; valid if `prior_version` is current.
    PaceDistribution pace{};
    int prior_version = -1;
    /// Sum and number of the runner's mean log durations in settled steps,
    /// relative to those of the other runners.
    double residuals = 0;
    double residual_count = 0;
  };
  /// Products of what two different steps found on one runner. Slowness that
  /// passes between the steps does not contribute.
  struct CrossTerms {
    double sum = 0;
    double squares = 0;
    double pairs = 0;
  };
  /// Logarithm of the factor between callers' estimates and run times on an
  /// average runner.
  struct EstimateError {
    double mean = 0;
    /// Initial value: estimates are off by a factor of about 1.6.
    double variance = 0.25;
    int count = 0;
    void Add(double value, double known_variance);
    /// Variance of the error of the next step, including that of `mean`.
    double PredictiveVariance() const;
  };
  /// The runs of one step of independent tasks on one runner.
  struct RunnerTasks {
    /// By task, the logarithm of the duration over the caller's estimate.
    std::map<int, double> log_ratios;
    /// What the evidence of the runner contains for these runs.
    LogLikelihood applied{};
    bool evaluated = false;
  };
  /// The measured runs of one step of independent tasks.
  struct TaskStep {
    QueueId queue;
    std::map<IncarnationId, RunnerTasks> runners;
    int records = 0;
    /// Records that changed since the step was last evaluated.
    int changed = 0;
    TimePoint changed_at;
    VarianceTerms terms;
    bool error_recorded = false;
  };
  using TaskSteps = std::map<StepName, TaskStep>;
  /// The measurement of a gang.
  struct GangRecord {
    std::vector<IncarnationId> runners;
    /// What the evidence of each runner contains for this gang.
    std::vector<LogLikelihood> applied;
    TimePoint changed_at;
  };

  /// Compares the runs of a step. `last` if no more of them are expected.
  void Evaluate(TaskStep* step, bool last);
  /// What is known about a runner apart from its runs in a step.
  PaceDistribution PaceWithout(const IncarnationId& runner,
                               const LogLikelihood& applied) const;
  /// Median of the step's log durations. Precondition: it has records.
  static double CenterOf(const TaskStep& step);
  /// Replaces what the step contributes to the spread.
  void UpdateVariance(TaskStep* step);
  /// Compares what the step found on its runners with earlier steps.
  void UpdateCrossTerms(const TaskStep& step);
  /// An upper bound, by one standard error, on the variance of lasting log
  /// paces; infinite if too little was measured.
  double LargestLastingVariance() const;
  /// Drops the comparison within a step, and keeps what it told.
  TaskSteps::iterator Settle(TaskSteps::iterator step);
  /// Takes back what the record told about its runners.
  void Revoke(const GangRecord& record);
  void ApplyGang(GangRecord* record, const EstimateError& error,
                 double log_ratio, const std::vector<PaceDistribution>& paces);
  void Apply(const IncarnationId& runner, const LogLikelihood& added,
             const LogLikelihood& removed);
  /// Reduces the weight of older measurements, so that a runner whose lasting
  /// pace changes is not judged by its past for good.
  void Age(const IncarnationId& runner);
  PaceDistribution Posterior(const LogLikelihood& evidence) const;
  void SetPrior(const PaceDistribution& prior);
  void UpdatePrior();
  /// Does what is due once a second.
  void Maintain(TimePoint now);
  void SettleOld(TimePoint now);
  /// The spread, off by this number of standard errors; nothing if too little
  /// was measured.
  std::optional<double> SpreadAt(double errors) const;

  RunnerSpeedOptions options_;
  /// Distribution of an unmeasured runner, and its logarithm.
  PaceDistribution prior_{};
  LogLikelihood log_prior_{};
  int prior_version_ = 0;
  TimePoint maintained_at_;
  mutable std::map<IncarnationId, Evidence> evidence_;
  std::set<IncarnationId> changed_;
  std::map<QueueId, EstimateError> errors_;
  TaskSteps steps_;
  std::map<StepName, GangRecord> gangs_;
  /// Of the steps in `steps_`, and of those that were settled.
  VarianceTerms variance_;
  VarianceTerms settled_variance_;
  CrossTerms cross_terms_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_RUNNER_SPEEDS_H_
