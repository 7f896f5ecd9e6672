/// @file
/// Messages between limeledged processes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_PEER_PROTOCOL_H_
#define LIMELEDGE_SRC_CORE_PEER_PROTOCOL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "limeledge/base.h"

namespace limeledge {

/// Free room of one hall, as its planner sees it.
struct HallDigest {
  HallId hall;
  Epoch epoch;
  int free_accelerators = 0;
  /// Most free accelerators on one worker.
  int largest_free = 0;
  int waiting_jobs = 0;
};

/// What every instance tells every other one at a fixed interval.
struct Heartbeat {
  InstanceId from;
  std::int64_t incarnation = 0;
  bool leaving = false;
  SettingsVersion settings;
  /// Newest commit of the sender that others should read.
  Revision revision;
  /// The sender reached the table service lately.
  bool store_reachable = false;
  std::vector<HallDigest> halls;
  /// Runners and workers that the sender knows to be leaving.
  std::vector<RunnerId> leaving_runners;
  std::vector<WorkerId> leaving_workers;
};

/// Settings handed from one instance to another.
struct SettingsCopy {
  SettingsVersion version;
  std::string text;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_PEER_PROTOCOL_H_
