/// @file
/// JSON encoding of the progress of jobs. Its rows are most of what a scheduler
/// writes: each start and each end of a run changes one.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/json_text.h"
#include "dispatch/row_codec.h"

namespace limeledge::dispatch {

namespace {

/// What the encoding of a task includes.
enum class TaskDetail { kAll, kNoCheckpoint, kNoCheckpointOrLosses };

/// Addresses of runners by their ids.
using Addresses = std::map<std::string_view, std::string_view>;

/// Encodes a lost run as a list.
void EncodeLoss(const RunLoss& loss, JsonText* json) {
  json->BeginArray();
  json->Number(loss.run);
  json->Text(loss.incarnation.runner.value());
  json->Text(loss.address);
  json->Number(loss.lasted.ms());
  json->Bool(loss.crashed);
  json->Bool(loss.suspicious);
  if (IsReported(loss.incarnation.start_time)) {
    json->Number(loss.incarnation.start_time.value());
  }
  json->EndArray();
}

/// Encodes what is needed of a task that is not done.
void EncodeOpenTask(const Task& task, TaskDetail detail, JsonText* json) {
  json->Number(task.failures);
  json->Text(task.incarnation.runner.value());
  json->Text(detail == TaskDetail::kAll ? task.checkpoint : "");
  const bool reported = IsReported(task.incarnation.start_time);
  const bool has_losses =
      !task.losses.empty() && detail != TaskDetail::kNoCheckpointOrLosses;
  if (!has_losses && !reported) return;
  json->BeginArray();
  if (has_losses) {
    for (const RunLoss& loss : task.losses) EncodeLoss(loss, json);
  }
  json->EndArray();
  if (reported) json->Number(task.incarnation.start_time.value());
}

/// Encodes a started task as a list, which is compact: a job may have thousands
/// of tasks.
void EncodeTask(const Task& task, int index, TaskDetail detail,
                JsonText* json) {
  json->BeginArray();
  json->Number(index);
  json->Number(static_cast<int>(task.phase));
  // The rest is not needed once the task is done, except that a late end of an
  // earlier run is recognized by its number.
  const bool done = task.phase == TaskPhase::kDone;
  if (!done || task.run > 1) json->Number(task.run);
  if (!done) EncodeOpenTask(task, detail, json);
  json->EndArray();
}

bool IsStarted(const Task& task) {
  return task.run != 0 || task.phase != TaskPhase::kWaiting;
}

/// Encodes which runs of a gang failed. Versions that do not know the list read
/// the highest number.
void EncodeFailures(const Step& step, JsonText* json) {
  if (step.failures_counted_until > 0) {
    json->Key("counted_until").Number(step.failures_counted_until);
  }
  int highest = step.failures_counted_until;
  if (!step.failed_runs.empty()) {
    highest = std::max(highest, *step.failed_runs.rbegin());
  }
  if (highest > 0) json->Key("failed_run").Number(highest);
  if (!step.failed_runs.empty()) {
    json->Key("failed_runs").BeginArray();
    for (const int run : step.failed_runs) json->Number(run);
    json->EndArray();
  }
  if (step.gang_failures > 0) json->Key("failures").Number(step.gang_failures);
}

/// Encodes a range of tasks and adds the addresses of the runners on which
/// their runs were started. Does nothing and returns false if none of them was
/// started.
bool EncodeTasks(const Job& job, const ProgressBlocks::Range& range,
                 TaskDetail detail, JsonText* json, Addresses* addresses) {
  const Step& step = job.occurrences()[range.occurrence].steps[range.step];
  const auto begin = step.tasks.begin() + range.first;
  const auto end = step.tasks.begin() + range.last;
  if (std::none_of(begin, end, IsStarted)) return false;
  json->BeginObject();
  EncodeFailures(step, json);
  json->Key("k").Number(range.occurrence);
  json->Key("step").Number(range.step);
  json->Key("tasks").BeginArray();
  for (int i = range.first; i < range.last; ++i) {
    const Task& task = step.tasks[i];
    if (IsStarted(task)) EncodeTask(task, i, detail, json);
    if (task.phase == TaskPhase::kAssigned && !task.address.empty()) {
      (*addresses)[task.incarnation.runner.value()] = task.address;
    }
  }
  json->EndArray();
  // A successor takes each of them as awaited until
  // `Job::LimitInheritedReports`.
  if (!step.unreported_runs.empty()) {
    json->Key("unreported_runs").BeginArray();
    for (const auto& [run, until] : step.unreported_runs) json->Number(run);
    json->EndArray();
  }
  json->EndObject();
  return true;
}

std::vector<ProgressBlocks::Range> AllRanges(const Job& job) {
  std::vector<ProgressBlocks::Range> ranges;
  for (std::size_t k = 0; k < job.occurrences().size(); ++k) {
    for (std::size_t s = 0; s < job.spec().steps.size(); ++s) {
      ranges.push_back({static_cast<int>(k), static_cast<int>(s), 0,
                        job.spec().steps[s].count});
    }
  }
  return ranges;
}

std::string EncodeAddresses(const Addresses& addresses) {
  JsonText json;
  json.BeginObject();
  for (const auto& [runner, address] : addresses) {
    json.Key(runner).Text(address);
  }
  json.EndObject();
  return std::move(json).Take();
}

/// The parts of a row that hold tasks; empty if none of them was started.
struct EncodedTasks {
  std::string addresses;
  std::string steps;
};

EncodedTasks EncodeRanges(const Job& job,
                          const std::vector<ProgressBlocks::Range>& ranges,
                          TaskDetail detail) {
  JsonText steps;
  Addresses addresses;
  bool any_started = false;
  steps.BeginArray();
  for (const ProgressBlocks::Range& range : ranges) {
    any_started |= EncodeTasks(job, range, detail, &steps, &addresses);
  }
  steps.EndArray();
  EncodedTasks encoded;
  if (any_started) encoded.steps = std::move(steps).Take();
  if (!addresses.empty()) encoded.addresses = EncodeAddresses(addresses);
  return encoded;
}

/// Earlier versions wrote `true` as soon as a run was assigned. They read the
/// number as `true`.
void EncodeBegun(const Job& job, JsonText* json) {
  if (job.has_begun()) json->Key("begun").Number(1);
}

std::string EncodeBlock(const Job& job, int block, TaskDetail detail) {
  const EncodedTasks tasks =
      EncodeRanges(job, job.blocks()->RangesOf(block), detail);
  JsonText json;
  json.BeginObject();
  if (!tasks.addresses.empty()) json.Key("addresses").Raw(tasks.addresses);
  EncodeBegun(job, &json);
  json.Key("block_tasks").Number(job.blocks()->tasks_per_block());
  // Queries read the state from the first row of the job.
  json.Key("state").Number(static_cast<int>(job.state()));
  if (!tasks.steps.empty()) json.Key("steps").Raw(tasks.steps);
  json.EndObject();
  return std::move(json).Take();
}

}  // namespace

std::string EncodeProgress(const Job& job) {
  EncodedTasks tasks;
  // The tasks of a final job are no longer needed.
  if (!IsFinal(job.state())) {
    tasks = EncodeRanges(job, AllRanges(job), TaskDetail::kAll);
  }
  JsonText json;
  json.BeginObject();
  if (!tasks.addresses.empty()) json.Key("addresses").Raw(tasks.addresses);
  EncodeBegun(job, &json);
  json.Key("state").Number(static_cast<int>(job.state()));
  if (!tasks.steps.empty()) json.Key("steps").Raw(tasks.steps);
  json.EndObject();
  return std::move(json).Take();
}

std::string EncodeProgressBlock(const Job& job, int block,
                                std::size_t max_bytes) {
  std::string text;
  for (const TaskDetail detail : {TaskDetail::kAll, TaskDetail::kNoCheckpoint,
                                  TaskDetail::kNoCheckpointOrLosses}) {
    text = EncodeBlock(job, block, detail);
    if (text.size() <= max_bytes) break;
  }
  return text;
}

}  // namespace limeledge::dispatch
