/// @file
/// Benchmarks of single steps at the size that limeledge is built for.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/planning_pass.h"
#include "trial/cluster.h"

namespace limeledge {
namespace {

std::vector<WorkerRoom> Rooms(int racks, int workers_per_rack) {
  std::vector<WorkerRoom> rooms;
  for (int rack = 0; rack < racks; ++rack) {
    for (int i = 0; i < workers_per_rack; ++i) {
      WorkerRoom room;
      room.rack = RackId("r" + std::to_string(rack));
      room.id = WorkerId(room.rack.value() + "w" + std::to_string(i));
      room.accelerators = 8;
      room.free = i % 3 == 0 ? LowBits(8) : LowBits(5);
      room.free_cores = 64;
      room.free_memory_mb = 256000;
      rooms.push_back(room);
    }
  }
  return rooms;
}

void PlaceGangOf32(benchmark::State& state) {
  const HallView hall(Rooms(13, 8));
  for (auto _ : state) {
    HallView view = hall;
    benchmark::DoNotOptimize(
        PlaceGang(&view, {32, {8, 8, 1000}}, GangFit::kBest));
  }
}
BENCHMARK(PlaceGangOf32)->Unit(benchmark::kMicrosecond);

/// Hall with as many waiting jobs as the benchmark argument.
void PlanWaitingJobs(benchmark::State& state) {
  Settings settings;
  std::vector<JobRow> jobs(static_cast<std::size_t>(state.range(0)));
  std::vector<QueuedJob> queue;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    jobs[i].spec.workspace = WorkspaceId("w" + std::to_string(i % 34));
    jobs[i].spec.id =
        FullJobId(jobs[i].spec.workspace, "j" + std::to_string(i));
    jobs[i].spec.members = 1 + static_cast<int>(i % 4);
    jobs[i].spec.accelerators = 1 << (i % 4);
    jobs[i].spec.cores = 1;
    jobs[i].spec.repeatable = true;
    QueuedJob queued;
    queued.job = &jobs[i];
    queued.settings = settings.Effective(jobs[i].spec.workspace, ClassId("c"));
    queue.push_back(queued);
  }
  for (int w = 0; w < 34; ++w) {
    settings.workspaces[WorkspaceId("w" + std::to_string(w))].guarantees = {
        {"g", HallId("h"), 1, 8}};
  }
  const HallView hall(Rooms(13, 8));
  const GuaranteeBook book(settings, HallId("h"));
  for (auto _ : state) {
    PlanningPass pass(PassInput{hall, {}, queue, book});
    benchmark::DoNotOptimize(pass.Run());
  }
}
BENCHMARK(PlanWaitingJobs)
    ->Arg(10)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(5000)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace limeledge

BENCHMARK_MAIN();
