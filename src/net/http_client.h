/// @file
/// HTTP calls over kept connections, with outcomes told apart.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_HTTP_CLIENT_H_
#define LIMELEDGE_SRC_NET_HTTP_CLIENT_H_

#include <httplib.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "limeledge/clock.h"
#include "net/http_call.h"

namespace limeledge {

/// Calls addresses over connections that are kept for the next call. A call is
/// never repeated by itself.
///
/// Thread safety: `Call` may be used from any thread.
class HttpClient {
 public:
  /// `idle` is how long a kept connection may rest; it must be less than the
  /// servers' own limit, or a call may meet a closed connection.
  explicit HttpClient(Duration idle = Duration(1000));

  /// Carries a call out and waits for its end.
  HttpReply Call(const HttpCall& call);

 private:
  struct Kept {
    std::unique_ptr<httplib::Client> client;
    TimePoint since;
  };

  std::unique_ptr<httplib::Client> Take(const std::string& address);
  void Keep(const std::string& address,
            std::unique_ptr<httplib::Client> client);
  /// Closes the kept connections to an address: what silenced one of them may
  /// have silenced all, without a sign.
  void Drop(const std::string& address);

  Duration idle_;
  SteadyClock clock_;
  std::mutex mutex_;
  std::map<std::string, std::vector<Kept>> kept_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_HTTP_CLIENT_H_
