/// @file
/// The command that prints a job's history from the logs of several processes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include "cli/command.h"
#include "cli/merged_log.h"
#include "codec/json.h"

namespace limeledge {

namespace {

void AddExplainOptions(cxxopts::OptionAdder& add) {
  add("only", "print only the lines that mention the id");
}

Json::Value ToJson(const LogEntry& entry) {
  Json::Value json;
  json["wall_ms"] = Json::Int64(entry.wall_ms);
  json["id"] = entry.number;
  json["event"] = entry.event;
  json["instance"] = entry.instance;
  json["text"] = Describe(entry);
  for (const auto& [name, value] : entry.fields) json["fields"][name] = value;
  return json;
}

void PrintAsJson(const std::vector<LogEntry>& lines) {
  Json::Value json;
  json["summary"] = Summarize(lines);
  json["lines"] = Json::Value(Json::arrayValue);
  for (const LogEntry& line : lines) json["lines"].append(ToJson(line));
  fmt::print("{}\n", WriteJson(json));
}

void PrintAsText(const std::vector<LogEntry>& lines) {
  const std::int64_t begin = lines.front().wall_ms;
  for (const LogEntry& line : lines) {
    fmt::print("{:>9} ms  {:<20} {}  {}\n", line.wall_ms - begin, line.instance,
               line.number, Describe(line));
  }
  fmt::print("\n{}\n", Summarize(lines));
}

int Explain(const Target& target, const cxxopts::ParseResult& args,
            const std::vector<std::string>& arguments) {
  if (arguments.empty()) return ReportUsage("explain needs an ID");
  MergedLog log;
  const absl::Status status =
      AddLogFiles({arguments.begin() + 1, arguments.end()}, &log);
  if (!status.ok()) return ReportUsage(std::string(status.message()));
  const std::vector<LogEntry> lines = args.count("only") != 0
                                          ? log.LinesOf(arguments[0])
                                          : log.LinesAround(arguments[0]);
  if (lines.empty()) {
    fmt::print(stderr, "limeledge: no log line mentions {}\n", arguments[0]);
    return kExitFailed;
  }
  if (target.json) {
    PrintAsJson(lines);
  } else {
    PrintAsText(lines);
  }
  return kExitDone;
}

}  // namespace

std::vector<Command> ExplainCommands() {
  return {{"explain", "", "ID [FILE...]",
           "Print a job's history from the logs of all processes.",
           AddExplainOptions, Explain}};
}

}  // namespace limeledge
