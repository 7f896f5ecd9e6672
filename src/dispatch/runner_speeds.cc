/// @file
/// Bayesian estimation of the lasting pace of runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/runner_speeds.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace limeledge::dispatch {

namespace {

// Measurements are compared within this distance of each other, since a task
// that takes many times as long says nothing about its runner.
constexpr double kMaxResidual = 1.2;
// Density of an outlier: uniform over factors from 1/7 to 7.
constexpr double kOutlierDensity = 0.25;
constexpr double kMinEstimateVariance = 0.02;
constexpr double kMaxEstimateVariance = 0.5;
// Weight of the initial variance of estimates, in samples, and the minimum
// weight of a new sample: about the last 40 count.
constexpr int kInitialSamples = 3;
constexpr double kMinSampleWeight = 0.025;
// Part of its records that must have changed before a step is evaluated again.
constexpr int kReevaluationDivisor = 4;
// A step with fewer records says little about the differences between runners.
constexpr std::size_t kMinVarianceRecords = 4;
// Degrees of freedom before the spread is estimated.
constexpr double kMinFreedom = 12;
constexpr Duration kPriorInterval{1000};
// Keeps products of probabilities away from zero.
constexpr float kMinProbability = 1e-6F;
constexpr double kSqrtTwo = 1.4142135623730951;

double LogOf(Duration duration) {
  return std::log(
      static_cast<double>(std::max<std::int64_t>(1, duration.ms())));
}

double NormalCumulative(double x) { return std::erfc(-x / kSqrtTwo) / 2; }

double NormalDensity(double x, double variance) {
  constexpr double kTwoPi = 6.283185307179586;
  return std::exp(-x * x / (2 * variance)) / std::sqrt(kTwoPi * variance);
}

void Normalize(PaceDistribution* pace) {
  float sum = 0;
  for (const float value : *pace) sum += value;
  for (float& value : *pace) value /= sum;
}

double MedianOf(std::vector<double> values) {
  const auto middle = values.begin() + values.size() / 2;
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

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

VarianceTerms& VarianceTerms::operator+=(const VarianceTerms& other) {
  between += other.between;
  within += other.within;
  between_freedom += other.between_freedom;
  within_freedom += other.within_freedom;
  weighted_size += other.weighted_size;
  return *this;
}

VarianceTerms& VarianceTerms::operator-=(const VarianceTerms& other) {
  between -= other.between;
  within -= other.within;
  between_freedom -= other.between_freedom;
  within_freedom -= other.within_freedom;
  weighted_size -= other.weighted_size;
  return *this;
}

void RunnerSpeeds::EstimateError::Add(double value, double known_variance) {
  ++count;
  const double weight =
      std::max(1.0 / (count + kInitialSamples), kMinSampleWeight);
  const double off = value - mean;
  mean += std::max(1.0 / (count + 1), kMinSampleWeight) * off;
  variance += weight * (off * off - known_variance - variance);
  variance = std::clamp(variance, kMinEstimateVariance, kMaxEstimateVariance);
}

RunnerSpeeds::RunnerSpeeds(RunnerSpeedOptions options) : options_(options) {
  const double variance =
      options_.initial_deviation * options_.initial_deviation;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    prior_[bin] = static_cast<float>(NormalDensity(LogPaceOf(bin), variance));
  }
  Normalize(&prior_);
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    log_prior_[bin] = std::log(prior_[bin]);
  }
}

PaceDistribution RunnerSpeeds::Posterior(const LogLikelihood& evidence) const {
  LogLikelihood sum;
  float largest = -std::numeric_limits<float>::infinity();
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    sum[bin] = log_prior_[bin] + evidence[bin];
    largest = std::max(largest, sum[bin]);
  }
  PaceDistribution pace;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    pace[bin] = std::max(std::exp(sum[bin] - largest), kMinProbability);
  }
  Normalize(&pace);
  return pace;
}

