/// @file
/// Message bodies as compact JSON.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "codec/message_codec.h"

#include <utility>

#include "codec/body.h"
#include "codec/json.h"
#include "codec/json_fields.h"

namespace limeledge {

namespace {

constexpr Presence kNeeded = Presence::kRequired;
constexpr Presence kMaybe = Presence::kOptional;
constexpr int kMaxUnits = 1 << 20;

Json::Value EncodeOrder(const TaskOrder& order) {
  Json::Value json(Json::objectValue);
  json["id"] = order.id.value();
  json["goal"] = ToString(order.goal);
  if (order.goal != TaskGoal::kPrepare) return json;
  json["accelerators"] = Json::UInt64(order.accelerators);
  json["cores"] = order.cores;
  json["memory_mb"] = Json::Int64(order.memory_mb);
  json["declared_ms"] = Json::Int64(order.declared.ms());
  json["payload"] = order.payload;
  json["checkpoint"] = order.checkpoint;
  return json;
}

TaskOrder DecodeOrder(const Json::Value& json, const std::string& path,
                      Findings* findings) {
  TaskOrder order;
  JsonFields fields(json, path, findings);
  fields.Text("id", kNeeded, &order.id);
  std::string goal;
  fields.Text("goal", kNeeded, &goal);
  if (!ParseTaskGoal(goal, &order.goal)) {
    fields.AddFinding("goal", "is no task goal");
  }
  if (json.isObject() && json["accelerators"].isUInt64()) {
    order.accelerators = json["accelerators"].asUInt64();
  }
  fields.Integer("cores", kMaybe, 0, kMaxUnits, &order.cores);
  fields.Integer("memory_mb", kMaybe, 0, INT64_MAX, &order.memory_mb);
  fields.Milliseconds("declared_ms", kMaybe, 0, INT64_MAX, &order.declared);
  fields.Text("payload", kMaybe, &order.payload);
  fields.Text("checkpoint", kMaybe, &order.checkpoint);
  return order;
}

Json::Value EncodeStamp(const WorkerStamp& stamp) {
  Json::Value json(Json::objectValue);
  json["incarnation"] = Json::Int64(stamp.incarnation);
  json["ms"] = Json::Int64(stamp.ms);
  return json;
}

WorkerStamp DecodeStamp(const Json::Value& json, Findings* findings) {
  WorkerStamp stamp;
  const Json::Value& value = json.isObject() ? json["stamp"] : json;
  JsonFields fields(value, "stamp", findings);
  fields.Integer("incarnation", kNeeded, 0, INT64_MAX, &stamp.incarnation);
  fields.Integer("ms", kNeeded, 0, INT64_MAX, &stamp.ms);
  return stamp;
}

Json::Value EncodeTask(const TaskReport& task) {
  Json::Value json(Json::objectValue);
  json["id"] = task.id.value();
  json["state"] = ToString(task.state);
  if (!task.detail.empty()) json["detail"] = task.detail;
  return json;
}

TaskReport DecodeTask(const Json::Value& json, const std::string& path,
                      Findings* findings) {
  TaskReport task;
  JsonFields fields(json, path, findings);
  fields.Text("id", kNeeded, &task.id);
  std::string state;
  fields.Text("state", kNeeded, &state);
  if (!ParseTaskState(state, &task.state)) {
    fields.AddFinding("state", "is no task state");
  }
  fields.Text("detail", kMaybe, &task.detail);
  return task;
}

template <typename IdType>
Json::Value EncodeIds(const std::vector<IdType>& ids) {
  Json::Value json(Json::arrayValue);
  for (const IdType& id : ids) json.append(id.value());
  return json;
}

template <typename IdType>
void DecodeIds(JsonFields* fields, const char* name, std::vector<IdType>* ids) {
  fields->List(name, kMaybe,
               [&](const Json::Value& element, const std::string&) {
                 if (element.isString()) ids->emplace_back(element.asString());
               });
}

}  // namespace

std::string EncodeExchange(const WorkerExchange& exchange) {
  Json::Value json(Json::objectValue);
  json["worker"] = exchange.worker.value();
  json["hall"] = exchange.hall.value();
  json["epoch"] = Json::Int64(exchange.epoch.value());
  json["sequence"] = Json::Int64(exchange.sequence);
  json["stamp"] = EncodeStamp(exchange.stamp);
  json["lease_ms"] = Json::Int64(exchange.lease.ms());
  json["notify"] = exchange.notify_address;
  Json::Value orders(Json::arrayValue);
  for (const TaskOrder& order : exchange.orders) {
    orders.append(EncodeOrder(order));
  }
  json["tasks"] = orders;
  return WriteJson(json);
}

absl::StatusOr<WorkerExchange> DecodeExchange(const std::string& body) {
  return DecodeBody<WorkerExchange>(
      body, "exchange",
      [](const Json::Value& json, Findings* findings, WorkerExchange* value) {
        JsonFields fields(json, "", findings);
        fields.Text("worker", kNeeded, &value->worker);
        fields.Text("hall", kNeeded, &value->hall);
        fields.Integer("epoch", kNeeded, &value->epoch);
        fields.Integer("sequence", kNeeded, 0, INT64_MAX, &value->sequence);
        value->stamp = DecodeStamp(json, findings);
        fields.Milliseconds("lease_ms", kNeeded, 0, INT64_MAX, &value->lease);
        fields.Text("notify", kMaybe, &value->notify_address);
        fields.List(
            "tasks", kNeeded,
            [&](const Json::Value& task, const std::string& path) {
              value->orders.push_back(DecodeOrder(task, path, findings));
            });
      });
}

std::string EncodeWorkerReport(const WorkerReport& report) {
  Json::Value json(Json::objectValue);
  json["epoch"] = Json::Int64(report.epoch.value());
  json["accepted"] = report.accepted;
  json["leaving"] = report.leaving;
  json["stamp"] = EncodeStamp(report.stamp);
  Json::Value tasks(Json::arrayValue);
  for (const TaskReport& task : report.tasks) tasks.append(EncodeTask(task));
  json["tasks"] = tasks;
  return WriteJson(json);
}

absl::StatusOr<WorkerReport> DecodeWorkerReport(const std::string& body) {
  return DecodeBody<WorkerReport>(
      body, "worker report",
      [](const Json::Value& json, Findings* findings, WorkerReport* value) {
        JsonFields fields(json, "", findings);
        fields.Integer("epoch", kNeeded, &value->epoch);
        fields.Bool("accepted", kNeeded, &value->accepted);
        fields.Bool("leaving", kNeeded, &value->leaving);
        value->stamp = DecodeStamp(json, findings);
        fields.List("tasks", kNeeded,
                    [&](const Json::Value& task, const std::string& path) {
                      value->tasks.push_back(DecodeTask(task, path, findings));
                    });
      });
}

std::string EncodeRunnerCall(const RunnerCall& call) {
  Json::Value json(Json::objectValue);
  json["runner"] = call.runner.value();
  json["request"] = call.request.value();
  json["attempt"] = call.attempt.value();
  json["workspace"] = call.workspace.value();
  json["class"] = call.request_class.value();
  json["timeout_ms"] = Json::Int64(call.timeout.ms());
  json["payload"] = call.payload;
  return WriteJson(json);
}

absl::StatusOr<RunnerCall> DecodeRunnerCall(const std::string& body) {
  return DecodeBody<RunnerCall>(
      body, "runner call",
      [](const Json::Value& json, Findings* findings, RunnerCall* value) {
        JsonFields fields(json, "", findings);
        fields.Text("runner", kNeeded, &value->runner);
        fields.Text("request", kNeeded, &value->request);
        fields.Text("attempt", kNeeded, &value->attempt);
        fields.Text("workspace", kNeeded, &value->workspace);
        fields.Text("class", kNeeded, &value->request_class);
        fields.Milliseconds("timeout_ms", kNeeded, 0, INT64_MAX,
                            &value->timeout);
        fields.Text("payload", kNeeded, &value->payload);
      });
}

std::string EncodeRunnerAnswer(const RunnerAnswer& answer) {
  Json::Value json(Json::objectValue);
  json["request"] = answer.request.value();
  json["attempt"] = answer.attempt.value();
  json["workspace"] = answer.workspace.value();
  json["answer"] = answer.answer;
  return WriteJson(json);
}

absl::StatusOr<RunnerAnswer> DecodeRunnerAnswer(const std::string& body) {
  return DecodeBody<RunnerAnswer>(
      body, "runner answer",
      [](const Json::Value& json, Findings* findings, RunnerAnswer* value) {
        JsonFields fields(json, "", findings);
        fields.Text("request", kNeeded, &value->request);
        fields.Text("attempt", kNeeded, &value->attempt);
        fields.Text("workspace", kNeeded, &value->workspace);
        fields.Text("answer", kNeeded, &value->answer);
      });
}

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  Json::Value json(Json::objectValue);
  json["from"] = heartbeat.from.value();
  json["incarnation"] = Json::Int64(heartbeat.incarnation);
  json["leaving"] = heartbeat.leaving;
  json["settings"] = Json::Int64(heartbeat.settings.value());
  json["revision"] = Json::Int64(heartbeat.revision.value());
  json["store_reachable"] = heartbeat.store_reachable;
  Json::Value halls(Json::arrayValue);
  for (const HallDigest& digest : heartbeat.halls) {
    Json::Value hall(Json::objectValue);
    hall["hall"] = digest.hall.value();
    hall["epoch"] = Json::Int64(digest.epoch.value());
    hall["free"] = digest.free_accelerators;
    hall["largest"] = digest.largest_free;
    hall["waiting"] = digest.waiting_jobs;
    halls.append(hall);
  }
  json["halls"] = halls;
  json["leaving_runners"] = EncodeIds(heartbeat.leaving_runners);
  json["leaving_workers"] = EncodeIds(heartbeat.leaving_workers);
  return WriteJson(json);
}

