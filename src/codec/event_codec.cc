/// @file
/// Events as JSON.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "codec/event_codec.h"

#include <map>
#include <utility>

#include "codec/json.h"
#include "codec/json_fields.h"
#include "codec/message_codec.h"
#include "codec/row_codec.h"

namespace limeledge {

namespace {

constexpr Presence kNeeded = Presence::kRequired;
constexpr Presence kMaybe = Presence::kOptional;
constexpr char kByRunner[] = "by_runner";

/// Writes the fields of each type of event.
class EventWriter {
 public:
  explicit EventWriter(Json::Value* json) : json_(*json) {}

  void operator()(const Tick&) { Type("tick"); }
  void operator()(const RequestArrived& event) {
    Type("request");
    Call(event.call);
    const RequestSpec& request = event.request;
    json_["id"] = request.id.value();
    json_["workspace"] = request.workspace.value();
    json_["class"] = request.request_class.value();
    json_["repeatable"] = request.repeatable;
    json_["deadline_ms"] = Json::Int64(request.deadline.ms());
    json_["payload"] = request.payload;
  }
  void operator()(const JobSubmitted& event) {
    Type("submit");
    Call(event.call);
    JobRow row;
    row.spec = event.spec;
    json_["row"] = EncodeJobRow(row);
  }
  void operator()(const JobAsked& event) {
    Type("ask_job");
    Call(event.call);
    json_["scope"] = event.scope.workspace.value();
    json_["job"] = event.job.value();
    json_["wait_ms"] = Json::Int64(event.wait.ms());
  }
  void operator()(const JobsAsked& event) {
    Type("ask_jobs");
    Call(event.call);
    json_["scope"] = event.scope.workspace.value();
    json_["workspace"] = event.workspace.value();
  }
  void operator()(const JobCancelAsked& event) {
    Type("cancel");
    Call(event.call);
    json_["scope"] = event.scope.workspace.value();
    json_["job"] = event.job.value();
  }
  void operator()(const SettingsProposed& event) {
    Type("propose");
    Call(event.call);
    json_["base"] = Json::Int64(event.base.value());
    json_["text"] = event.text;
    json_["author"] = event.author;
  }
  void operator()(const SettingsAsked& event) {
    Type("ask_settings");
    Call(event.call);
  }
  void operator()(const SettingsHistoryAsked& event) {
    Type("ask_history");
    Call(event.call);
    json_["count"] = event.count;
  }
  void operator()(const StateAsked& event) {
    Type("ask_state");
    Call(event.call);
  }
  void operator()(const MetricsAsked& event) {
    Type("ask_metrics");
    Call(event.call);
  }
  void operator()(const TransactionReplied& event) {
    Type("transaction");
    const bool lost = std::holds_alternative<TransactionLost>(event.reply);
    if (!lost) json_["reply"] = EncodeTransactionReply(event.reply);
  }
  void operator()(const RowsRead& event) {
    Type("rows");
    if (event.changes.has_value()) {
      json_["changes"] = EncodeChangedRows(*event.changes);
    }
  }
  void operator()(const ClaimsRead& event) {
    Type("claims");
    if (event.claims.has_value()) {
      json_["claims"] = EncodeChangedRows(*event.claims);
    }
  }
  void operator()(const RowsFetched& event) {
    Type("fetched");
    Call(event.call);
    if (event.rows.has_value()) {
      json_["rows"] = EncodeTransactionReply(TransactionConflict{*event.rows});
    }
  }
  void operator()(const InstanceListRead& event) {
    Type("list");
    if (event.list.has_value()) json_["list"] = EncodeInstanceList(*event.list);
  }
  void operator()(const HeartbeatArrived& event) {
    Type("heartbeat");
    Call(event.call);
    json_["heartbeat"] = EncodeHeartbeat(event.heartbeat);
  }
  void operator()(const HeartbeatAnswered& event) {
    Type("heartbeat_answer");
    json_["peer"] = event.peer.value();
    if (event.heartbeat.has_value()) {
      json_["heartbeat"] = EncodeHeartbeat(*event.heartbeat);
    }
  }
  void operator()(const SettingsCopyAsked& event) {
    Type("ask_copy");
    Call(event.call);
  }
  void operator()(const SettingsCopyArrived& event) {
    Type("copy");
    json_["peer"] = event.peer.value();
    if (event.copy.has_value()) json_["copy"] = EncodeSettingsCopy(*event.copy);
  }
  void operator()(const WorkerReplied& event) {
    Type("worker");
    json_["worker"] = event.worker.value();
    json_["hall"] = event.hall.value();
    json_["epoch"] = Json::Int64(event.epoch.value());
    json_["sequence"] = Json::Int64(event.sequence);
    if (event.report.has_value()) {
      json_["report"] = EncodeWorkerReport(*event.report);
    }
  }
  void operator()(const WorkerChanged& event) {
    Type("worker_changed");
    json_["worker"] = event.worker.value();
  }
  void operator()(const RunnerReplied& event) {
    Type("runner");
    const RunnerReply& reply = event.reply;
    json_["runner"] = reply.runner.value();
    json_["awaited"] = reply.awaited.value();
    json_["outcome"] = static_cast<int>(reply.outcome);
    json_["request"] = reply.request.value();
    json_["attempt"] = reply.attempt.value();
    json_["workspace"] = reply.workspace.value();
    json_["answer"] = reply.answer;
    json_["leaving"] = reply.leaving;
  }
  void operator()(const StopAsked&) { Type("stop"); }

