/// @file
/// Store, operator and runners of a soak test.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/soak_platform.h"

#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "soak/node_process.h"

namespace limeledge::soak {

namespace {

constexpr char kService[] = "compute";
constexpr int kRunnersPerRack = 4;
constexpr std::chrono::milliseconds kSample{50};
constexpr int kSamplesABeat = 6;
// The entry of a runner that ended without notice is removed after three
// heartbeats.
constexpr Duration kEntryLife{900};
// Every second runner has the slowest clock that is allowed.
constexpr double kSlowClock = 0.98;
// The scheduler reads the list once per second and stores each decision, and
// its process may wait for the processor on a busy machine.
constexpr Duration kDrainBound{2000};
constexpr Duration kDrainSlack{2500};
constexpr dispatch::Resources kRoom{64000, 262144, 8};
/// Time for which a runner that a task crashed stays down.
constexpr Duration kCrashDown{1500};
/// Time after which starts must respect a reduced capacity: the time for which
/// a process may act without contact, a heartbeat, and the delays of a busy
/// machine.
constexpr Duration kRoomNotice{6000};
/// A fault within this time before a runner announces that it leaves, or later,
/// excuses late starts there.
constexpr Duration kFaultExcuse{4000};

Json::Value Route(const std::string& name, const std::string& prefix,
                  int priority) {
  Json::Value route;
  route["name"] = name;
  route["host"] = kHost;
  route["path-prefix"] = prefix;
  route["service"] = kService;
  route["priority"] = priority;
  route["attempts"] = kMaxAttempts;
  route["stretch"] = priority == 0 ? 1.5 : 3.0;
  route["slo-ms"] = priority == 0 ? 250 : 1000;
  return route;
}

/// Returns the start time that a new incarnation reports. The clock of every
/// third incarnation is one minute behind, so that it seems older than its
/// predecessor.
dispatch::StartTime StartTimeOf(int incarnation) {
  constexpr int kThird = 3;
  constexpr std::int64_t kBehindMs = 60000;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const std::int64_t ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return dispatch::StartTime(incarnation % kThird == 0 ? ms - kBehindMs : ms);
}

/// Returns the id of an entry that names the address of this runner.
std::string AliasOf(int index) { return absl::StrCat("i-", index, "-alias"); }

}  // namespace

std::string ProbePrefix(std::int64_t version) {
  return absl::StrCat("/probe-", version, "/");
}

SoakPlatform::SoakPlatform(const Experiment& experiment, const FaultLog* faults)
    : checks_times_(experiment.checks_times),
      faults_(faults),
      store_endpoint_{"127.0.0.1", FreePort()},
      store_(store_endpoint_),
      oracle_(kMaxAttempts),
      cancels_(faults,
               [this](const std::string& what) {
                 if (checks_times_) oracle_.Violate(what);
               }),
      guards_room_(experiment.guards_room),
      keeps_ids_(experiment.keeps_ids),
      rooms_(kRoomNotice) {
  shed_.observer = this;
  for (int i = 0; i < experiment.runners; ++i) {
    places_.push_back(std::make_unique<Place>());
  }
}

SoakPlatform::~SoakPlatform() { Stop(); }

absl::Status SoakPlatform::Start() {
  absl::Status status = store_.Start();
  if (!status.ok()) return status;
  WriteConfig();
  for (int i = 0; i < runners(); ++i) {
    places_[i]->port = FreePort();
    status = places_[i]->link.Start({"127.0.0.1", places_[i]->port});
    if (!status.ok()) return status;
    StartLife(i);
  }
  beats_ = std::thread([this] {
    for (int samples = 0; !stopping_; ++samples) {
      if (samples % kSamplesABeat == 0) Beat();
      Sample();
      TendCrashed();
      std::this_thread::sleep_for(kSample);
    }
  });
  return absl::OkStatus();
}

void SoakPlatform::Stop() {
  stopping_ = true;
  if (beats_.joinable()) beats_.join();
  for (const auto& place : places_) {
    place->link.Stop();
    if (place->server != nullptr) place->server->Stop();
  }
  store_.Stop();
}

void SoakPlatform::StartLife(int index) {
  Place& place = *places_[index];
  ++place.incarnation;
  dispatch::RunnerInfo info;
  info.id = RunnerId(
      absl::StrCat("i-", index, "-", keeps_ids_ ? 1 : place.incarnation));
  info.start_time = StartTimeOf(place.incarnation);
  info.service = dispatch::ServiceId(kService);
  info.hall = HallId("soak");
  info.room = kRoom;
  info.rack = absl::StrCat("r1-", index / kRunnersPerRack);
  info.labels = {"a", info.rack};
  auto server = std::make_unique<standin::RunnerServer>(
      info, Endpoint{"127.0.0.1", place.port}, &shed_,
      index % 2 == 0 ? 1.0 : kSlowClock, guards_room_);
  // The address was free before; if it is taken now, the runner stays down.
  if (!server->Start().ok()) return;
  server->Advertise(place.link.address());
  // Drops what the previous incarnation left under this id.
  DropSilent(info.id);
  place.cut_off = false;
  place.overwritten_address.clear();
  const std::lock_guard<std::mutex> lock(shed_.mutex);
  draining_.erase(info.id);
  place.server = std::move(server);
}

void SoakPlatform::DropSilent(const RunnerId& id) {
  silent_.erase(
      std::remove_if(silent_.begin(), silent_.end(),
                     [&id](const Silent& silent) { return silent.id == id; }),
      silent_.end());
}

void SoakPlatform::WriteEntry(const Place& place) {
  if (place.cut_off) return;
  const std::string address = place.overwritten_address.empty()
                                  ? place.link.address()
                                  : place.overwritten_address;
  store_.Put("servers", place.server->id().value(),
             place.server->EntryWith(address));
}

void SoakPlatform::Beat() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& place : places_) {
    if (place->server != nullptr) WriteEntry(*place);
  }
  const TimePoint before = clock_.Now() - kEntryLife;
  while (!silent_.empty() && silent_.front().since < before) {
    store_.Remove("servers", silent_.front().id.value());
    silent_.erase(silent_.begin());
  }
}

