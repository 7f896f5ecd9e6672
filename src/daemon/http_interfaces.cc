/// @file
/// HTTP and JSON-RPC calls to the outside.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/http_interfaces.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "codec/message_codec.h"
#include "core/mirror.h"
#include "daemon/rpc.h"
#include "limeledge/claims.h"

namespace limeledge {

namespace {

constexpr int kRefusedStatus = 503;
constexpr int kTooManyStatus = 429;
constexpr int kNotModified = 304;
constexpr Duration kTableTimeout{2000};
constexpr Duration kListTimeout{2000};
constexpr Duration kExchangeTimeout{2000};
constexpr Duration kPeerTimeout{1000};
/// A runner that goes on beyond the caller's time is cut off a little later.
constexpr Duration kRunnerSlack{50};

HttpCall Post(const std::string& address, std::string path, std::string body,
              Duration timeout) {
  HttpCall call;
  call.address = address;
  call.path = std::move(path);
  call.body = std::move(body);
  call.timeout = timeout;
  return call;
}

HttpCall Get(const std::string& address, std::string path, Duration timeout) {
  HttpCall call = Post(address, std::move(path), "", timeout);
  call.method = "GET";
  return call;
}

}  // namespace

TransactionReply HttpTableService::Commit(const Transaction& transaction) {
  const HttpReply reply =
      client_->Call(Post(address_, "/v1/table/transactions",
                         EncodeTransaction(transaction), kTableTimeout));
  if (!reply.ok()) return TransactionLost{};
  absl::StatusOr<TransactionReply> decoded = DecodeTransactionReply(reply.body);
  if (!decoded.ok()) return TransactionLost{};
  return *std::move(decoded);
}

std::optional<ChangedRows> HttpTableService::Changes(Revision since) {
  return ReadChanges(absl::StrCat(
      "since=", since.value(), "&prefix=", kJobPrefix, "&prefix=", kHallPrefix,
      "&prefix=", kRenewalPrefix, "&prefix=", kCurrentSettingsKey));
}

std::optional<ChangedRows> HttpTableService::Claims(Revision since, int limit) {
  return ReadChanges(absl::StrCat("since=", since.value(), "&limit=", limit,
                                  "&prefix=", kClaimPrefix));
}

std::optional<ChangedRows> HttpTableService::ReadChanges(
    const std::string& query) {
  const std::string path = absl::StrCat("/v1/table/changes?", query);
  const HttpReply reply = client_->Call(Get(address_, path, kTableTimeout));
  if (!reply.ok()) return std::nullopt;
  absl::StatusOr<ChangedRows> decoded = DecodeChangedRows(reply.body);
  if (!decoded.ok()) return std::nullopt;
  return *std::move(decoded);
}

std::optional<std::vector<Row>> HttpTableService::Read(
    const std::vector<std::string>& keys) {
  Json::Value json(Json::arrayValue);
  for (const std::string& key : keys) json.append(key);
  const HttpReply reply = client_->Call(
      Post(address_, "/v1/table/rows", WriteJson(json), kTableTimeout));
  if (!reply.ok()) return std::nullopt;
  absl::StatusOr<TransactionReply> decoded = DecodeTransactionReply(reply.body);
  if (!decoded.ok()) return std::nullopt;
  const auto* rows = std::get_if<TransactionConflict>(&*decoded);
  if (rows == nullptr) return std::nullopt;
  return rows->current;
}

std::optional<InstanceList> HttpInstanceLister::List() {
  const std::lock_guard<std::mutex> lock(mutex_);
  HttpCall call = Get(address_, "/v1/instances", kListTimeout);
  call.if_none_match = tag_;
  const HttpReply reply = client_->Call(call);
  const bool same =
      reply.outcome == HttpOutcome::kAnswered && reply.status == kNotModified;
  if (same) return last_;
  if (!reply.ok()) return std::nullopt;
  absl::StatusOr<InstanceList> decoded = DecodeInstanceList(reply.body);
  if (!decoded.ok()) return std::nullopt;
  const auto tag = reply.headers.find("ETag");
  tag_ = tag == reply.headers.end() ? "" : tag->second;
  last_ = *std::move(decoded);
  return last_;
}

std::optional<WorkerReport> HttpWorkerCaller::Exchange(
    const Address& address, const WorkerExchange& exchange) {
  const HttpReply reply =
      client_->Call(Post(address.value(), "/v1/exchange",
                         EncodeExchange(exchange), kExchangeTimeout));
  if (!reply.ok()) return std::nullopt;
  absl::StatusOr<WorkerReport> decoded = DecodeWorkerReport(reply.body);
  if (!decoded.ok()) return std::nullopt;
  return *std::move(decoded);
}

RunnerReply HttpRunnerCaller::Call(const Address& address,
                                   const RunnerCall& call) {
  RunnerReply result;
  result.runner = call.runner;
  result.awaited = call.attempt;
  const HttpReply reply =
      client_->Call(Post(address.value(), "/v1/run", EncodeRunnerCall(call),
                         call.timeout + kRunnerSlack));
  result.leaving = reply.headers.count("X-Leaving") != 0;
  if (reply.outcome == HttpOutcome::kNotSent) {
    result.outcome = RunnerOutcome::kNotSent;
    return result;
  }
  const bool refused =
      reply.outcome == HttpOutcome::kAnswered &&
      (reply.status == kRefusedStatus || reply.status == kTooManyStatus);
  if (refused) {
    result.outcome = RunnerOutcome::kRefused;
    return result;
  }
  if (!reply.ok()) return result;
  absl::StatusOr<RunnerAnswer> answer = DecodeRunnerAnswer(reply.body);
  if (!answer.ok()) return result;
  result.outcome = RunnerOutcome::kAnswered;
  result.request = answer->request;
  result.attempt = answer->attempt;
  result.workspace = answer->workspace;
  result.answer = std::move(answer->answer);
  return result;
}

std::optional<Heartbeat> RpcPeerCaller::SendHeartbeat(
    const Address& address, const Heartbeat& heartbeat) {
  const auto body = Call(address, kHeartbeatMethod, EncodeHeartbeat(heartbeat));
  if (!body.has_value()) return std::nullopt;
  absl::StatusOr<Heartbeat> decoded = DecodeHeartbeat(*body);
  if (!decoded.ok()) return std::nullopt;
  return *std::move(decoded);
}

std::optional<SettingsCopy> RpcPeerCaller::FetchSettings(
    const Address& address) {
  const auto body = Call(address, kSettingsMethod, "{}");
  if (!body.has_value()) return std::nullopt;
  absl::StatusOr<SettingsCopy> decoded = DecodeSettingsCopy(*body);
  if (!decoded.ok()) return std::nullopt;
  return *std::move(decoded);
}

std::optional<std::string> RpcPeerCaller::Call(const Address& address,
                                               const std::string& method,
                                               const std::string& message) {
  const RpcTransport transport = [&](const std::string& request,
                                     std::string* response) {
    HttpReply reply =
        client_->Call(Post(address.value(), kRpcPath, request, kPeerTimeout));
    *response = std::move(reply.body);
    return reply.ok();
  };
  std::string result;
  if (!CallRpc(transport, method, message, &result)) return std::nullopt;
  return result;
}

}  // namespace limeledge
