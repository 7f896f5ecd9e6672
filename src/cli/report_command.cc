/// @file
/// The command that reports from logs how time and work were spent, by cause.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "cli/command.h"
#include "cli/merged_log.h"
#include "cli/report_values.h"
#include "cli/starvation_tables.h"
#include "cli/work_report.h"
#include "codec/json.h"

namespace limeledge {

namespace {

constexpr char kDefaultSeconds[] = "10";
constexpr std::int64_t kMillisPerSecond = 1000;
constexpr double kPercent = 100;

void AddReportOptions(cxxopts::OptionAdder& add) {
  add("seconds", "number of worst seconds to print",
      cxxopts::value<std::size_t>()->default_value(kDefaultSeconds));
  add("slot", "length in seconds of a time slot in the accelerator use",
      cxxopts::value<int>()->default_value(
          absl::StrCat(kDefaultSlot.ms() / kMillisPerSecond)));
}

Json::Value ToJson(const std::map<std::string, GroupTotal>& groups) {
  Json::Value json(Json::objectValue);
  for (const auto& [name, group] : groups) {
    Json::Value& entry = json[name];
    entry["jobs"] = group.jobs;
    entry["seconds"] = Seconds(group.length);
    for (const auto& [cause, total] : group.causes) {
      Json::Value& row = entry["causes"][cause];
      row["seconds"] = Seconds(total.length);
      row["jobs"] = total.jobs;
      row["most"] = limeledge::ToJson(total.top_jobs);
    }
  }
  return json;
}

Json::Value ToJson(const std::map<RunFate, WasteTotal>& waste) {
  Json::Value json(Json::objectValue);
  for (const auto& [fate, total] : waste) {
    Json::Value& row = json[ToString(fate)];
    row["runs"] = total.runs;
    row["saved_runs"] = total.saved;
    row["accelerator_seconds"] = total.accelerator_seconds;
    row["core_seconds"] = total.core_seconds;
    for (const auto& [queue, runs] : total.runs_by_queue) {
      row["runs_by_queue"][queue] = runs;
    }
    row["most"] = limeledge::ToJson(total.top_jobs);
  }
  return json;
}

Json::Value ToJson(const std::map<std::string, PreemptionTotal>& preemptions) {
  Json::Value json(Json::objectValue);
  for (const auto& [queue, total] : preemptions) {
    Json::Value& row = json[queue];
    row["jobs"] = total.jobs;
    row["runs"] = total.runs;
    row["accelerator_seconds"] = total.accelerator_seconds;
    row["used_runs"] = total.used_runs;
    row["wait_seconds"] = Seconds(total.wait);
    row["waits"] = total.waits;
  }
  return json;
}

Json::Value ToJson(const std::map<std::string, DecisionTotal>& decisions) {
  Json::Value json(Json::objectValue);
  for (const auto& [text, total] : decisions) {
    Json::Value& row = json[text];
    row["decisions"] = total.decisions;
    row["jobs"] = total.jobs;
    row["most"] = limeledge::ToJson(total.top_jobs);
  }
  return json;
}

Json::Value ToJson(const std::vector<SecondTotal>& seconds) {
  Json::Value json(Json::arrayValue);
  for (const SecondTotal& total : seconds) {
    Json::Value row;
    row["second"] = Json::Int64(total.second);
    row["jobs"] = total.jobs;
    row["lost_seconds"] = Seconds(total.lost);
    row["main_cause"] = total.main_cause;
    row["most"] = limeledge::ToJson(total.top_jobs);
    json.append(std::move(row));
  }
  return json;
}

Json::Value ToJson(const WorkReport& report) {
  Json::Value json;
  json["begin_wall_ms"] = Json::Int64(report.begin_ms);
  json["settled_jobs"] = report.settled_jobs;
  json["open_jobs"] = Json::Value(Json::arrayValue);
  for (const std::string& job : report.open_jobs) json["open_jobs"].append(job);
  json["queues"] = ToJson(report.queues);
  json["workspaces"] = ToJson(report.workspaces);
  json["thrown_away"] = ToJson(report.waste);
  json["displacing"] = ToJson(report.preemptions);
  json["decisions"] = ToJson(report.decisions);
  json["worst_seconds"] = ToJson(report.worst_seconds);
  json["standings"] = limeledge::ToJson(report.queue_summaries);
  json["accelerator_use"] = limeledge::ToJson(report.use);
  return json;
}

void PrintGroups(const char* kind,
                 const std::map<std::string, GroupTotal>& groups) {
  for (const auto& [name, group] : groups) {
    fmt::print("\n{} {}: {} jobs, {:.2f} s each\n", kind, name, group.jobs,
               Seconds(group.length) / group.jobs);
    fmt::print("  {:>9} {:>6} {:>5}  {:<50} {}\n", "SECONDS", "SHARE", "JOBS",
               "CAUSE", "MOST FOR");
    std::vector<std::pair<std::string, CauseTotal>> rows(group.causes.begin(),
                                                         group.causes.end());
    std::stable_sort(rows.begin(), rows.end(),
                     [](const auto& a, const auto& b) {
                       return a.second.length > b.second.length;
                     });
    for (const auto& [cause, total] : rows) {
      const double share =
          group.length == Duration(0)
              ? 0
              : kPercent * Seconds(total.length) / Seconds(group.length);
      fmt::print("  {:>9.1f} {:>5.1f}% {:>5}  {:<50} {}\n",
                 Seconds(total.length), share, total.jobs, cause,
                 JoinJobs(total.top_jobs));
    }
  }
}

void PrintWaste(const std::map<RunFate, WasteTotal>& waste) {
  fmt::print("\nRuns that were not finished\n");
  fmt::print("  {:>5} {:>6} {:>12} {:>10}  {:<32} {}\n", "RUNS", "SAVED",
             "ACCEL. S", "CORE S", "CAUSE", "MOST FOR");
  for (const auto& [fate, total] : waste) {
    fmt::print("  {:>5} {:>6} {:>12.0f} {:>10.0f}  {:<32} {}\n", total.runs,
               total.saved, total.accelerator_seconds, total.core_seconds,
               ToString(fate), JoinJobs(total.top_jobs));
    for (const auto& [queue, runs] : total.runs_by_queue) {
      fmt::print("  {:>5}        of {}\n", runs, queue);
    }
  }
}

void PrintPreemptions(
    const std::map<std::string, PreemptionTotal>& preemptions) {
  if (preemptions.empty()) return;
  fmt::print("\nRuns that made way, by the queue that they made way for\n");
  fmt::print("  {:>5} {:>5} {:>6} {:>12} {:>12}  {}\n", "JOBS", "RUNS", "USED",
             "ACCEL. S", "MEAN WAIT S", "QUEUE");
  for (const auto& [queue, total] : preemptions) {
    const double wait =
        total.waits == 0 ? 0 : Seconds(total.wait) / total.waits;
    fmt::print("  {:>5} {:>5} {:>6} {:>12.0f} {:>12.2f}  {}\n", total.jobs,
               total.runs, total.used_runs, total.accelerator_seconds, wait,
               queue);
  }
}

void PrintDecisions(const std::map<std::string, DecisionTotal>& decisions) {
  if (decisions.empty()) return;
  fmt::print("\nDecisions about jobs\n");
  fmt::print("  {:>5} {:>5}  {:<70} {}\n", "TIMES", "JOBS", "DECISION",
             "MOST FOR");
  for (const auto& [text, total] : decisions) {
    fmt::print("  {:>5} {:>5}  {:<70} {}\n", total.decisions, total.jobs, text,
               JoinJobs(total.top_jobs));
  }
}

void PrintSeconds(const std::vector<SecondTotal>& seconds) {
  if (seconds.empty()) return;
  fmt::print("\nSeconds whose jobs lost most, from the first line\n");
  fmt::print("  {:>6} {:>5} {:>8}  {:<50} {}\n", "SECOND", "JOBS", "LOST S",
             "MAIN CAUSE", "MOST FOR");
  for (const SecondTotal& total : seconds) {
    fmt::print("  {:>6} {:>5} {:>8.1f}  {:<50} {}\n", total.second, total.jobs,
               Seconds(total.lost), total.main_cause, JoinJobs(total.top_jobs));
  }
}

void PrintReport(const WorkReport& report) {
  fmt::print("{} jobs settled, {} still open\n", report.settled_jobs,
             report.open_jobs.size());
  PrintGroups("Queue", report.queues);
  PrintGroups("Workspace", report.workspaces);
  PrintWaste(report.waste);
  PrintPreemptions(report.preemptions);
  PrintDecisions(report.decisions);
  PrintSeconds(report.worst_seconds);
  PrintQueueSummaries(report.queue_summaries);
  PrintUse(report.use);
}

int Report(const Target& target, const cxxopts::ParseResult& args,
           const std::vector<std::string>& arguments) {
  const int slot = args["slot"].as<int>();
  if (slot <= 0) return ReportUsage("--slot must be above zero");
  MergedLog log;
  const absl::Status status = AddLogFiles(arguments, &log);
  if (!status.ok()) return ReportUsage(std::string(status.message()));
  const WorkReport report =
      MakeWorkReport(log.Lines(), args["seconds"].as<std::size_t>(),
                     Duration(slot * kMillisPerSecond));
  if (target.json) {
    fmt::print("{}\n", WriteJson(ToJson(report)));
  } else {
    PrintReport(report);
  }
  return kExitDone;
}

}  // namespace

std::vector<Command> ReportCommands() {
  return {
      {"report", "", "[FILE...]",
       "Report from the logs of all processes how time and work were spent.",
       AddReportOptions, Report}};
}

}  // namespace limeledge
