/// @file
/// Compares ways to estimate the speeds of runners on generated runs: the error
/// by time and by number of measured runs, the time per record and the memory.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dispatch/runner_speeds.h"

namespace limeledge::dispatch {
namespace {

constexpr int kRack = 20;
constexpr int kSeeds = 10;
constexpr int kGang = 5;
constexpr int kTasksPerRunner = 8;
constexpr int kStepTasks = 39;
constexpr double kTaskDeviation = 0.3;
constexpr double kTailShare = 0.03;
constexpr double kTailFactor = 7;
constexpr double kSlowLogPace = 0.2;
constexpr double kRatesRunners = 350;
constexpr int kMsPerSecond = 1000;
constexpr int kPassMs = 250;

/// Progress of one independent task, or of one gang, at one time.
struct Measurement {
  double at_ms = 0;
  int job = 0;
  int task = 0;
  bool gang = false;
  std::string queue;
  std::vector<int> runners;
  double estimate_ms = 0;
  double duration_ms = 0;
};

/// Generates runs at the rates of the deployment with 350 runners, in
/// proportion to the fleet.
class Traffic {
 public:
  Traffic(const std::vector<double>& factors, int seed) : random_(seed) {
    for (const double factor : factors) pace_.push_back(std::log(factor));
  }

  std::vector<Measurement> Generate(int seconds) {
    const double scale = static_cast<double>(pace_.size()) / kRatesRunners;
    AddJobs(3.8 * scale, seconds,
            [this](double at) { AddGang(at, "urgent", 2100, std::log(1.2)); });
    AddJobs(1.2 * scale, seconds,
            [this](double at) { AddGang(at, "middle", 7200, std::log(1.6)); });
    AddJobs(1.3 * scale, seconds, [this](double at) { AddStep(at); });
    std::stable_sort(all_.begin(), all_.end(),
                     [](const Measurement& a, const Measurement& b) {
                       return a.at_ms < b.at_ms;
                     });
    return all_;
  }

 private:
  double Normal(double deviation) {
    return std::normal_distribution<double>(0, deviation)(random_);
  }
  int Below(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }
  template <typename Add>
  void AddJobs(double rate, int seconds, Add add) {
    std::exponential_distribution<double> gap(rate / kMsPerSecond);
    for (double at = gap(random_); at < seconds * kMsPerSecond;
         at += gap(random_)) {
      ++job_;
      add(at);
    }
  }
  double Tail() {
    std::bernoulli_distribution tail(kTailShare);
    return tail(random_) ? std::log(kTailFactor) : 0;
  }
  /// Adds the measurements of a run, each at twice the progress of the last.
  void AddRun(Measurement run, double started_at) {
    constexpr double kFirstShare = 0.2;
    constexpr double kFirstMs = 600;
    double share = std::max(kFirstShare, kFirstMs / run.duration_ms);
    for (;; share *= 2) {
      share = std::min(share, 1.0);
      run.at_ms = started_at + share * run.duration_ms;
      all_.push_back(run);
      if (share == 1) return;
    }
  }
  void AddGang(double at, const char* queue, double estimate,
               double estimate_error) {
    const int rack = Below(static_cast<int>(pace_.size()) / kRack);
    Measurement run;
    double slowest = -2;
    while (run.runners.size() < kGang) {
      const int runner = rack * kRack + Below(kRack);
      if (std::count(run.runners.begin(), run.runners.end(), runner) != 0) {
        continue;
      }
      run.runners.push_back(runner);
      slowest = std::max(slowest, pace_[runner]);
    }
    run.job = job_;
    run.gang = true;
    run.queue = queue;
    run.estimate_ms = estimate;
    run.duration_ms =
        estimate * std::exp(slowest + Normal(estimate_error) + Tail());
    AddRun(run, at);
  }
  void AddStep(double at) {
    const double error = Normal(std::log(1.6));
    Measurement run;
    run.job = job_;
    run.queue = "batch";
    run.estimate_ms = 5200;
    int runner = 0;
    for (run.task = 0; run.task < kStepTasks; ++run.task) {
      if (run.task % kTasksPerRunner == 0) {
        runner = Below(static_cast<int>(pace_.size()));
      }
      run.runners = {runner};
      run.duration_ms =
          run.estimate_ms *
          std::exp(error + pace_[runner] + Normal(kTaskDeviation) + Tail());
      AddRun(run, at);
    }
  }

