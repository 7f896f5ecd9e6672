/// @file
/// HTTP calls to nodes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/node_client.h"

#include "absl/strings/str_cat.h"

namespace limeledge::soak {

namespace {

// A process that has just started does not listen immediately.
constexpr Duration kStartTime{4000};
// A process may not read a request that arrives this shortly before it ends.
constexpr Duration kLastMoments{200};
// A fault excuses lost responses for this long after its end.
constexpr Duration kTroubleEcho{4000};

}  // namespace

NodeReply NodeClient::Send(NodeProcess* node, const std::string& method,
                           const std::string& path, const std::string& body,
                           const std::string& key, Duration timeout) {
  HttpCall call;
  call.address = node->front();
  call.method = method;
  call.path = path;
  call.body = body;
  call.token = key;
  call.headers = {{"Host", kHost}};
  call.timeout = timeout;
  NodeReply reply;
  reply.sent_at = clock_.Now();
  reply.http = http_.Call(call);
  return reply;
}

NodeReply NodeClient::CallAndLeave(NodeProcess* node, const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   const std::string& key, Duration patience) {
  return Send(node, method, path, body, key, patience);
}

NodeReply NodeClient::Call(NodeProcess* node, const std::string& method,
                           const std::string& path, const std::string& body,
                           const std::string& key) {
  NodeReply reply = Send(node, method, path, body, key, kCallTimeout);
  if (reply.http.outcome == HttpOutcome::kLost) {
    CheckCut(node, reply.sent_at, absl::StrCat(method, " ", path));
  }
  return reply;
}

void NodeClient::CheckCut(NodeProcess* node, TimePoint sent_at,
                          const std::string& what) {
  const TimePoint now = clock_.Now();
  if (!faults_->IsCalm(node->name(), sent_at - kTroubleEcho, now)) return;
  for (const NodeLife& incarnation : node->lives()) {
    const bool served = incarnation.started_at + kStartTime <= sent_at &&
                        (!incarnation.ended_at.has_value() ||
                         sent_at + kLastMoments <= *incarnation.ended_at);
    if (!served || incarnation.killed) continue;
    // The end of the process may not have been recorded so far.
    const bool ends =
        incarnation.stop_asked_at.has_value() && now - sent_at <= kLastMoments;
    if (ends) continue;
    platform_->Violate(absl::StrCat(
        node->name(), " cut ", what, " off, sent ", (now - sent_at).ms(),
        " ms before",
        incarnation.stop_asked_at.has_value() ? ", while stopping" : ""));
  }
}

}  // namespace limeledge::soak
