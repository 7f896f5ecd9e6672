/// @file
/// The request and reply types shared by the HTTP clients.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_HTTP_CALL_H_
#define LIMELEDGE_SRC_NET_HTTP_CALL_H_

#include <httplib.h>

#include <cstddef>
#include <string>

#include "limeledge/clock.h"

namespace limeledge {

/// How far an HTTP call got.
enum class HttpOutcome {
  /// A complete response was received, with any status.
  kAnswered,
  /// No part of the request was sent, so the server cannot have processed it.
  kNotSent,
  /// The request may have been sent, but no complete response was received. The
  /// server may have processed it.
  kLost,
};

/// The result of an HTTP call.
struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kLost;
  /// The request was not sent because the connection was refused. A firewall or
  /// a partition may do that too, so the process may still be running.
  bool refused = false;
  /// The HTTP status; 0 unless `outcome` is `kAnswered`.
  int status = 0;
  std::string body;
  httplib::Headers headers;

  bool ok() const { return outcome == HttpOutcome::kAnswered && status == 200; }
};

/// The size of one finished call, including HTTP headers.
struct HttpTraffic {
  const char* kind = "other";
  HttpOutcome outcome = HttpOutcome::kLost;
  std::size_t sent_bytes = 0;
  std::size_t received_bytes = 0;
};

/// An HTTP request with its destination and timeouts.
struct HttpCall {
  /// The server, as "HOST:PORT".
  std::string address;
  /// Names the kind of call in traffic counts. Must be a string literal.
  const char* kind = "other";
  std::string method = "POST";
  std::string path;
  std::string body;
  /// Sent as "Authorization: Bearer TOKEN" unless empty.
  std::string token;
  /// Sent as "If-Match" unless empty.
  std::string if_match;
  /// Sent as "If-None-Match" unless empty.
  std::string if_none_match;
  /// Additional request headers.
  httplib::Headers headers;
  Duration connect_timeout{500};
  Duration timeout{2000};
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_HTTP_CALL_H_
