/// @file
/// Bodies of the caller and operator interface as JSON.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/api_codec.h"

#include <utility>

#include "codec/json.h"
#include "codec/json_fields.h"
#include "codec/row_codec.h"

namespace limeledge {

namespace {

constexpr Presence kNeeded = Presence::kRequired;
constexpr Presence kMaybe = Presence::kOptional;
constexpr std::int64_t kMaxDeadlineMs = 3600000;
constexpr std::int64_t kMaxDeclaredMs = 90LL * 24 * 3600000;
constexpr int kMaxMembers = 1024;
constexpr int kMaxAccelerators = 64;
constexpr int kMaxCores = 4096;
constexpr std::int64_t kMaxMemoryMb = 1LL << 30;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;

/// Parses a body; a broken one is a finding and reads as an empty object.
Json::Value ParseBody(const std::string& body, Findings* findings) {
  absl::StatusOr<Json::Value> json = ParseJson(body);
  if (!json.ok()) {
    findings->Add("", std::string(json.status().message()));
    return Json::Value(Json::objectValue);
  }
  return *std::move(json);
}

int StatusOf(const RequestResult& result) {
  switch (result.outcome) {
    case RequestOutcome::kAnswered:
      return kOk;
    case RequestOutcome::kUnknown:
      return kTimeout;
    case RequestOutcome::kNotRun:
      break;
  }
  if (result.reason == RequestReason::kOverloaded) return kTooMany;
  if (result.reason == RequestReason::kIdReused) return kConflict;
  return kUnavailable;
}

ApiResponse Encode(const RequestResult& result) {
  Json::Value json(Json::objectValue);
  json["id"] = result.id.value();
  json["outcome"] = ToString(result.outcome);
  if (result.outcome == RequestOutcome::kAnswered) {
    json["answer"] = result.answer;
  } else {
    json["reason"] = ToString(result.reason);
  }
  if (result.retry_after > Duration(0)) {
    json["retry_after_ms"] = Json::Int64(result.retry_after.ms());
  }
  return {StatusOf(result), WriteJson(json), result.retry_after};
}

Json::Value ToJson(const JobView& view) {
  const JobRow& job = view.job;
  Json::Value json(Json::objectValue);
  json["id"] = JobName(job.spec.id);
  json["workspace"] = job.spec.workspace.value();
  json["class"] = job.spec.job_class.value();
  json["state"] = ToString(job.state);
  json["hall"] = job.hall.value();
  json["attempt"] = job.attempt;
  json["members"] = job.spec.members;
  json["accelerators_per_member"] = job.spec.accelerators;
  json["repeatable"] = job.spec.repeatable;
  const std::string& why =
      view.explanation.empty() ? job.reason : view.explanation;
  if (!why.empty()) json["explanation"] = why;
  if (job.cancel_requested) json["cancel_requested"] = true;
  json["submitted_ms"] = Json::Int64(job.submitted_ms);
  if (job.started_ms > 0) json["started_ms"] = Json::Int64(job.started_ms);
  if (job.ended_ms > 0) json["ended_ms"] = Json::Int64(job.ended_ms);
  if (HoldsPlacement(job.state)) {
    Json::Value workers(Json::arrayValue);
    for (const Member& member : job.placement.members) {
      workers.append(member.worker.value());
    }
    json["workers"] = workers;
    json["borrowed"] = job.placement.borrowed;
  }
  if (job.state == JobState::kDone) {
    Json::Value results(Json::arrayValue);
    for (const std::string& result : job.results) results.append(result);
    json["results"] = results;
  }
  return json;
}

ApiResponse Encode(const JobView& view) {
  const bool ended = IsFinal(view.job.state);
  return {ended ? kOk : kAccepted, WriteJson(ToJson(view)), Duration()};
}

ApiResponse Encode(const JobList& list) {
  Json::Value jobs(Json::arrayValue);
  for (const JobView& view : list.jobs) jobs.append(ToJson(view));
  Json::Value json(Json::objectValue);
  json["jobs"] = jobs;
  return {kOk, WriteJson(json), Duration()};
}

ApiResponse Encode(const Failure& failure) { return EncodeFailure(failure); }

ApiResponse Encode(const SettingsView& view) {
  Json::Value json(Json::objectValue);
  json["version"] = Json::Int64(view.copy.version.value());
  json["text"] = view.copy.text;
  Json::Value in_force(Json::arrayValue);
  for (const InstanceVersion& instance : view.in_force) {
    Json::Value entry(Json::objectValue);
    entry["instance"] = instance.instance.value();
    entry["version"] = Json::Int64(instance.version.value());
    entry["live"] = instance.live;
    in_force.append(entry);
  }
  json["in_force"] = in_force;
  return {kOk, WriteJson(json), Duration()};
}

ApiResponse Encode(const SettingsHistory& history) {
  Json::Value versions(Json::arrayValue);
  for (const Row& row : history.rows) {
    const absl::StatusOr<SettingsRow> settings = DecodeSettingsRow(row);
    if (!settings.ok()) continue;
    Json::Value entry(Json::objectValue);
    entry["version"] = Json::Int64(settings->copy.version.value());
    entry["author"] = settings->author;
    entry["written_ms"] = Json::Int64(settings->written_ms);
    entry["text"] = settings->copy.text;
    versions.append(entry);
  }
  Json::Value json(Json::objectValue);
  json["versions"] = versions;
  return {kOk, WriteJson(json), Duration()};
}

ApiResponse Encode(const StateDump& dump) {
  return {kOk, dump.json, Duration()};
}

template <typename Other>
ApiResponse Encode(const Other&) {
  return EncodeFailure({absl::InternalError("no such answer here"), {}, {}});
}

}  // namespace

RequestSpec ReadRequestBody(const std::string& body, const Settings& settings,
                            Findings* findings) {
  const Json::Value json = ParseBody(body, findings);
  RequestSpec request;
  if (!findings->empty()) return request;
  JsonFields fields(json, "", findings);
  fields.Identifier("id", kNeeded, &request.id);
  fields.Identifier("workspace", kNeeded, &request.workspace);
  fields.Identifier("class", kNeeded, &request.request_class);
  fields.Bool("repeatable", kMaybe, &request.repeatable);
  fields.Milliseconds("deadline_ms", kMaybe, 1, kMaxDeadlineMs,
                      &request.deadline);
  fields.Payload("payload", kNeeded, &request.payload);
  fields.RejectOthers();
  const auto known = settings.classes.find(request.request_class);
  if (request.request_class.empty()) return request;
  if (known == settings.classes.end()) {
    fields.AddFinding("class", "no such class");
  } else if (known->second.kind != ClassKind::kRequest) {
    fields.AddFinding("class", "is a class for jobs, not for requests");
  }
  return request;
}

JobSpec ReadJobBody(const std::string& body, Findings* findings) {
  const Json::Value json = ParseBody(body, findings);
  JobSpec spec;
  if (!findings->empty()) return spec;
  JsonFields fields(json, "", findings);
  JobId name;
  fields.Identifier("id", kNeeded, &name);
  fields.Identifier("workspace", kNeeded, &spec.workspace);
  fields.Identifier("class", kNeeded, &spec.job_class);
  fields.Integer("members", kMaybe, 1, kMaxMembers, &spec.members);
  fields.Integer("accelerators_per_member", kMaybe, 0, kMaxAccelerators,
                 &spec.accelerators);
  fields.Integer("cores", kMaybe, 0, kMaxCores, &spec.cores);
  fields.Integer("memory_mb", kMaybe, 0, kMaxMemoryMb, &spec.memory_mb);
  fields.Milliseconds("declared_ms", kMaybe, 0, kMaxDeclaredMs, &spec.declared);
  fields.Bool("repeatable", kMaybe, &spec.repeatable);
  fields.Payload("payload", kMaybe, &spec.payload);
  fields.RejectOthers();
  spec.id = FullJobId(spec.workspace, name.value());
  return spec;
}

ApiResponse EncodeAnswer(const AnswerBody& answer) {
  return std::visit([](const auto& body) { return Encode(body); }, answer);
}

ApiResponse EncodeFailure(const Failure& failure) {
  Json::Value error(Json::objectValue);
  error["code"] = absl::StatusCodeToString(failure.status.code());
  error["message"] = std::string(failure.status.message());
  Json::Value findings(Json::arrayValue);
  for (const Finding& finding : failure.findings) {
    Json::Value entry(Json::objectValue);
    entry["source"] = finding.source;
    if (finding.line > 0) {
      entry["line"] = finding.line;
      entry["column"] = finding.column;
    }
    entry["path"] = finding.path;
    entry["message"] = finding.message;
    findings.append(entry);
  }
  error["findings"] = findings;
  Json::Value json(Json::objectValue);
  json["error"] = error;
  return {HttpStatusOf(failure.status.code()), WriteJson(json),
          failure.retry_after};
}

int HttpStatusOf(absl::StatusCode code) {
  switch (code) {
    case absl::StatusCode::kOk:
      return kOk;
    case absl::StatusCode::kInvalidArgument:
      return 400;
    case absl::StatusCode::kUnauthenticated:
      return 401;
    case absl::StatusCode::kPermissionDenied:
      return 403;
    case absl::StatusCode::kNotFound:
      return 404;
    case absl::StatusCode::kAlreadyExists:
    case absl::StatusCode::kAborted:
      return kConflict;
    case absl::StatusCode::kFailedPrecondition:
      return 422;
    case absl::StatusCode::kResourceExhausted:
      return kTooMany;
    case absl::StatusCode::kUnavailable:
      return kUnavailable;
    case absl::StatusCode::kDeadlineExceeded:
      return kTimeout;
    default:
      return 500;
  }
}

}  // namespace limeledge