  std::mt19937 random_;
  std::vector<double> pace_;
  std::vector<Measurement> all_;
  int job_ = 0;
};

/// A way to estimate speeds.
class Way {
 public:
  virtual ~Way() = default;
  virtual void Record(const Measurement& measured) = 0;
  /// The job has ended.
  virtual void Forget(int /*job*/) {}
  /// Called once for each planning pass, before `LogPaceOf`.
  virtual void Update() {}
  virtual double LogPaceOf(int runner) const = 0;
  /// The larger, the later a gang is placed on the runner.
  virtual double RankOf(int runner) const { return LogPaceOf(runner); }
};

/// The estimator of the scheduler.
class BayesianWay : public Way {
 public:
  explicit BayesianWay(int runners) {
    for (int i = 0; i < runners; ++i) {
      ids_.emplace_back(RunnerId(fmt::format("i-{:017x}", i)),
                        StartTime(i + 1));
    }
  }
  void Record(const Measurement& measured) override {
    const TimePoint now(static_cast<std::int64_t>(measured.at_ms));
    const Duration estimate(static_cast<std::int64_t>(measured.estimate_ms));
    const Duration duration(static_cast<std::int64_t>(measured.duration_ms));
    const JobId job = IdOf(measured.job);
    const QueueId queue(measured.queue);
    if (!measured.gang) {
      speeds_.RecordTask(now, {job, 0, 0, measured.task}, queue,
                         ids_[measured.runners[0]], estimate, duration);
      return;
    }
    std::vector<IncarnationId> members;
    for (const int runner : measured.runners) members.push_back(ids_[runner]);
    speeds_.RecordGang(now, {job, 0, 0}, queue, members, estimate, duration);
  }
  void Forget(int job) override { speeds_.Forget(IdOf(job)); }
  double LogPaceOf(int runner) const override {
    return MeanOf(speeds_.PaceOf(ids_[runner]));
  }
  double RankOf(int runner) const override {
    return -in_time_.Of(speeds_.PaceOf(ids_[runner]));
  }

 private:
  static JobId IdOf(int job) { return JobId(fmt::format("{:09}", job)); }

  std::vector<IncarnationId> ids_;
  /// As the planner ranks runners for a queue with a stretch of 1.5.
  OnTimeChance in_time_{std::log(1.5), std::log(1.2)};
  RunnerSpeeds speeds_;
};

/// Alternating means of jobs and runners with shrinkage. A gang counts for the
/// member that is believed to be the slowest, or not at all.
class TwoWay : public Way {
 public:
  TwoWay(int runners, bool gangs) : gangs_(gangs), pace_(runners) {}

  void Record(const Measurement& measured) override {
    if (measured.gang && !gangs_) return;
    Run& run = runs_[{measured.job, measured.task}];
    run.effect =
        measured.gang ? (measured.queue == "urgent" ? -1 : -2) : measured.job;
    run.runners = measured.runners;
    run.log_ratio = std::log(measured.duration_ms / measured.estimate_ms);
  }
  void Update() override {
    for (int i = 0; i < kIterations; ++i) Iterate();
  }
  double LogPaceOf(int runner) const override { return pace_[runner]; }

 private:
  static constexpr int kIterations = 5;
  // Variance of tasks over that of runners, and over that of jobs.
  static constexpr double kRunnerWeight = 1.44;
  static constexpr double kJobWeight = 0.4;
  static constexpr double kMaxResidual = 0.9;

