/// @file
/// The program limeledge-platform: stand-ins for tests and local trials.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <sstream>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "net/stop_signals.h"
#include "platform/embedded_platform.h"
#include "settings/reader.h"

namespace {

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr std::size_t kServiceConnections = 256;

using limeledge::Address;
using limeledge::Duration;
using limeledge::EntryInfo;
using limeledge::HallId;
using limeledge::HallSettings;
using limeledge::InstanceId;

constexpr char kUsage[] =
    "limeledge-platform services --listen HOST:PORT [--entry ID=PEER/HALL]...\n"
    "limeledge-platform workers  --listen HOST:PORT --platform HOST:PORT "
    "--hall NAME [--racks N] [--workers-per-rack N] [--accelerators N]\n"
    "limeledge-platform runners  --listen HOST:PORT --platform HOST:PORT "
    "--hall NAME [--count N] [--slots N] [--service-ms N]\n";

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "limeledge-platform",
      "Stand-ins for the platform, its workers and its runners, in memory.\n"
      "For tests and local trials only.\n\n");
  options.custom_help(
      "services|workers|runners [OPTION...]\n\n"
      "  services  table service, object store and instance list\n"
      "  workers   emulated workers of one hall\n"
      "  runners   emulated service runners of one hall");
  options.add_options()("role", "services, workers or runners",
                        cxxopts::value<std::string>())(
      "listen", "HOST:PORT", cxxopts::value<std::string>())(
      "platform", "HOST:PORT of the services", cxxopts::value<std::string>())(
      "entry",
      "ID=HOST:PORT/HALL: a daemon and its peer interface; may be repeated",
      cxxopts::value<std::vector<std::string>>())(
      "hall", "hall of the targets", cxxopts::value<std::string>())(
      "racks", "racks", cxxopts::value<int>()->default_value("1"))(
      "workers-per-rack", "workers in a rack",
      cxxopts::value<int>()->default_value("1"))(
      "accelerators", "accelerators of a worker",
      cxxopts::value<int>()->default_value("8"))(
      "cores", "cores of a worker", cxxopts::value<int>()->default_value("64"))(
      "memory-mb", "memory of a worker",
      cxxopts::value<int>()->default_value("256000"))(
      "count", "runners", cxxopts::value<int>()->default_value("1"))(
      "prefix", "start of the targets' names", cxxopts::value<std::string>())(
      "slots", "slots of a runner", cxxopts::value<int>()->default_value("8"))(
      "connections", "connections of a runner",
      cxxopts::value<int>()->default_value("60"))(
      "service-ms", "time of a runner's call",
      cxxopts::value<int>()->default_value("5"))("h,help", "print this help");
  options.parse_positional({"role"});
  return options;
}

absl::StatusOr<limeledge::HttpServerOptions> HttpOptions(
    const cxxopts::ParseResult& args) {
  const auto endpoint =
      limeledge::ParseEndpoint(args["listen"].as<std::string>());
  if (!endpoint.ok()) return endpoint.status();
  limeledge::HttpServerOptions options;
  options.endpoint = *endpoint;
  options.connections = kServiceConnections;
  return options;
}

