/// @file
/// Trials of policies.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "trial/comparison.h"

#include <algorithm>
#include <map>
#include <memory>

#include "trial/cluster.h"

namespace limeledge {

namespace {

constexpr Duration kSampleInterval{60000};
constexpr Duration kWarmUp{20000};
/// A trial ends this long after its last arrival, whatever still waits.
constexpr Duration kLongestTail{30LL * 24 * 3600000};
constexpr double kMainWeight = 0.7;
constexpr double kOtherWeight = 0.3;
/// Keeps a score finite where nothing was fragmented.
constexpr double kLeastFragmentation = 0.001;

Duration Quantile(const std::vector<Duration>& sorted, double q) {
  if (sorted.empty()) return Duration();
  const double at = q * static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(at)];
}

class Trial {
 public:
  Trial(const Workload& workload, const std::string& policy)
      : workload_(workload), cluster_(Options(workload, policy)) {
    outcome_.policy = policy;
    AddDeclaredWorkers(WorkloadSettings(workload.options, policy), &cluster_);
    SpoilWorkers(true);
  }

  PolicyOutcome Run() {
    cluster_.RunFor(kWarmUp);
    begin_ = cluster_.now();
    const Duration last =
        workload_.jobs.empty() ? Duration() : workload_.jobs.back().at;
    while (Elapsed() < last + kLongestTail) {
      Arrive();
      if (Elapsed() > last / 2) SpoilWorkers(false);
      cluster_.RunFor(std::min(kSampleInterval, UntilNext()));
      Sample();
      if (next_ == workload_.jobs.size() && AllEnded()) break;
    }
    Collect();
    return std::move(outcome_);
  }

 private:
  static ClusterOptions Options(const Workload& workload,
                                const std::string& policy) {
    std::map<std::string, Duration> run_times;
    for (const WorkloadJob& job : workload.jobs) {
      run_times[job.spec.id.value()] = job.run_time;
    }
    ClusterOptions options;
    options.seed = workload.options.seed;
    options.settings = WorkloadSettings(workload.options, policy);
    options.tick = Duration(2000);
    options.runners = 0;
    options.run_time = [run_times](const TaskOrder& order) {
      const std::string job =
          order.id.value().substr(0, order.id.value().find('#'));
      return run_times.at(job);
    };
    return options;
  }

  Duration Elapsed() const { return cluster_.now() - begin_; }

  /// Some workers fail everything for the first half of the trial.
  void SpoilWorkers(bool bad) {
    if (spoiled_ == bad) return;
    spoiled_ = bad;
    const std::size_t count = cluster_.workers().size();
    std::size_t left =
        count * static_cast<std::size_t>(workload_.options.bad_worker_percent) /
        100;
    for (const auto& [id, worker] : cluster_.workers()) {
      if (left-- == 0) break;
      cluster_.SetWorkerFaults(id, {bad, false, false});
    }
  }

  void Arrive() {
    while (next_ < workload_.jobs.size() &&
           workload_.jobs[next_].at <= Elapsed()) {
      const WorkloadJob& job = workload_.jobs[next_++];
      cluster_.Submit(0, job.spec);
      if (job.cancel_after > Duration(0)) {
        cancels_.emplace(job.at + job.cancel_after, job.spec.id);
      }
    }
    while (!cancels_.empty() && cancels_.begin()->first <= Elapsed()) {
      cluster_.Cancel(0, cancels_.begin()->second);
      cancels_.erase(cancels_.begin());
    }
  }

  Duration UntilNext() const {
    Duration next = kSampleInterval;
    if (next_ < workload_.jobs.size()) {
      next = std::min(next, workload_.jobs[next_].at - Elapsed());
    }
    return std::max(Duration(1), next);
  }

  const HallPlanner& Planner() const {
    return cluster_.reducer(0).planners().at(HallId("trial"));
  }

  void Sample() {
    if (Elapsed() - sampled_at_ < kSampleInterval) return;
    sampled_at_ = Elapsed();
    const HallRoom& room = Planner().scheduler().room();
    outcome_.samples.push_back({Elapsed(), room.free_accelerators,
                                room.stranded_accelerators, room.waiting_jobs});
  }

