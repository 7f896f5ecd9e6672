/// @file
/// One limeledge-node as a process of its own, and its lives.
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

/// One life of the process.
struct NodeLife {
  TimePoint started_at;
  /// When it was asked to stop; nothing if it was not.
  std::optional<TimePoint> stop_asked_at;
  std::optional<TimePoint> ended_at;
  /// Killed by the soak.
  bool killed = false;
};

/// Starts, signals and restarts one node; only processes that it started are
/// ever signalled.
///
/// Thread safety: all methods from any thread.
class NodeProcess {
 public:
  /// `program` is limeledge-node; settings and log go to `directory`.
  NodeProcess(int number, std::string program, std::string directory);
  ~NodeProcess();

  /// Starts the proxies towards the store and towards this node, writes the
  /// settings, and starts the first life. Fails with `kUnavailable`.
  absl::Status Start(const Endpoint& store);
  /// Starts a new life if the last one is over.
  void Restart();
  void Kill();
  /// The next life is another node: of another name, at other addresses.
  void ReplaceNext();
  /// Sends SIGTERM, SIGHUP, SIGSTOP or SIGCONT.
  void Signal(int signal);
  /// Notes the end of the life if it ended. Returns true while it goes on.
  bool Lives();
  /// The exit status of the last life that ended by itself; -1 for none, and
  /// after a signal 128 and its number.
  int last_status();

  const std::string& name() const { return name_; }
  TcpProxy& store_link() { return store_link_; }
  TcpProxy& front_link() { return front_link_; }
  /// Where callers call, behind the proxy.
  std::string front() const { return front_link_.address(); }
  std::string ready() const;
  std::string metrics() const;
  std::string log_path() const;
  /// All lives so far; the last one may go on.
  std::vector<NodeLife> lives();

 private:
  /// Gives the node a name and free addresses, and writes its settings.
  void Settle();
  void WriteSettings(int port) const;
  void Spawn();
  void Reap();
  void NoteEnd(int status, bool killed);

  /// Of all nodes that follow one another here.
  std::string name_;
  std::string program_;
  std::string directory_;
  std::string ready_;
  std::string metrics_;
  TcpProxy store_link_;
  TcpProxy front_link_;
  SteadyClock clock_;
  mutable std::mutex mutex_;
  /// Nodes that were removed for good in favour of another.
  int replaced_ = 0;
  bool replace_next_ = false;
  pid_t pid_ = -1;
  int last_status_ = -1;
  std::vector<NodeLife> lives_;
};

/// All nodes of a run.
using Nodes = std::vector<std::unique_ptr<NodeProcess>>;

/// A port of loopback that is free now.
int FreePort();

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_NODE_PROCESS_H_
