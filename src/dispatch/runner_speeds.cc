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
constexpr int kMinVarianceRecords = 4;
// Degrees of freedom before the spread is estimated.
constexpr double kMinFreedom = 12;
constexpr Duration kMaintenanceInterval{1000};
// Steps without a record for this long are no longer compared. Jobs that recur
// for days would otherwise accumulate them; few tasks run for so long.
constexpr Duration kMaxComparisonAge{600000};
// Older steps lose weight in the spread beyond this many degrees of freedom, so
// that it follows a fleet whose runners are replaced.
constexpr double kMaxSettledFreedom = 1000;
// Pairs of steps on one runner before they bound the spread, and the number
// beyond which older ones lose weight.
constexpr double kMinPairs = 30;
constexpr double kMaxPairs = 2000;
// Part of the evidence about a runner that remains at each further step or gang
// measured on it: about the last 25 count.
constexpr float kEvidenceKept = 1 - 1.0F / 25;
// Factors between estimates and run times that a step may have, on the same
// grid as log paces: from 1/12 to 12 around that of its queue.
constexpr std::size_t kFactorBins = 51;
constexpr std::size_t kRatioBins = kFactorBins + kPaceBins - 1;
// Beyond this many deviations a normal density does not matter next to that of
// outliers.
constexpr double kMaxDeviations = 4.5;
// Deviations beyond which a sample counts as less extreme than it is.
constexpr double kMaxSampleDeviations = 2.5;
// The store may hold rounded deviations. A grid step is the resolution of the
// estimate.
constexpr double kMinStoredDeviation = kPaceStep / 2;
// Keeps products of probabilities away from zero.
constexpr float kMinProbability = 1e-6F;
// Keeps logarithms finite, whatever the number of runs.
constexpr double kMinLikelihood = 1e-30;

double LogOf(Duration duration) {
  return std::log(
      static_cast<double>(std::max<std::int64_t>(1, duration.ms())));
}

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
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// Likelihood of each factor between estimate and run time of a step, on a grid
/// around that of its queue.
using FactorLikelihood = std::array<double, kFactorBins>;
/// The same for each product of such a factor and a pace.
using RatioLikelihood = std::array<double, kRatioBins>;

/// Logarithm of the factor of a bin, relative to the center of the grid.
double LogFactorOf(std::size_t bin) {
  constexpr std::size_t kMiddle = kFactorBins / 2;
  return (static_cast<double>(bin) - static_cast<double>(kMiddle)) * kPaceStep;
}

/// Scales the likelihood so that its largest value is 1. Observations that
/// contradict each other beyond the range of numbers say nothing.
template <std::size_t size>
void ScaleToLargest(std::array<double, size>* likelihood) {
  const double largest =
      *std::max_element(likelihood->begin(), likelihood->end());
  if (largest <= 0) {
    likelihood->fill(1);
    return;
  }
  for (double& value : *likelihood) value /= largest;
}

/// For each element, the product of all others, scaled so that its largest
/// value is 1.
template <std::size_t size>
std::vector<std::array<double, size>> ProductsOfOthers(
    const std::vector<std::array<double, size>>& elements) {
  std::array<double, size> product;
  product.fill(1);
  std::vector<std::array<double, size>> products;
  const auto multiply = [&product](const std::array<double, size>& element) {
    for (std::size_t bin = 0; bin < size; ++bin) product[bin] *= element[bin];
    ScaleToLargest(&product);
  };
  for (const auto& element : elements) {
    products.push_back(product);
    multiply(element);
  }
  product.fill(1);
  for (std::size_t i = elements.size(); i-- > 0;) {
    for (std::size_t bin = 0; bin < size; ++bin) {
      products[i][bin] *= product[bin];
    }
    ScaleToLargest(&products[i]);
    multiply(elements[i]);
  }
  return products;
}

