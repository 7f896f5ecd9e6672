/// @file
/// One daemon: engine, interfaces and servers put together.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_DAEMON_H_
#define LIMELEDGE_SRC_DAEMON_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "daemon/process_config.h"

namespace limeledge {

/// A whole daemon inside this process.
///
///     Daemon daemon(config, [] { /* it has ended */ });
///     absl::Status status = daemon.Start();
///     daemon.AskStop();
///
/// Thread safety: `AskStop` from any thread; the rest from one thread.
class Daemon {
 public:
  /// `on_exit` is called once when a stop is complete, from another thread.
  Daemon(ProcessConfig config, std::function<void()> on_exit);
  ~Daemon();

  /// Listens and begins to work. Fails with `kUnavailable` when an address is
  /// taken.
  absl::Status Start();
  /// Begins a planned stop; asking again changes nothing.
  void AskStop();

  std::string api_address() const;
  std::string peer_address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_DAEMON_H_
