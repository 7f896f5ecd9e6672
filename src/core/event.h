/// @file
/// Everything that comes into the reducer, as typed events.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_EVENT_H_
#define LIMELEDGE_SRC_CORE_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/job.h"
#include "core/peer_protocol.h"
#include "core/request.h"
#include "core/runner_protocol.h"
#include "core/target.h"
#include "core/worker_protocol.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"
#include "limeledge/table.h"

namespace limeledge {

/// Whose data a caller may see: one workspace's, or, for operators, all.
struct AccessScope {
  /// Empty for operators.
  WorkspaceId workspace;

  bool Allows(const WorkspaceId& owner) const {
    return workspace.empty() || workspace == owner;
  }
};

/// Time has passed; nothing else.
struct Tick {};

struct RequestArrived {
  CallId call;
  RequestSpec request;
};

struct JobSubmitted {
  CallId call;
  JobSpec spec;
};

struct JobAsked {
  CallId call;
  AccessScope scope;
  JobId job;
  /// How long to wait for the job to end.
  Duration wait;
};

struct JobsAsked {
  CallId call;
  AccessScope scope;
  /// Empty for all that the scope allows.
  WorkspaceId workspace;
};

struct JobCancelAsked {
  CallId call;
  AccessScope scope;
  JobId job;
};

struct SettingsProposed {
  CallId call;
  /// The version that the operator edited.
  SettingsVersion base;
  std::string text;
  std::string author;
};

struct SettingsAsked {
  CallId call;
};

/// An operator wants accepted versions from the store.
struct SettingsHistoryAsked {
  CallId call;
  /// How many versions, newest first.
  int count = 0;
};

struct StateAsked {
  CallId call;
};

/// The metrics page is being read.
struct MetricsAsked {
  CallId call;
};

struct TransactionReplied {
  TransactionReply reply;
};

/// The reply to a reading of changed rows; nothing when it failed.
struct RowsRead {
  std::optional<ChangedRows> changes;
};

/// Some claims in the order of their writing; nothing when it failed.
struct ClaimsRead {
  std::optional<ChangedRows> claims;
};

/// Single rows as read for a caller; nothing when the store is away.
struct RowsFetched {
  CallId call;
  std::optional<std::vector<Row>> rows;
};

/// Nothing when the platform's list could not be read.
struct InstanceListRead {
  std::optional<InstanceList> list;
};

/// A peer called with its heartbeat and waits for ours.
struct HeartbeatArrived {
  CallId call;
  Heartbeat heartbeat;
};

/// A peer answered our heartbeat; nothing when it did not.
struct HeartbeatAnswered {
  InstanceId peer;
  std::optional<Heartbeat> heartbeat;
};

/// A peer asks for the settings in force here.
struct SettingsCopyAsked {
  CallId call;
};

struct SettingsCopyArrived {
  InstanceId peer;
  std::optional<SettingsCopy> copy;
};

/// The reply to one exchange; nothing when none came.
struct WorkerReplied {
  WorkerId worker;
  HallId hall;
  Epoch epoch;
  std::int64_t sequence = 0;
  std::optional<WorkerReport> report;
};

/// A worker says that a task changed state. A hint only.
struct WorkerChanged {
  WorkerId worker;
};

struct RunnerReplied {
  RunnerReply reply;
};

/// The platform asked this process to stop.
struct StopAsked {};

using EventBody =
    std::variant<Tick, RequestArrived, JobSubmitted, JobAsked, JobsAsked,
                 JobCancelAsked, SettingsProposed, SettingsAsked,
                 SettingsHistoryAsked, StateAsked, MetricsAsked,
                 TransactionReplied, RowsRead, ClaimsRead, RowsFetched,
                 InstanceListRead, HeartbeatArrived, HeartbeatAnswered,
                 SettingsCopyAsked, SettingsCopyArrived, WorkerReplied,
                 WorkerChanged, RunnerReplied, StopAsked>;

/// One input of the reducer with the moment at which it came.
struct Event {
  TimePoint at;
  /// Wall-clock milliseconds since 1970; written into rows for people and
  /// retention, never used to decide who may act.
  std::int64_t wall_ms = 0;
  EventBody body;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_EVENT_H_