/// Mixes the likelihood with that of runs that say nothing, since the runner is
/// slow for some seconds.
template <std::size_t size>
void AllowForPassingSlowness(double share,
                             std::array<double, size>* likelihood) {
  double sum = 0;
  for (const double value : *likelihood) sum += value;
  const double uninformative = share * sum / static_cast<double>(size);
  for (double& value : *likelihood) {
    value = (1 - share) * value + uninformative + kMinLikelihood;
  }
}

/// The likelihood of the runs of one step on one runner, whose log ratios of
/// duration and estimate are given. `center` is that of the factors.
RatioLikelihood LikelihoodOfRuns(const std::map<int, double>& log_ratios,
                                 double center,
                                 const RunnerSpeedOptions& options) {
  const double variance = options.task_deviation * options.task_deviation;
  const double furthest = kMaxDeviations * options.task_deviation;
  const double first = center + LogFactorOf(0) + LogPaceOf(0);
  RatioLikelihood likelihood;
  likelihood.fill(1);
  for (const auto& [task, log_ratio] : log_ratios) {
    for (std::size_t bin = 0; bin < kRatioBins; ++bin) {
      const double off =
          log_ratio - first - static_cast<double>(bin) * kPaceStep;
      const double density =
          std::abs(off) < furthest ? NormalDensity(off, variance) : 0;
      likelihood[bin] *= (1 - options.outlier_share) * density +
                         options.outlier_share * kOutlierDensity;
    }
    ScaleToLargest(&likelihood);
  }
  return likelihood;
}

/// The likelihood of the factor, given the runs on a runner of this pace.
FactorLikelihood LikelihoodOfFactor(const RatioLikelihood& runs,
                                    const PaceDistribution& pace,
                                    double passing_share) {
  FactorLikelihood likelihood{};
  for (std::size_t factor = 0; factor < kFactorBins; ++factor) {
    for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
      likelihood[factor] += pace[bin] * runs[factor + bin];
    }
  }
  AllowForPassingSlowness(passing_share, &likelihood);
  ScaleToLargest(&likelihood);
  return likelihood;
}

/// The logarithm of the likelihood of the pace, given the runs on the runner
/// and the distribution of the factor.
std::array<float, kPaceBins> LikelihoodOfPace(const RatioLikelihood& runs,
                                              const FactorLikelihood& factors,
                                              double passing_share) {
  std::array<double, kPaceBins> likelihood{};
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    for (std::size_t factor = 0; factor < kFactorBins; ++factor) {
      likelihood[bin] += factors[factor] * runs[factor + bin];
    }
  }
  AllowForPassingSlowness(passing_share, &likelihood);
  ScaleToLargest(&likelihood);
  std::array<float, kPaceBins> logarithm;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    logarithm[bin] = static_cast<float>(std::log(likelihood[bin]));
  }
  return logarithm;
}

/// Distribution of the factor in the queue of the step, before its runs.
FactorLikelihood PriorOfFactor(double variance) {
  FactorLikelihood prior;
  for (std::size_t factor = 0; factor < kFactorBins; ++factor) {
    prior[factor] =
        NormalDensity(LogFactorOf(factor), variance) + kMinProbability;
  }
  return prior;
}

/// Mean and variance of the factor's logarithm relative to the center.
std::pair<double, double> MomentsOf(const FactorLikelihood& likelihood) {
  double sum = 0;
  double mean = 0;
  double square = 0;
  for (std::size_t factor = 0; factor < kFactorBins; ++factor) {
    sum += likelihood[factor];
    mean += likelihood[factor] * LogFactorOf(factor);
    square += likelihood[factor] * LogFactorOf(factor) * LogFactorOf(factor);
  }
  mean /= sum;
  return {mean, square / sum - mean * mean};
}

/// Probability that the log pace is at most that of each bin.
std::array<double, kPaceBins> CumulativeOf(const PaceDistribution& pace) {
  std::array<double, kPaceBins> cumulative;
  double sum = 0;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    sum += pace[bin];
    cumulative[bin] = sum;
  }
  return cumulative;
}

