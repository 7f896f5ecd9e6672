/// @file
/// Drawing of workloads.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "trial/workload.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>
#include <random>

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

constexpr double kMsPerMinute = 60000.0;
/// Longest run time, in minutes: heavy tails are cut here.
constexpr double kLongestMinutes = 2000;
/// Declarations are off by up to this factor, either way.
constexpr double kDeclaredFactor = 5.0;
constexpr double kBurstChance = 0.04;
constexpr int kBurstSize = 12;
/// Share of a hall that guarantees take.
constexpr double kGuaranteedShare = 0.5;
constexpr int kGuaranteeMembers = 2;

/// A kind of job: how often, how large, how long.
struct JobKind {
  const char* job_class;
  double share;
  int accelerators;
  bool gang;
  /// Median and spread of the run time's logarithm.
  double median_minutes;
  double sigma;
};

constexpr JobKind kKinds[] = {
    {"check", 0.45, 1, false, 6, 1.0},
    {"recompute", 0.25, 4, false, 40, 1.2},
    {"recompute", 0.18, 8, false, 60, 1.2},
    {"gang", 0.12, 8, true, 90, 1.0},
};

class Drawer {
 public:
  explicit Drawer(const WorkloadOptions& options)
      : options_(options), random_(options.seed) {}

  Workload Draw() {
    Workload workload;
    workload.options = options_;
    double work = 0;
    for (int i = 0; i < options_.jobs; ++i) {
      workload.jobs.push_back(DrawJob(i));
      const WorkloadJob& job = workload.jobs.back();
      work += static_cast<double>(job.run_time.ms()) *
              job.spec.total_accelerators();
    }
    const double capacity = options_.accelerators();
    const double span_ms = work / capacity * 100.0 / options_.load_percent;
    SpreadArrivals(span_ms, &workload);
    return workload;
  }

 private:
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }

  const JobKind& PickKind() {
    double left = Uniform(0, 1);
    for (const JobKind& kind : kKinds) {
      if (left < kind.share) return kind;
      left -= kind.share;
    }
    return kKinds[0];
  }

  int PickMembers(const JobKind& kind) {
    if (!kind.gang) return 1;
    const double steps = std::log2(std::max(2, options_.largest_gang));
    return 1 << static_cast<int>(Uniform(1, steps + 0.999));
  }

  WorkloadJob DrawJob(int number) {
    const JobKind& kind = PickKind();
    WorkloadJob job;
    const int workspace = static_cast<int>(Uniform(0, options_.workspaces));
    job.spec.workspace = WorkspaceId(absl::StrCat("w", workspace + 1));
    job.spec.id = FullJobId(job.spec.workspace, absl::StrCat("j", number + 1));
    job.spec.job_class = ClassId(kind.job_class);
    job.spec.members = PickMembers(kind);
    job.spec.accelerators = kind.accelerators;
    job.spec.cores = kind.accelerators;
    job.spec.repeatable = true;
    std::lognormal_distribution<double> minutes(std::log(kind.median_minutes),
                                                kind.sigma);
    const double run = std::min(kLongestMinutes, minutes(random_));
    job.run_time = Duration(static_cast<std::int64_t>(run * kMsPerMinute) + 1);
    const double factor = std::exp(
        Uniform(-std::log(kDeclaredFactor), std::log(kDeclaredFactor)));
    job.spec.declared = Duration(static_cast<std::int64_t>(
        static_cast<double>(job.run_time.ms()) * factor));
    if (Uniform(0, 100) < options_.cancel_percent) {
      job.cancel_after = Duration(static_cast<std::int64_t>(
          Uniform(0.1, 1.5) * static_cast<double>(job.run_time.ms())));
    }
    return job;
  }

  /// Arrivals over the span, some of them in bursts.
  void SpreadArrivals(double span_ms, Workload* workload) {
    double burst_at = 0;
    int burst_left = 0;
    for (WorkloadJob& job : workload->jobs) {
      if (burst_left == 0 && Uniform(0, 1) < kBurstChance) {
        burst_left = kBurstSize;
        burst_at = Uniform(0, span_ms);
      }
      double at = Uniform(0, span_ms);
      if (burst_left > 0) {
        --burst_left;
        at = burst_at;
      }
      job.at = Duration(static_cast<std::int64_t>(at));
    }
    std::stable_sort(
        workload->jobs.begin(), workload->jobs.end(),
        [](const WorkloadJob& a, const WorkloadJob& b) { return a.at < b.at; });
  }

  WorkloadOptions options_;
  std::mt19937_64 random_;
};

}  // namespace

