/// @file
/// Parses structured logs and renders their lines as readable text.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/merged_log.h"

#include <json/json.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"

namespace limeledge {

namespace {

/// Text template of an event. A name in braces is replaced by the value of that
/// field.
struct EventTemplate {
  const char* event;
  const char* text;
};

constexpr EventTemplate kEventTemplates[] = {
    {"call_answered", "{call} {path}: {result} {state} {reason}"},
    {"job_settled", "the job is {state}"},
    {"job_accepted", "the job is stored, in queue {queue} of {workspace}"},
    {"run_assigned",
     "run {run} of {task} goes to runner {runner}, expected to take "
     "{expected_ms} ms"},
    {"run_ended", "run {run} of {task} on runner {runner} ended: {end}"},
    {"run_displaced",
     "{task} on runner {runner} makes way for urgent job {for}"},
    {"step_waits", "{tasks} tasks of step {step} wait: {reason}"},
    {"run_stalled",
     "{task} stands still at {percent} percent on runner {runner}, and is "
     "moved"},
    {"start_failed",
     "run {run} of {task} did not begin on runner {runner}: {outcome}"},
    {"run_moved",
     "{task} is slow on runner {runner} ({left_ms} ms left at {percent} "
     "percent), and is moved"},
    {"move_declined",
     "{task} takes long on runner {runner} and is not moved: {reason} "
     "({here_ms} ms left here, {elsewhere_ms} ms elsewhere)"},
    {"preemption_delayed",
     "step {step} preempts nothing, since room becomes free in {free_in_ms} ms "
     "and a stop takes {stop_ms} ms"},
    {"submit_refused",
     "the submit to queue {queue} of {workspace} is refused, and the job not "
     "stored: {reason}"},
    {"step_deferred", "step {step} is placed after the others: {reason}"},
    {"speeds_in_use",
     "lasting speeds of runners influence decisions: {in_use} (spread "
     "{spread}, {measured} runners measured)"},
    {"speeds_restored",
     "stored speeds of {runners} runners are used, the oldest of {oldest_ms} "
     "ms ago"},
    {"forecast_changed",
     "the capacity told to all nodes is that of services [{services}], with "
     "waits for queues [{waits}]"},
    {"run_lost",
     "run {run} of {task} went with runner {runner}, which fell silent "
     "{lasted_ms} ms after the start ({runner_end})"},
    {"loss_settled",
     "runner {runner}, with which {task} lost a run, lives: {lives}"},
    {"task_given_up",
     "{task} is given up, since runners crash under it; runs and runners: "
     "{runs}"},
    {"start_given_up",
     "the start of {task} on runner {runner} is not sent: {reason}"},
    {"stood_still", "came {ms} ms late to its work, and asks who schedules"},
    {"run_evacuated",
     "{task} is stopped at {percent} percent, since runner {runner} leaves"},
    {"run_not_listed",
     "run {run} of {task} is neither running nor ended on runner {runner} "
     "{born}"},
    {"run_done_late",
     "run {run} of {task} on runner {runner}, which counted as over, is done"},
    {"runner_began",
     "runner {runner} started again: its life {lives}, born {born} after "
     "{before}; {lost} runs went with the one before"},
    {"runner_hinted",
     "the list tells of a life of runner {runner} born {born}; known is "
     "{known}"},
    {"runner_unlisted", "runner {runner} left the list ({taken_for})"},
    {"runner_drains", "runner {runner} is about to leave"},
    {"runner_silent", "runner {runner} does not answer"},
    {"runner_heard", "runner {runner} answers again"},
    {"runner_lost", "all {runs} runs on runner {runner} are over: {reason}"},
    {"other_runner_answered",
     "another runner answers at {called}, which the entry of runner {runner} "
     "names; its {runs} runs go on"},
    {"runs_held",
     "runner {runner} does not answer ({poll}); its {runs} runs of an earlier "
     "scheduler may last {lease_left_ms} ms more"},
    {"runner_avoided_for",
     "runner {runner} gets nothing new for {pause_ms} ms: {reason}"},
    {"leader_claimed", "schedules from now on, with epoch {epoch}"},
    {"leader_lost", "does not schedule any more: {reason}"},
    {"store_lost", "the store does not answer"},
    {"store_back", "the store answers again"},
    {"write_in_doubt", "the answer to a write was lost"},
    {"write_settled", "what became of that write is known"},
    {"catalog_stale", "the configuration cannot be followed"},
    {"catalog_followed", "the configuration is followed again"},
};

/// Text that is added for lines with the field, in this order.
struct OptionalText {
  const char* event;
  const char* field;
  const char* text;
};

constexpr OptionalText kOptionalTexts[] = {
    {"run_assigned", "before_run",
     "; run {before_run} on runner {before_runner} ended before: "
     "{before_end}"},
    {"run_lost", "evidence", "; evidence: {evidence}"},
    {"run_lost", "called", " ({called})"},
    {"run_lost", "heard_ms_ago", "; heard {heard_ms_ago} ms ago"},
    {"run_lost", "lease_left_ms", "; lease may last {lease_left_ms} ms more"},
    {"run_lost", "lease_basis", " ({lease_basis})"},
    {"runs_held", "lease_basis", " ({lease_basis})"},
    {"runner_lost", "heard_ms_ago", "; heard {heard_ms_ago} ms ago"},
    {"runner_lost", "lease_left_ms",
     "; lease may last {lease_left_ms} ms more"},
    {"runner_lost", "lease_basis", " ({lease_basis})"},
    {"runner_lost", "lease_expired_ms_ago",
     ", expired {lease_expired_ms_ago} ms ago"},
    {"runner_lost", "foreign_rejected_ms_ago",
     "; has rejected foreign calls for {foreign_rejected_ms_ago} ms"},
    {"runner_lost", "first_clock_ms",
     "; its clock was at {first_clock_ms} ms in its first answer"},
    {"runner_heard", "clock_ms", "; its clock is at {clock_ms} ms"},
    {"runner_began", "starts_answered",
     "; {starts_answered} starts were answered since that one was heard, "
     "{starts_answered_by_another} of them surely by another life; "
     "{starts_in_flight} are in flight, {starts_unanswered} without an answer "
     "may arrive"},
    {"runner_began", "poll_unanswered_ms_ago",
     "; a poll that grants a lease got no answer {poll_unanswered_ms_ago} ms "
     "ago"},
    {"run_not_listed", "polled_ms_ago", "; polled {polled_ms_ago} ms ago"},
    {"run_not_listed", "lease_left_ms",
     "; lease may last {lease_left_ms} ms more"},
};

/// Events that may explain the history of a job although they do not mention
/// it.
bool ConcernsSchedulerOrStore(const std::string& event) {
  return event == "leader_claimed" || event == "leader_lost" ||
         event == "store_lost" || event == "store_back" ||
         event == "write_in_doubt" || event == "stood_still";
}

/// Events about what decisions on jobs in general depend on: the use of runner
/// speeds, and the forecast by which submits are refused.
bool ConcernsDecisions(const std::string& event) {
  return event == "speeds_in_use" || event == "speeds_restored" ||
         event == "forecast_changed";
}

bool ConcernsRunner(const std::string& event) {
  return absl::StartsWith(event, "runner_") || event == "runs_held" ||
         event == "other_runner_answered";
}

/// Replaces the names in braces by the values of these fields.
std::string ExpandTemplate(const std::string& text, const LogEntry& entry) {
  std::string out;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t open = text.find('{', at);
    if (open == std::string::npos) break;
    const std::size_t close = text.find('}', open);
    out += text.substr(at, open - at);
    out += entry.Field(text.substr(open + 1, close - open - 1));
    at = close + 1;
  }
  out += at < text.size() ? text.substr(at) : "";
  out.erase(out.find_last_not_of(' ') + 1);
  return out;
}

std::string DescribeOptionalFields(const LogEntry& entry) {
  std::string out;
  for (const OptionalText& optional : kOptionalTexts) {
    const bool applies = entry.event == optional.event &&
                         entry.fields.count(optional.field) != 0;
    if (applies) out += ExpandTemplate(optional.text, entry);
  }
  return out;
}

/// Lists the fields in order of their names, for events without a template.
std::string ListFields(const LogEntry& entry) {
  std::string out = entry.event;
  for (const auto& [name, value] : entry.fields) {
    absl::StrAppend(&out, " ", name, "=", value);
  }
  return out;
}

bool ParseLine(const std::string& line, LogEntry* entry) {
  const std::size_t brace = line.find('{');
  if (brace == std::string::npos) return false;
  const absl::StatusOr<Json::Value> json = ParseJson(line.substr(brace));
  if (!json.ok() || !json->isObject() || !json->isMember("event")) return false;
  for (const std::string& name : json->getMemberNames()) {
    const Json::Value& value = (*json)[name];
    if (name == "wall_ms" && value.isInt64()) {
      entry->wall_ms = value.asInt64();
    } else if (value.isString()) {
      entry->fields[name] = value.asString();
    }
  }
  const auto take = [entry](const char* name) {
    std::string value = entry->Field(name);
    entry->fields.erase(name);
    return value;
  };
  entry->event = take("event");
  entry->number = take("id");
  entry->level = take("level");
  entry->instance = take("instance");
  return true;
}

/// Summary of a job's lines. Times are 0 if the logs do not state them.
struct JobSummary {
  std::string state = "not settled";
  std::int64_t accepted_ms = 0;
  std::int64_t begun_ms = 0;
  std::int64_t settled_ms = 0;
  int refusals = 0;
  int preempted = 0;
  /// The task that was given up because its runners crashed, and the runs that
  /// led to this.
  std::string given_up;
  std::string given_up_for;
  /// Number of runs, by how they ended.
  std::map<std::string, int> ends;
};

void AddSubmit(const LogEntry& line, JobSummary* job) {
  if (line.Field("result") != "done") {
    ++job->refusals;
  } else if (job->accepted_ms == 0) {
    job->accepted_ms = line.wall_ms;
  }
}

void AddLine(const LogEntry& line, JobSummary* job) {
  if (line.event == "call_answered" && line.Field("call") == "submit") {
    AddSubmit(line, job);
  } else if (line.event == "run_assigned") {
    if (job->begun_ms == 0) job->begun_ms = line.wall_ms;
  } else if (line.event == "run_ended") {
    ++job->ends[line.Field("end")];
  } else if (line.event == "run_displaced") {
    ++job->preempted;
  } else if (line.event == "task_given_up") {
    job->given_up = line.Field("task");
    job->given_up_for = line.Field("runs");
  } else if (line.event == "job_settled") {
    job->state = line.Field("state");
    job->settled_ms = line.wall_ms;
  }
}

/// Describes how long the job waited and took, as far as the logs state it.
std::string DescribeTimes(const JobSummary& job) {
  if (job.accepted_ms == 0) return "; no accepted submit is logged";
  std::string text;
  if (job.begun_ms != 0) {
    absl::StrAppend(&text, "; it waited ",
                    std::max<std::int64_t>(0, job.begun_ms - job.accepted_ms),
                    " ms for its first run");
  }
  if (job.settled_ms != 0) {
    absl::StrAppend(&text, " and took ", job.settled_ms - job.accepted_ms,
                    " ms in all");
  }
  return text;
}

std::string Describe(const JobSummary& job) {
  std::string text = absl::StrCat("The job is ", job.state, DescribeTimes(job));
  if (job.refusals > 0) {
    absl::StrAppend(&text, "; ", job.refusals, " submits were not taken");
  }
  for (const auto& [end, count] : job.ends) {
    absl::StrAppend(&text, "; ", count, " runs ", end);
  }
  if (job.preempted > 0) {
    absl::StrAppend(&text, "; ", job.preempted, " made way for urgent work");
  }
  if (!job.given_up.empty()) {
    absl::StrAppend(&text, "; ", job.given_up,
                    " was given up, since runners crashed under its runs: ",
                    job.given_up_for);
  }
  return text + ".";
}

}  // namespace