void SoakPlatform::Sample() {
  const std::lock_guard<std::mutex> lock(shed_.mutex);
  std::vector<RunPlace> running;
  for (const auto& place : places_) {
    if (place->server == nullptr) continue;
    std::vector<emulator::RunName> runs;
    place->server->AddRunning(&runs);
    for (const emulator::RunName& run : runs) {
      running.emplace_back(place->server->id(), run.task);
    }
  }
  cancels_.NoteRunning(running, clock_.Now());
}

void SoakPlatform::TendCrashed() {
  const TimePoint now = clock_.Now();
  std::vector<int> crashing;
  {
    const std::lock_guard<std::mutex> lock(shed_.mutex);
    for (int i = 0; i < runners(); ++i) {
      const auto& server = places_[i]->server;
      if (server == nullptr || !server->crashed_by().has_value()) continue;
      oracle_.RecordCrashCause(*server->crashed_by(), now);
      // Record the crash before any runner is removed, because its removal ends
      // members of its gangs elsewhere.
      RecordRunnerCrash(server.get());
      crashing.push_back(i);
    }
  }
  for (const int place : crashing) {
    KillRunner(place);
    crashed_.push_back({place, now});
  }
  while (!crashed_.empty() && now - crashed_.front().since >= kCrashDown) {
    ReviveRunner(crashed_.front().place);
    crashed_.erase(crashed_.begin());
  }
}

void SoakPlatform::RecordRunnerCrash(standin::RunnerServer* server) {
  std::vector<emulator::RunName> runs;
  server->AddRunning(&runs);
  std::vector<dispatch::TaskName> names;
  for (const emulator::RunName& run : runs) names.push_back(run.task);
  oracle_.RecordRunnerCrash(names);
}