 private:
  void Type(const char* type) { json_["type"] = type; }
  void Call(CallId call) { json_["call"] = Json::Int64(call.value()); }

  Json::Value& json_;
};

/// Reads the fields of one event.
class EventReader {
 public:
  EventReader(const Json::Value& json, Findings* findings)
      : fields_(json, "", findings) {}

  EventBody Read() {
    std::string type;
    fields_.Text("type", kNeeded, &type);
    using ReadFn = EventBody (EventReader::*)();
    static const std::map<std::string, ReadFn> readers = {
        {"tick", &EventReader::ReadTick},
        {"request", &EventReader::ReadRequest},
        {"submit", &EventReader::ReadSubmit},
        {"ask_job", &EventReader::ReadAskJob},
        {"ask_jobs", &EventReader::ReadAskJobs},
        {"cancel", &EventReader::ReadCancel},
        {"propose", &EventReader::ReadPropose},
        {"ask_settings", &EventReader::ReadAsk<SettingsAsked>},
        {"ask_history", &EventReader::ReadHistory},
        {"ask_state", &EventReader::ReadAsk<StateAsked>},
        {"ask_metrics", &EventReader::ReadAsk<MetricsAsked>},
        {"transaction", &EventReader::ReadTransaction},
        {"rows", &EventReader::ReadRows},
        {"claims", &EventReader::ReadClaims},
        {"fetched", &EventReader::ReadFetched},
        {"list", &EventReader::ReadList},
        {"heartbeat", &EventReader::ReadHeartbeat},
        {"heartbeat_answer", &EventReader::ReadHeartbeatAnswer},
        {"ask_copy", &EventReader::ReadAsk<SettingsCopyAsked>},
        {"copy", &EventReader::ReadCopy},
        {"worker", &EventReader::ReadWorker},
        {"worker_changed", &EventReader::ReadWorkerChanged},
        {"runner", &EventReader::ReadRunner},
        {"stop", &EventReader::ReadStop},
    };
    const auto it = readers.find(type);
    if (it == readers.end()) {
      fields_.AddFinding("type", "is no type of event");
      return Tick{};
    }
    return (this->*it->second)();
  }

 private:
  CallId Call() {
    CallId call;
    fields_.Integer("call", kNeeded, &call);
    return call;
  }

  std::string Text(const char* name) {
    std::string text;
    fields_.Text(name, kMaybe, &text);
    return text;
  }

