/// @file
/// A TCP proxy on loopback that delays, holds, refuses or resets connections.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_TCP_PROXY_H_
#define LIMELEDGE_SOAK_TCP_PROXY_H_

#include <atomic>
#include <cstddef>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include "absl/status/status.h"
#include "limeledge/clock.h"
#include "net/http_server.h"

namespace limeledge::soak {

/// What is wrong with a link.
struct LinkFault {
  /// Added to the way of each chunk of bytes, in both directions.
  Duration delay;
  /// Bytes towards the server, or back, are held until the fault ends.
  bool holds_requests = false;
  bool holds_answers = false;
  /// Requests that come meanwhile get no answer, and are delivered so much
  /// later, past those that come on other connections; 0 for none.
  Duration late_by;
  /// New connections are reset at once.
  bool refuses = false;
};

/// Passes connections on to one server.
///
/// Thread safety: `Start` once and `Stop` from one thread; the rest from any.
class TcpProxy {
 public:
  TcpProxy() = default;
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  /// Listens on a free port. Fails with `kUnavailable`.
  absl::Status Start(const Endpoint& server);
  void Stop();
  std::string address() const;

  /// New connections go to another server from now on.
  void Redirect(const Endpoint& server);

  void SetFault(const LinkFault& fault);
  /// Resets all connections that are open now.
  void ResetAll();
  /// Nothing passes any more on the connections that are open now, and nobody
  /// is told; new ones work.
  void SilenceAll();

 private:
  /// Bytes on their way, and when they may arrive.
  struct Chunk {
    TimePoint due;
    std::string bytes;
    std::size_t sent = 0;
  };
  /// One direction of a connection.
  struct Flow {
    int from = -1;
    int to = -1;
    std::deque<Chunk> chunks;
    /// The sender has closed its side, and the receiver was told.
    bool ended = false;
    bool closed = false;
  };
  struct Link {
    Flow requests;
    Flow answers;
    bool broken = false;
    bool silent = false;
    /// Its request is delivered late, on a connection of its own.
    bool late = false;
    bool reconnected = false;
  };

  void Loop();
  /// Returns once something came, or after a while.
  void Wait();
  /// Does what was asked for once, and returns the fault that is on.
  LinkFault TakeFault();
  void Accept(const LinkFault& fault);
  /// A new connection to the server; -1 if there is none.
  int Connect();
  void Serve(Link* link, const LinkFault& fault);
  /// Swallows what comes on a silent connection, until its caller gives up.
  void Swallow(Link* link);
  /// Loses answers, and delivers requests once they are due.
  void ServeLate(Link* link);
  /// Takes in what came. Returns false if the connection broke.
  bool Receive(Flow* flow, Duration delay);
  /// Sends what is due. Returns false if the connection broke.
  bool Deliver(Flow* flow);
  static void Close(Link* link, bool reset);

  int listener_ = -1;
  int port_ = 0;
  SteadyClock clock_;
  std::thread thread_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  Endpoint server_;
  LinkFault fault_;
  bool reset_asked_ = false;
  bool silence_asked_ = false;
  std::list<Link> links_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_TCP_PROXY_H_
