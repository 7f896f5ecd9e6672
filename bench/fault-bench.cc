/// @file
/// Measures the effects of each fault: recovery, refused and unknown shares,
/// store load.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <functional>
#include <string>
#include <vector>

#include "trial/cluster.h"

namespace limeledge {
namespace {

constexpr int kInstances = 3;
constexpr Duration kWarmUp{8000};
constexpr Duration kStep{10};
constexpr Duration kCounted{60000};
constexpr Duration kFaultAt{10000};
/// One request arrives in each step; every second request is not repeatable.
constexpr int kJobEverySteps = 200;

constexpr char kSettings[] = R"(
halls:
  a: {racks: 2, workers_per_rack: 8, accelerators_per_worker: 8, cores_per_worker: 60, memory_mb_per_worker: 250000}
classes:
  check: {kind: request, priority: 1, deadline_ms: 5000}
  batch: {kind: job}
workspaces:
  w1: {guarantees: {g: {hall: a, members: 4, accelerators: 8}}}
  w2: {}
)";

/// A fault: the action that begins it and the one that ends it after `lasts`.
struct Scenario {
  const char* name;
  Duration lasts;
  std::function<void(Cluster*, int planner)> begin;
  std::function<void(Cluster*, int planner)> end;
};

int PlannerOf(const Cluster& cluster) {
  for (int i = 0; i < cluster.instances(); ++i) {
    if (!cluster.IsAlive(i) || cluster.IsPaused(i)) continue;
    const auto& planners = cluster.reducer(i).planners();
    const auto it = planners.find(HallId("a"));
    if (it != planners.end() && it->second.HoldsAt(cluster.now())) return i;
  }
  return -1;
}

class Run {
 public:
  explicit Run(const Scenario& scenario)
      : scenario_(scenario), cluster_(Options()) {
    cluster_.OnReduce([this](int, const Event&, const Effects& effects) {
      for (const Effect& effect : effects) Count(effect);
    });
    AddDeclaredWorkers(kSettings, &cluster_);
    cluster_.RunFor(kWarmUp);
  }

  void Print() {
    transactions_ = 0;
    rows_ = 0;
    const TimePoint begin = cluster_.now();
    const int planner = PlannerOf(cluster_);
    bool begun = false;
    bool ended = false;
    for (int step = 0; cluster_.now() - begin < kCounted; ++step) {
      const Duration at = cluster_.now() - begin;
      if (!begun && at >= kFaultAt) {
        begun = true;
        scenario_.begin(&cluster_, planner);
      }
      if (!ended && at >= kFaultAt + scenario_.lasts) {
        ended = true;
        scenario_.end(&cluster_, planner);
      }
      SendWork(step);
      cluster_.RunFor(kStep);
      const bool unplanned = begun && PlannerOf(cluster_) < 0;
      if (unplanned) unplanned_ = unplanned_ + kStep;
    }
    cluster_.Heal();
    cluster_.RunFor(Duration(10000));
    PrintRow();
  }

 private:
  static ClusterOptions Options() {
    ClusterOptions options;
    options.instances = kInstances;
    options.settings = kSettings;
    options.runners = 6;
    options.runner_slots = 8;
    options.service_time = Duration(20);
    return options;
  }

  void Count(const Effect& effect) {
    const auto* send = std::get_if<SendTransaction>(&effect);
    if (send == nullptr) return;
    ++transactions_;
    rows_ += static_cast<int>(send->transaction.writes.size());
  }

  void SendWork(int step) {
    // The load balancer does not send requests to an instance that is down.
    int instance = step % kInstances;
    while (!cluster_.IsAlive(instance)) instance = (instance + 1) % kInstances;
    RequestSpec request;
    request.id = RequestId(fmt::format("r{}", step));
    request.workspace = WorkspaceId("w1");
    request.request_class = ClassId("check");
    request.repeatable = step % 2 == 0;
    request.payload = "x";
    calls_.push_back(cluster_.Request(instance, request));
    if (step % kJobEverySteps != 0) return;
    JobSpec job;
    job.workspace = WorkspaceId("w2");
    job.id = FullJobId(job.workspace, fmt::format("j{}", step));
    job.job_class = ClassId("batch");
    job.members = 2;
    job.accelerators = 4;
    job.cores = 1;
    job.declared = Duration(5000);
    job.repeatable = true;
    cluster_.Submit(instance, job);
  }

