/// @file
/// The proxy's event loop.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/tcp_proxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <vector>

#include "absl/strings/str_cat.h"
#include "soak/node_process.h"

namespace limeledge::soak {

namespace {

constexpr int kBacklog = 128;
constexpr int kPollMs = 2;
constexpr int kIdlePollMs = 10;
constexpr std::size_t kChunkBytes = 16384;
// Limits the buffered data: a receiver that does not read blocks the sender.
constexpr std::size_t kMostChunks = 64;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

void Prepare(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
  fcntl(socket, F_SETFD, FD_CLOEXEC);
}

/// Returns how much later a request that arrives now is delivered.
Duration LatenessOf(const LinkFault& fault, TimePoint now) {
  if (fault.late_until == TimePoint()) return fault.late_by;
  return std::max(fault.late_until - now, Duration(0));
}

/// Closes a socket with a reset (RST) instead of an orderly shutdown.
void Reset(int socket) {
  const linger now = {1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(socket);
}

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

TcpProxy::~TcpProxy() { Stop(); }

absl::Status TcpProxy::Start(const Endpoint& server) {
  server_ = server;
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  // A port that the system chooses would be released by `SetListening(false)`.
  port_ = FreePort();
  const sockaddr_in address = LoopbackAddress(port_);
  const auto* const generic = reinterpret_cast<const sockaddr*>(&address);
  // Otherwise, connections that are closing would keep `SetListening(true)`
  // from listening again.
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool listens = listener_ >= 0 &&
                       bind(listener_, generic, sizeof(address)) == 0 &&
                       listen(listener_, kBacklog) == 0;
  if (!listens) return absl::UnavailableError("a proxy cannot listen");
  Prepare(listener_);
  thread_ = std::thread([this] { Loop(); });
  return absl::OkStatus();
}

void TcpProxy::Stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
  if (listener_ >= 0) close(listener_);
  listener_ = -1;
}

std::string TcpProxy::address() const {
  return absl::StrCat("127.0.0.1:", port_);
}

void TcpProxy::Redirect(const Endpoint& server) {
  const std::lock_guard<std::mutex> lock(mutex_);
  server_ = server;
}

void TcpProxy::SetFault(const LinkFault& fault) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fault_ = fault;
}

void TcpProxy::ResetAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  reset_asked_ = true;
}

void TcpProxy::SilenceAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  silence_asked_ = true;
}

void TcpProxy::Wait() {
  std::vector<pollfd> waits;
  if (listens_) waits.push_back({listener_, POLLIN, 0});
  bool pending = false;
  for (const Link& link : links_) {
    for (const Flow* flow : {&link.requests, &link.answers}) {
      pending = pending || !flow->chunks.empty();
      const bool reads = !flow->ended && flow->chunks.size() < kMostChunks;
      if (reads) waits.push_back({flow->from, POLLIN, 0});
    }
  }
  poll(waits.data(), waits.size(), pending ? kPollMs : kIdlePollMs);
}

LinkFault TcpProxy::TakeFault() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (Link& link : links_) {
    link.broken = link.broken || reset_asked_;
    link.silent = link.silent || silence_asked_;
  }
  reset_asked_ = silence_asked_ = false;
  return fault_;
}

void TcpProxy::Loop() {
  while (!stopping_) {
    Wait();
    const LinkFault fault = TakeFault();
    SetListening(!fault.closed);
    Accept(fault);
    for (auto link = links_.begin(); link != links_.end();) {
      if (!link->broken) Serve(&*link, fault);
      const bool over = link->requests.closed && link->answers.closed;
      if (!link->broken && !over) {
        ++link;
        continue;
      }
      Close(&*link, link->broken);
      link = links_.erase(link);
    }
  }
  for (Link& link : links_) Close(&link, true);
  links_.clear();
}