const std::string& LogEntry::Field(const std::string& name) const {
  static const std::string* const empty = new std::string;
  const auto found = fields.find(name);
  return found == fields.end() ? *empty : found->second;
}

int MergedLog::Add(const std::string& text) {
  std::istringstream lines(text);
  int skipped = 0;
  for (std::string line; std::getline(lines, line);) {
    LogEntry entry;
    if (ParseLine(line, &entry)) {
      entries_.push_back(std::move(entry));
    } else if (!line.empty()) {
      ++skipped;
    }
  }
  return skipped;
}

std::vector<LogEntry> MergedLog::Lines() const {
  std::vector<LogEntry> sorted = entries_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const LogEntry& a, const LogEntry& b) {
                     return a.wall_ms < b.wall_ms;
                   });
  return sorted;
}

std::vector<LogEntry> MergedLog::LinesOf(const std::string& id) const {
  std::vector<LogEntry> lines = Lines();
  lines.erase(
      std::remove_if(lines.begin(), lines.end(),
                     [&id](const LogEntry& e) { return !Mentions(e, id); }),
      lines.end());
  return lines;
}

std::vector<LogEntry> MergedLog::LinesAround(const std::string& id) const {
  const std::vector<LogEntry> own = LinesOf(id);
  if (own.empty()) return {};
  std::vector<LogEntry> lines;
  // Number of the job's runs that are active at the current line, by runner.
  std::map<std::string, int> runners;
  for (const LogEntry& entry : Lines()) {
    const bool within = entry.wall_ms >= own.front().wall_ms &&
                        entry.wall_ms <= own.back().wall_ms;
    if (!within) continue;
    const std::string& runner = entry.Field("runner");
    if (Mentions(entry, id)) {
      if (entry.event == "run_assigned") ++runners[runner];
      if (entry.event == "run_ended") --runners[runner];
      lines.push_back(entry);
    } else if (ConcernsSchedulerOrStore(entry.event) ||
               ConcernsDecisions(entry.event) ||
               (ConcernsRunner(entry.event) && runners[runner] > 0)) {
      lines.push_back(entry);
    }
  }
  return lines;
}

bool Mentions(const LogEntry& entry, const std::string& id) {
  for (const auto& [name, value] : entry.fields) {
    if (value == id || absl::StartsWith(value, id + ".")) return true;
    if (name == "path" && absl::EndsWith(value, "/" + id)) return true;
  }
  return false;
}

std::string Describe(const LogEntry& entry) {
  for (const EventTemplate& format : kEventTemplates) {
    if (entry.event == format.event) {
      return ExpandTemplate(format.text, entry) + DescribeOptionalFields(entry);
    }
  }
  return ListFields(entry);
}

std::string Summarize(const std::vector<LogEntry>& lines) {
  JobSummary job;
  for (const LogEntry& line : lines) AddLine(line, &job);
  return Describe(job);
}

}  // namespace limeledge