absl::StatusOr<Heartbeat> DecodeHeartbeat(const std::string& body) {
  return DecodeBody<Heartbeat>(
      body, "heartbeat",
      [](const Json::Value& json, Findings* findings, Heartbeat* value) {
        JsonFields fields(json, "", findings);
        fields.Identifier("from", kNeeded, &value->from);
        fields.Integer("incarnation", kNeeded, 0, INT64_MAX,
                       &value->incarnation);
        fields.Bool("leaving", kNeeded, &value->leaving);
        fields.Integer("settings", kNeeded, &value->settings);
        fields.Integer("revision", kNeeded, &value->revision);
        fields.Bool("store_reachable", kNeeded, &value->store_reachable);
        fields.List("halls", kMaybe,
                    [&](const Json::Value& element, const std::string& path) {
                      HallDigest digest;
                      JsonFields hall(element, path, findings);
                      hall.Identifier("hall", kNeeded, &digest.hall);
                      hall.Integer("epoch", kNeeded, &digest.epoch);
                      hall.Integer("free", kNeeded, 0, INT32_MAX,
                                   &digest.free_accelerators);
                      hall.Integer("largest", kNeeded, 0, INT32_MAX,
                                   &digest.largest_free);
                      hall.Integer("waiting", kNeeded, 0, INT32_MAX,
                                   &digest.waiting_jobs);
                      value->halls.push_back(digest);
                    });
        DecodeIds(&fields, "leaving_runners", &value->leaving_runners);
        DecodeIds(&fields, "leaving_workers", &value->leaving_workers);
      });
}

std::string EncodeSettingsCopy(const SettingsCopy& copy) {
  Json::Value json(Json::objectValue);
  json["version"] = Json::Int64(copy.version.value());
  json["text"] = copy.text;
  return WriteJson(json);
}

absl::StatusOr<SettingsCopy> DecodeSettingsCopy(const std::string& body) {
  return DecodeBody<SettingsCopy>(
      body, "settings copy",
      [](const Json::Value& json, Findings* findings, SettingsCopy* value) {
        JsonFields fields(json, "", findings);
        fields.Integer("version", kNeeded, &value->version);
        fields.Text("text", kNeeded, &value->text);
      });
}

}  // namespace limeledge
