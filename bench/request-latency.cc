/// @file
/// Compares request latency through a daemon with direct calls to the runner.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cxxopts.hpp>
#include <string>
#include <thread>
#include <vector>

#include "codec/json.h"
#include "codec/message_codec.h"
#include "net/http_client.h"

namespace limeledge {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

struct LoadOptions {
  std::string daemon;
  std::string runner;
  std::string runner_id;
  std::string token;
  std::string workspace;
  std::string request_class;
  int rate = 1000;
  int seconds = 5;
  int threads = 32;
};

/// Sorted latencies of one path, in microseconds.
struct Latencies {
  std::vector<double> micros;
  int failed = 0;

  double At(double q) const {
    if (micros.empty()) return 0;
    return micros[static_cast<std::size_t>(
        q * static_cast<double>(micros.size() - 1))];
  }
};

HttpCall DirectCall(const LoadOptions& options, int number) {
  RunnerCall call;
  call.runner = RunnerId(options.runner_id);
  call.request = RequestId(fmt::format("d{}", number));
  call.attempt = AttemptId(call.request.value());
  call.workspace = WorkspaceId(options.workspace);
  call.request_class = ClassId(options.request_class);
  call.timeout = Duration(5000);
  call.payload = "payload";
  HttpCall http;
  http.address = options.runner;
  http.path = "/v1/run";
  http.body = EncodeRunnerCall(call);
  return http;
}

HttpCall DaemonCall(const LoadOptions& options, int number) {
  Json::Value json(Json::objectValue);
  json["id"] = fmt::format("q{}", number);
  json["workspace"] = options.workspace;
  json["class"] = options.request_class;
  json["repeatable"] = true;
  json["payload"] = "payload";
  HttpCall http;
  http.address = options.daemon;
  http.path = "/v1/requests";
  http.token = options.token;
  http.body = WriteJson(json);
  return http;
}

/// Sends calls at a fixed rate; each latency counts from the scheduled send
/// time.
Latencies Load(const LoadOptions& options,
               HttpCall (*make)(const LoadOptions&, int)) {
  const int total = options.rate * options.seconds;
  std::vector<double> micros(static_cast<std::size_t>(total), -1);
  std::atomic<int> next{0};
  HttpClient client;
  const SteadyTime begin =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
  const auto work = [&] {
    for (int i = next++; i < total; i = next++) {
      const SteadyTime due =
          begin + std::chrono::microseconds(1000000LL * i / options.rate);
      std::this_thread::sleep_until(due);
      const HttpReply reply = client.Call(make(options, i));
      if (!reply.ok()) continue;
      micros[static_cast<std::size_t>(i)] =
          std::chrono::duration<double, std::micro>(
              std::chrono::steady_clock::now() - due)
              .count();
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(options.threads));
  for (int i = 0; i < options.threads; ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  Latencies latencies;
  for (const double value : micros) {
    if (value < 0) {
      ++latencies.failed;
    } else {
      latencies.micros.push_back(value);
    }
  }
  std::sort(latencies.micros.begin(), latencies.micros.end());
  return latencies;
}

void Print(const char* name, const Latencies& latencies) {
  fmt::print("| {} | {} | {} | {:.2f} | {:.2f} | {:.2f} |\n", name,
             latencies.micros.size(), latencies.failed,
             latencies.At(0.5) / 1000, latencies.At(0.95) / 1000,
             latencies.At(0.99) / 1000);
}

int Main(int argc, char** argv) {
  cxxopts::Options parser("request-latency",
                          "Times calls through a daemon and to its runner.");
  LoadOptions options;
  parser.add_options()("daemon", "HOST:PORT", cxxopts::value(options.daemon))(
      "runner", "HOST:PORT", cxxopts::value(options.runner))(
      "runner-id", "id", cxxopts::value(options.runner_id))(
      "token", "token", cxxopts::value(options.token))(
      "workspace", "name", cxxopts::value(options.workspace))(
      "class", "name", cxxopts::value(options.request_class))(
      "rate", "calls a second", cxxopts::value(options.rate))(
      "seconds", "length", cxxopts::value(options.seconds))(
      "threads", "callers", cxxopts::value(options.threads));
  parser.parse(argc, argv);
  Load(options, DirectCall);
  const Latencies direct = Load(options, DirectCall);
  const Latencies daemon = Load(options, DaemonCall);
  fmt::print(
      "| {} calls/s | answered | failed | p50 ms | p95 ms | p99 ms |\n"
      "| --- | --- | --- | --- | --- | --- |\n",
      options.rate);
  Print("direct", direct);
  Print("through limeledged", daemon);
  fmt::print(
      "\nadded: p50 {:.2f} ms, p99 {:.2f} ms; ratio p50 {:.2f}, p99 "
      "{:.2f}\n",
      (daemon.At(0.5) - direct.At(0.5)) / 1000,
      (daemon.At(0.99) - direct.At(0.99)) / 1000,
      daemon.At(0.5) / std::max(1.0, direct.At(0.5)),
      daemon.At(0.99) / std::max(1.0, direct.At(0.99)));
  return 0;
}

}  // namespace
}  // namespace limeledge

int main(int argc, char** argv) { return limeledge::Main(argc, argv); }
