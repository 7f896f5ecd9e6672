/// @file
/// The commands that submit, show, wait for and cancel jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include "absl/strings/str_cat.h"
#include "cli/command.h"
#include "codec/json.h"

namespace limeledge {

namespace {

constexpr Duration kCallTimeout{20000};
constexpr int kMaxPollMs = 20000;
constexpr int kOk = 200;
constexpr int kAccepted = 202;

using Arguments = std::vector<std::string>;

std::string WorkspaceQuery(const cxxopts::ParseResult& args, char separator) {
  if (args.count("workspace") == 0) return "";
  return absl::StrCat(std::string(1, separator),
                      "workspace=", args["workspace"].as<std::string>());
}

void PrintJob(const Json::Value& job) {
  fmt::print("{:<10} {}/{}\n", job["state"].asString(),
             job["workspace"].asString(), job["id"].asString());
  fmt::print("  class {}, {} x {} accelerators, hall {}, attempt {}\n",
             job["class"].asString(), job["members"].asInt(),
             job["accelerators_per_member"].asInt(), job["hall"].asString(),
             job["attempt"].asInt());
  if (job.isMember("explanation")) {
    fmt::print("  {}\n", job["explanation"].asString());
  }
  if (job.isMember("workers")) {
    fmt::print("  on");
    for (const Json::Value& worker : job["workers"]) {
      fmt::print(" {}", worker.asString());
    }
    fmt::print("{}\n", job["borrowed"].asBool() ? " (borrowed)" : "");
  }
  for (const Json::Value& result : job["results"]) {
    fmt::print("  result: {}\n", result.asString());
  }
}

int ShowReply(const Target& target, const HttpReply& reply) {
  const bool succeeded = reply.outcome == HttpOutcome::kAnswered &&
                         (reply.status == kOk || reply.status == kAccepted);
  if (!succeeded) return ReportFailure(target, reply);
  if (PrintIfJson(target, reply.body)) return kExitDone;
  const absl::StatusOr<Json::Value> job = ParseJson(reply.body);
  if (job.ok()) PrintJob(*job);
  return kExitDone;
}

void AddSubmitOptions(cxxopts::OptionAdder& add) {
  add("workspace", "workspace of the job", cxxopts::value<std::string>());
  add("class", "class of the job", cxxopts::value<std::string>());
  add("members", "members of the gang", cxxopts::value<int>());
  add("accelerators", "accelerators of each member", cxxopts::value<int>());
  add("cores", "cores of each member", cxxopts::value<int>());
  add("memory-mb", "memory of each member", cxxopts::value<int>());
  add("declared-ms", "estimated run time", cxxopts::value<std::int64_t>());
  add("repeatable", "the job may run more than once");
  add("payload", "text passed to every member", cxxopts::value<std::string>());
  add("file", "read the whole body from a JSON file, - for standard input",
      cxxopts::value<std::string>());
}

void SetInt(const cxxopts::ParseResult& args, const char* option,
            const char* field, Json::Value* json) {
  if (args.count(option) != 0) (*json)[field] = args[option].as<int>();
}

int Submit(const Target& target, const cxxopts::ParseResult& args,
           const Arguments& arguments) {
  std::string body;
  if (args.count("file") != 0) {
    const absl::StatusOr<std::string> text =
        ReadFile(args["file"].as<std::string>());
    if (!text.ok()) return ReportUsage(std::string(text.status().message()));
    body = *text;
  } else {
    const bool complete = arguments.size() == 1 &&
                          args.count("workspace") != 0 &&
                          args.count("class") != 0;
    if (!complete) {
      return ReportUsage("job submit needs ID, --workspace and --class");
    }
    Json::Value json(Json::objectValue);
    json["id"] = arguments[0];
    json["workspace"] = args["workspace"].as<std::string>();
    json["class"] = args["class"].as<std::string>();
    SetInt(args, "members", "members", &json);
    SetInt(args, "accelerators", "accelerators_per_member", &json);
    SetInt(args, "cores", "cores", &json);
    SetInt(args, "memory-mb", "memory_mb", &json);
    if (args.count("declared-ms") != 0) {
      json["declared_ms"] = Json::Int64(args["declared-ms"].as<std::int64_t>());
    }
    if (args.count("repeatable") != 0) json["repeatable"] = true;
    if (args.count("payload") != 0) {
      json["payload"] = args["payload"].as<std::string>();
    }
    body = WriteJson(json);
  }
  return ShowReply(target,
                   CallServer(target, "POST", "/v1/jobs", body, kCallTimeout));
}

void AddWorkspaceOption(cxxopts::OptionAdder& add) {
  add("workspace", "workspace of the job (for operators)",
      cxxopts::value<std::string>());
}

int Show(const Target& target, const cxxopts::ParseResult& args,
         const Arguments& arguments) {
  if (arguments.size() != 1) return ReportUsage("job show needs one ID");
  const std::string path =
      absl::StrCat("/v1/jobs/", arguments[0], WorkspaceQuery(args, '?'));
  return ShowReply(target, CallServer(target, "GET", path, "", kCallTimeout));
}

int List(const Target& target, const cxxopts::ParseResult& args,
         const Arguments&) {
  const std::string path = absl::StrCat("/v1/jobs", WorkspaceQuery(args, '?'));
  const HttpReply reply = CallServer(target, "GET", path, "", kCallTimeout);
  if (!reply.ok()) return ReportFailure(target, reply);
  if (PrintIfJson(target, reply.body)) return kExitDone;
  const absl::StatusOr<Json::Value> json = ParseJson(reply.body);
  if (!json.ok()) return kExitFailed;
  fmt::print("{:<14} {:<32} {:<16} {:<12} {}\n", "STATE", "JOB", "CLASS",
             "SHAPE", "HALL");
  for (const Json::Value& job : (*json)["jobs"]) {
    fmt::print(
        "{:<14} {:<32} {:<16} {:<12} {}\n", job["state"].asString(),
        absl::StrCat(job["workspace"].asString(), "/", job["id"].asString()),
        job["class"].asString(),
        absl::StrCat(job["members"].asInt(), "x",
                     job["accelerators_per_member"].asInt()),
        job["hall"].asString());
  }
  return kExitDone;
}

void AddWaitOptions(cxxopts::OptionAdder& add) {
  AddWorkspaceOption(add);
  add("timeout-ms", "longest time to wait",
      cxxopts::value<std::int64_t>()->default_value("600000"));
}

bool HasEnded(const std::string& state) {
  return state == "done" || state == "failed" || state == "cancelled" ||
         state == "impossible" || state == "unknown";
}

int Wait(const Target& target, const cxxopts::ParseResult& args,
         const Arguments& arguments) {
  if (arguments.size() != 1) return ReportUsage("job wait needs one ID");
  const std::string query = WorkspaceQuery(args, '&');
  std::int64_t left_ms = args["timeout-ms"].as<std::int64_t>();
  while (true) {
    const std::int64_t poll_ms = std::min<std::int64_t>(left_ms, kMaxPollMs);
    const std::string path =
        absl::StrCat("/v1/jobs/", arguments[0], "?wait_ms=", poll_ms, query);
    const HttpReply reply =
        CallServer(target, "GET", path, "", Duration(poll_ms) + kCallTimeout);
    if (!reply.ok()) return ReportFailure(target, reply);
    const absl::StatusOr<Json::Value> job = ParseJson(reply.body);
    const std::string state = job.ok() ? (*job)["state"].asString() : "";
    left_ms -= poll_ms;
    if (!HasEnded(state) && left_ms > 0) continue;
    ShowReply(target, reply);
    return state == "done" ? kExitDone : kExitFailed;
  }
}

int Cancel(const Target& target, const cxxopts::ParseResult& args,
           const Arguments& arguments) {
  if (arguments.size() != 1) return ReportUsage("job cancel needs one ID");
  const std::string path =
      absl::StrCat("/v1/jobs/", arguments[0], WorkspaceQuery(args, '?'));
  return ShowReply(target,
                   CallServer(target, "DELETE", path, "", kCallTimeout));
}

}  // namespace

std::vector<Command> JobCommands() {
  return {
      {"job", "submit", "ID", "Submit a job; it starts when there is capacity.",
       AddSubmitOptions, Submit},
      {"job", "show", "ID", "Show a job and why it waits.", AddWorkspaceOption,
       Show},
      {"job", "list", "", "List jobs.", AddWorkspaceOption, List},
      {"job", "wait", "ID",
       "Wait until a job ends; exit status 0 if it is done.", AddWaitOptions,
       Wait},
      {"job", "cancel", "ID", "Cancel a job.", AddWorkspaceOption, Cancel},
  };
}

}  // namespace limeledge
