/// @file
/// The program limeledge-soak: real nodes under random faults, with checks.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>

#include "soak/callers.h"
#include "soak/fault_driver.h"
#include "soak/report.h"
#include "soak/verdict.h"

namespace limeledge::soak {

namespace {

constexpr int kExitDone = 0;
constexpr int kExitViolated = 1;
constexpr int kExitUsage = 2;
constexpr std::int64_t kMsPerSecond = 1000;
/// Time until the nodes serve and one of them schedules.
constexpr std::int64_t kWarmUpMs = 4000;
/// Added to the seed for the jobs of the final checks.
constexpr std::uint64_t kLastJobsSeed = 1000;

struct RunOptions {
  std::string program;
  std::string directory;
  std::uint64_t seed = 1;
  Experiment experiment;
};

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

/// Starts the number of nodes that the experiment sets.
absl::StatusOr<Nodes> StartNodes(const RunOptions& options,
                                 const Endpoint& store) {
  Nodes nodes;
  for (int i = 1; i <= options.experiment.nodes; ++i) {
    nodes.push_back(
        std::make_unique<NodeProcess>(i, options.program, options.directory));
    const absl::Status status = nodes.back()->Start(store);
    if (!status.ok()) return status;
  }
  return nodes;
}

/// Executes the plan under load, and checks the final states of the jobs.
void ExecutePlan(const RunOptions& options, SoakPlatform* platform,
                 Nodes* nodes, FaultLog* faults, RunSummary* run) {
  const Experiment& experiment = options.experiment;
  FaultDriver driver(platform, nodes, faults);
  driver.Run({}, Duration(kWarmUpMs));
  run->began_at = SteadyClock().Now();
  Callers callers(experiment, options.seed, platform, nodes, faults);
  callers.Start();
  driver.Run(run->plan, experiment.length);
  run->start_gaps = JudgeStartGaps(run->plan, run->began_at, platform);
  driver.Heal();
  callers.Stop();
  JobMaker maker(experiment, options.seed + kLastJobsSeed);
  run->verdict = Judge(experiment, platform, &callers, &driver, &maker);
  run->timings = callers.timings();
  run->submitted = callers.counts().submitted;
  run->accepted = callers.counts().accepted;
  run->refused = callers.counts().refused;
  run->unknown = callers.counts().unknown;
}

/// Runs the experiment with one seed.
absl::StatusOr<RunSummary> RunSeed(const RunOptions& options) {
  std::filesystem::create_directories(options.directory);
  FaultLog faults;
  SoakPlatform platform(options.experiment, &faults);
  const absl::Status status = platform.Start();
  if (!status.ok()) return status;
  absl::StatusOr<Nodes> nodes = StartNodes(options, platform.store_endpoint());
  if (!nodes.ok()) return nodes.status();
  RunSummary run;
  run.seed = options.seed;
  run.experiment = options.experiment;
  run.plan = PlanFaults(options.experiment, options.seed);
  ExecutePlan(options, &platform, &*nodes, &faults, &run);
  run.starts = platform.starts();
  run.cancels = platform.cancel_times();
  for (const auto& node : *nodes) node->Kill();
  platform.Stop();
  run.violations = platform.WithOracle(
      [](emulator::PromiseOracle& oracle) { return oracle.violations(); });
  return run;
}

/// Runs the experiment with one seed, and writes its reports. Returns the exit
/// status.
int RunAndReport(const RunOptions& options) {
  const absl::StatusOr<RunSummary> run = RunSeed(options);
  if (!run.ok()) {
    fmt::print(stderr, "{}\n", run.status().ToString());
    return kExitUsage;
  }
  WriteFile(options.directory + "/report.md", Page(*run));
  WriteFile(options.directory + "/times.svg", Plot(*run));
  fmt::print("{}", TableRow(*run));
  for (const std::string& violation : run->violations) {
    fmt::print("  - {}\n", violation);
  }
  std::fflush(stdout);
  return run->violations.empty() ? kExitDone : kExitViolated;
}

bool ReadExperimentFile(const std::string& path, Experiment* experiment) {
  Findings findings(path);
  std::ifstream file(path);
  if (file) {
    std::stringstream text;
    text << file.rdbuf();
    *experiment = ReadExperiment(text.str(), &findings);
  } else {
    findings.Add("", "cannot be read");
  }
  for (const Finding& finding : findings.all()) {
    fmt::print(stderr, "{}\n", ToString(finding));
  }
  return findings.empty();
}

int Run(const cxxopts::ParseResult& args) {
  RunOptions options;
  options.program = args["node"].as<std::string>();
  if (args.count("experiment") != 0 &&
      !ReadExperimentFile(args["experiment"].as<std::string>(),
                          &options.experiment)) {
    return kExitUsage;
  }
  if (args.count("seconds") != 0) {
    options.experiment.length =
        Duration(args["seconds"].as<std::int64_t>() * kMsPerSecond);
  }
  int worst = kExitDone;
  fmt::print("{}", TableHead());
  const std::uint64_t first = args["seed"].as<std::uint64_t>();
  for (int i = 0; i < args["seeds"].as<int>(); ++i) {
    options.seed = first + i;
    options.directory = fmt::format(
        "{}/seed-{}", args["report"].as<std::string>(), options.seed);
    worst = std::max(worst, RunAndReport(options));
  }
  return worst;
}

int Main(int argc, char** argv) {
  cxxopts::Options options(
      "limeledge-soak",
      "Runs nodes as processes under random faults and checks what callers and "
      "runners see.");
  options.add_options()("node", "the program limeledge-node",
                        cxxopts::value<std::string>())(
      "seed", "the first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "how many seeds, one after the other",
      cxxopts::value<int>()->default_value("1"))(
      "seconds", "time under load and faults for each seed",
      cxxopts::value<std::int64_t>())("experiment",
                                      "sizes, load and faults (YAML)",
                                      cxxopts::value<std::string>())(
      "report", "folder for logs, reports and plots",
      cxxopts::value<std::string>()->default_value("soak-report"))(
      "table-head", "print only the head of the table")("h,help", "this help");
  try {
    const cxxopts::ParseResult args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      fmt::print("{}", options.help());
      return kExitDone;
    }
    if (args.count("table-head") != 0) {
      fmt::print("{}", TableHead());
      return kExitDone;
    }
    if (args.count("node") == 0) {
      fmt::print(stderr, "limeledge-soak needs --node; see --help\n");
      return kExitUsage;
    }
    return Run(args);
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "{}; see --help\n", error.what());
    return kExitUsage;
  }
}

}  // namespace

}  // namespace limeledge::soak

int main(int argc, char** argv) { return limeledge::soak::Main(argc, argv); }