  struct Run {
    int effect = 0;
    std::vector<int> runners;
    double log_ratio = 0;
  };
  struct Mean {
    double sum = 0;
    double weight = 0;
  };
  int SlowestOf(const Run& run) const {
    return *std::max_element(
        run.runners.begin(), run.runners.end(),
        [this](int a, int b) { return pace_[a] < pace_[b]; });
  }
  void Iterate() {
    std::map<int, Mean> effects;
    for (const auto& [key, run] : runs_) {
      Mean& mean = effects[run.effect];
      const double previous = effects_[run.effect];
      const double residual = run.log_ratio - pace_[SlowestOf(run)] - previous;
      mean.sum += previous + std::clamp(residual, -kMaxResidual, kMaxResidual);
      mean.weight += 1;
    }
    for (const auto& [effect, mean] : effects) {
      effects_[effect] = mean.sum / (mean.weight + kJobWeight);
    }
    std::vector<Mean> means(pace_.size());
    for (const auto& [key, run] : runs_) {
      const int slowest = SlowestOf(run);
      const double residual = run.log_ratio - effects_[run.effect];
      means[slowest].sum += std::clamp(residual, -kMaxResidual, kMaxResidual);
      means[slowest].weight += 1;
    }
    for (std::size_t i = 0; i < pace_.size(); ++i) {
      pace_[i] = means[i].sum / (means[i].weight + kRunnerWeight);
    }
  }

  bool gangs_;
  std::vector<double> pace_;
  std::map<int, double> effects_;
  std::map<std::pair<int, int>, Run> runs_;
};

struct Score {
  double squares = 0;
  int runners = 0;
  int gangs = 0;
  int slow_gangs = 0;

