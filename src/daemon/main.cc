/// @file
/// The program limeledged.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>
#include <malloc.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <sstream>

#include "daemon/daemon.h"
#include "daemon/log_writer.h"
#include "net/stop_signals.h"

namespace {

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
/// Many threads share few heaps, which keeps the process small.
constexpr int kMaxHeaps = 2;
constexpr long kPollNs = 100000000;

using limeledge::Findings;
using limeledge::LogId;
using limeledge::ProcessConfig;

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "limeledged",
      "Scheduler of multi-accelerator jobs under workspace guarantees.\n"
      "Reads a process file and serves until SIGTERM, which begins a planned\n"
      "stop: nothing that was taken on is cut.\n");
  options.add_options()("c,config", "process file (YAML)",
                        cxxopts::value<std::string>())(
      "id", "instance id, instead of the file's",
      cxxopts::value<std::string>())("hall", "hall of this instance",
                                     cxxopts::value<std::string>())(
      "listen", "HOST:PORT for callers and operators",
      cxxopts::value<std::string>())("peer-listen",
                                     "HOST:PORT for other daemons",
                                     cxxopts::value<std::string>())(
      "platform", "HOST:PORT of the platform's services",
      cxxopts::value<std::string>())("check", "check the file and end")(
      "version", "print the version")("h,help", "print this help");
  return options;
}

void SetEndpoint(const cxxopts::ParseResult& args, const char* name,
                 limeledge::Endpoint* endpoint, Findings* findings) {
  if (args.count(name) == 0) return;
  const auto parsed = limeledge::ParseEndpoint(args[name].as<std::string>());
  if (parsed.ok()) {
    *endpoint = *parsed;
  } else {
    findings->Add(fmt::format("--{}", name),
                  std::string(parsed.status().message()));
  }
}

void ApplyArguments(const cxxopts::ParseResult& args, ProcessConfig* config,
                    Findings* findings) {
  if (args.count("id") != 0) {
    config->id = limeledge::InstanceId(args["id"].as<std::string>());
  }
  if (args.count("hall") != 0) {
    config->hall = limeledge::HallId(args["hall"].as<std::string>());
  }
  if (args.count("platform") != 0) {
    config->platform = limeledge::PlatformKind::kHttp;
    config->platform_address = args["platform"].as<std::string>();
  }
  SetEndpoint(args, "listen", &config->listen, findings);
  SetEndpoint(args, "peer-listen", &config->peer_listen, findings);
  const bool remote = config->platform == limeledge::PlatformKind::kHttp;
  if (config->id.empty()) findings->Add("process/id", "is missing");
  if (config->hall.empty()) findings->Add("process/hall", "is missing");
  if (remote && config->platform_address.empty()) {
    findings->Add("process/platform/address", "is missing");
  }
}

int RejectConfig(const Findings& findings) {
  for (const limeledge::Finding& finding : findings.all()) {
    fmt::print(stderr, "{}\n", limeledge::ToString(finding));
  }
  limeledge::WriteLogLine({LogId::kConfigRejected, {}}, "");
  return kExitFailed;
}

/// Waits for stop signals until `ended`.
void WaitForEnd(const sigset_t& signals, const std::atomic<bool>& ended,
                limeledge::Daemon* daemon) {
  const timespec poll = {0, kPollNs};
  while (!ended) {
    if (sigtimedwait(&signals, nullptr, &poll) > 0) daemon->AskStop();
  }
}

int Run(ProcessConfig config, const sigset_t& signals) {
  const std::string id = config.id.value();
  std::atomic<bool> ended{false};
  limeledge::Daemon daemon(std::move(config), [&ended] { ended = true; });
  const absl::Status status = daemon.Start();
  if (!status.ok()) {
    limeledge::WriteLogLine(
        {LogId::kListenFailed, {{"error", std::string(status.message())}}}, id);
    return kExitFailed;
  }
  WaitForEnd(signals, ended, &daemon);
  return kExitDone;
}

int Main(const cxxopts::ParseResult& args, const sigset_t& signals) {
  const std::string path = args["config"].as<std::string>();
  std::ifstream file(path);
  Findings findings(path);
  if (!file) {
    findings.Add("", "cannot be read");
    return RejectConfig(findings);
  }
  std::stringstream text;
  text << file.rdbuf();
  ProcessConfig config = limeledge::ReadProcessConfig(text.str(), &findings);
  ApplyArguments(args, &config, &findings);
  if (!findings.empty()) return RejectConfig(findings);
  if (args.count("check") != 0) {
    fmt::print("{}: no findings\n", path);
    return kExitDone;
  }
  return Run(std::move(config), signals);
}

}  // namespace

int main(int argc, char** argv) {
  mallopt(M_ARENA_MAX, kMaxHeaps);
  const sigset_t signals = limeledge::BlockStopSignals();
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      fmt::print("{}", options.help());
      return kExitDone;
    }
    if (args.count("version") != 0) {
      fmt::print("limeledged {}\n", LIMELEDGE_VERSION);
      return kExitDone;
    }
    if (args.count("config") == 0 || !args.unmatched().empty()) {
      fmt::print(stderr, "limeledged needs --config FILE; see --help\n");
      return kExitUsage;
    }
    return Main(args, signals);
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "{}; see --help\n", error.what());
    return kExitUsage;
  }
}
