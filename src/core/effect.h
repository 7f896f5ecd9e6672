/// @file
/// Everything that the reducer wants done, as typed effects.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_EFFECT_H_
#define LIMELEDGE_SRC_CORE_EFFECT_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "core/counters.h"
#include "core/job.h"
#include "core/log_event.h"
#include "core/peer_protocol.h"
#include "core/request.h"
#include "core/runner_protocol.h"
#include "core/target.h"
#include "core/worker_protocol.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"
#include "limeledge/finding.h"
#include "limeledge/table.h"
#include "settings/settings.h"

namespace limeledge {

struct SendTransaction {
  Transaction transaction;
};

/// Read every mirrored row that changed after `since`.
struct ReadRows {
  Revision since;
};

inline constexpr int kClaimsAtOnce = 50;

/// Read the oldest claims written after `since`, to clear the old ones.
struct ReadClaims {
  Revision since;
};

/// Read single rows for a caller.
struct FetchRows {
  CallId call;
  std::vector<std::string> keys;
};

struct ReadInstanceList {};

struct SendHeartbeat {
  InstanceId peer;
  Address address;
  Heartbeat heartbeat;
};

struct FetchSettings {
  InstanceId peer;
  Address address;
};

struct SendExchange {
  Address address;
  WorkerExchange exchange;
};

struct SendRunnerCall {
  Address address;
  /// Most connections that this instance may hold to the runner.
  int connections = 1;
  RunnerCall call;
};

/// A job as callers see it.
struct JobView {
  JobRow job;
  /// What it waits for, in words.
  std::string explanation;
};

struct JobList {
  std::vector<JobView> jobs;
};

/// A call that had no effect, or whose effect is not known.
struct Failure {
  absl::Status status;
  std::vector<Finding> findings;
  Duration retry_after;
};

/// The settings version that each instance has in force.
struct InstanceVersion {
  InstanceId instance;
  SettingsVersion version;
  bool live = false;
};

struct SettingsView {
  SettingsCopy copy;
  std::vector<InstanceVersion> in_force;
};

struct SettingsHistory {
  std::vector<Row> rows;
};

/// A dump of the process's state as JSON text.
struct StateDump {
  std::string json;
};

/// Numbers of one hall that this instance plans.
struct HallMetrics {
  HallId hall;
  bool held = false;
  int free_accelerators = 0;
  int usable_accelerators = 0;
  int stranded_accelerators = 0;
  int waiting_jobs = 0;
  int placed_jobs = 0;
  bool guarantees_at_risk = false;
};

/// Everything that the metrics page shows.
struct MetricsSnapshot {
  Counters counters;
  std::vector<HallMetrics> halls;
  SettingsVersion settings;
  Revision read_up_to;
  bool ready = false;
  bool store_reachable = false;
  int live_members = 0;
  int waiting_writes = 0;
  int pending_requests = 0;
  int queued_requests = 0;
  Duration oldest_queued;
  int owned_slots = 0;
  int free_slots = 0;
  int jobs = 0;
};

using AnswerBody = std::variant<RequestResult, JobView, JobList, Failure,
                                SettingsView, SettingsHistory, StateDump,
                                MetricsSnapshot, Heartbeat, SettingsCopy>;

/// The one answer to a call.
struct Answer {
  CallId call;
  AnswerBody body;
};

/// A settings version took force: the shell checks tokens against it.
struct SettingsInForce {
  SettingsVersion version;
  std::shared_ptr<const Settings> settings;
};

/// The instance begins or ceases to take work from the balancer.
struct SetReady {
  bool ready = false;
  std::string reason;
};

struct WriteLog {
  LogLine line;
};

/// Nothing is in flight any more: end the process.
struct Exit {};

using Effect = std::variant<SendTransaction, ReadRows, ReadClaims, FetchRows,
                            ReadInstanceList, SendHeartbeat, FetchSettings,
                            SendExchange, SendRunnerCall, Answer,
                            SettingsInForce, SetReady, WriteLog, Exit>;

using Effects = std::vector<Effect>;

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_EFFECT_H_