  double rms() const { return std::sqrt(squares / std::max(1, runners)); }
};

struct Report {
  std::map<int, Score> by_second;
  std::map<int, Score> by_runs;
  double micros = 0;
  std::int64_t bytes = 0;
  std::int64_t records = 0;
  double mean_log_pace = 0;
};

using MakeWay = std::unique_ptr<Way> (*)(int runners);

double MeanPace(const Way& way, std::size_t runners) {
  double sum = 0;
  for (std::size_t i = 0; i < runners; ++i) {
    sum += way.LogPaceOf(static_cast<int>(i));
  }
  return sum / static_cast<double>(runners);
}

/// Places one gang in each rack, on the runners that are believed to be the
/// fastest.
void PlaceGangs(const Way& way, const std::vector<double>& factors,
                Score* score) {
  const int runners = static_cast<int>(factors.size());
  for (int first = 0; first + kRack <= runners; first += kRack) {
    std::vector<std::pair<double, int>> rack;
    for (int i = first; i < first + kRack; ++i) {
      rack.emplace_back(way.RankOf(i), i);
    }
    std::sort(rack.begin(), rack.end());
    ++score->gangs;
    score->slow_gangs += std::any_of(
        rack.begin(), rack.begin() + kGang, [&factors](const auto& member) {
          return std::log(factors[member.second]) > kSlowLogPace;
        });
  }
}

void AddErrors(const Way& way, const std::vector<double>& factors, int second,
               const std::vector<int>& runs, Report* report) {
  const double mean = MeanPace(way, factors.size());
  double true_mean = 0;
  for (const double factor : factors) true_mean += std::log(factor);
  true_mean /= static_cast<double>(factors.size());
  const bool reported = second == 1 || second == 2 || second == 4 ||
                        second == 8 || second == 16 || second == 30;
  for (std::size_t i = 0; i < factors.size(); ++i) {
    const double error = (way.LogPaceOf(static_cast<int>(i)) - mean) -
                         (std::log(factors[i]) - true_mean);
    Score& score = report->by_runs[runs[i]];
    score.squares += error * error;
    ++score.runners;
    if (!reported) continue;
    report->by_second[second].squares += error * error;
    ++report->by_second[second].runners;
  }
  if (reported) PlaceGangs(way, factors, &report->by_second[second]);
  report->mean_log_pace = mean - true_mean;
}

void RunOnce(MakeWay make, std::vector<double> factors, int seconds, int seed,
             Report* report) {
  std::mt19937 random(seed);
  std::shuffle(factors.begin(), factors.end(), random);
  const std::vector<Measurement> measured =
      Traffic(factors, seed).Generate(seconds);
  auto way = make(static_cast<int>(factors.size()));
  std::vector<int> runs(factors.size());
  std::map<std::pair<int, int>, bool> counted;
  std::map<int, std::size_t> last_of_job;
  for (std::size_t i = 0; i < measured.size(); ++i) {
    last_of_job[measured[i].job] = i;
  }
  int next_pass = kPassMs;
  std::chrono::nanoseconds used{0};
  const auto timed = [&used](const auto& work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    used += std::chrono::steady_clock::now() - start;
  };
  for (std::size_t i = 0; i < measured.size(); ++i) {
    const Measurement& record = measured[i];
    while (record.at_ms >= next_pass && next_pass <= seconds * kMsPerSecond) {
      timed([&way] { way->Update(); });
      if (next_pass % kMsPerSecond == 0) {
        AddErrors(*way, factors, next_pass / kMsPerSecond, runs, report);
      }
      next_pass += kPassMs;
    }
    if (next_pass > seconds * kMsPerSecond) break;
    timed([&] {
      way->Record(record);
      if (last_of_job[record.job] == i) way->Forget(record.job);
    });
    ++report->records;
    bool& known = counted[{record.job, record.task}];
    if (known) continue;
    known = true;
    for (const int runner : record.runners) ++runs[runner];
  }
  report->micros += std::chrono::duration<double, std::micro>(used).count();
  const std::size_t held = mallinfo2().uordblks;
  way = nullptr;
  report->bytes += static_cast<std::int64_t>(held - mallinfo2().uordblks);
}

std::vector<double> Fleet(int runners, const std::vector<double>& classes) {
  std::vector<double> factors;
  for (int i = 0; i < runners; ++i) {
    factors.push_back(classes[static_cast<std::size_t>(i) % classes.size()]);
  }
  return factors;
}

struct NamedWay {
  const char* name;
  MakeWay make;
};

const NamedWay kWays[] = {
    {"bayesian",
     [](int runners) -> std::unique_ptr<Way> {
       return std::make_unique<BayesianWay>(runners);
     }},
    {"two-way, tasks only",
     [](int runners) -> std::unique_ptr<Way> {
       return std::make_unique<TwoWay>(runners, false);
     }},
    {"two-way, slowest member",
     [](int runners) -> std::unique_ptr<Way> {
       return std::make_unique<TwoWay>(runners, true);
     }},
};

void PrintErrors(const char* fleet, const std::vector<double>& classes) {
  constexpr int kRunners = 340;
  constexpr int kSeconds = 30;
  for (const NamedWay& way : kWays) {
    Report report;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      RunOnce(way.make, Fleet(kRunners, classes), kSeconds, seed, &report);
    }
    fmt::print("| {} | {} |", fleet, way.name);
    for (const int second : {1, 2, 4, 8, 16, 30}) {
      const Score& score = report.by_second[second];
      fmt::print(" {:.2f} ({:.0f}%) |", score.rms(),
                 100.0 * score.slow_gangs / std::max(1, score.gangs));
    }
    for (const int runs : {1, 2, 4, 8}) {
      fmt::print(" {:.2f} |", report.by_runs[runs].rms());
    }
    fmt::print("\n");
  }
}

void PrintCost(int runners) {
  constexpr int kSeconds = 30;
  for (const NamedWay& way : kWays) {
    Report report;
    RunOnce(way.make, Fleet(runners, {0.6, 1, 1.6}), kSeconds, 1, &report);
    fmt::print("| {} | {} | {} | {:.1f} | {} |\n", runners, way.name,
               report.records,
               report.micros / static_cast<double>(report.records),
               report.bytes / runners);
  }
}

/// Prints by how much the mean log pace of an uneven fleet departs from 0.
void PrintDrift() {
  constexpr int kRunners = 340;
  constexpr int kSeconds = 300;
  Report report;
  RunOnce(kWays[0].make, Fleet(kRunners, {0.6, 1, 1.6}), kSeconds, 1, &report);
  fmt::print("mean log pace after {} s: {:.3f}\n", kSeconds,
             report.mean_log_pace);
}

}  // namespace
}  // namespace limeledge::dispatch

int main() {
  using limeledge::dispatch::PrintCost;
  using limeledge::dispatch::PrintErrors;
  PrintErrors("0.6/1/1.6", {0.6, 1, 1.6});
  PrintErrors("1/1/1.3", {1, 1, 1.3});
  PrintErrors("even", {1});
  for (const int runners : {350, 1100, 6000}) PrintCost(runners);
  limeledge::dispatch::PrintDrift();
}