Workload MakeWorkload(const WorkloadOptions& options) {
  return Drawer(options).Draw();
}

std::string WorkloadSettings(const WorkloadOptions& options,
                             const std::string& policy) {
  const int guaranteed_workers = static_cast<int>(
      options.racks * options.workers_per_rack * kGuaranteedShare);
  const int each = std::max(
      1, guaranteed_workers / (options.workspaces * kGuaranteeMembers));
  std::string text = absl::StrCat(
      "system: {hall_lease_ms: 60000, hall_lease_margin_ms: 5000,\n"
      "  task_lease_ms: 600000, exchange_ms: 240000, heartbeat_ms: 60000,\n"
      "  suspect_ms: 600000, list_poll_ms: 1000, store_poll_ms: 60000,\n"
      "  store_rows_per_second: 100000}\n"
      "halls:\n  trial: {racks: ",
      options.racks, ", workers_per_rack: ", options.workers_per_rack,
      ", accelerators_per_worker: ", options.accelerators_per_worker,
      ", cores_per_worker: 64, memory_mb_per_worker: 256000}\n"
      "defaults: {placement: ",
      policy, ", reserve_after_ms: 7200000, reclaim_ms: 60000}\n",
      "classes:\n"
      "  check: {kind: job, priority: 2}\n"
      "  recompute: {kind: job, priority: 5}\n"
      "  gang: {kind: job, priority: 5}\n"
      "workspaces:\n");
  for (int w = 1; w <= options.workspaces; ++w) {
    absl::StrAppend(&text, "  w", w, ":\n    guarantees:\n");
    for (int g = 1; g <= each; ++g) {
      absl::StrAppend(
          &text, "      g", g, ": {hall: trial, members: ", kGuaranteeMembers,
          ", accelerators: ", options.accelerators_per_worker, "}\n");
    }
  }
  return text;
}

Duration CompletionLowerBound(const Workload& workload) {
  // Two bounds on the sum of completion times; the greater one holds.
  double by_run_time = 0;
  for (const WorkloadJob& job : workload.jobs) {
    by_run_time += static_cast<double>(job.run_time.ms());
  }
  // All accelerators as one machine that may cut jobs, least work left first.
  const double capacity = workload.options.accelerators();
  std::priority_queue<double, std::vector<double>, std::greater<>> left;
  double now = 0;
  double by_work = 0;
  double started = 0;
  const auto run_until = [&](double until) {
    while (!left.empty() && now < until) {
      const double shortest = left.top();
      left.pop();
      const double done = std::min(shortest, until - now);
      now += done;
      if (done < shortest) {
        left.push(shortest - done);
      } else {
        by_work += now;
      }
    }
    now = std::max(now, until);
  };
  for (const WorkloadJob& job : workload.jobs) {
    const double at = static_cast<double>(job.at.ms());
    run_until(at);
    started += at;
    left.push(static_cast<double>(job.run_time.ms()) *
              job.spec.total_accelerators() / capacity);
  }
  run_until(std::numeric_limits<double>::infinity());
  const double sum = std::max(by_run_time, by_work - started);
  return Duration(static_cast<std::int64_t>(
      sum /
      static_cast<double>(std::max<std::size_t>(1, workload.jobs.size()))));
}

}  // namespace limeledge
