/// @file
/// What the sub-reducers share while one event is handled.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_CONTEXT_H_
#define LIMELEDGE_SRC_CORE_CONTEXT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/counters.h"
#include "core/effect.h"
#include "core/mirror.h"
#include "core/target.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"
#include "limeledge/membership.h"
#include "limeledge/settings_follower.h"
#include "settings/settings.h"

namespace limeledge {

class StoreClient;

/// Who this process is.
struct Identity {
  InstanceId id;
  /// Larger for every start of the same instance.
  std::int64_t incarnation = 0;
  HallId hall;
  /// Where workers say that a task changed.
  std::string notify_address;
};

/// Data that several sub-reducers read.
struct Shared {
  explicit Shared(Identity identity)
      : self(std::move(identity)),
        system(Settings().System()),
        members(self.id, {system.suspect, system.suspect}) {}

  Identity self;
  SettingsFollower follower;
  /// Null until a version is in force.
  std::shared_ptr<const Settings> settings;
  /// Built-in values until a version is in force.
  SystemSettings system;
  Mirror mirror;
  Membership members;
  /// Last instance list, with leaving marks heard from peers added.
  std::map<WorkerId, WorkerInfo> workers;
  std::map<RunnerId, RunnerInfo> runners;
  std::map<InstanceId, EntryInfo> entries;
  /// Last heartbeat of each peer.
  std::map<InstanceId, Heartbeat> heard;
  /// When the list was last asked for and answered, or could not be read.
  TimePoint list_checked_at;
  /// All halls that are planned, in name order.
  std::vector<HallId> planned_halls;
  /// Newest digest of each hall, from planners here and from peers.
  std::map<HallId, HallDigest> halls;
  /// Newest commit of this instance that other instances wait for.
  Revision newest_commit;
  bool store_reachable = false;
  /// Set when the platform asked for a stop.
  bool stopping = false;
  TimePoint stop_asked_at;
  Counters counters;
};

/// One event being handled. Lives no longer than the event.
struct Context {
  const TimePoint now;
  const std::int64_t wall_ms;
  Shared& shared;
  StoreClient& store;
  Effects& effects;

  /// False after a pause, until the instance list has been asked again: targets
  /// may have left meanwhile. A list that cannot be read does not count.
  bool ListIsFresh() const {
    return now - shared.list_checked_at < kListFreshFor;
  }
  static constexpr Duration kListFreshFor{4000};

  void Emit(Effect effect) { effects.push_back(std::move(effect)); }
  void Reply(CallId call, AnswerBody body) {
    Emit(Answer{call, std::move(body)});
  }
  void Fail(CallId call, absl::Status status) {
    Reply(call, Failure{std::move(status), {}, Duration()});
  }
  void Log(LogId id, std::vector<LogField> fields) {
    Emit(WriteLog{{id, std::move(fields)}});
  }
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_CONTEXT_H_