/// Moves the distribution along the grid by a distance of log paces. What
/// leaves the grid stays at its end.
PaceDistribution Shifted(const PaceDistribution& pace, double distance) {
  PaceDistribution shifted{};
  constexpr double kLast = kPaceBins - 1;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    const double place =
        std::clamp(static_cast<double>(bin) + distance / kPaceStep, 0.0, kLast);
    const auto low = static_cast<std::size_t>(place);
    const auto part = static_cast<float>(place - static_cast<double>(low));
    shifted[low] += pace[bin] * (1 - part);
    if (part > 0) shifted[low + 1] += pace[bin] * part;
  }
  return shifted;
}

/// Sums of values of the logarithm of run times.
struct ValueSums {
  double sum = 0;
  double squares = 0;
  int count = 0;

  void Add(double value) {
    sum += value;
    squares += value * value;
    ++count;
  }
};

}  // namespace

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

VarianceTerms& VarianceTerms::operator*=(double factor) {
  between *= factor;
  within *= factor;
  between_freedom *= factor;
  within_freedom *= factor;
  weighted_size *= factor;
  return *this;
}

double RunnerSpeeds::EstimateError::PredictiveVariance() const {
  return variance * (1 + 1.0 / (count + 1));
}

void RunnerSpeeds::EstimateError::Add(double value, double known_variance) {
  // A single run that takes many times as long must not widen the errors of a
  // queue whose estimates are good.
  const double limit =
      kMaxSampleDeviations * std::sqrt(PredictiveVariance() + known_variance);
  ++count;
  const double weight =
      std::max(1.0 / (count + kInitialSamples), kMinSampleWeight);
  const double off = std::clamp(value - mean, -limit, limit);
  mean += std::max(1.0 / (count + 1), kMinSampleWeight) * off;
  variance += weight * (off * off - known_variance - variance);
  variance = std::clamp(variance, kMinEstimateVariance, kMaxEstimateVariance);
}

RunnerSpeeds::RunnerSpeeds(RunnerSpeedOptions options) : options_(options) {
  PaceDistribution prior;
  const double variance =
      options_.initial_deviation * options_.initial_deviation;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    prior[bin] = static_cast<float>(NormalDensity(LogPaceOf(bin), variance));
  }
  Normalize(&prior);
  SetPrior(prior);
}

void RunnerSpeeds::SetPrior(const PaceDistribution& prior) {
  prior_ = prior;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    log_prior_[bin] = std::log(std::max(prior_[bin], kMinProbability));
  }
  ++prior_version_;
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

void RunnerSpeeds::Age(const IncarnationId& runner) {
  Evidence& evidence = evidence_[runner];
  for (float& value : evidence.log_likelihood) value *= kEvidenceKept;
  evidence.prior_version = -1;
}

void RunnerSpeeds::RecordTask(TimePoint now, const TaskName& task,
                              const QueueId& queue, const IncarnationId& runner,
                              Duration estimate, Duration duration) {
  Maintain(now);
  TaskStep& step = steps_[{task.job, task.occurrence, task.step}];
  step.queue = queue;
  step.changed_at = now;
  RunnerTasks& tasks = step.runners[runner];
  const double log_ratio = LogOf(duration) - LogOf(estimate);
  const bool added =
      tasks.log_ratios.insert_or_assign(task.index, log_ratio).second;
  Evidence& evidence = evidence_[runner];
  evidence.measured_at = now;
  if (added) ++evidence.runs;
  if (added) ++step.records;
  ++step.changed;
  const int due = step.records / kReevaluationDivisor;
  if (step.changed >= std::max(1, due)) Evaluate(&step, false);
}

PaceDistribution RunnerSpeeds::PaceWithout(const IncarnationId& runner,
                                           const LogLikelihood& applied) const {
  const auto found = evidence_.find(runner);
  if (found == evidence_.end()) return prior_;
  LogLikelihood others = found->second.log_likelihood;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) others[bin] -= applied[bin];
  return Posterior(others);
}

