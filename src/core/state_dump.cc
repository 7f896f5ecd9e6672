/// @file
/// State dump by section.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/state_dump.h"

#include "codec/json.h"
#include "core/reducer.h"

namespace limeledge {

namespace {

Json::Value DumpSelf(const Reducer& reducer, TimePoint now) {
  const Shared& shared = reducer.shared();
  Json::Value json(Json::objectValue);
  json["id"] = shared.self.id.value();
  json["incarnation"] = Json::Int64(shared.self.incarnation);
  json["hall"] = shared.self.hall.value();
  json["ready"] = reducer.ready();
  json["stopping"] = shared.stopping;
  json["now_ms"] = Json::Int64(now.ms());
  return json;
}

Json::Value DumpMembers(const Reducer& reducer, TimePoint now) {
  const Shared& shared = reducer.shared();
  Json::Value members(Json::arrayValue);
  Json::Value self(Json::objectValue);
  self["id"] = shared.self.id.value();
  self["state"] = ToString(shared.members.StateOf(now, shared.self.id));
  self["settings"] = Json::Int64(shared.follower.version().value());
  self["incarnation"] = Json::Int64(shared.self.incarnation);
  self["store_reachable"] = shared.store_reachable;
  members.append(self);
  for (const InstanceId& id : shared.members.Peers()) {
    Json::Value member(Json::objectValue);
    member["id"] = id.value();
    member["state"] = ToString(shared.members.StateOf(now, id));
    const auto heard = shared.heard.find(id);
    if (heard != shared.heard.end()) {
      member["settings"] = Json::Int64(heard->second.settings.value());
      member["incarnation"] = Json::Int64(heard->second.incarnation);
      member["store_reachable"] = heard->second.store_reachable;
    }
    members.append(member);
  }
  return members;
}

Json::Value DumpStore(const Reducer& reducer) {
  const Shared& shared = reducer.shared();
  Json::Value json(Json::objectValue);
  json["reachable"] = shared.store_reachable;
  json["in_doubt"] = reducer.store().in_doubt();
  json["waiting_writes"] = Json::UInt64(reducer.store().waiting());
  json["read_up_to"] = Json::Int64(shared.mirror.read_up_to().value());
  json["transactions"] = Json::Int64(shared.counters.transactions);
  json["rows_written"] = Json::Int64(shared.counters.rows_written);
  json["rows_read"] = Json::Int64(shared.counters.rows_read);
  json["conflicts"] = Json::Int64(shared.counters.conflicts);
  json["lost_answers"] = Json::Int64(shared.counters.lost_answers);
  return json;
}

Json::Value DumpWorkers(const HallPlanner& planner, const Shared& shared) {
  Json::Value workers(Json::arrayValue);
  for (const auto& [id, worker] : shared.workers) {
    if (worker.hall != planner.hall()) continue;
    Json::Value json(Json::objectValue);
    json["id"] = id.value();
    json["rack"] = worker.rack.value();
    json["accelerators"] = worker.accelerators;
    json["leaving"] = worker.leaving;
    json["quarantined"] = planner.keeper().health().IsQuarantined(id);
    const auto link = planner.keeper().links().find(id);
    if (link != planner.keeper().links().end()) {
      json["failed_exchanges"] = link->second.failures_in_a_row();
    }
    workers.append(json);
  }
  return workers;
}

Json::Value DumpHalls(const Reducer& reducer, TimePoint now) {
  Json::Value halls(Json::arrayValue);
  for (const auto& [id, planner] : reducer.planners()) {
    const OwnershipRecord record = reducer.shared().mirror.HallRecord(id);
    Json::Value json(Json::objectValue);
    json["hall"] = id.value();
    json["epoch"] = Json::Int64(record.epoch.value());
    json["planner"] = record.holder.value();
    json["held_here"] = planner.HoldsAt(now);
    json["active_jobs"] =
        Json::UInt64(reducer.shared().mirror.ActiveJobs(id).size());
    if (planner.named()) {
      const HallRoom& room = planner.scheduler().room();
      json["free_accelerators"] = room.free_accelerators;
      json["usable_accelerators"] = room.usable_accelerators;
      json["stranded_accelerators"] = room.stranded_accelerators;
      json["waiting_jobs"] = room.waiting_jobs;
      json["guarantees_at_risk"] = room.guarantees_at_risk;
      json["workers"] = DumpWorkers(planner, reducer.shared());
    }
    halls.append(json);
  }
  return halls;
}

Json::Value DumpJobs(const Reducer& reducer) {
  Json::Value jobs(Json::arrayValue);
  for (const auto& [id, job] : reducer.shared().mirror.jobs()) {
    Json::Value json(Json::objectValue);
    json["id"] = id.value();
    json["state"] = ToString(job.state);
    json["hall"] = job.hall.value();
    json["attempt"] = job.attempt;
    json["epoch"] = Json::Int64(job.epoch.value());
    json["accelerators"] = job.spec.total_accelerators();
    jobs.append(json);
  }
  return jobs;
}

Json::Value DumpRequests(const Reducer& reducer, TimePoint now) {
  const RequestRouter& router = reducer.requests();
  const Counters& counters = reducer.shared().counters;
  Json::Value json(Json::objectValue);
  json["pending"] = Json::UInt64(router.pending());
  json["queued"] = Json::UInt64(router.queued());
  json["oldest_queued_ms"] = Json::Int64(router.OldestQueued(now).ms());
  json["retries"] = Json::Int64(counters.retries);
  json["retries_denied"] = Json::Int64(counters.retries_denied);
  json["foreign_answers"] = Json::Int64(counters.foreign_answers);
  json["late_answers"] = Json::Int64(counters.late_answers);
  json["claims_replayed"] = Json::Int64(counters.claims_replayed);
  Json::Value runners(Json::arrayValue);
  for (const auto& [id, state] : router.slots().runners()) {
    Json::Value runner(Json::objectValue);
    runner["id"] = id.value();
    runner["slots"] = state.info.slots;
    runner["owned"] = state.owned;
    runner["usable"] = state.usable(now);
    runner["in_use"] = state.in_use;
    runner["leaving"] = state.info.leaving || state.heard_leaving;
    runner["failures"] = state.failures_in_a_row;
    runner["mean_ms"] = state.mean_ms;
    runners.append(runner);
  }
  json["runners"] = runners;
  return json;
}

}  // namespace

MetricsSnapshot TakeMetrics(const Reducer& reducer, TimePoint now) {
  const Shared& shared = reducer.shared();
  const RequestRouter& requests = reducer.requests();
  MetricsSnapshot snapshot;
  snapshot.counters = shared.counters;
  snapshot.settings = shared.follower.version();
  snapshot.read_up_to = shared.mirror.read_up_to();
  snapshot.ready = reducer.ready();
  snapshot.store_reachable = shared.store_reachable;
  snapshot.live_members = static_cast<int>(shared.members.Live(now).size());
  snapshot.waiting_writes = static_cast<int>(reducer.store().unfinished());
  snapshot.pending_requests = static_cast<int>(requests.pending());
  snapshot.queued_requests = static_cast<int>(requests.queued());
  snapshot.oldest_queued = requests.OldestQueued(now);
  snapshot.owned_slots = requests.slots().OwnedSlots();
  snapshot.free_slots = requests.slots().FreeSlots(now);
  snapshot.jobs = static_cast<int>(shared.mirror.jobs().size());
  for (const auto& [id, planner] : reducer.planners()) {
    if (!planner.named()) continue;
    const HallRoom& room = planner.scheduler().room();
    snapshot.halls.push_back({id, planner.HoldsAt(now), room.free_accelerators,
                              room.usable_accelerators,
                              room.stranded_accelerators, room.waiting_jobs,
                              static_cast<int>(planner.keeper().placed_jobs()),
                              room.guarantees_at_risk});
  }
  return snapshot;
}

std::string DumpState(const Reducer& reducer, TimePoint now) {
  Json::Value json(Json::objectValue);
  json["self"] = DumpSelf(reducer, now);
  json["settings_version"] =
      Json::Int64(reducer.shared().follower.version().value());
  json["members"] = DumpMembers(reducer, now);
  json["store"] = DumpStore(reducer);
  json["halls"] = DumpHalls(reducer, now);
  json["jobs"] = DumpJobs(reducer);
  json["requests"] = DumpRequests(reducer, now);
  return WriteJson(json);
}

}  // namespace limeledge
