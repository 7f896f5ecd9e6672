/// @file
/// Row values as compact JSON.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "codec/row_codec.h"

#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "codec/json_fields.h"

namespace limeledge {

namespace {

constexpr Presence kNeeded = Presence::kRequired;
constexpr Presence kMaybe = Presence::kOptional;

Json::Value EncodeSpec(const JobSpec& spec) {
  Json::Value json(Json::objectValue);
  json["id"] = spec.id.value();
  json["workspace"] = spec.workspace.value();
  json["class"] = spec.job_class.value();
  json["members"] = spec.members;
  json["accelerators"] = spec.accelerators;
  json["cores"] = spec.cores;
  json["memory_mb"] = Json::Int64(spec.memory_mb);
  json["declared_ms"] = Json::Int64(spec.declared.ms());
  json["repeatable"] = spec.repeatable;
  json["payload"] = spec.payload;
  return json;
}

void DecodeSpec(const Json::Value& json, Findings* findings, JobSpec* spec) {
  JsonFields fields(json, "spec", findings);
  fields.Text("id", kNeeded, &spec->id);
  fields.Text("workspace", kNeeded, &spec->workspace);
  fields.Text("class", kNeeded, &spec->job_class);
  fields.Integer("members", kNeeded, 1, INT32_MAX, &spec->members);
  fields.Integer("accelerators", kNeeded, 0, 64, &spec->accelerators);
  fields.Integer("cores", kNeeded, 0, INT32_MAX, &spec->cores);
  fields.Integer("memory_mb", kNeeded, 0, INT64_MAX, &spec->memory_mb);
  fields.Milliseconds("declared_ms", kNeeded, 0, INT64_MAX, &spec->declared);
  fields.Bool("repeatable", kNeeded, &spec->repeatable);
  fields.Text("payload", kMaybe, &spec->payload);
}

Json::Value EncodePlacement(const Placement& placement) {
  Json::Value json(Json::objectValue);
  json["borrowed"] = placement.borrowed;
  Json::Value members(Json::arrayValue);
  for (const Member& member : placement.members) {
    Json::Value entry(Json::objectValue);
    entry["worker"] = member.worker.value();
    entry["accelerators"] = Json::UInt64(member.accelerators);
    members.append(entry);
  }
  json["members"] = members;
  return json;
}

void DecodePlacement(const Json::Value& json, Findings* findings,
                     Placement* placement) {
  JsonFields fields(json, "placement", findings);
  fields.Bool("borrowed", kNeeded, &placement->borrowed);
  fields.List("members", kNeeded,
              [&](const Json::Value& element, const std::string& path) {
                Member member;
                JsonFields entry(element, path, findings);
                entry.Text("worker", kNeeded, &member.worker);
                const bool has_mask =
                    element.isObject() && element["accelerators"].isUInt64();
                if (has_mask) {
                  member.accelerators = element["accelerators"].asUInt64();
                } else {
                  entry.AddFinding("accelerators", "must be a bit mask");
                }
                placement->members.push_back(std::move(member));
              });
}

void DecodeState(JsonFields* fields, const char* name, JobState* state) {
  std::string text;
  fields->Text(name, kNeeded, &text);
  if (!ParseJobState(text, state)) fields->AddFinding(name, "is no job state");
}

std::string TextOf(const Json::Value& element) {
  return element.isString() ? element.asString() : "";
}

/// Parses a row's value, which must be an object.
absl::StatusOr<Json::Value> ParseRow(const Row& row) {
  absl::StatusOr<Json::Value> json = ParseJson(row.value);
  if (!json.ok()) return absl::DataLossError(json.status().message());
  if (!json->isObject()) return absl::DataLossError("the row is no object");
  return json;
}

absl::Status DataLoss(const Findings& findings) {
  if (findings.empty()) return absl::OkStatus();
  return absl::DataLossError(findings.ToStatus().message());
}

}  // namespace

std::string EncodeJobRow(const JobRow& job) {
  Json::Value json(Json::objectValue);
  json["spec"] = EncodeSpec(job.spec);
  json["state"] = ToString(job.state);
  json["hall"] = job.hall.value();
  json["attempt"] = job.attempt;
  json["placement"] = EncodePlacement(job.placement);
  json["epoch"] = Json::Int64(job.epoch.value());
  json["next"] = ToString(job.next);
  json["cancel_requested"] = job.cancel_requested;
  json["failures"] = job.failures;
  Json::Value avoid(Json::arrayValue);
  for (const WorkerId& worker : job.avoid) avoid.append(worker.value());
  json["avoid"] = avoid;
  json["checkpoint"] = job.checkpoint;
  json["reason"] = job.reason;
  Json::Value results(Json::arrayValue);
  for (const std::string& result : job.results) results.append(result);
  json["results"] = results;
  json["submitted_ms"] = Json::Int64(job.submitted_ms);
  json["waiting_since_ms"] = Json::Int64(job.waiting_since_ms);
  json["started_ms"] = Json::Int64(job.started_ms);
  json["ended_ms"] = Json::Int64(job.ended_ms);
  return WriteJson(json);
}

absl::StatusOr<JobRow> DecodeJobRow(const Row& row) {
  const auto json = ParseRow(row);
  if (!json.ok()) return json.status();
  Findings findings(row.key);
  JobRow job;
  job.version = row.version;
  JsonFields fields(*json, "", &findings);
  DecodeSpec((*json)["spec"], &findings, &job.spec);
  DecodeState(&fields, "state", &job.state);
  fields.Text("hall", kNeeded, &job.hall);
  fields.Integer("attempt", kNeeded, 0, INT32_MAX, &job.attempt);
  DecodePlacement((*json)["placement"], &findings, &job.placement);
  fields.Integer("epoch", kNeeded, &job.epoch);
  DecodeState(&fields, "next", &job.next);
  fields.Bool("cancel_requested", kNeeded, &job.cancel_requested);
  fields.Integer("failures", kNeeded, 0, INT32_MAX, &job.failures);
  fields.List("avoid", kNeeded,
              [&](const Json::Value& element, const std::string&) {
                job.avoid.emplace_back(TextOf(element));
              });
  fields.Text("checkpoint", kMaybe, &job.checkpoint);
  fields.Text("reason", kMaybe, &job.reason);
  fields.List("results", kNeeded,
              [&](const Json::Value& element, const std::string&) {
                job.results.push_back(TextOf(element));
              });
  fields.Integer("submitted_ms", kNeeded, 0, INT64_MAX, &job.submitted_ms);
  fields.Integer("waiting_since_ms", kNeeded, 0, INT64_MAX,
                 &job.waiting_since_ms);
  fields.Integer("started_ms", kNeeded, 0, INT64_MAX, &job.started_ms);
  fields.Integer("ended_ms", kNeeded, 0, INT64_MAX, &job.ended_ms);
  const absl::Status status = DataLoss(findings);
  if (!status.ok()) return status;
  return job;
}

std::string EncodeOwnership(const OwnershipRecord& record) {
  Json::Value json(Json::objectValue);
  json["epoch"] = Json::Int64(record.epoch.value());
  json["holder"] = record.holder.value();
  json["incarnation"] = Json::Int64(record.incarnation);
  return WriteJson(json);
}

absl::StatusOr<OwnershipRecord> DecodeOwnership(const Row& row) {
  OwnershipRecord record;
  record.version = row.version;
  if (row.version == Revision(0)) return record;
  const auto json = ParseRow(row);
  if (!json.ok()) return json.status();
  Findings findings(row.key);
  JsonFields fields(*json, "", &findings);
  fields.Integer("epoch", kNeeded, &record.epoch);
  fields.Text("holder", kNeeded, &record.holder);
  fields.Integer("incarnation", kNeeded, 0, INT64_MAX, &record.incarnation);
  const absl::Status status = DataLoss(findings);
  if (!status.ok()) return status;
  return record;
}

std::string EncodeSettingsRow(const SettingsRow& row) {
  Json::Value json(Json::objectValue);
  json["version"] = Json::Int64(row.copy.version.value());
  json["text"] = row.copy.text;
  json["author"] = row.author;
  json["written_ms"] = Json::Int64(row.written_ms);
  return WriteJson(json);
}

absl::StatusOr<SettingsRow> DecodeSettingsRow(const Row& row) {
  const auto json = ParseRow(row);
  if (!json.ok()) return json.status();
  Findings findings(row.key);
  SettingsRow settings;
  JsonFields fields(*json, "", &findings);
  fields.Integer("version", kNeeded, &settings.copy.version);
  fields.Text("text", kNeeded, &settings.copy.text);
  fields.Text("author", kNeeded, &settings.author);
  fields.Integer("written_ms", kNeeded, 0, INT64_MAX, &settings.written_ms);
  const absl::Status status = DataLoss(findings);
  if (!status.ok()) return status;
  return settings;
}

}  // namespace limeledge