  void PrintRow() const {
    int answered = 0;
    int not_run = 0;
    int unknown = 0;
    int cut = 0;
    for (const std::size_t index : calls_) {
      const CallRecord& call = cluster_.call(index);
      if (!call.answer.has_value()) {
        ++cut;
        continue;
      }
      switch (std::get<RequestResult>(*call.answer).outcome) {
        case RequestOutcome::kAnswered:
          ++answered;
          break;
        case RequestOutcome::kNotRun:
          ++not_run;
          break;
        case RequestOutcome::kUnknown:
          ++unknown;
          break;
      }
    }
    const double all = static_cast<double>(calls_.size()) / 100.0;
    const double seconds = static_cast<double>(kCounted.ms()) / 1000.0;
    fmt::print(
        "| {} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | {:.1f} | {:.1f} | "
        "{:.1f} |\n",
        scenario_.name, answered / all, not_run / all, unknown / all, cut / all,
        static_cast<double>(unplanned_.ms()) / 1000.0, transactions_ / seconds,
        rows_ / seconds);
  }

  const Scenario& scenario_;
  Cluster cluster_;
  std::vector<std::size_t> calls_;
  Duration unplanned_;
  int transactions_ = 0;
  int rows_ = 0;
};

std::vector<Scenario> Scenarios() {
  const auto nothing = [](Cluster*, int) {};
  return {
      {"none", Duration(0), nothing, nothing},
      {"planner killed, replaced after 20 s", Duration(20000),
       [](Cluster* cluster, int planner) { cluster->Kill(planner); },
       [](Cluster* cluster, int planner) { cluster->Start(planner); }},
      {"planner paused for 20 s", Duration(20000),
       [](Cluster* cluster, int planner) { cluster->Pause(planner); },
       [](Cluster* cluster, int planner) { cluster->Wake(planner); }},
      {"planned stop, replaced after 10 s", Duration(10000),
       [](Cluster* cluster, int planner) { cluster->Stop(planner); },
       [](Cluster* cluster, int planner) { cluster->Start(planner); }},
      {"table down for 20 s", Duration(20000),
       [](Cluster* cluster, int) { cluster->faults().store_down = true; },
       [](Cluster* cluster, int) { cluster->faults().store_down = false; }},
      {"a fifth of the table's answers lost for 20 s", Duration(20000),
       [](Cluster* cluster, int) { cluster->faults().lose_commit_answer = 20; },
       [](Cluster* cluster, int) { cluster->faults().lose_commit_answer = 0; }},
      {"planner cut off from the table for 20 s", Duration(20000),
       [](Cluster* cluster, int planner) { cluster->CutStore(planner, true); },
       [](Cluster* cluster, int planner) {
         cluster->CutStore(planner, false);
       }},
      {"one of six runners cuts every call for 20 s", Duration(20000),
       [](Cluster* cluster, int) {
         cluster->SetRunnerFaults(RunnerId("runner-1"), {false, true, false});
       },
       [](Cluster* cluster, int) {
         cluster->SetRunnerFaults(RunnerId("runner-1"), {});
       }},
  };
}

int Main() {
  fmt::print(
      "Three instances, 100 requests/s (half not repeatable), a gang job "
      "every 2 s, 60 s; the fault begins after 10 s.\n\n"
      "| fault | answered % | not run % | unknown % | cut % | hall "
      "without a planner, s | transactions/s | rows/s |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const Scenario& scenario : Scenarios()) Run(scenario).Print();
  return 0;
}

}  // namespace
}  // namespace limeledge

int main() { return limeledge::Main(); }
