/// @file
/// HTTP calls over plain sockets.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/held_call.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "net/http_server.h"

namespace limeledge::soak {

namespace {

constexpr std::size_t kBufferBytes = 4096;
constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr char kLengthField[] = "Content-Length: ";

/// Returns true if the response has its header and the body length that it
/// declares.
bool IsWhole(const std::string& answer) {
  const std::size_t head = answer.find(kHeadEnd);
  if (head == std::string::npos) return false;
  const std::size_t field = answer.find(kLengthField);
  if (field == std::string::npos || field > head) return true;
  const std::size_t from = field + sizeof(kLengthField) - 1;
  std::size_t length = 0;
  const std::string text = answer.substr(from, answer.find('\r', from) - from);
  if (!absl::SimpleAtoi(text, &length)) return false;
  return answer.size() >= head + sizeof(kHeadEnd) - 1 + length;
}

}  // namespace

HeldCall::HeldCall(const std::string& address) {
  const absl::StatusOr<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint.ok()) return;
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  peer.sin_port = htons(static_cast<std::uint16_t>(endpoint->port));
  const auto* const generic = reinterpret_cast<const sockaddr*>(&peer);
  if (connect(socket_, generic, sizeof(peer)) == 0) return;
  close(socket_);
  socket_ = -1;
}

HeldCall::~HeldCall() {
  if (socket_ >= 0) close(socket_);
}

bool HeldCall::IsClosed() const {
  if (socket_ < 0) return true;
  pollfd wait = {socket_, POLLIN, 0};
  return poll(&wait, 1, 0) > 0;
}

bool HeldCall::Send(const std::string& host, const std::string& key,
                    const std::string& path) {
  if (IsClosed()) return false;
  const std::string text =
      absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: ", host,
                   "\r\nAuthorization: Bearer ", key, kHeadEnd);
  const ssize_t sent = send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
  return sent == static_cast<ssize_t>(text.size());
}

bool HeldCall::IsAnswered(Duration timeout) {
  SteadyClock clock;
  const TimePoint until = clock.Now() + timeout;
  std::string answer;
  std::array<char, kBufferBytes> buffer{};
  while (!IsWhole(answer) && clock.Now() < until) {
    pollfd wait = {socket_, POLLIN, 0};
    // poll() waits without limit if the timeout is negative.
    const auto left = std::max<std::int64_t>(0, (until - clock.Now()).ms());
    poll(&wait, 1, static_cast<int>(left));
    const ssize_t got =
        recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (got < 0 && errno == EAGAIN) continue;
    if (got <= 0) break;
    answer.append(buffer.data(), static_cast<std::size_t>(got));
  }
  return IsWhole(answer);
}

}  // namespace limeledge::soak
