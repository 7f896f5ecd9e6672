/// @file
/// Measures the CPU time that a node's reducer uses on a loaded fleet, by size.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "emulator/emulated_system.h"

namespace limeledge::emulator {
namespace {

constexpr int kRunnersPerRack = 8;
constexpr int kSeed = 7;
constexpr Duration kWarmUp{3000};
constexpr Duration kStep{100};

/// A kind of job, modeled on a large register of materials.
struct Kind {
  int priority;
  int tasks;
  bool gang;
  std::int64_t cpu_millis;
  int most_accelerators;
  Duration work;
  /// Jobs per second at 1,100 runners.
  double rate;
};

constexpr Kind kKinds[] = {
    {0, 8, true, 7500, 8, Duration(2500), 15.6},
    {1, 26, true, 26000, 8, Duration(11000), 2.74},
    {1, 78, false, 5600, 1, Duration(6100), 4.2},
};
constexpr double kRunnersOfRates = 1100;

/// Submits jobs at the rates of the kinds, multiplied by `load`.
class Load {
 public:
  Load(EmulatedSystem* system, int runners, double load)
      : system_(system), share_(load * runners / kRunnersOfRates) {}

  void SubmitFor(Duration time) {
    const double seconds = static_cast<double>(time.ms()) / 1000;
    for (const Kind& kind : kKinds) {
      std::poisson_distribution<int> arrivals(kind.rate * share_ * seconds);
      for (int left = arrivals(random_); left > 0; --left) Submit(kind);
    }
  }

 private:
  void Submit(const Kind& kind) {
    std::uniform_int_distribution<int> accelerators(1, kind.most_accelerators);
    dispatch::StepSpec step;
    step.count = kind.tasks;
    step.need = {kind.cpu_millis, 4096, accelerators(random_)};
    step.estimate = kind.work;
    step.gang = kind.gang;
    dispatch::JobSpec spec;
    spec.steps.push_back(step);
    spec.policy.priority = kind.priority;
    TaskTruth truth;
    truth.work = step.estimate;
    if (kind.gang) truth.gang_size = kind.tasks;
    system_->Submit(std::move(spec), {truth});
  }

  EmulatedSystem* system_;
  double share_;
  std::mt19937_64 random_{kSeed};
};

void Measure(int runners, double load, int seconds,
             const dispatch::PlanningPolicy& policy) {
  SystemOptions options;
  options.planner.policy = &policy;
  options.nodes = 1;
  options.runners = runners;
  options.runners_per_rack = kRunnersPerRack;
  EmulatedSystem system(options);
  system.Run(kWarmUp);
  Load work(&system, runners, load);
  const ReducerUse before = system.reducer_use();
  for (Duration played; played < Duration(1000) * seconds;
       played = played + kStep) {
    work.SubmitFor(kStep);
    system.Run(kStep);
  }
  const ReducerUse after = system.reducer_use();
  std::size_t starts = 0;
  for (const auto& [id, watch] : system.jobs()) starts += watch.starts.size();
  const auto spent = static_cast<double>((after.time - before.time).count());
  const auto events = static_cast<double>(after.events - before.events);
  fmt::print("{:>7} {:>5.2f} {:>8.4f} {:>9.1f} {:>9.0f} {:>8} {:>7}\n", runners,
             load, spent / 1e9 / seconds, spent / 1e3 / events,
             events / seconds, starts, system.jobs().size());
}

}  // namespace
}  // namespace limeledge::emulator

/// Usage: scheduler-bench [--policy NAME] [LOAD [SECONDS [RUNNERS...]]]
int main(int argc, char** argv) {
  namespace dispatch = limeledge::dispatch;
  const dispatch::PlanningPolicy* policy = &dispatch::DefaultPlanningPolicy();
  if (argc > 2 && std::string_view(argv[1]) == "--policy") {
    policy = dispatch::FindPlanningPolicy(argv[2]);
    if (policy == nullptr) {
      fmt::print(stderr, "scheduler-bench: unknown policy '{}'\n", argv[2]);
      return 2;
    }
    argc -= 2;
    argv += 2;
  }
  const double load = argc > 1 ? std::atof(argv[1]) : 1;
  const int seconds = argc > 2 ? std::atoi(argv[2]) : 20;
  std::vector<int> sizes;
  for (int i = 3; i < argc; ++i) sizes.push_back(std::atoi(argv[i]));
  if (sizes.empty()) sizes = {48, 350, 1100, 6000};
  fmt::print("{:>7} {:>5} {:>8} {:>9} {:>9} {:>8} {:>7}\n", "runners", "load",
             "cores", "us/event", "events/s", "starts", "jobs");
  for (const int runners : sizes) {
    limeledge::emulator::Measure(runners, load, seconds, *policy);
  }
  return 0;
}