/// Blocks until SIGTERM or SIGINT.
void WaitForSignal(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

absl::Status RunServices(const cxxopts::ParseResult& args,
                         const sigset_t& signals) {
  const auto http = HttpOptions(args);
  if (!http.ok()) return http.status();
  limeledge::PlatformServices services(*http);
  if (args.count("entry") != 0) {
    for (const std::string& text :
         args["entry"].as<std::vector<std::string>>()) {
      const std::vector<std::string> parts =
          absl::StrSplit(text, absl::ByAnyChar("=/"));
      if (parts.size() != 3) {
        return absl::InvalidArgumentError(
            absl::StrCat("--entry '", text, "' is no ID=HOST:PORT/HALL"));
      }
      services.AddEntry(EntryInfo{InstanceId(parts[0]), Address(parts[1]),
                                  HallId(parts[2]), false});
    }
  }
  absl::Status status = services.Start();
  if (!status.ok()) return status;
  fmt::print("platform services on {}\n", services.address());
  std::fflush(stdout);
  WaitForSignal(signals);
  return absl::OkStatus();
}

absl::Status StartTargets(const cxxopts::ParseResult& args,
                          std::unique_ptr<limeledge::TargetHost>* host) {
  const auto http = HttpOptions(args);
  if (!http.ok()) return http.status();
  limeledge::TargetHostOptions options;
  options.http = *http;
  options.platform = args["platform"].as<std::string>();
  options.service_time = Duration(args["service-ms"].as<int>());
  *host = std::make_unique<limeledge::TargetHost>(options);
  return (*host)->Start();
}

absl::Status RunWorkers(const cxxopts::ParseResult& args,
                        const sigset_t& signals) {
  std::unique_ptr<limeledge::TargetHost> host;
  absl::Status status = StartTargets(args, &host);
  if (!status.ok()) return status;
  HallSettings hall;
  hall.racks = args["racks"].as<int>();
  hall.workers_per_rack = args["workers-per-rack"].as<int>();
  hall.accelerators_per_worker = args["accelerators"].as<int>();
  hall.cores_per_worker = args["cores"].as<int>();
  hall.memory_mb_per_worker = args["memory-mb"].as<int>();
  status = limeledge::AddHallTargets(HallId(args["hall"].as<std::string>()),
                                     hall, host.get());
  if (!status.ok()) return status;
  fmt::print("{} workers on {}\n", hall.racks * hall.workers_per_rack,
             host->address());
  std::fflush(stdout);
  WaitForSignal(signals);
  return absl::OkStatus();
}

absl::Status RunRunners(const cxxopts::ParseResult& args,
                        const sigset_t& signals) {
  std::unique_ptr<limeledge::TargetHost> host;
  absl::Status status = StartTargets(args, &host);
  if (!status.ok()) return status;
  const std::string hall = args["hall"].as<std::string>();
  const std::string prefix = args.count("prefix") != 0
                                 ? args["prefix"].as<std::string>()
                                 : absl::StrCat(hall, "-runner-");
  const int count = args["count"].as<int>();
  for (int number = 1; number <= count; ++number) {
    limeledge::RunnerInfo runner;
    runner.id = limeledge::RunnerId(absl::StrCat(prefix, number));
    runner.hall = HallId(hall);
    runner.slots = args["slots"].as<int>();
    runner.connections = args["connections"].as<int>();
    status = host->AddRunner(runner);
    if (!status.ok()) return status;
  }
  fmt::print("{} runners on {}\n", count, host->address());
  std::fflush(stdout);
  WaitForSignal(signals);
  return absl::OkStatus();
}

int Run(const cxxopts::ParseResult& args, const sigset_t& signals) {
  const std::string role =
      args.count("role") != 0 ? args["role"].as<std::string>() : "";
  const bool targets = role == "workers" || role == "runners";
  const bool complete =
      args.count("listen") != 0 &&
      (!targets || (args.count("platform") != 0 && args.count("hall") != 0));
  if ((role != "services" && !targets) || !complete) {
    fmt::print(stderr, "usage:\n{}", kUsage);
    return kExitUsage;
  }
  absl::Status status;
  if (role == "services") {
    status = RunServices(args, signals);
  } else if (role == "workers") {
    status = RunWorkers(args, signals);
  } else {
    status = RunRunners(args, signals);
  }
  if (status.ok()) return kExitDone;
  fmt::print(stderr, "limeledge-platform: {}\n", std::string(status.message()));
  return kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  const sigset_t signals = limeledge::BlockStopSignals();
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      fmt::print("{}", options.help());
      return kExitDone;
    }
    return Run(args, signals);
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "{}; see --help\n", error.what());
    return kExitUsage;
  }
}
