/// @file
/// JSON encoding of the dispatcher's rows.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/row_codec.h"

#include <json/json.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "absl/strings/numbers.h"
#include "codec/json.h"
#include "dispatch/context.h"

namespace limeledge::dispatch {

namespace {

constexpr JobState kJobStates[] = {JobState::kQueued, JobState::kRunning,
                                   JobState::kDone, JobState::kFailed,
                                   JobState::kCancelled};

/// Parses a JSON object. Reading a value as the wrong type throws in jsoncpp;
/// `Decode` turns that into a status.
absl::StatusOr<Json::Value> ParseObject(const std::string& text) {
  absl::StatusOr<Json::Value> json = ParseJson(text);
  if (!json.ok()) return json.status();
  if (!json->isObject()) return absl::InvalidArgumentError("not a JSON object");
  return json;
}

template <typename Result, typename Read>
absl::StatusOr<Result> Decode(const std::string& text, Read read) {
  const absl::StatusOr<Json::Value> json = ParseObject(text);
  if (!json.ok()) return json.status();
  try {
    return read(*json);
  } catch (const Json::Exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

Json::Value EncodePolicy(const QueuePolicy& policy) {
  Json::Value json;
  json["service"] = policy.service.value();
  json["priority"] = policy.priority;
  json["max_attempts"] = policy.max_attempts;
  json["stretch"] = policy.stretch;
  json["slack_ms"] = Json::Int64(policy.slack.ms());
  if (policy.needs_advice) json["advice"] = true;
  return json;
}

QueuePolicy DecodePolicy(const Json::Value& json) {
  QueuePolicy policy;
  policy.service = ServiceId(json["service"].asString());
  policy.priority = json["priority"].asInt();
  policy.max_attempts = json["max_attempts"].asInt();
  policy.stretch = json["stretch"].asDouble();
  policy.slack = Duration(json["slack_ms"].asInt64());
  policy.needs_advice = json.get("advice", false).asBool();
  return policy;
}

Json::Value EncodeStep(const StepSpec& step) {
  Json::Value json;
  json["count"] = step.count;
  json["cpu"] = Json::Int64(step.need.cpu_millis);
  json["memory"] = Json::Int64(step.need.memory_mb);
  json["accelerators"] = Json::Int64(step.need.accelerators);
  json["estimate_ms"] = Json::Int64(step.estimate.ms());
  for (const int before : step.after) json["after"].append(before);
  if (step.saves_progress) json["saves"] = true;
  if (step.gang) json["gang"] = true;
  if (step.same_rack) json["same_rack"] = true;
  if (!step.required_label.empty()) json["label"] = step.required_label;
  if (!step.data_rack.empty()) json["data_rack"] = step.data_rack;
  if (step.max_per_runner > 0) json["max_per_runner"] = step.max_per_runner;
  if (step.speculative) json["speculative"] = true;
  if (step.long_running) json["long_running"] = true;
  if (!step.image.empty()) json["image"] = step.image;
  if (step.tail_latency_target.ms() > 0) {
    json["tail_target_ms"] = Json::Int64(step.tail_latency_target.ms());
  }
  if (step.filler) json["filler"] = true;
  if (step.max_unavailable >= 0) json["may_be_away"] = step.max_unavailable;
  return json;
}

StepSpec DecodeStep(const Json::Value& json) {
  StepSpec step;
  step.count = json["count"].asInt();
  step.need.cpu_millis = json["cpu"].asInt64();
  step.need.memory_mb = json["memory"].asInt64();
  step.need.accelerators = json["accelerators"].asInt64();
  step.estimate = Duration(json["estimate_ms"].asInt64());
  for (const Json::Value& before : json["after"]) {
    step.after.push_back(before.asInt());
  }
  step.saves_progress = json.get("saves", false).asBool();
  step.gang = json.get("gang", false).asBool();
  step.same_rack = json.get("same_rack", false).asBool();
  step.required_label = json.get("label", "").asString();
  step.data_rack = json.get("data_rack", "").asString();
  step.max_per_runner = json.get("max_per_runner", 0).asInt();
  step.speculative = json.get("speculative", false).asBool();
  step.long_running = json.get("long_running", false).asBool();
  step.image = json.get("image", "").asString();
  step.tail_latency_target = Duration(json.get("tail_target_ms", 0).asInt64());
  step.filler = json.get("filler", false).asBool();
  step.max_unavailable = json.get("may_be_away", -1).asInt();
  return step;
}

/// Returns the start time at `index` of a list, or an unknown start time if the
/// list is shorter: rows of versions that did not distinguish incarnations lack
/// it.
StartTime StartTimeAt(const Json::Value& json, Json::ArrayIndex index) {
  return json.size() > index ? StartTime(json[index].asInt64()) : StartTime();
}

RunLoss DecodeLoss(const Json::Value& json) {
  RunLoss loss;
  loss.run = json[0].asInt();
  loss.incarnation.runner = RunnerId(json[1].asString());
  loss.address = json[2].asString();
  loss.lasted = Duration(json[3].asInt64());
  loss.crashed = json[4].asBool();
  loss.suspicious = json[5].asBool();
  constexpr Json::ArrayIndex kStartTime = 6;
  loss.incarnation.start_time = StartTimeAt(json, kStartTime);
  return loss;
}

void DecodeTask(const Json::Value& json, const Json::Value& addresses,
                Step* step) {
  const Json::ArrayIndex index = json[0].asUInt();
  if (index >= step->tasks.size()) return;
  Task& task = step->tasks[index];
  task.phase = static_cast<TaskPhase>(json[1].asInt());
  task.run = json[2].asInt();
  task.failures = json[3].asInt();
  const std::string runner = json[4].asString();
  task.incarnation.runner = RunnerId(runner);
  task.address = addresses.get(runner, "").asString();
  task.checkpoint = json[5].asString();
  task.losses.clear();
  // The list ends here for tasks without lost runs, and in rows of versions
  // that did not record losses.
  constexpr Json::ArrayIndex kLosses = 6;
  constexpr Json::ArrayIndex kStartTime = 7;
  task.incarnation.start_time = StartTimeAt(json, kStartTime);
  if (json.size() <= kLosses) return;
  for (const Json::Value& loss : json[kLosses]) {
    task.losses.push_back(DecodeLoss(loss));
  }
}

void DecodeUnreportedRuns(const Json::Value& json, Step* step) {
  for (const Json::Value& run : json["unreported_runs"]) {
    step->unreported_runs[run.asInt()] = kNever;
  }
}

/// Blocks of one step may have been stored at different times: none of the
/// failures in them is dropped.
void DecodeFailedRuns(const Json::Value& json, Step* step) {
  step->gang_failures =
      std::max(step->gang_failures, json.get("failures", 0).asInt());
  const bool lists_runs = json.isMember("failed_runs");
  const char* counted_until = lists_runs ? "counted_until" : "failed_run";
  step->failures_counted_until = std::max(step->failures_counted_until,
                                          json.get(counted_until, 0).asInt());
  for (const Json::Value& run : json["failed_runs"]) {
    step->failed_runs.insert(run.asInt());
  }
}

/// Decodes an element that `EncodeTasks` produced. Tasks and steps that the job
/// does not have are skipped.
void DecodeTasks(const Json::Value& json, const Json::Value& addresses,
                 Job* job) {
  std::vector<Occurrence>& occurrences = job->occurrences();
  const Json::ArrayIndex k = json["k"].asUInt();
  const Json::ArrayIndex s = json["step"].asUInt();
  if (k >= occurrences.size() || s >= occurrences[k].steps.size()) return;
  Step& step = occurrences[k].steps[s];
  DecodeFailedRuns(json, &step);
  DecodeUnreportedRuns(json, &step);
  for (const Json::Value& task : json["tasks"]) {
    DecodeTask(task, addresses, &step);
  }
}

/// Decodes the tasks of a row. Rows of versions that did not store addresses
/// lack these.
void DecodeAllTasks(const Json::Value& json, Job* job) {
  const Json::Value none(Json::objectValue);
  const Json::Value& stored = json["addresses"];
  const Json::Value& addresses = stored.isObject() ? stored : none;
  for (const Json::Value& tasks : json["steps"]) {
    DecodeTasks(tasks, addresses, job);
  }
}

/// Earlier versions wrote `true` for jobs with a run that was assigned and may
/// not have begun.
bool HasBegun(const Json::Value& json) {
  const Json::Value& begun = json["begun"];
  return begun.isInt() && begun.asInt() != 0;
}

JobState StateFrom(const Json::Value& json) {
  const int state = json["state"].asInt();
  const bool known =
      state >= 0 && state < static_cast<int>(std::size(kJobStates));
  return known ? kJobStates[state] : JobState::kQueued;
}

/// The epoch in a leader's row, which is text if `divides_progress` is set.
Epoch EpochFrom(const Json::Value& json) {
  if (!json.isString()) return Epoch(json.asInt64());
  std::int64_t epoch = 0;
  if (!absl::SimpleAtoi(json.asString(), &epoch)) {
    throw Json::LogicError("the epoch is not a number");
  }
  return Epoch(epoch);
}

constexpr int kForecastVersion = 1;
constexpr int kPercent = 100;

Json::Value EncodeAmounts(
    const std::array<std::int64_t, kResourceKinds>& amounts) {
  Json::Value json(Json::arrayValue);
  for (const std::int64_t amount : amounts) json.append(Json::Int64(amount));
  return json;
}

Resources DecodeAmounts(const Json::Value& json) {
  return {json[0].asInt64(), json[1].asInt64(), json[2].asInt64()};
}

Json::Value EncodeWaits(const std::array<Duration, kResourceKinds>& waits) {
  Json::Value json(Json::arrayValue);
  for (const Duration wait : waits) json.append(Json::Int64(wait.ms()));
  return json;
}

std::array<Duration, kResourceKinds> DecodeWaits(const Json::Value& json) {
  std::array<Duration, kResourceKinds> waits;
  for (Json::ArrayIndex i = 0; i < kResourceKinds; ++i) {
    waits[i] = Duration(json[i].asInt64());
  }
  return waits;
}

ServiceCapacity DecodeServiceCapacity(const Json::Value& json) {
  ServiceCapacity capacity;
  capacity.largest = DecodeAmounts(json["largest"]);
  capacity.sum = DecodeAmounts(json["sum"]);
  // A list that is missing is unknown, not empty.
  capacity.has_all_labels = json.isMember("labels");
  for (const Json::Value& label : json["labels"]) {
    capacity.labels.insert(label.asString());
  }
  return capacity;
}

QueueWait DecodeQueueWait(const Json::Value& json) {
  QueueWait wait;
  wait.earliest = DecodeWaits(json["earliest"]);
  wait.expected = DecodeWaits(json["expected"]);
  wait.free = DecodeAmounts(json["free"]);
  wait.largest_free = DecodeAmounts(json["largest_free"]);
  wait.estimate_factor = json["estimate_percent"].asDouble() / kPercent;
  return wait;
}

/// Decodes the forecast in a leader's row; nothing if it has another version or
/// is malformed. The lease must be readable all the same.
std::optional<CapacitySummary> DecodeForecast(const Json::Value& row) {
  try {
    const Json::Value& json = row["forecast"];
    if (json["v"].asInt() != kForecastVersion) return std::nullopt;
    CapacitySummary summary;
    summary.confirmed_wall_ms = json["at"].asInt64();
    const Json::Value& services = json["services"];
    for (const std::string& name : services.getMemberNames()) {
      summary.services[ServiceId(name)] = DecodeServiceCapacity(services[name]);
    }
    const Json::Value& waits = json["waits"];
    for (const std::string& name : waits.getMemberNames()) {
      summary.waits[QueueId(name)] = DecodeQueueWait(waits[name]);
    }
    return summary;
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

}  // namespace

Json::Value ForecastToJson(const CapacitySummary& summary) {
  Json::Value json;
  json["v"] = kForecastVersion;
  json["at"] = Json::Int64(summary.confirmed_wall_ms);
  for (const auto& [id, capacity] : summary.services) {
    Json::Value& service = json["services"][id.value()];
    service["largest"] = EncodeAmounts(AmountsOf(capacity.largest));
    service["sum"] = EncodeAmounts(AmountsOf(capacity.sum));
    if (!capacity.has_all_labels) continue;
    service["labels"] = Json::Value(Json::arrayValue);
    for (const std::string& label : capacity.labels) {
      service["labels"].append(label);
    }
  }
  for (const auto& [id, wait] : summary.waits) {
    Json::Value& queue = json["waits"][id.value()];
    queue["earliest"] = EncodeWaits(wait.earliest);
    queue["expected"] = EncodeWaits(wait.expected);
    queue["free"] = EncodeAmounts(AmountsOf(wait.free));
    queue["largest_free"] = EncodeAmounts(AmountsOf(wait.largest_free));
    queue["estimate_percent"] =
        Json::Int64(std::llround(wait.estimate_factor * kPercent));
  }
  return json;
}

std::string EncodeLeader(const LeaderRecord& record) {
  Json::Value json;
  if (record.divides_progress) {
    // Versions that do not know blocks cannot decode text here, and therefore
    // do not claim the lease.
    json["epoch"] = std::to_string(record.epoch.value());
  } else {
    json["epoch"] = Json::Int64(record.epoch.value());
  }
  json["holder"] = record.holder;
  json["sequence"] = Json::Int64(record.sequence);
  if (record.released) json["released"] = true;
  json["capacity"] = Json::Int64(record.capacity);
  json["largest_capacity"] = Json::Int64(record.largest_capacity);
  if (record.nodes > 0) json["nodes"] = Json::Int64(record.nodes);
  json["catalog"] = Json::Int64(record.catalog.value());
  json["catalog_revision"] = Json::Int64(record.catalog_revision.value());
  if (record.forecast.has_value()) {
    json["forecast"] = ForecastToJson(*record.forecast);
  }
  return WriteJson(json);
}

absl::StatusOr<LeaderRecord> DecodeLeader(const std::string& text) {
  return Decode<LeaderRecord>(text, [](const Json::Value& json) {
    LeaderRecord record;
    record.divides_progress = json["epoch"].isString();
    record.epoch = EpochFrom(json["epoch"]);
    record.holder = json["holder"].asString();
    record.sequence = json["sequence"].asInt64();
    record.released = json.get("released", false).asBool();
    record.capacity = json.get("capacity", 0).asInt64();
    record.largest_capacity = json.get("largest_capacity", 0).asInt64();
    record.nodes = json.get("nodes", 0).asInt64();
    record.catalog = CatalogVersion(json.get("catalog", 0).asInt64());
    record.catalog_revision =
        Revision(json.get("catalog_revision", 0).asInt64());
    if (json.isMember("forecast")) record.forecast = DecodeForecast(json);
    return record;
  });
}

std::string EncodePeer(const PeerRecord& record) {
  Json::Value json;
  json["address"] = record.address;
  json["renewed_ms"] = Json::Int64(record.renewed_wall_ms);
  json["hall"] = record.hall.value();
  json["capacity"] = Json::Int64(record.capacity);
  return WriteJson(json);
}

absl::StatusOr<PeerRecord> DecodePeer(const std::string& text) {
  return Decode<PeerRecord>(text, [](const Json::Value& json) {
    PeerRecord record;
    record.address = json["address"].asString();
    record.renewed_wall_ms = json["renewed_ms"].asInt64();
    record.hall = HallId(json.get("hall", "").asString());
    record.capacity = json.get("capacity", 0).asInt64();
    return record;
  });
}

std::string EncodeJobSpec(const JobSpec& spec) {
  Json::Value json;
  json["id"] = spec.id.value();
  json["queue"] = spec.queue.value();
  json["workspace"] = spec.workspace.value();
  json["policy"] = EncodePolicy(spec.policy);
  json["payload"] = spec.payload;
  json["accepted_ms"] = Json::Int64(spec.accepted_wall_ms);
  for (const StepSpec& step : spec.steps) {
    json["steps"].append(EncodeStep(step));
  }
  if (spec.recurrence.times > 0) {
    json["times"] = spec.recurrence.times;
    json["first_ms"] = Json::Int64(spec.recurrence.first_wall_ms);
    json["interval_ms"] = Json::Int64(spec.recurrence.interval.ms());
  }
  return WriteJson(json);
}

absl::StatusOr<JobSpec> DecodeJobSpec(const std::string& text) {
  return Decode<JobSpec>(text, [](const Json::Value& json) {
    JobSpec spec;
    spec.id = JobId(json["id"].asString());
    spec.queue = QueueId(json["queue"].asString());
    spec.workspace = WorkspaceId(json["workspace"].asString());
    spec.policy = DecodePolicy(json["policy"]);
    spec.payload = json["payload"].asString();
    spec.accepted_wall_ms = json["accepted_ms"].asInt64();
    for (const Json::Value& step : json["steps"]) {
      spec.steps.push_back(DecodeStep(step));
    }
    spec.recurrence.times = json.get("times", 0).asInt();
    spec.recurrence.first_wall_ms = json.get("first_ms", 0).asInt64();
    spec.recurrence.interval = Duration(json.get("interval_ms", 0).asInt64());
    return spec;
  });
}

absl::Status DecodeProgress(const std::string& text, Job* job) {
  const auto read = [job](const Json::Value& json) {
    job->Restore(StateFrom(json), HasBegun(json));
    DecodeAllTasks(json, job);
    job->InferBegun();
    return true;
  };
  return Decode<bool>(text, read).status();
}

absl::Status DecodeProgressBlock(const std::string& text, Job* job) {
  const auto read = [job](const Json::Value& json) -> absl::StatusOr<bool> {
    const int tasks_per_block = json["block_tasks"].asInt();
    if (tasks_per_block <= 0) {
      return absl::InvalidArgumentError("a block without its size");
    }
    // Blocks exist only of jobs that are not final.
    job->Restore(JobState::kRunning, job->has_begun() || HasBegun(json));
    if (job->blocks() == nullptr) job->DivideProgress(tasks_per_block);
    DecodeAllTasks(json, job);
    job->InferBegun();
    return true;
  };
  return Decode<bool>(text, read).status();
}

absl::StatusOr<JobState> DecodeProgressState(const std::string& text) {
  return Decode<JobState>(text, StateFrom);
}

std::string EncodeWaiting(const WaitingCounts& counts) {
  Json::Value json(Json::objectValue);
  for (const auto& [queue, count] : counts) {
    json[queue.value()] = Json::Int64(count);
  }
  return WriteJson(json);
}

absl::StatusOr<WaitingCounts> DecodeWaiting(const std::string& text) {
  return Decode<WaitingCounts>(text, [](const Json::Value& json) {
    WaitingCounts counts;
    for (const std::string& queue : json.getMemberNames()) {
      counts[QueueId(queue)] = json[queue].asInt64();
    }
    return counts;
  });
}

}  // namespace limeledge::dispatch