std::string SoakPlatform::EncodeConfig(std::int64_t version) const {
  Json::Value config;
  config["version"] = Json::Int64(version);
  config["routes"].append(Route("recompute", kOrdinaryPrefix, 1));
  config["routes"].append(Route("validate", kUrgentPrefix, 0));
  for (std::int64_t probe : {version - 1, version}) {
    config["routes"].append(
        Route(absl::StrCat("probe-", probe), ProbePrefix(probe), 1));
  }
  Json::Value service;
  service["name"] = kService;
  service["enforces-capacity"] = guards_room_;
  config["services"].append(std::move(service));
  config["limits"]["max-body-bytes"] = 262144;
  Json::Value tenant;
  tenant["name"] = "bridges";
  tenant["api-keys"].append(kKey);
  tenant["guaranteed"]["gpu"] = kGuaranteedAccelerators;
  config["tenants"].append(std::move(tenant));
  return WriteJson(config);
}

void SoakPlatform::WriteConfig() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++newest_config_.version;
  store_.Put("op", "config", EncodeConfig(newest_config_.version));
  newest_config_.at = clock_.Now();
}

ConfigWrite SoakPlatform::newest_config() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return newest_config_;
}

void SoakPlatform::KillRunner(int index) {
  LinkFault down;
  down.refuses = true;
  EndLife(index, down);
}

void SoakPlatform::KillRunnerSilently(int index) {
  LinkFault down;
  down.dark = true;
  EndLife(index, down);
}

void SoakPlatform::EndLife(int index, const LinkFault& down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  if (place.server == nullptr) return;
  place.link.SetFault(down);
  if (down.refuses) place.link.ResetAll();
  place.server->Stop();
  silent_.push_back({place.server->id(), clock_.Now()});
  const std::lock_guard<std::mutex> shed(shed_.mutex);
  // A runner that leaves as announced does not crash, and the runs on a runner
  // that a task crashed are already recorded.
  const bool crashes =
      !place.server->draining() && !place.server->crashed_by().has_value();
  if (crashes) RecordRunnerCrash(place.server.get());
  place.server = nullptr;
}

void SoakPlatform::ReviveRunner(int index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (places_[index]->server != nullptr) return;
  StartLife(index);
  // Calls that the link has held find the new incarnation.
  places_[index]->link.SetFault({});
}

void SoakPlatform::DrainRunner(int index, Duration leaves_in) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  // A runner leaves only after the store has taken its announcement.
  if (place.server == nullptr || place.cut_off) return;
  place.server->Drain(leaves_in);
  WriteEntry(place);
  const std::lock_guard<std::mutex> shed(shed_.mutex);
  draining_[place.server->id()] = clock_.Now();
}

bool SoakPlatform::IsLeaving(int index) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Place& place = *places_[index];
  return place.server != nullptr && place.server->draining();
}

void SoakPlatform::CutOffStore(int index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  if (place.server == nullptr || place.cut_off) return;
  place.cut_off = true;
  silent_.push_back({place.server->id(), clock_.Now()});
}

void SoakPlatform::RejoinStore(int index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  if (place.server == nullptr || !place.cut_off) return;
  place.cut_off = false;
  DropSilent(place.server->id());
}

void SoakPlatform::OverwriteEntry(int index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  if (place.server == nullptr) return;
  for (int i = 1; i < runners(); ++i) {
    const Place& other = *places_[(index + i) % runners()];
    if (other.server == nullptr) continue;
    place.overwritten_address = other.link.address();
    WriteEntry(place);
    return;
  }
}

void SoakPlatform::RestoreEntry(int index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  if (place.overwritten_address.empty()) return;
  place.overwritten_address.clear();
  if (place.server != nullptr) WriteEntry(place);
}

void SoakPlatform::AddAlias(int index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  if (place.server == nullptr) return;
  place.has_alias = true;
  store_.Put("servers", AliasOf(index), place.server->Entry());
}

void SoakPlatform::RemoveAlias(int index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  if (!place.has_alias) return;
  place.has_alias = false;
  store_.Remove("servers", AliasOf(index));
}

void SoakPlatform::ReplaceLeaving() {
  for (int i = 0; i < runners(); ++i) {
    if (!IsLeaving(i)) continue;
    KillRunner(i);
    ReviveRunner(i);
  }
}

