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

/// Faults that a proxy injects into a link.
struct LinkFault {
  /// Delay added to each chunk of bytes, in both directions.
  Duration delay;
  /// Bytes towards the server, or back, are held until the fault ends.
  bool holds_requests = false;
  bool holds_answers = false;
  /// Requests that arrive during the fault get no response and are delivered
  /// this much later, so that requests on other connections overtake them; 0
  /// disables this.
  Duration late_by;
  /// Like `late_by`, but all requests are delivered at this time, as by a link
  /// that keeps them through a partition; 0 disables this.
  TimePoint late_until;
  /// New connections are reset immediately.
  bool refuses = false;
  /// Nothing listens at the address, so that the system refuses new
  /// connections.
  bool closed = false;
  /// The server's machine is down: open connections go silent for good. New
  /// ones are accepted, and what is sent on them is held and delivered to the
  /// server that is there once the fault ends.
  bool dark = false;
};

/// Forwards connections to one server.
///
/// Thread safety: `Start` once and `Stop` from one thread; the rest from any.
class TcpProxy {
 public:
  TcpProxy() = default;
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  /// Listens on a free port, which stays reserved while nothing listens there.
  /// Fails with `kUnavailable`.
  absl::Status Start(const Endpoint& server);
  void Stop();
  std::string address() const;

  /// Redirects new connections to another server.
  void Redirect(const Endpoint& server);

  void SetFault(const LinkFault& fault);
  /// Resets all open connections.
  void ResetAll();
  /// Silently drops all further data on the open connections, without closing
  /// them; new connections work.
  void SilenceAll();

 private:
  /// Bytes in transit, and the earliest time of their delivery.
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
    /// The sender has closed its side, and this was passed on to the receiver.
    bool ended = false;
    bool closed = false;
  };
  struct Link {
    Flow requests;
    Flow answers;
    bool broken = false;
    bool silent = false;
    /// The request is delivered late, on a separate connection.
    bool late = false;
    bool reconnected = false;
  };

  void Loop();
  /// Waits until a socket is ready or a timeout passes.
  void Wait();
  /// Carries out pending one-time requests (reset, silence) and returns the
  /// active fault.
  LinkFault TakeFault();
  /// Stops listening, or listens again; if the system refuses, the next call
  /// tries again.
  void SetListening(bool listens);
  void Accept(const LinkFault& fault);
  /// Opens a connection to the server; returns -1 on failure.
  int Connect();
  void Serve(Link* link, const LinkFault& fault);
  /// Holds the data of a connection without a server, and connects it once the
  /// machine is no longer dark.
  void ServeWithoutServer(Link* link, const LinkFault& fault);
  /// Ends a connection's side of the server and silences the other one.
  static void LoseServer(Link* link);
  /// Discards data on a silenced connection until the caller closes it.
  void Discard(Link* link);
  /// Drops responses, and delivers delayed requests when they are due.
  void ServeLate(Link* link);
  /// Reads available data. Returns false if the connection broke.
  bool Receive(Flow* flow, Duration delay);
  /// Sends the data that is due. Returns false if the connection broke.
  bool Deliver(Flow* flow);
  static void Close(Link* link, bool reset);

  int listener_ = -1;
  /// Used only by the thread `thread_`.
  bool listens_ = true;
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
