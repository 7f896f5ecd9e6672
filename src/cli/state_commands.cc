/// @file
/// The commands that print the internal state of instances.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include "cli/command.h"
#include "codec/json.h"

namespace limeledge {

namespace {

constexpr Duration kCallTimeout{20000};

int ReadState(const Target& target, std::string* body) {
  const HttpReply reply =
      CallServer(target, "GET", "/v1/state", "", kCallTimeout);
  if (!reply.ok()) return ReportFailure(target, reply);
  *body = reply.body;
  return kExitDone;
}

int Dump(const Target& target, const cxxopts::ParseResult&,
         const std::vector<std::string>&) {
  std::string body;
  const int code = ReadState(target, &body);
  if (code != kExitDone || PrintIfJson(target, body)) return code;
  const absl::StatusOr<Json::Value> json = ParseJson(body);
  if (!json.ok()) return kExitFailed;
  fmt::print("{}\n", WritePrettyJson(*json));
  return kExitDone;
}

int Members(const Target& target, const cxxopts::ParseResult&,
            const std::vector<std::string>&) {
  std::string body;
  const int code = ReadState(target, &body);
  if (code != kExitDone) return code;
  const absl::StatusOr<Json::Value> json = ParseJson(body);
  if (!json.ok()) return kExitFailed;
  if (target.json) {
    Json::Value shown(Json::objectValue);
    shown["members"] = (*json)["members"];
    shown["halls"] = (*json)["halls"];
    fmt::print("{}\n", WriteJson(shown));
    return kExitDone;
  }
  fmt::print("{:<16} {:<10} {:<10} {}\n", "INSTANCE", "STATE", "SETTINGS",
             "TABLE");
  for (const Json::Value& member : (*json)["members"]) {
    fmt::print("{:<16} {:<10} {:<10} {}\n", member["id"].asString(),
               member["state"].asString(), member["settings"].asInt64(),
               member["store_reachable"].asBool() ? "reached" : "not reached");
  }
  fmt::print("\n{:<16} {:<16} {:<8} {}\n", "HALL", "PLANNER", "EPOCH",
             "ACTIVE JOBS");
  for (const Json::Value& hall : (*json)["halls"]) {
    const std::string planner = hall["planner"].asString();
    fmt::print("{:<16} {:<16} {:<8} {}\n", hall["hall"].asString(),
               planner.empty() ? "nobody" : planner, hall["epoch"].asInt64(),
               hall["active_jobs"].asUInt64());
  }
  return kExitDone;
}

}  // namespace

std::vector<Command> StateCommands() {
  return {
      {"state", "dump", "", "Print the state of one instance.", AddNoOptions,
       Dump},
      {"members", "", "", "List instances, and the planner of each hall.",
       AddNoOptions, Members},
  };
}

}  // namespace limeledge
