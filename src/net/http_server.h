/// @file
/// An HTTP server with limits on connections, requests and time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_HTTP_SERVER_H_
#define LIMELEDGE_SRC_NET_HTTP_SERVER_H_

#include <httplib.h>

#include <cstddef>
#include <future>
#include <string>
#include <thread>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "limeledge/clock.h"

namespace limeledge {

/// A host and a TCP port.
struct Endpoint {
  std::string host;
  int port = 0;
};

/// Parses "HOST:PORT". Fails with `kInvalidArgument` if `text` is malformed.
absl::StatusOr<Endpoint> ParseEndpoint(const std::string& text);

/// The address and limits of an `HttpServer`.
struct HttpServerOptions {
  /// The address to listen on; port 0 chooses a free port.
  Endpoint endpoint;
  /// The maximum number of connections served concurrently, each on a thread.
  /// Further connections wait in a queue.
  std::size_t connections = 64;
  /// The maximum size of a request body.
  std::size_t max_body_bytes = 1 << 20;
  /// How long the server waits for a client to send more of its request.
  Duration read_timeout{5000};
  /// A connection is closed after this number of requests.
  std::size_t requests_per_connection = 1000000;
  /// An idle connection is closed after this time, which is rounded down to
  /// whole seconds, with a minimum of one second.
  Duration keep_alive{2000};
};

/// An HTTP server that handles requests on its own thread pool.
///
///     HttpServer server(options);
///     server.routes().Get("/healthz", handler);
///     absl::Status status = server.Start();
///
/// Thread safety: none; use it from one thread. `routes` may only be called
/// before `Start`.
class HttpServer {
 public:
  explicit HttpServer(HttpServerOptions options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The server to register request handlers with.
  httplib::Server& routes() { return server_; }

  /// Binds the address and starts serving. Fails with `kUnavailable` if the
  /// address cannot be bound. Afterwards `port` returns the port in use, also
  /// if the port was given as 0.
  absl::Status Start();
  /// Stops accepting connections and waits until all open requests are handled.
  void Stop();
  /// Like `Stop`, but waits for at most `limit`, because a connection without
  /// incoming data occupies its thread for the whole read timeout. Returns
  /// false if connections are still open; the server must not be destroyed
  /// before they are closed.
  bool StopWithin(Duration limit);

  /// The size of the listen backlog; 0 before `Start`.
  int backlog() const;
  int port() const { return options_.endpoint.port; }
  std::string address() const;

 private:
  /// Replaces the library's small listen backlog by a larger one.
  absl::Status IncreaseBacklog();

  HttpServerOptions options_;
  httplib::Server server_;
  socket_t socket_ = INVALID_SOCKET;
  std::thread thread_;
  std::future<void> finished_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_HTTP_SERVER_H_
