/// @file
/// Dump of the scheduler's state as JSON, for debugging.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

Json::Value DumpJob(const Job& job) {
  Json::Value json;
  json["state"] = ToString(job.state());
  json["queue"] = job.spec().queue.value();
  json["workspace"] = job.spec().workspace.value();
  int waiting = 0;
  int assigned = 0;
  int done = 0;
  for (const Occurrence& occurrence : job.occurrences()) {
    for (const Step& step : occurrence.steps) {
      waiting += step.CountIn(TaskPhase::kWaiting);
      assigned += step.CountIn(TaskPhase::kAssigned);
      done += step.CountIn(TaskPhase::kDone);
    }
  }
  json["tasks_waiting"] = waiting;
  json["tasks_assigned"] = assigned;
  json["tasks_done"] = done;
  return json;
}

Json::Value DumpRunner(const Runner& runner, TimePoint now) {
  Json::Value json;
  json["address"] = runner.address();
  json["born"] = ToString(runner.incarnation().start_time);
  json["lives"] = runner.incarnations();
  json["rack"] = runner.rack();
  json["listed"] = runner.listed();
  json["reachable"] = runner.reachable();
  json["draining"] = runner.draining_since().has_value();
  json["avoided_ms"] =
      Json::Int64(std::max<std::int64_t>(0, (runner.backoff_until - now).ms()));
  json["slowness"] = runner.slowness();
  json["usual_pace"] = runner.usual_pace();
  json["free_accelerators"] = Json::Int64(runner.free_capacity().accelerators);
  json["free_cpu_millis"] = Json::Int64(runner.free_capacity().cpu_millis);
  json["free_memory_mb"] = Json::Int64(runner.free_capacity().memory_mb);
  json["lease_left_ms"] = Json::Int64(runner.LeaseLeft(now).ms());
  json["unstored_ends"] =
      Json::UInt64(static_cast<Json::UInt64>(runner.unstored_ends.size()));
  for (const auto& [name, run] : runner.runs()) {
    Json::Value entry;
    entry["run"] = run.number;
    entry["percent"] = run.percent;
    entry["stopping"] = run.stopping;
    json["runs"][ToString(name)] = std::move(entry);
  }
  return json;
}

Json::Value DumpSpeed(const SpeedEstimate& speed, TimePoint now) {
  Json::Value json;
  json["log_pace"] = speed.log_pace;
  json["deviation"] = speed.deviation;
  json["runs"] = speed.runs;
  json["age_ms"] = Json::Int64((now - speed.measured_at).ms());
  return json;
}

}  // namespace

Json::Value Scheduler::Dump(TimePoint now) {
  Json::Value json;
  json["epoch"] = Json::Int64(writer_.epoch().value());
  json["confirmed_ms_ago"] = Json::Int64((now - writer_.confirmed_at()).ms());
  json["jobs_read"] = jobs_.loaded();
  json["tombstones"] = Json::UInt64(jobs_.tombstones().size());
  if (forecast() != nullptr) json["forecast"] = ForecastToJson(*forecast());
  json["speeds"]["spread"] = speeds_.Spread();
  json["speeds"]["measured"] = speeds_.measured_runners();
  json["jobs"] = Json::Value(Json::objectValue);
  for (const JobId& id : jobs_.active()) {
    json["jobs"][id.value()] = DumpJob(*jobs_.Find(id));
  }
  for (const auto& [id, use] : planner_.shares().WeightedUses()) {
    json["weighted_uses"][id.value()] = use;
  }
  json["speeds_in_use"] = speeds_in_use_;
  json["runners"] = Json::Value(Json::objectValue);
  for (const auto& [id, runner] : fleet_.runners()) {
    Json::Value& entry = json["runners"][id.value()];
    entry = DumpRunner(*runner, now);
    const SpeedEstimate speed = speeds_.EstimateOf(runner->incarnation());
    if (speed.runs > 0) entry["speed"] = DumpSpeed(speed, now);
  }
  return json;
}

}  // namespace limeledge::dispatch