  bool AllEnded() const {
    return cluster_.reducer(0)
        .shared()
        .mirror.ActiveJobs(HallId("trial"))
        .empty();
  }

  void Collect() {
    std::vector<Duration> times;
    double sum = 0;
    double slowdown = 0;
    for (const WorkloadJob& job : workload_.jobs) {
      const JobRow* row =
          cluster_.reducer(0).shared().mirror.FindJob(job.spec.id);
      if (row == nullptr || !IsFinal(row->state)) {
        ++outcome_.unfinished;
        continue;
      }
      if (row->state == JobState::kCancelled) ++outcome_.cancelled;
      if (row->state == JobState::kFailed) ++outcome_.failed;
      if (row->state != JobState::kDone) continue;
      ++outcome_.done;
      const Duration took(row->ended_ms - row->submitted_ms);
      times.push_back(took);
      sum += static_cast<double>(took.ms());
      slowdown += static_cast<double>(took.ms()) /
                  static_cast<double>(job.run_time.ms());
      const bool large = job.spec.members > 1;
      const Duration waited = took - job.run_time;
      if (large && waited > outcome_.longest_large_wait) {
        outcome_.longest_large_wait = waited;
      }
    }
    std::sort(times.begin(), times.end());
    const double done = std::max(1, outcome_.done);
    outcome_.mean = Duration(static_cast<std::int64_t>(sum / done));
    outcome_.p50 = Quantile(times, 0.50);
    outcome_.p95 = Quantile(times, 0.95);
    outcome_.p99 = Quantile(times, 0.99);
    outcome_.slowdown = slowdown / done;
    CollectRoom();
  }

  void CollectRoom() {
    double share = 0;
    int moments = 0;
    for (const TrialSample& sample : outcome_.samples) {
      if (sample.waiting == 0 || sample.free == 0) continue;
      share += static_cast<double>(sample.stranded) / sample.free;
      ++moments;
    }
    outcome_.fragmentation = moments == 0 ? 0 : share / moments;
    const Counters& counters = cluster_.reducer(0).shared().counters;
    outcome_.preemptions = static_cast<int>(counters.preemptions);
    for (std::size_t i = 0; i < DurationCounts::kBuckets; ++i) {
      if (counters.reclaim_time.buckets[i] == 0) continue;
      outcome_.longest_reclaim = Duration(std::int64_t{1} << i);
    }
  }

  const Workload& workload_;
  Cluster cluster_;
  PolicyOutcome outcome_;
  TimePoint begin_;
  Duration sampled_at_;
  std::size_t next_ = 0;
  bool spoiled_ = false;
  std::multimap<Duration, JobId> cancels_;
};

void AddScores(Comparison* comparison) {
  if (comparison->outcomes.empty()) return;
  const PolicyOutcome& base = comparison->outcomes.front();
  const double base_ms =
      std::max<double>(1, static_cast<double>(base.mean.ms()));
  const double base_share = std::max(kLeastFragmentation, base.fragmentation);
  for (PolicyOutcome& outcome : comparison->outcomes) {
    const double mean = static_cast<double>(outcome.mean.ms());
    const double time = mean / base_ms;
    const double share = outcome.fragmentation / base_share;
    outcome.crash_score = kMainWeight * time + kOtherWeight * share;
    outcome.materials_score = kOtherWeight * time + kMainWeight * share;
    outcome.over_bound =
        mean /
        std::max<double>(1, static_cast<double>(comparison->lower_bound.ms()));
  }
}

}  // namespace

Comparison ComparePolicies(const Workload& workload,
                           const std::vector<std::string>& policies) {
  Comparison comparison;
  comparison.workload = workload.options;
  comparison.lower_bound = CompletionLowerBound(workload);
  for (const std::string& policy : policies) {
    comparison.outcomes.push_back(Trial(workload, policy).Run());
  }
  AddScores(&comparison);
  return comparison;
}

}  // namespace limeledge
