/// @file
/// An HTTP call and its outcome, however it is carried out.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_HTTP_CALL_H_
#define LIMELEDGE_SRC_NET_HTTP_CALL_H_

#include <httplib.h>

#include <string>

#include "limeledge/clock.h"

namespace limeledge {

enum class HttpOutcome {
  kAnswered,
  /// No connection: not a byte of the request left.
  kNotSent,
  /// Something was sent and no whole answer came.
  kLost,
};

struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kLost;
  int status = 0;
  std::string body;
  httplib::Headers headers;

  bool ok() const { return outcome == HttpOutcome::kAnswered && status == 200; }
};

struct HttpCall {
  /// "HOST:PORT".
  std::string address;
  std::string method = "POST";
  std::string path;
  std::string body;
  /// Sent as "Authorization: Bearer TOKEN" unless empty.
  std::string token;
  /// Sent as "If-Match" unless empty.
  std::string if_match;
  /// Sent as "If-None-Match" unless empty.
  std::string if_none_match;
  /// Further headers.
  httplib::Headers headers;
  Duration connect_timeout{500};
  Duration timeout{2000};
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_HTTP_CALL_H_
