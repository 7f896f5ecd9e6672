/// @file
/// Measures how state, messages, CPU time and memory grow with the sizes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>
#include <malloc.h>

#include <cmath>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "codec/message_codec.h"
#include "codec/row_codec.h"
#include "trial/cluster.h"

namespace limeledge {
namespace {

/// Bytes of the HTTP header of a request and of its response, measured on
/// loopback.
constexpr double kCallHeader = 190;
constexpr double kReplyHeader = 110;
constexpr double kBytesPerKb = 1024;

/// Parameters of one run.
struct Sizes {
  int halls = 5;
  int workers = 510;
  int tasks = 3300;
  int workspaces = 170;
  int instances = 9;
};

/// Resources that one instance uses per second.
struct Spent {
  double cpu_percent = 0;
  double kb_per_second = 0;
  double rows_written = 0;
  double reads = 0;
};

std::string SettingsOf(const Sizes& sizes) {
  std::string text =
      "system: {store_rows_per_second: 100000}\n"
      "defaults: {borrow: true}\nclasses: {batch: {kind: job}}\nhalls:\n";
  const int per_hall = (sizes.workers + sizes.halls - 1) / sizes.halls;
  for (int h = 1; h <= sizes.halls; ++h) {
    text += fmt::format(
        "  h{}: {{racks: 1, workers_per_rack: {}, accelerators_per_worker: 8, "
        "cores_per_worker: 64, memory_mb_per_worker: 256000}}\n",
        h, per_hall);
  }
  text += "workspaces:\n";
  for (int w = 1; w <= sizes.workspaces; ++w) {
    text += fmt::format(
        "  t{}: {{guarantees: {{g: {{hall: h{}, members: 1, "
        "accelerators: 1}}}}}}\n",
        w, w % sizes.halls + 1);
  }
  return text;
}

/// Counts the bytes that effects send over the network.
class WireCounter {
 public:
  void Count(const Effects& effects) {
    for (const Effect& effect : effects) {
      std::visit([this](const auto& e) { Add(e); }, effect);
    }
  }
  double bytes() const { return bytes_; }
  double rows() const { return rows_; }
  double reads() const { return reads_; }

 private:
  void Call(double body) { bytes_ += body + kCallHeader + kReplyHeader; }
  void Add(const SendExchange& effect) {
    Call(static_cast<double>(EncodeExchange(effect.exchange).size()));
    // The report lists the same tasks in about as many bytes.
    bytes_ += static_cast<double>(EncodeExchange(effect.exchange).size());
  }
  void Add(const SendHeartbeat& effect) {
    Call(2.0 * static_cast<double>(EncodeHeartbeat(effect.heartbeat).size()));
  }
  void Add(const SendTransaction& effect) {
    Call(static_cast<double>(EncodeTransaction(effect.transaction).size()));
    rows_ += static_cast<double>(effect.transaction.writes.size());
  }
  void Add(const ReadRows&) {
    Call(60);
    ++reads_;
  }
  void Add(const ReadInstanceList&) { Call(0); }
  template <typename Other>
  void Add(const Other&) {}

