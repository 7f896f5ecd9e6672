/// @file
/// Implementation of `HttpClient` with cpp-httplib.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "net/http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "net/http_server.h"

namespace limeledge {

namespace {

constexpr char kJsonType[] = "application/json";

std::chrono::milliseconds ToChrono(Duration duration) {
  return std::chrono::milliseconds(std::max<std::int64_t>(1, duration.ms()));
}

/// The kernel closes a connection whose data stays unacknowledged for this
/// long, so that a peer that vanished without closing it is detected.
constexpr unsigned int kUserTimeoutMs = 3000;

void SetUserTimeout(socket_t socket) {
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
}

bool WasNotSent(httplib::Error error) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return true;
    default:
      return false;
  }
}

httplib::Request MakeRequest(const HttpCall& call) {
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  request.headers = call.headers;
  if (!call.body.empty()) request.set_header("Content-Type", kJsonType);
  if (!call.token.empty()) {
    request.set_header("Authorization", absl::StrCat("Bearer ", call.token));
  }
  if (!call.if_match.empty()) request.set_header("If-Match", call.if_match);
  if (!call.if_none_match.empty()) {
    request.set_header("If-None-Match", call.if_none_match);
  }
  return request;
}

}  // namespace

HttpClient::HttpClient(Duration idle_timeout) : idle_timeout_(idle_timeout) {}

HttpReply HttpClient::Call(const HttpCall& call) {
  HttpReply reply;
  std::unique_ptr<httplib::Client> client = Acquire(call.address);
  if (client == nullptr) {
    reply.outcome = HttpOutcome::kNotSent;
    return reply;
  }
  client->set_connection_timeout(ToChrono(call.connect_timeout));
  client->set_read_timeout(ToChrono(call.timeout));
  client->set_write_timeout(ToChrono(call.timeout));
  httplib::Result result = client->send(MakeRequest(call));
  if (!result) {
    reply.outcome =
        WasNotSent(result.error()) ? HttpOutcome::kNotSent : HttpOutcome::kLost;
    CloseIdle(call.address);
    return reply;
  }
  reply.outcome = HttpOutcome::kAnswered;
  reply.status = result->status;
  reply.body = std::move(result->body);
  reply.headers = std::move(result->headers);
  Release(call.address, std::move(client));
  return reply;
}

std::unique_ptr<httplib::Client> HttpClient::Acquire(
    const std::string& address) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<IdleConnection>& connections = idle_connections_[address];
    const TimePoint now = clock_.Now();
    while (!connections.empty()) {
      IdleConnection last = std::move(connections.back());
      connections.pop_back();
      if (now - last.idle_since < idle_timeout_) return std::move(last.client);
      // The remaining ones have been idle even longer.
      connections.clear();
    }
  }
  const absl::StatusOr<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint.ok()) return nullptr;
  auto client =
      std::make_unique<httplib::Client>(endpoint->host, endpoint->port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_socket_options(SetUserTimeout);
  return client;
}

void HttpClient::Release(const std::string& address,
                         std::unique_ptr<httplib::Client> client) {
  const std::lock_guard<std::mutex> lock(mutex_);
  idle_connections_[address].push_back({std::move(client), clock_.Now()});
}

void HttpClient::CloseIdle(const std::string& address) {
  std::vector<IdleConnection> closing;
  const std::lock_guard<std::mutex> lock(mutex_);
  closing.swap(idle_connections_[address]);
}

}  // namespace limeledge
