/// @file
/// The outside interfaces of a daemon, each behind an abstract class.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_INTERFACES_H_
#define LIMELEDGE_SRC_DAEMON_INTERFACES_H_

#include <optional>
#include <string>
#include <vector>

#include "core/peer_protocol.h"
#include "core/runner_protocol.h"
#include "core/target.h"
#include "core/worker_protocol.h"
#include "limeledge/base.h"
#include "limeledge/table.h"

namespace limeledge {

/// Every method blocks until it has an answer or gave up, and may be called
/// from several threads at once. Nothing throws.

/// The platform's transactional table service.
class TableService {
 public:
  virtual ~TableService() = default;
  virtual TransactionReply Commit(const Transaction& transaction) = 0;
  /// Mirrored rows that changed after `since`; nothing when it failed.
  virtual std::optional<ChangedRows> Changes(Revision since) = 0;
  /// Up to `limit` claims written after `since`, oldest first.
  virtual std::optional<ChangedRows> Claims(Revision since, int limit) = 0;
  virtual std::optional<std::vector<Row>> Read(
      const std::vector<std::string>& keys) = 0;
};

/// The platform's list of live and leaving instances.
class InstanceLister {
 public:
  virtual ~InstanceLister() = default;
  virtual std::optional<InstanceList> List() = 0;
};

class WorkerCaller {
 public:
  virtual ~WorkerCaller() = default;
  virtual std::optional<WorkerReport> Exchange(
      const Address& address, const WorkerExchange& exchange) = 0;
};

class RunnerCaller {
 public:
  virtual ~RunnerCaller() = default;
  /// `kNotSent` and `kRefused` are only returned when the request certainly
  /// did not start.
  virtual RunnerReply Call(const Address& address, const RunnerCall& call) = 0;
};

class PeerCaller {
 public:
  virtual ~PeerCaller() = default;
  virtual std::optional<Heartbeat> SendHeartbeat(
      const Address& address, const Heartbeat& heartbeat) = 0;
  virtual std::optional<SettingsCopy> FetchSettings(const Address& address) = 0;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_INTERFACES_H_