RunnerSpeeds::LogLikelihood RunnerSpeeds::LikelihoodOf(double residual,
                                                       double variance) const {
  LogLikelihood log_likelihood;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    const double density = NormalDensity(residual - LogPaceOf(bin), variance);
    log_likelihood[bin] =
        static_cast<float>(std::log((1 - options_.outlier_share) * density +
                                    options_.outlier_share * kOutlierDensity));
  }
  return log_likelihood;
}

void RunnerSpeeds::Apply(const IncarnationId& runner,
                         const LogLikelihood& added,
                         const LogLikelihood& removed) {
  Evidence& evidence = evidence_[runner];
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    evidence.log_likelihood[bin] += added[bin] - removed[bin];
  }
  evidence.prior_version = -1;
  changed_.insert(runner);
}

void RunnerSpeeds::RecordTask(TimePoint now, const TaskName& task,
                              const QueueId& queue, const IncarnationId& runner,
                              Duration estimate, Duration duration) {
  UpdatePrior(now);
  TaskStep& step = steps_[{task.job, task.occurrence, task.step}];
  step.queue = queue;
  const auto [it, added] =
      step.records.emplace(std::make_pair(task.index, runner), TaskRecord());
  it->second.runner = runner;
  it->second.log_ratio = LogOf(duration) - LogOf(estimate);
  Evidence& evidence = evidence_[runner];
  evidence.measured_at = now;
  if (added) ++evidence.runs;
  ++step.changed;
  const auto due = static_cast<int>(step.records.size()) / kReevaluationDivisor;
  if (step.changed >= std::max(1, due)) Evaluate(&step);
}

void RunnerSpeeds::Evaluate(TaskStep* step) {
  step->changed = 0;
  // What is known about each runner apart from its run in this step.
  std::vector<double> residuals;
  std::vector<double> precisions;
  const double task_variance =
      options_.task_deviation * options_.task_deviation;
  for (const auto& [key, record] : step->records) {
    LogLikelihood others = evidence_[record.runner].log_likelihood;
    for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
      others[bin] -= record.applied[bin];
    }
    const PaceDistribution pace = Posterior(others);
    const double deviation = DeviationOf(pace);
    residuals.push_back(record.log_ratio - MeanOf(pace));
    precisions.push_back(1 / (task_variance + deviation * deviation));
  }
  const double middle = MedianOf(residuals);
  const EstimateError& error = errors_[step->queue];
  double precision = 1 / error.variance;
  double weighted = error.mean * precision;
  for (std::size_t i = 0; i < residuals.size(); ++i) {
    // Limits the influence of outliers on the mean.
    residuals[i] = middle + std::clamp(residuals[i] - middle, -kMaxResidual / 2,
                                       kMaxResidual / 2);
    precision += precisions[i];
    weighted += residuals[i] * precisions[i];
  }
  std::size_t i = 0;
  for (auto& [key, record] : step->records) {
    const double others = precision - precisions[i];
    const double mean = (weighted - residuals[i] * precisions[i]) / others;
    const LogLikelihood added =
        LikelihoodOf(record.log_ratio - mean, task_variance + 1 / others);
    Apply(record.runner, added, record.applied);
    record.applied = added;
    ++i;
  }
  if (!step->error_recorded && step->records.size() >= kMinVarianceRecords) {
    step->error_recorded = true;
    errors_[step->queue].Add(weighted / precision, 1 / precision);
  }
  variance_ -= step->terms;
  step->terms = VarianceTerms();
  if (step->records.size() < kMinVarianceRecords) return;
  struct Group {
    double sum = 0;
    double squares = 0;
    int count = 0;
  };
  std::map<IncarnationId, Group> groups;
  std::vector<double> ratios;
  for (const auto& [key, record] : step->records) {
    ratios.push_back(record.log_ratio);
  }
  const double center = MedianOf(ratios);
  Group all;
  for (const auto& [key, record] : step->records) {
    const double value =
        std::clamp(record.log_ratio - center, -kMaxResidual, kMaxResidual);
    for (Group* group : {&groups[record.runner], &all}) {
      group->sum += value;
      group->squares += value * value;
      ++group->count;
    }
  }
  if (groups.size() < 2) return;
  double size_squares = 0;
  double explained = 0;
  for (const auto& [runner, group] : groups) {
    explained += group.sum * group.sum / group.count;
    size_squares += static_cast<double>(group.count) * group.count;
  }
  VarianceTerms& terms = step->terms;
  terms.between = explained - all.sum * all.sum / all.count;
  terms.within = all.squares - explained;
  terms.between_freedom = static_cast<double>(groups.size()) - 1;
  terms.within_freedom = all.count - static_cast<double>(groups.size());
  // The size of unequal groups that gives the same expected variance.
  terms.weighted_size = all.count - size_squares / all.count;
  variance_ += terms;
}