void RunnerSpeeds::Evaluate(TaskStep* step, bool last) {
  step->changed = 0;
  // The factor of the step is common to all its runs, so the runs on one runner
  // are compared only with those on the others.
  EstimateError& error = errors_[step->queue];
  std::vector<RatioLikelihood> runs;
  std::vector<FactorLikelihood> factors;
  for (const auto& [runner, tasks] : step->runners) {
    runs.push_back(LikelihoodOfRuns(tasks.log_ratios, error.mean, options_));
    factors.push_back(LikelihoodOfFactor(runs.back(),
                                         PaceWithout(runner, tasks.applied),
                                         options_.passing_share));
  }
  factors.push_back(PriorOfFactor(error.PredictiveVariance()));
  const std::vector<FactorLikelihood> others = ProductsOfOthers(factors);
  std::size_t i = 0;
  for (auto& [runner, tasks] : step->runners) {
    const LogLikelihood added =
        LikelihoodOfPace(runs[i], others[i], options_.passing_share);
    if (!tasks.evaluated) Age(runner);
    tasks.evaluated = true;
    Apply(runner, added, tasks.applied);
    tasks.applied = added;
    ++i;
  }
  UpdateVariance(step);
  if (step->error_recorded) return;
  if (!last && step->records < kMinVarianceRecords) return;
  step->error_recorded = true;
  const auto [mean, variance] = MomentsOf(others.back());
  error.Add(error.mean + mean, variance);
}

double RunnerSpeeds::CenterOf(const TaskStep& step) {
  std::vector<double> ratios;
  for (const auto& [runner, tasks] : step.runners) {
    for (const auto& [task, ratio] : tasks.log_ratios) ratios.push_back(ratio);
  }
  return MedianOf(ratios);
}

void RunnerSpeeds::UpdateVariance(TaskStep* step) {
  variance_ -= step->terms;
  step->terms = VarianceTerms();
  if (step->records < kMinVarianceRecords || step->runners.size() < 2) return;
  const double center = CenterOf(*step);
  ValueSums all;
  double size_squares = 0;
  double explained = 0;
  for (const auto& [runner, tasks] : step->runners) {
    ValueSums group;
    for (const auto& [task, ratio] : tasks.log_ratios) {
      group.Add(std::clamp(ratio - center, -kMaxResidual, kMaxResidual));
    }
    explained += group.sum * group.sum / group.count;
    size_squares += static_cast<double>(group.count) * group.count;
    all.sum += group.sum;
    all.squares += group.squares;
    all.count += group.count;
  }
  const auto groups = static_cast<double>(step->runners.size());
  VarianceTerms& terms = step->terms;
  terms.between = explained - all.sum * all.sum / all.count;
  terms.within = all.squares - explained;
  terms.between_freedom = groups - 1;
  terms.within_freedom = all.count - groups;
  // The size of unequal groups that gives the same expected variance.
  terms.weighted_size = all.count - size_squares / all.count;
  variance_ += terms;
}

double RunnerSpeeds::Spread() const { return SpreadAt(-1).value_or(0); }

double RunnerSpeeds::MaxSpread() const {
  return SpreadAt(1).value_or(std::numeric_limits<double>::infinity());
}

std::optional<double> RunnerSpeeds::SpreadAt(double errors) const {
  VarianceTerms sum = variance_;
  sum += settled_variance_;
  if (sum.between_freedom < kMinFreedom || sum.within_freedom < kMinFreedom) {
    return std::nullopt;
  }
  const double between = sum.between / sum.between_freedom;
  const double within = sum.within / sum.within_freedom;
  const double size = sum.weighted_size / sum.between_freedom;
  const double relative_error = std::sqrt(2 / sum.between_freedom);
  const double differences =
      (between * (1 + errors * relative_error) - within) / size;
  const double variance = std::min(differences, LargestLastingVariance());
  return variance <= 0 ? 0 : std::sqrt(variance);
}

