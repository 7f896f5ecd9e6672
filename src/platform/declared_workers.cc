/// @file
/// Names declared workers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "platform/declared_workers.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge {

std::vector<WorkerInfo> DeclaredWorkers(const HallId& id,
                                        const HallSettings& hall) {
  std::vector<WorkerInfo> workers;
  for (int rack = 1; rack <= hall.racks; ++rack) {
    for (int number = 1; number <= hall.workers_per_rack; ++number) {
      WorkerInfo worker;
      worker.hall = id;
      worker.rack = RackId(absl::StrCat(id.value(), "-r", rack));
      worker.id = WorkerId(absl::StrCat(worker.rack.value(), "-w", number));
      worker.accelerators = hall.accelerators_per_worker;
      worker.cores = hall.cores_per_worker;
      worker.memory_mb = hall.memory_mb_per_worker;
      workers.push_back(std::move(worker));
    }
  }
  return workers;
}

}  // namespace limeledge
