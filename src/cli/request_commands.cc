/// @file
/// The command that sends requests.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include "cli/command.h"
#include "codec/json.h"

namespace limeledge {

namespace {

constexpr Duration kTimeoutMargin{10000};
constexpr std::int64_t kDefaultTimeoutMs = 3600000;

void AddSendOptions(cxxopts::OptionAdder& add) {
  add("workspace", "workspace of the request", cxxopts::value<std::string>());
  add("class", "class of the request", cxxopts::value<std::string>());
  add("payload",
      "text passed to the runner; @FILE reads a file, @- standard input",
      cxxopts::value<std::string>()->default_value(""));
  add("deadline-ms", "maximum time for the request",
      cxxopts::value<std::int64_t>());
  add("repeatable", "the request may run more than once");
}

int Send(const Target& target, const cxxopts::ParseResult& args,
         const std::vector<std::string>& arguments) {
  const bool complete = arguments.size() == 1 && args.count("workspace") != 0 &&
                        args.count("class") != 0;
  if (!complete) {
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
  Duration timeout(kDefaultTimeoutMs);
  if (args.count("deadline-ms") != 0) {
    const std::int64_t deadline_ms = args["deadline-ms"].as<std::int64_t>();
    json["deadline_ms"] = Json::Int64(deadline_ms);
    timeout = Duration(deadline_ms);
  }
  const HttpReply reply = CallServer(target, "POST", "/v1/requests",
                                     WriteJson(json), timeout + kTimeoutMargin);
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
