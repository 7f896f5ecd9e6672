/// @file
/// Workers, runners and entry instances as the instance list names them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_TARGET_H_
#define LIMELEDGE_SRC_CORE_TARGET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "limeledge/base.h"

namespace limeledge {

/// An address as text, such as "127.0.0.1:7101".
using Address = Id<struct AddressTag>;

struct WorkerInfo {
  WorkerId id;
  Address address;
  HallId hall;
  RackId rack;
  int accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;
  bool leaving = false;
};

struct RunnerInfo {
  RunnerId id;
  Address address;
  HallId hall;
  int slots = 0;
  int connections = 0;
  bool leaving = false;
};

/// A limeledged process.
struct EntryInfo {
  InstanceId id;
  /// Address of the peer interface.
  Address peer_address;
  HallId hall;
  bool leaving = false;
};

/// The whole instance list as one reading gave it.
struct InstanceList {
  std::vector<EntryInfo> entries;
  std::vector<WorkerInfo> workers;
  std::vector<RunnerInfo> runners;
};

bool operator==(const EntryInfo& a, const EntryInfo& b);
bool operator==(const WorkerInfo& a, const WorkerInfo& b);
bool operator==(const RunnerInfo& a, const RunnerInfo& b);
bool operator==(const InstanceList& a, const InstanceList& b);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_TARGET_H_