void RunnerSpeeds::RecordGang(TimePoint now, const StepName& step,
                              const QueueId& queue,
                              const std::vector<IncarnationId>& runners,
                              Duration estimate, Duration duration) {
  if (runners.empty()) return;
  Maintain(now);
  std::vector<IncarnationId> members = runners;
  std::sort(members.begin(), members.end());
  members.erase(std::unique(members.begin(), members.end()), members.end());
  GangRecord& record = gangs_[step];
  const bool repeated = record.runners == members;
  if (repeated) Revoke(record);
  record.runners = std::move(members);
  record.changed_at = now;
  std::vector<PaceDistribution> paces;
  SlowestPace slowest;
  for (const IncarnationId& member : record.runners) {
    Evidence& evidence = evidence_[member];
    evidence.measured_at = now;
    if (!repeated) {
      ++evidence.runs;
      Age(member);
    }
    paces.push_back(PaceOf(member));
    slowest.Add(paces.back());
  }
  const double log_ratio = LogOf(duration) - LogOf(estimate);
  EstimateError& error = errors_[queue];
  ApplyGang(&record, error, log_ratio, paces);
  if (repeated) return;
  const PaceDistribution all = slowest.Distribution();
  const double deviation = DeviationOf(all);
  error.Add(log_ratio - MeanOf(all), deviation * deviation);
}

void RunnerSpeeds::Revoke(const GangRecord& record) {
  for (std::size_t i = 0; i < record.runners.size(); ++i) {
    Apply(record.runners[i], LogLikelihood(), record.applied[i]);
  }
}

void RunnerSpeeds::ApplyGang(GangRecord* record, const EstimateError& error,
                             double log_ratio,
                             const std::vector<PaceDistribution>& paces) {
  // The likelihood of the measurement for each pace of the slowest member.
  std::array<double, kPaceBins> density;
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    density[bin] = (1 - options_.outlier_share) *
                       NormalDensity(log_ratio - error.mean - LogPaceOf(bin),
                                     error.PredictiveVariance()) +
                   options_.outlier_share * kOutlierDensity;
  }
  std::vector<std::array<double, kPaceBins>> cumulative;
  for (const PaceDistribution& pace : paces) {
    cumulative.push_back(CumulativeOf(pace));
  }
  const auto others = ProductsOfOthers(cumulative);
  record->applied.assign(record->runners.size(), LogLikelihood());
  for (std::size_t i = 0; i < record->runners.size(); ++i) {
    double slower = 0;
    for (std::size_t bin = kPaceBins; bin-- > 0;) {
      const double at_most = others[i][bin];
      record->applied[i][bin] =
          static_cast<float>(std::log(at_most * density[bin] + slower));
      const double below = bin == 0 ? 0 : others[i][bin - 1];
      slower += (at_most - below) * density[bin];
    }
    Apply(record->runners[i], record->applied[i], LogLikelihood());
  }
}

void RunnerSpeeds::UpdateCrossTerms(const TaskStep& step) {
  if (step.records < kMinVarianceRecords || step.runners.size() < 2) return;
  const double center = CenterOf(step);
  std::map<IncarnationId, double> means;
  double sum = 0;
  for (const auto& [runner, tasks] : step.runners) {
    ValueSums group;
    for (const auto& [task, ratio] : tasks.log_ratios) {
      group.Add(std::clamp(ratio - center, -kMaxResidual, kMaxResidual));
    }
    means[runner] = group.sum / group.count;
    sum += means[runner];
  }
  const double others = static_cast<double>(means.size()) - 1;
  CrossTerms& cross = cross_terms_;
  for (const auto& [runner, mean] : means) {
    const double residual = mean - (sum - mean) / others;
    Evidence& evidence = evidence_[runner];
    const double product = residual * evidence.residuals;
    cross.sum += product;
    cross.squares += product * product;
    cross.pairs += evidence.residual_count;
    evidence.residuals = evidence.residuals * kEvidenceKept + residual;
    evidence.residual_count = evidence.residual_count * kEvidenceKept + 1;
  }
  if (cross.pairs <= kMaxPairs) return;
  const double kept = kMaxPairs / cross.pairs;
  cross.sum *= kept;
  cross.squares *= kept;
  cross.pairs *= kept;
}

