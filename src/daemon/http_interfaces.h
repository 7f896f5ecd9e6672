/// @file
/// The outside interfaces over HTTP and JSON-RPC.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_HTTP_INTERFACES_H_
#define LIMELEDGE_SRC_DAEMON_HTTP_INTERFACES_H_

#include <mutex>
#include <string>

#include "daemon/interfaces.h"
#include "net/http_client.h"

namespace limeledge {

/// Thread safety: all methods from any thread.
class HttpTableService : public TableService {
 public:
  HttpTableService(std::string address, HttpClient* client)
      : address_(std::move(address)), client_(client) {}

  TransactionReply Commit(const Transaction& transaction) override;
  std::optional<ChangedRows> Changes(Revision since) override;
  std::optional<ChangedRows> Claims(Revision since, int limit) override;
  std::optional<std::vector<Row>> Read(
      const std::vector<std::string>& keys) override;

 private:
  std::optional<ChangedRows> ReadChanges(const std::string& query);

  std::string address_;
  HttpClient* client_;
};

/// Thread safety: all methods from any thread.
class HttpInstanceLister : public InstanceLister {
 public:
  HttpInstanceLister(std::string address, HttpClient* client)
      : address_(std::move(address)), client_(client) {}

  /// Asks with the tag of the last answer, so that a list that did not change
  /// is not sent again where the platform knows tags.
  std::optional<InstanceList> List() override;

 private:
  std::string address_;
  HttpClient* client_;
  std::mutex mutex_;
  std::string tag_;
  InstanceList last_;
};

/// Thread safety: all methods from any thread.
class HttpWorkerCaller : public WorkerCaller {
 public:
  explicit HttpWorkerCaller(HttpClient* client) : client_(client) {}

  std::optional<WorkerReport> Exchange(const Address& address,
                                       const WorkerExchange& exchange) override;

 private:
  HttpClient* client_;
};

/// Thread safety: all methods from any thread.
class HttpRunnerCaller : public RunnerCaller {
 public:
  explicit HttpRunnerCaller(HttpClient* client) : client_(client) {}

  RunnerReply Call(const Address& address, const RunnerCall& call) override;

 private:
  HttpClient* client_;
};

/// Calls peers by JSON-RPC over HTTP. Thread safety: all methods from any
/// thread.
class RpcPeerCaller : public PeerCaller {
 public:
  explicit RpcPeerCaller(HttpClient* client) : client_(client) {}

  std::optional<Heartbeat> SendHeartbeat(const Address& address,
                                         const Heartbeat& heartbeat) override;
  std::optional<SettingsCopy> FetchSettings(const Address& address) override;

 private:
  /// Calls one method with a JSON object; nothing when it failed.
  std::optional<std::string> Call(const Address& address,
                                  const std::string& method,
                                  const std::string& message);

  HttpClient* client_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_HTTP_INTERFACES_H_
