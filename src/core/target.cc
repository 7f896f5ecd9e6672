/// @file
/// Comparison of instance lists.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/target.h"

#include <tuple>

namespace limeledge {

bool operator==(const EntryInfo& a, const EntryInfo& b) {
  return std::tie(a.id, a.peer_address, a.hall, a.leaving) ==
         std::tie(b.id, b.peer_address, b.hall, b.leaving);
}

bool operator==(const WorkerInfo& a, const WorkerInfo& b) {
  return std::tie(a.id, a.address, a.hall, a.rack, a.accelerators, a.cores,
                  a.memory_mb, a.leaving) ==
         std::tie(b.id, b.address, b.hall, b.rack, b.accelerators, b.cores,
                  b.memory_mb, b.leaving);
}

bool operator==(const RunnerInfo& a, const RunnerInfo& b) {
  return std::tie(a.id, a.address, a.hall, a.slots, a.connections, a.leaving) ==
         std::tie(b.id, b.address, b.hall, b.slots, b.connections, b.leaving);
}

bool operator==(const InstanceList& a, const InstanceList& b) {
  return a.entries == b.entries && a.workers == b.workers &&
         a.runners == b.runners;
}

}  // namespace limeledge