int TcpProxy::Connect() {
  mutex_.lock();
  const sockaddr_in address = LoopbackAddress(server_.port);
  mutex_.unlock();
  const int server = socket(AF_INET, SOCK_STREAM, 0);
  // A connect on loopback succeeds or fails immediately.
  const bool connected =
      connect(server, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0;
  if (connected) {
    Prepare(server);
    return server;
  }
  if (server >= 0) close(server);
  return -1;
}

void TcpProxy::SetListening(bool listens) {
  if (listens == listens_) return;
  if (listens) {
    listens_ = listen(listener_, kBacklog) == 0;
  } else {
    // The socket stays bound.
    listens_ = shutdown(listener_, SHUT_RD) != 0;
  }
}

void TcpProxy::Accept(const LinkFault& fault) {
  for (;;) {
    const int caller = accept(listener_, nullptr, nullptr);
    if (caller < 0) return;
    const int server = fault.refuses || fault.dark ? -1 : Connect();
    if (server < 0 && !fault.dark) {
      Reset(caller);
      continue;
    }
    Prepare(caller);
    Link link;
    link.requests.from = caller;
    link.requests.to = server;
    link.answers.from = server;
    link.answers.to = caller;
    links_.push_back(std::move(link));
  }
}

void TcpProxy::ServeWithoutServer(Link* link, const LinkFault& fault) {
  // The caller may have given up; what it sent is delivered all the same.
  if (!Receive(&link->requests, Duration(0))) link->requests.ended = true;
  if (fault.dark) return;
  link->requests.to = link->answers.from = Connect();
  link->broken = link->requests.to < 0;
}

void TcpProxy::LoseServer(Link* link) {
  Reset(link->requests.to);
  link->requests.to = link->answers.from = -1;
  link->answers.ended = true;
  link->silent = true;
}

void TcpProxy::Discard(Link* link) {
  const bool open =
      Receive(&link->requests, Duration(0)) && !link->requests.ended;
  link->requests.chunks.clear();
  link->broken = !open || !Receive(&link->answers, Duration(0));
  link->answers.chunks.clear();
}

void TcpProxy::ServeLate(Link* link) {
  // The caller may reset the connection after it has given up the call.
  if (!Receive(&link->requests, Duration(0))) link->requests.ended = true;
  if (!link->reconnected) {
    if (link->requests.chunks.front().due > clock_.Now()) return;
    // The server closes idle connections.
    close(link->requests.to);
    link->requests.to = link->answers.from = Connect();
    link->answers.ended = false;
    link->reconnected = true;
  }
  link->broken =
      !Deliver(&link->requests) || !Receive(&link->answers, Duration(0));
  link->answers.chunks.clear();
  link->answers.closed = link->answers.ended;
}

void TcpProxy::Serve(Link* link, const LinkFault& fault) {
  if (link->silent) {
    Discard(link);
    return;
  }
  if (link->late) {
    ServeLate(link);
    return;
  }
  if (link->requests.to < 0) {
    ServeWithoutServer(link, fault);
    return;
  }
  if (fault.dark) {
    LoseServer(link);
    return;
  }
  const Duration lateness = LatenessOf(fault, clock_.Now());
  const bool late = lateness > Duration(0);
  if (!Receive(&link->requests, late ? lateness : fault.delay) ||
      !Receive(&link->answers, fault.delay)) {
    link->broken = true;
    return;
  }
  link->late = late && !link->requests.chunks.empty();
  if (link->late) {
    // Data from the server is not read until the request is delivered.
    link->answers.ended = true;
    return;
  }
  if (!fault.holds_requests && !Deliver(&link->requests)) link->broken = true;
  if (!fault.holds_answers && !Deliver(&link->answers)) link->broken = true;
}

bool TcpProxy::Receive(Flow* flow, Duration delay) {
  std::array<char, kChunkBytes> buffer{};
  while (!flow->ended && flow->chunks.size() < kMostChunks) {
    const ssize_t got = recv(flow->from, buffer.data(), buffer.size(), 0);
    if (got < 0) return WouldBlock();
    if (got == 0) {
      flow->ended = true;
      return true;
    }
    Chunk chunk;
    chunk.due = clock_.Now() + delay;
    chunk.bytes.assign(buffer.data(), static_cast<std::size_t>(got));
    flow->chunks.push_back(std::move(chunk));
  }
  return true;
}

bool TcpProxy::Deliver(Flow* flow) {
  while (!flow->chunks.empty() && flow->chunks.front().due <= clock_.Now()) {
    Chunk& chunk = flow->chunks.front();
    const ssize_t sent = send(flow->to, chunk.bytes.data() + chunk.sent,
                              chunk.bytes.size() - chunk.sent, MSG_NOSIGNAL);
    if (sent < 0) return WouldBlock();
    chunk.sent += static_cast<std::size_t>(sent);
    if (chunk.sent == chunk.bytes.size()) flow->chunks.pop_front();
  }
  if (flow->ended && flow->chunks.empty() && !flow->closed) {
    flow->closed = true;
    shutdown(flow->to, SHUT_WR);
  }
  return true;
}

void TcpProxy::Close(Link* link, bool reset) {
  for (const int socket : {link->requests.from, link->requests.to}) {
    if (socket < 0) continue;
    if (reset) {
      Reset(socket);
    } else {
      close(socket);
    }
  }
}

}  // namespace limeledge::soak