void SoakPlatform::SetSlowness(int index, double factor) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  if (place.server != nullptr) place.server->SetSlowness(factor);
}

void SoakPlatform::ShareRoom(int index, int parts) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  if (place.server == nullptr) return;
  dispatch::Resources room = kRoom;
  room.cpu_millis = room.cpu_millis * parts / kWholeRoom;
  room.memory_mb = room.memory_mb * parts / kWholeRoom;
  room.accelerators = room.accelerators * parts / kWholeRoom;
  {
    const std::lock_guard<std::mutex> shed(shed_.mutex);
    rooms_.RecordChange(place.server->id(), place.server->room(), clock_.Now());
  }
  place.server->SetCapacity(room);
  WriteEntry(place);
}

void SoakPlatform::SetFailing(int index, bool failing) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Place& place = *places_[index];
  if (place.server != nullptr) place.server->SetFailing(failing);
}

void SoakPlatform::Watch(const dispatch::JobSpec& spec,
                         const std::vector<emulator::TaskTruth>& truths) {
  const std::lock_guard<std::mutex> lock(shed_.mutex);
  oracle_.Watch(spec, truths);
}

void SoakPlatform::RecordCancellation(const JobId& job) {
  const std::lock_guard<std::mutex> lock(shed_.mutex);
  cancels_.RecordCancellation(job, clock_.Now());
}

CancelTimes SoakPlatform::cancel_times() {
  const std::lock_guard<std::mutex> lock(shed_.mutex);
  return cancels_.times();
}

void SoakPlatform::Violate(const std::string& what) {
  const std::lock_guard<std::mutex> lock(shed_.mutex);
  oracle_.Violate(what);
}

TimePoint SoakPlatform::FirstStart(const JobId& job) {
  const std::lock_guard<std::mutex> lock(shed_.mutex);
  const auto found = first_starts_.find(job);
  return found == first_starts_.end() ? TimePoint() : found->second;
}

Duration SoakPlatform::LongestTimeWithoutStart(TimePoint from, TimePoint to) {
  const std::lock_guard<std::mutex> lock(shed_.mutex);
  Duration longest;
  TimePoint last = from;
  for (const TimePoint start : start_times_) {
    if (start < from || start > to) continue;
    longest = std::max(longest, start - last);
    last = start;
  }
  return std::max(longest, to - last);
}

void SoakPlatform::OnStart(const emulator::EmulatedRunner& runner,
                           const dispatch::StartRun& order) {
  ++starts_;
  const TimePoint now = clock_.Now();
  oracle_.RecordStart(order);
  cancels_.RecordStart({runner.info().id, order.task}, order.run, now);
  first_starts_.emplace(order.task.job, now);
  start_times_.push_back(now);
  // Runners are added and removed under the lock of the shared runner state,
  // which is held here.
  std::vector<emulator::RunName> running;
  for (const auto& place : places_) {
    if (place->server != nullptr) place->server->AddRunning(&running);
  }
  oracle_.CheckRunning(running);
  if (!guards_room_ &&
      !rooms_.Allows(runner.info(), runner.UsedCapacity(), now)) {
    oracle_.Violate(absl::StrCat("start of ", ToString(order.task), " fills ",
                                 runner.info().id.value(), " over its room"));
  }
  const auto drain = draining_.find(runner.info().id);
  if (drain == draining_.end() || !checks_times_) return;
  const bool late = now - drain->second > kDrainBound + kDrainSlack;
  if (late && faults_->AllCalm(drain->second - kFaultExcuse, now)) {
    oracle_.Violate(absl::StrCat("start of ", ToString(order.task), " on ",
                                 runner.info().id.value(),
                                 ", which had said that it leaves"));
  }
}

void SoakPlatform::OnPoll(const emulator::EmulatedRunner& runner,
                          const dispatch::PollRunner& poll,
                          const dispatch::RunnerPolled& answer) {
  oracle_.RecordPoll(poll, answer, [&](std::int64_t end) {
    const bool same_life = runner.info().id == poll.target.incarnation.runner;
    return same_life && !runner.LeaseExpiredSince(end);
  });
}

}  // namespace limeledge::soak