  /// Decodes a message that stands in a field as text; nothing when the field
  /// is left out.
  template <typename T>
  std::optional<T> Message(const char* name,
                           absl::StatusOr<T> (*decode)(const std::string&)) {
    const std::string text = Text(name);
    if (text.empty()) return std::nullopt;
    absl::StatusOr<T> message = decode(text);
    if (!message.ok()) {
      fields_.AddFinding(name, std::string(message.status().message()));
      return std::nullopt;
    }
    return *std::move(message);
  }

  EventBody ReadTick() { return Tick{}; }
  EventBody ReadStop() { return StopAsked{}; }

  template <typename Asked>
  EventBody ReadAsk() {
    return Asked{Call()};
  }

  EventBody ReadRequest() {
    RequestArrived event;
    event.call = Call();
    RequestSpec& request = event.request;
    fields_.Text("id", kNeeded, &request.id);
    fields_.Text("workspace", kNeeded, &request.workspace);
    fields_.Text("class", kNeeded, &request.request_class);
    fields_.Bool("repeatable", kNeeded, &request.repeatable);
    fields_.Milliseconds("deadline_ms", kNeeded, 0, INT64_MAX,
                         &request.deadline);
    fields_.Text("payload", kNeeded, &request.payload);
    return event;
  }

  EventBody ReadSubmit() {
    JobSubmitted event;
    event.call = Call();
    const auto row = DecodeJobRow({"job", Text("row"), Revision()});
    if (row.ok()) {
      event.spec = row->spec;
    } else {
      fields_.AddFinding("row", std::string(row.status().message()));
    }
    return event;
  }

  EventBody ReadAskJob() {
    JobAsked event;
    event.call = Call();
    event.scope.workspace = WorkspaceId(Text("scope"));
    event.job = JobId(Text("job"));
    fields_.Milliseconds("wait_ms", kNeeded, 0, INT64_MAX, &event.wait);
    return event;
  }

  EventBody ReadAskJobs() {
    return JobsAsked{
        Call(), {WorkspaceId(Text("scope"))}, WorkspaceId(Text("workspace"))};
  }

  EventBody ReadCancel() {
    return JobCancelAsked{
        Call(), {WorkspaceId(Text("scope"))}, JobId(Text("job"))};
  }

  EventBody ReadPropose() {
    SettingsProposed event;
    event.call = Call();
    fields_.Integer("base", kNeeded, &event.base);
    event.text = Text("text");
    event.author = Text("author");
    return event;
  }

  EventBody ReadHistory() {
    SettingsHistoryAsked event;
    event.call = Call();
    fields_.Integer("count", kNeeded, 0, INT32_MAX, &event.count);
    return event;
  }

  EventBody ReadTransaction() {
    auto reply = Message("reply", DecodeTransactionReply);
    if (!reply.has_value()) return TransactionReplied{TransactionLost{}};
    return TransactionReplied{*std::move(reply)};
  }

  EventBody ReadRows() {
    return RowsRead{Message("changes", DecodeChangedRows)};
  }

  EventBody ReadClaims() {
    return ClaimsRead{Message("claims", DecodeChangedRows)};
  }

  EventBody ReadFetched() {
    RowsFetched event;
    event.call = Call();
    const auto rows = Message("rows", DecodeTransactionReply);
    if (rows.has_value()) {
      event.rows = std::get<TransactionConflict>(*rows).current;
    }
    return event;
  }

  EventBody ReadList() {
    return InstanceListRead{Message("list", DecodeInstanceList)};
  }

  EventBody ReadHeartbeat() {
    HeartbeatArrived event;
    event.call = Call();
    const auto heartbeat = Message("heartbeat", DecodeHeartbeat);
    if (heartbeat.has_value()) event.heartbeat = *heartbeat;
    return event;
  }

  EventBody ReadHeartbeatAnswer() {
    return HeartbeatAnswered{InstanceId(Text("peer")),
                             Message("heartbeat", DecodeHeartbeat)};
  }

  EventBody ReadCopy() {
    return SettingsCopyArrived{InstanceId(Text("peer")),
                               Message("copy", DecodeSettingsCopy)};
  }