double RunnerSpeeds::LargestLastingVariance() const {
  const CrossTerms& cross = cross_terms_;
  if (cross.pairs < kMinPairs) return std::numeric_limits<double>::infinity();
  const double error = std::sqrt(cross.squares) / cross.pairs;
  return cross.sum / cross.pairs + error;
}

RunnerSpeeds::TaskSteps::iterator RunnerSpeeds::Settle(
    TaskSteps::iterator step) {
  const bool due = step->second.changed > 0 || !step->second.error_recorded;
  if (due && step->second.records > 0) Evaluate(&step->second, true);
  UpdateCrossTerms(step->second);
  variance_ -= step->second.terms;
  settled_variance_ += step->second.terms;
  if (settled_variance_.between_freedom > kMaxSettledFreedom) {
    settled_variance_ *= kMaxSettledFreedom / settled_variance_.between_freedom;
  }
  return steps_.erase(step);
}

void RunnerSpeeds::Forget(const JobId& job) {
  const StepName first{job, 0, 0};
  auto step = steps_.lower_bound(first);
  while (step != steps_.end() && step->first.job == job) step = Settle(step);
  auto gang = gangs_.lower_bound(first);
  while (gang != gangs_.end() && gang->first.job == job) {
    gang = gangs_.erase(gang);
  }
}

void RunnerSpeeds::RetainOnly(const std::set<IncarnationId>& present) {
  const auto is_gone = [&present](const IncarnationId& runner) {
    return present.count(runner) == 0;
  };
  for (auto it = evidence_.begin(); it != evidence_.end();) {
    it = is_gone(it->first) ? evidence_.erase(it) : std::next(it);
  }
  for (auto& [name, step] : steps_) {
    for (auto it = step.runners.begin(); it != step.runners.end();) {
      if (!is_gone(it->first)) {
        ++it;
        continue;
      }
      step.records -= static_cast<int>(it->second.log_ratios.size());
      it = step.runners.erase(it);
    }
  }
  for (auto it = gangs_.begin(); it != gangs_.end();) {
    const std::vector<IncarnationId>& runners = it->second.runners;
    const bool over = std::any_of(runners.begin(), runners.end(), is_gone);
    it = over ? gangs_.erase(it) : std::next(it);
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
  if (!std::isfinite(stored.log_pace) || !std::isfinite(stored.deviation)) {
    return;
  }
  const double mean =
      std::clamp(stored.log_pace, LogPaceOf(0), LogPaceOf(kPaceBins - 1));
  const double deviation = std::max(stored.deviation, kMinStoredDeviation);
  changed_.insert(runner);
  Evidence& evidence = evidence_[runner];
  for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
    const double density =
        NormalDensity(LogPaceOf(bin) - mean, deviation * deviation);
    // The stored estimate contains the prior, which is applied again.
    evidence.log_likelihood[bin] =
        static_cast<float>(std::log(density + kMinProbability)) -
        log_prior_[bin];
  }
  evidence.runs = stored.runs;
  evidence.measured_at = stored.measured_at;
}

void RunnerSpeeds::Maintain(TimePoint now) {
  if (now - maintained_at_ < kMaintenanceInterval) return;
  maintained_at_ = now;
  SettleOld(now);
  UpdatePrior();
}

void RunnerSpeeds::SettleOld(TimePoint now) {
  for (auto it = steps_.begin(); it != steps_.end();) {
    const bool old = now - it->second.changed_at > kMaxComparisonAge;
    it = old ? Settle(it) : std::next(it);
  }
  for (auto it = gangs_.begin(); it != gangs_.end();) {
    const bool old = now - it->second.changed_at > kMaxComparisonAge;
    it = old ? gangs_.erase(it) : std::next(it);
  }
}

void RunnerSpeeds::UpdatePrior() {
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
  // Only differences between runners can be measured. Without an anchor, the
  // mean of all log paces drifts.
  SetPrior(Shifted(mean, -MeanOf(mean)));
}

}  // namespace limeledge::dispatch
