/// @file
/// Implementation of `HttpServer` with cpp-httplib.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "net/http_server.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "net/elastic_pool.h"

namespace limeledge {

namespace {

constexpr int kMaxPort = 65535;
/// The listen backlog. It must hold the connections that all nodes, or a burst
/// of callers, open at the same time. The library's backlog is 5; the kernel
/// silently drops connection attempts beyond the backlog, and clients retry
/// them only after one second, then three.
constexpr int kBacklog = 256;

std::chrono::milliseconds ToChrono(Duration duration) {
  return std::chrono::milliseconds(duration.ms());
}

}  // namespace

absl::StatusOr<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  Endpoint endpoint;
  const bool has_host = colon != std::string::npos && colon > 0;
  if (has_host) endpoint.host = text.substr(0, colon);
  if (!has_host || !absl::SimpleAtoi(text.substr(colon + 1), &endpoint.port) ||
      endpoint.port < 0 || endpoint.port > kMaxPort) {
    return absl::InvalidArgumentError(
        absl::StrCat("'", text, "' is not of the form HOST:PORT"));
  }
  return endpoint;
}

HttpServer::HttpServer(HttpServerOptions options)
    : options_(std::move(options)) {
  const std::size_t threads = options_.connections;
  server_.new_task_queue = [threads] { return new ElasticPool(threads); };
  server_.set_payload_max_length(options_.max_body_bytes);
  server_.set_read_timeout(ToChrono(options_.read_timeout));
  server_.set_keep_alive_max_count(options_.requests_per_connection);
  server_.set_keep_alive_timeout(
      std::max<std::int64_t>(1, options_.keep_alive.ms() / 1000));
  server_.set_tcp_nodelay(true);
  server_.set_socket_options([this](socket_t socket) {
    httplib::default_socket_options(socket);
    socket_ = socket;
  });
}

HttpServer::~HttpServer() { Stop(); }

absl::Status HttpServer::Start() {
  const Endpoint& requested = options_.endpoint;
  bool bound = false;
  if (requested.port == 0) {
    options_.endpoint.port = server_.bind_to_any_port(requested.host);
    bound = options_.endpoint.port > 0;
  } else {
    bound = server_.bind_to_port(requested.host, requested.port);
  }
  if (!bound) {
    return absl::UnavailableError(
        absl::StrCat("cannot listen on ", requested.host, ":", requested.port));
  }
  absl::Status increased = IncreaseBacklog();
  if (!increased.ok()) return increased;
  std::packaged_task<void()> listen([this] { server_.listen_after_bind(); });
  finished_ = listen.get_future();
  thread_ = std::thread(std::move(listen));
  while (!server_.is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return absl::OkStatus();
}

absl::Status HttpServer::IncreaseBacklog() {
  // On a socket that already listens, `listen` only changes the backlog.
  if (listen(socket_, kBacklog) == 0) return absl::OkStatus();
  return absl::ErrnoToStatus(errno, "cannot increase the listen backlog");
}

int HttpServer::backlog() const {
  tcp_info info{};
  socklen_t length = sizeof(info);
  const int status = getsockopt(socket_, IPPROTO_TCP, TCP_INFO, &info, &length);
  // For a listening socket, the kernel reports its backlog in this field.
  return status == 0 ? static_cast<int>(info.tcpi_sacked) : 0;
}

void HttpServer::Stop() {
  server_.stop();
  if (thread_.joinable()) thread_.join();
}

bool HttpServer::StopWithin(Duration limit) {
  server_.stop();
  if (!finished_.valid()) return true;
  return finished_.wait_for(ToChrono(limit)) == std::future_status::ready;
}

std::string HttpServer::address() const {
  return absl::StrCat(options_.endpoint.host, ":", options_.endpoint.port);
}

}  // namespace limeledge