  EventBody ReadWorker() {
    WorkerReplied event;
    event.worker = WorkerId(Text("worker"));
    event.hall = HallId(Text("hall"));
    fields_.Integer("epoch", kNeeded, &event.epoch);
    fields_.Integer("sequence", kNeeded, 0, INT64_MAX, &event.sequence);
    event.report = Message("report", DecodeWorkerReport);
    return event;
  }

  EventBody ReadWorkerChanged() {
    return WorkerChanged{WorkerId(Text("worker"))};
  }

  EventBody ReadRunner() {
    RunnerReply reply;
    int outcome = 0;
    fields_.Text("runner", kNeeded, &reply.runner);
    fields_.Text("awaited", kNeeded, &reply.awaited);
    fields_.Integer("outcome", kNeeded, 0,
                    static_cast<int>(RunnerOutcome::kLost), &outcome);
    fields_.Text("request", kNeeded, &reply.request);
    fields_.Text("attempt", kNeeded, &reply.attempt);
    fields_.Text("workspace", kNeeded, &reply.workspace);
    fields_.Text("answer", kNeeded, &reply.answer);
    fields_.Bool("leaving", kNeeded, &reply.leaving);
    reply.outcome = static_cast<RunnerOutcome>(outcome);
    return RunnerReplied{std::move(reply)};
  }

  JsonFields fields_;
};

absl::StatusOr<Json::Value> ParseLine(const std::string& line) {
  absl::StatusOr<Json::Value> json = ParseJson(line);
  if (!json.ok()) return absl::DataLossError(json.status().message());
  if (!json->isObject()) return absl::DataLossError("the line is no object");
  return json;
}

}  // namespace

std::string EncodeEvent(const Event& event) {
  Json::Value json(Json::objectValue);
  json["at"] = Json::Int64(event.at.ms());
  json["wall_ms"] = Json::Int64(event.wall_ms);
  EventWriter writer(&json);
  std::visit(writer, event.body);
  return WriteJson(json);
}

absl::StatusOr<Event> DecodeEvent(const std::string& line) {
  const absl::StatusOr<Json::Value> json = ParseLine(line);
  if (!json.ok()) return json.status();
  Findings findings("event");
  JsonFields fields(*json, "", &findings);
  Event event;
  std::int64_t at_ms = 0;
  fields.Integer("at", kNeeded, 0, INT64_MAX, &at_ms);
  fields.Integer("wall_ms", kNeeded, 0, INT64_MAX, &event.wall_ms);
  event.at = TimePoint(at_ms);
  event.body = EventReader(*json, &findings).Read();
  if (findings.empty()) return event;
  return absl::DataLossError(findings.ToStatus().message());
}

std::string EncodeSessionHeader(const ReducerOptions& options) {
  Json::Value json(Json::objectValue);
  json["id"] = options.self.id.value();
  json["incarnation"] = Json::Int64(options.self.incarnation);
  json["hall"] = options.self.hall.value();
  json["notify"] = options.self.notify_address;
  json["initial_settings"] = options.initial_settings;
  const bool by_runner = options.slot_division == SlotDivision::kByRunner;
  json["slot_division"] = by_runner ? kByRunner : "by_slot";
  return WriteJson(json);
}

absl::StatusOr<ReducerOptions> DecodeSessionHeader(const std::string& line) {
  const absl::StatusOr<Json::Value> json = ParseLine(line);
  if (!json.ok()) return json.status();
  Findings findings("session");
  JsonFields fields(*json, "", &findings);
  ReducerOptions options;
  std::string division;
  fields.Text("id", kNeeded, &options.self.id);
  fields.Integer("incarnation", kNeeded, 0, INT64_MAX,
                 &options.self.incarnation);
  fields.Text("hall", kNeeded, &options.self.hall);
  fields.Text("notify", kNeeded, &options.self.notify_address);
  fields.Text("initial_settings", kNeeded, &options.initial_settings);
  fields.Text("slot_division", kNeeded, &division);
  if (division == kByRunner) options.slot_division = SlotDivision::kByRunner;
  if (findings.empty()) return options;
  return absl::DataLossError(findings.ToStatus().message());
}

}  // namespace limeledge
