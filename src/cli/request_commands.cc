/// @file
/// The verb of requests.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include "cli/command.h"
#include "codec/json.h"

namespace limeledge {

namespace {

constexpr Duration kSlack{10000};
constexpr std::int64_t kLongestMs = 3600000;

void AddSendOptions(cxxopts::OptionAdder& add) {
  add("workspace", "workspace of the request", cxxopts::value<std::string>());
  add("class", "class of the request", cxxopts::value<std::string>());
  add("payload", "text for the runner, @FILE to read it, @- for standard input",
      cxxopts::value<std::string>()->default_value(""));
  add("deadline-ms", "time that the request may take",
      cxxopts::value<std::int64_t>());
  add("repeatable", "the request may run more than once");
}

int Send(const Target& target, const cxxopts::ParseResult& args,
         const std::vector<std::string>& arguments) {
  const bool named = arguments.size() == 1 && args.count("workspace") != 0 &&
                     args.count("class") != 0;
  if (!named) {
    return ReportUsage("request send needs ID, --workspace and --class");
  }
  Json::Value json(Json::objectValue);
  json["id"] = arguments[0];
  json["workspace"] = args["workspace"].as<std::string>();
  json["class"] = args["class"].as<std::string>();
  std::string payload = args["payload"].as<std::string>();
  if (!payload.empty() && payload[0] == '@') {
    const absl::StatusOr<std::string> text = ReadFile(payload.substr(1));
    if (!text.ok()) return ReportUsage(std::string(text.status().message()));
    payload = *text;
  }
  json["payload"] = payload;
  if (args.count("repeatable") != 0) json["repeatable"] = true;
  Duration timeout(kLongestMs);
  if (args.count("deadline-ms") != 0) {
    const std::int64_t deadline_ms = args["deadline-ms"].as<std::int64_t>();
    json["deadline_ms"] = Json::Int64(deadline_ms);
    timeout = Duration(deadline_ms);
  }
  const HttpReply reply = CallServer(target, "POST", "/v1/requests",
                                     WriteJson(json), timeout + kSlack);
  if (!reply.ok()) return ReportFailure(target, reply);
  if (PrintIfJson(target, reply.body)) return kExitDone;
  const absl::StatusOr<Json::Value> answer = ParseJson(reply.body);
  if (answer.ok()) fmt::print("{}\n", (*answer)["answer"].asString());
  return kExitDone;
}

}  // namespace

std::vector<Command> RequestCommands() {
  return {{"request", "send", "ID",
           "Send a request to a runner and print its answer.", AddSendOptions,
           Send}};
}

}  // namespace limeledge