  double bytes_ = 0;
  double rows_ = 0;
  double reads_ = 0;
};

JobSpec TaskJob(int number, int workspaces, int members) {
  JobSpec spec;
  spec.workspace = WorkspaceId(fmt::format("t{}", number % workspaces + 1));
  spec.id = FullJobId(spec.workspace, fmt::format("j{}", number));
  spec.job_class = ClassId("batch");
  spec.members = members;
  spec.cores = 1;
  spec.declared = Duration(1LL << 40);
  spec.repeatable = true;
  return spec;
}

/// Runs the emulation until all tasks run, then measures a steady period.
Spent Measure(const Sizes& sizes) {
  constexpr Duration kCounted{20000};
  constexpr int kMembers = 8;
  ClusterOptions options;
  options.instances = sizes.instances;
  options.settings = SettingsOf(sizes);
  options.runners = 0;
  options.tick = Duration(20);
  Cluster cluster(options);
  AddDeclaredWorkers(options.settings, &cluster);
  cluster.RunFor(Duration(8000));
  for (int i = 0; i < sizes.tasks / kMembers; ++i) {
    cluster.Submit(i % sizes.instances, TaskJob(i, sizes.workspaces, kMembers));
    if (i % 20 == 0) cluster.RunFor(Duration(100));
  }
  cluster.RunFor(Duration(15000));
  WireCounter wire;
  cluster.OnReduce([&wire](int, const Event&, const Effects& effects) {
    wire.Count(effects);
  });
  const auto before = cluster.reduce_time();
  cluster.RunFor(kCounted);
  const double seconds = static_cast<double>(kCounted.ms()) / 1000.0;
  const double spent =
      std::chrono::duration<double>(cluster.reduce_time() - before).count();
  const double instances = sizes.instances;
  return {100.0 * spent / seconds / instances,
          wire.bytes() / kBytesPerKb / seconds / instances,
          wire.rows() / seconds, wire.reads() / seconds};
}

/// Linear fit through points, with its mean relative error.
struct Fit {
  double slope = 0;
  double base = 0;
  double error = 0;
};

Fit FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const double n = static_cast<double>(x.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    sx += x[i];
    sy += y[i];
    sxx += x[i] * x[i];
    sxy += x[i] * y[i];
  }
  Fit fit;
  fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  fit.base = (sy - fit.slope * sx) / n;
  for (std::size_t i = 0; i < x.size(); ++i) {
    const double fitted = fit.base + fit.slope * x[i];
    fit.error += std::abs(fitted - y[i]) / std::max(1e-9, std::abs(y[i])) / n;
  }
  return fit;
}

void Sweep(const char* name, const std::vector<int>& values,
           const std::function<void(Sizes*, int)>& set) {
  std::vector<double> x;
  std::vector<double> cpu;
  std::vector<double> kb;
  fmt::print(
      "\n| {} | CPU, % of a core | KB/s | rows/s, all | reads/s, all "
      "|\n| --- | --- | --- | --- | --- |\n",
      name);
  for (const int value : values) {
    Sizes sizes;
    set(&sizes, value);
    const Spent spent = Measure(sizes);
    fmt::print("| {} | {:.3f} | {:.2f} | {:.2f} | {:.1f} |\n", value,
               spent.cpu_percent, spent.kb_per_second, spent.rows_written,
               spent.reads);
    std::fflush(stdout);
    x.push_back(value);
    cpu.push_back(spent.cpu_percent);
    kb.push_back(spent.kb_per_second);
  }
  const Fit cpu_fit = FitLine(x, cpu);
  const Fit kb_fit = FitLine(x, kb);
  fmt::print(
      "\nCPU = {:.4f} + {:.6f} x {} (error {:.0f}%); KB/s = {:.3f} + "
      "{:.5f} x {} (error {:.0f}%)\n",
      cpu_fit.base, cpu_fit.slope, name, 100 * cpu_fit.error, kb_fit.base,
      kb_fit.slope, name, 100 * kb_fit.error);
}

/// Returns the bytes in use on the heap.
double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Measures the memory that one more job of `members` takes in the mirror.
void MeasureMemory() {
  fmt::print(
      "\n| members | bytes for each job in memory | bytes of its row "
      "|\n| --- | --- | --- |\n");
  for (const int members : {1, 8, 16, 32}) {
    constexpr int kJobs = 2000;
    JobRow row;
    row.hall = HallId("h1");
    row.state = JobState::kRunning;
    for (int i = 0; i < members; ++i) {
      row.placement.members.push_back({WorkerId(fmt::format("w{}", i)), 3});
    }
    const double before = HeapBytes();
    Mirror mirror;
    std::size_t bytes = 0;
    for (int i = 0; i < kJobs; ++i) {
      row.spec = TaskJob(i, 170, members);
      const std::string value = EncodeJobRow(row);
      bytes = value.size();
      mirror.Apply({JobKey(row.spec.id), value, Revision(i + 1)}, false);
    }
    fmt::print("| {} | {:.0f} | {} |\n", members,
               (HeapBytes() - before) / kJobs, bytes);
  }
}

int Main() {
  fmt::print(
      "Each run: reducers with fakes, steady state, counted for 20 s of "
      "virtual time; for one instance unless it says all.\n");
  Sweep("workers", {64, 128, 256, 510},
        [](Sizes* sizes, int value) { sizes->workers = value; });
  Sweep("tasks", {400, 800, 1600, 3300},
        [](Sizes* sizes, int value) { sizes->tasks = value; });
  Sweep("workspaces", {20, 40, 85, 170},
        [](Sizes* sizes, int value) { sizes->workspaces = value; });
  Sweep("instances", {3, 5, 7, 9},
        [](Sizes* sizes, int value) { sizes->instances = value; });
  MeasureMemory();
  return 0;
}

}  // namespace
}  // namespace limeledge

int main() { return limeledge::Main(); }
