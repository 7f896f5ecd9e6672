/// @file
/// The process file: identity, addresses and limits of one daemon.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_PROCESS_CONFIG_H_
#define LIMELEDGE_SRC_DAEMON_PROCESS_CONFIG_H_

#include <cstddef>
#include <string>

#include "core/slot_table.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"
#include "limeledge/finding.h"
#include "net/http_server.h"

namespace limeledge {

enum class PlatformKind {
  /// The platform's services at an address.
  kHttp,
  /// A stand-in inside this process, for trials on one machine.
  kEmbedded,
};

/// The section `process` of a process file.
struct ProcessConfig {
  InstanceId id;
  HallId hall;
  /// Callers, operators and workers.
  Endpoint listen{"127.0.0.1", 7100};
  /// Other daemons.
  Endpoint peer_listen{"127.0.0.1", 0};
  PlatformKind platform = PlatformKind::kHttp;
  std::string platform_address;
  std::size_t connections = 128;
  std::size_t max_body_bytes = 1 << 20;
  Duration read_timeout{5000};
  int runner_lanes = 64;
  int worker_lanes = 8;
  SlotDivision slot_division = SlotDivision::kBySlot;
  /// File that every event is recorded to, for replay; empty for none.
  std::string record;
  /// The file's section `settings` as text, or empty when it has none.
  std::string initial_settings;
};

/// Reads and checks a process file's text. Adds to `findings` whatever is
/// wrong, in its `settings` section too. Safe from any thread.
ProcessConfig ReadProcessConfig(const std::string& text, Findings* findings);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_PROCESS_CONFIG_H_