double RunnerSpeeds::Spread() const { return SpreadAt(-1).value_or(0); }

double RunnerSpeeds::MaxSpread() const {
  return SpreadAt(1).value_or(std::numeric_limits<double>::infinity());
}

std::optional<double> RunnerSpeeds::SpreadAt(double errors) const {
  const VarianceTerms& sum = variance_;
  if (sum.between_freedom < kMinFreedom || sum.within_freedom < kMinFreedom) {
    return std::nullopt;
  }
  const double between = sum.between / sum.between_freedom;
  const double within = sum.within / sum.within_freedom;
  const double size = sum.weighted_size / sum.between_freedom;
  const double relative_error = std::sqrt(2 / sum.between_freedom);
  const double variance =
      (between * (1 + errors * relative_error) - within) / size;
  return variance <= 0 ? 0 : std::sqrt(variance);
}

void RunnerSpeeds::RecordGang(TimePoint now, const StepName& step,
                              const QueueId& queue,
                              const std::vector<IncarnationId>& runners,
                              Duration estimate, Duration duration) {
  UpdatePrior(now);
  std::vector<IncarnationId> members = runners;
  std::sort(members.begin(), members.end());
  members.erase(std::unique(members.begin(), members.end()), members.end());
  GangRecord& record = gangs_[step];
  const bool repeated = record.runners == members;
  if (repeated) {
    const LogLikelihood none{};
    for (std::size_t i = 0; i < members.size(); ++i) {
      Apply(members[i], none, record.applied[i]);
    }
  }
  record.runners = members;
  record.log_ratio = LogOf(duration) - LogOf(estimate);
  record.applied.assign(members.size(), LogLikelihood());
  std::vector<PaceDistribution> paces;
  SlowestPace slowest;
  for (const IncarnationId& member : members) {
    paces.push_back(PaceOf(member));
    slowest.Add(paces.back());
  }
  const PaceDistribution all = slowest.Distribution();
  EstimateError& error = errors_[queue];
  std::array<double, kPaceBins> density;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    density[bin] =
        (1 - options_.outlier_share) *
            NormalDensity(record.log_ratio - error.mean - LogPaceOf(bin),
                          error.variance) +
        options_.outlier_share * kOutlierDensity;
  }
  for (std::size_t i = 0; i < members.size(); ++i) {
    SlowestPace others;
    for (std::size_t k = 0; k < members.size(); ++k) {
      if (k != i) others.Add(paces[k]);
    }
    const PaceDistribution other = others.Distribution();
    double slower = 0;
    double at_most = 1;
    LogLikelihood& applied = record.applied[i];
    for (std::size_t bin = kPaceBins; bin-- > 0;) {
      const double likelihood = at_most * density[bin] + slower;
      applied[bin] = static_cast<float>(std::log(likelihood));
      slower += other[bin] * density[bin];
      at_most -= other[bin];
    }
    Apply(members[i], applied, LogLikelihood());
    Evidence& evidence = evidence_[members[i]];
    evidence.measured_at = now;
    if (!repeated) ++evidence.runs;
  }
  if (repeated) return;
  const double deviation = DeviationOf(all);
  error.Add(record.log_ratio - MeanOf(all), deviation * deviation);
}

