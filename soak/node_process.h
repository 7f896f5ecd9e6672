/// @file
/// Runs one limeledge-node process and restarts it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_NODE_PROCESS_H_
#define LIMELEDGE_SOAK_NODE_PROCESS_H_

#include <sys/types.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "limeledge/clock.h"
#include "soak/tcp_proxy.h"

namespace limeledge::soak {

/// One incarnation of the node process.
struct NodeLife {
  TimePoint started_at;
  /// Time of the shutdown request, if any.
  std::optional<TimePoint> stop_asked_at;
  std::optional<TimePoint> ended_at;
  /// The soak test killed the process.
  bool killed = false;
};

/// Starts, signals and restarts one node; signals only processes that it
/// started.
///
/// Thread safety: all methods from any thread.
class NodeProcess {
 public:
  /// `program` is the path of limeledge-node; settings and log are written to
  /// `directory`.
  NodeProcess(int number, std::string program, std::string directory);
  ~NodeProcess();

  /// Starts the proxies to the store and to this node, writes the settings, and
  /// starts the first incarnation. Fails with `kUnavailable`.
  absl::Status Start(const Endpoint& store);
  /// Starts a new incarnation if the last one has ended.
  void Restart();
  void Kill();
  /// Makes the next incarnation a different node, with a new name and new
  /// addresses.
  void ReplaceNext();
  /// Sends SIGTERM, SIGHUP, SIGSTOP or SIGCONT.
  void Signal(int signal);
  /// Records the end of the incarnation if it has ended. Returns true while it
  /// runs.
  bool Lives();
  /// Returns the exit status of the last incarnation that ended by itself: -1
  /// if there is none, 128 plus the number of the signal after a signal.
  int last_status();

  const std::string& name() const { return name_; }
  TcpProxy& store_link() { return store_link_; }
  TcpProxy& front_link() { return front_link_; }
  /// Address for callers, behind the proxy.
  std::string front() const { return front_link_.address(); }
  std::string ready() const;
  std::string metrics() const;
  std::string log_path() const;
  /// Returns all incarnations; the last one may still run.
  std::vector<NodeLife> lives();

 private:
  /// Assigns a name and free addresses to the node, and writes its settings.
  void Settle();
  void WriteSettings(int port) const;
  void Spawn();
  void Reap();
  void NoteEnd(int status, bool killed);

  /// Shared by all nodes that replace one another here.
  std::string name_;
  std::string program_;
  std::string directory_;
  std::string ready_;
  std::string metrics_;
  TcpProxy store_link_;
  TcpProxy front_link_;
  SteadyClock clock_;
  mutable std::mutex mutex_;
  /// Number of nodes that were permanently replaced by another.
  int replaced_ = 0;
  bool replace_next_ = false;
  pid_t pid_ = -1;
  int last_status_ = -1;
  std::vector<NodeLife> lives_;
};

/// All nodes of a run.
using Nodes = std::vector<std::unique_ptr<NodeProcess>>;

/// Returns a free port on loopback.
int FreePort();

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_NODE_PROCESS_H_
