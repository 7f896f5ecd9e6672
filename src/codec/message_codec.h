/// @file
/// Encodes and decodes messages to workers, runners, peers and the platform.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CODEC_MESSAGE_CODEC_H_
#define LIMELEDGE_SRC_CODEC_MESSAGE_CODEC_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/peer_protocol.h"
#include "core/runner_protocol.h"
#include "core/target.h"
#include "core/worker_protocol.h"
#include "limeledge/table.h"

namespace limeledge {

/// Message bodies as compact JSON. Decoders fail with `kInvalidArgument`
/// naming every fault. All are safe from any thread.
std::string EncodeExchange(const WorkerExchange& exchange);
absl::StatusOr<WorkerExchange> DecodeExchange(const std::string& body);

std::string EncodeWorkerReport(const WorkerReport& report);
absl::StatusOr<WorkerReport> DecodeWorkerReport(const std::string& body);

std::string EncodeRunnerCall(const RunnerCall& call);
absl::StatusOr<RunnerCall> DecodeRunnerCall(const std::string& body);

/// The answer of a runner that ran a request.
struct RunnerAnswer {
  RequestId request;
  AttemptId attempt;
  WorkspaceId workspace;
  std::string answer;
};
std::string EncodeRunnerAnswer(const RunnerAnswer& answer);
absl::StatusOr<RunnerAnswer> DecodeRunnerAnswer(const std::string& body);

std::string EncodeHeartbeat(const Heartbeat& heartbeat);
absl::StatusOr<Heartbeat> DecodeHeartbeat(const std::string& body);

std::string EncodeSettingsCopy(const SettingsCopy& copy);
absl::StatusOr<SettingsCopy> DecodeSettingsCopy(const std::string& body);

std::string EncodeInstanceList(const InstanceList& list);
absl::StatusOr<InstanceList> DecodeInstanceList(const std::string& body);

std::string EncodeTransaction(const Transaction& transaction);
absl::StatusOr<Transaction> DecodeTransaction(const std::string& body);

/// `TransactionLost` cannot be encoded: it is the absence of an answer.
std::string EncodeTransactionReply(const TransactionReply& reply);
absl::StatusOr<TransactionReply> DecodeTransactionReply(
    const std::string& body);

std::string EncodeChangedRows(const ChangedRows& changes);
absl::StatusOr<ChangedRows> DecodeChangedRows(const std::string& body);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CODEC_MESSAGE_CODEC_H_