void RunnerSpeeds::Forget(const JobId& job) {
  const StepName first{job, 0, 0};
  for (auto it = steps_.lower_bound(first);
       it != steps_.end() && it->first.job == job;) {
    if (it->second.changed > 0) Evaluate(&it->second);
    it = steps_.erase(it);
  }
  auto gang = gangs_.lower_bound(first);
  while (gang != gangs_.end() && gang->first.job == job) {
    gang = gangs_.erase(gang);
  }
}

void RunnerSpeeds::RetainOnly(const std::set<IncarnationId>& present) {
  for (auto it = evidence_.begin(); it != evidence_.end();) {
    it = present.count(it->first) != 0 ? std::next(it) : evidence_.erase(it);
  }
}

const PaceDistribution& RunnerSpeeds::PaceOf(
    const IncarnationId& runner) const {
  const auto found = evidence_.find(runner);
  if (found == evidence_.end()) return prior_;
  Evidence& evidence = found->second;
  if (evidence.prior_version != prior_version_) {
    evidence.pace = Posterior(evidence.log_likelihood);
    evidence.prior_version = prior_version_;
  }
  return evidence.pace;
}

SpeedEstimate RunnerSpeeds::EstimateOf(const IncarnationId& runner) const {
  const PaceDistribution& pace = PaceOf(runner);
  SpeedEstimate estimate;
  estimate.log_pace = MeanOf(pace);
  estimate.deviation = DeviationOf(pace);
  const auto found = evidence_.find(runner);
  if (found == evidence_.end()) return estimate;
  estimate.runs = found->second.runs;
  estimate.measured_at = found->second.measured_at;
  return estimate;
}

int RunnerSpeeds::measured_runners() const {
  return static_cast<int>(evidence_.size());
}

RunnerSpeeds::Prediction RunnerSpeeds::Predict(const QueueId& queue,
                                               Duration estimate) const {
  const auto found = errors_.find(queue);
  const EstimateError error =
      found == errors_.end() ? EstimateError() : found->second;
  return {LogOf(estimate) + error.mean, std::sqrt(error.variance)};
}

void RunnerSpeeds::Restore(const IncarnationId& runner,
                           const SpeedEstimate& stored) {
  if (evidence_.count(runner) != 0) return;
  changed_.insert(runner);
  Evidence& evidence = evidence_[runner];
  const double variance = stored.deviation * stored.deviation;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    // The stored estimate contains the prior, which is applied again.
    evidence.log_likelihood[bin] =
        static_cast<float>(
            std::log(NormalDensity(LogPaceOf(bin) - stored.log_pace, variance) +
                     kMinProbability)) -
        log_prior_[bin];
  }
  evidence.runs = stored.runs;
  evidence.measured_at = stored.measured_at;
}

void RunnerSpeeds::UpdatePrior(TimePoint now) {
  if (now - prior_updated_at_ < kPriorInterval) return;
  prior_updated_at_ = now;
  PaceDistribution mean{};
  const double variance =
      options_.initial_deviation * options_.initial_deviation;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    mean[bin] = static_cast<float>(options_.initial_weight * kPaceStep *
                                   NormalDensity(LogPaceOf(bin), variance));
  }
  for (const auto& [runner, evidence] : evidence_) {
    const PaceDistribution& pace = PaceOf(runner);
    for (std::size_t bin = 0; bin < kPaceBins; ++bin) mean[bin] += pace[bin];
  }
  Normalize(&mean);
  prior_ = mean;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    log_prior_[bin] = std::log(std::max(prior_[bin], kMinProbability));
  }
  ++prior_version_;
}

}  // namespace limeledge::dispatch
