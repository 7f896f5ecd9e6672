/// @file
/// Calls, error reports and file access, shared by all commands.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/command.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "cli/merged_log.h"
#include "codec/json.h"

namespace limeledge {

namespace {

constexpr int kUnauthenticated = 401;
constexpr int kForbidden = 403;

std::string HintFor(int status) {
  switch (status) {
    case kUnauthenticated:
      return "give the token with --token, --token-file or LIMELEDGE_TOKEN";
    case kForbidden:
      return "use a token of the workspace, or of an operator with that role";
    case 409:
      return "read the current state, then decide whether to retry";
    case 429:
    case 503:
      return "it did not run; retry later";
    case 504:
      return "it may have run; retry with the same id to learn the outcome";
    default:
      return "";
  }
}

void PrintFindings(const Json::Value& findings) {
  for (const Json::Value& finding : findings) {
    std::string location = finding["source"].asString();
    if (finding.isMember("line")) {
      absl::StrAppend(&location, ":", finding["line"].asInt(), ":",
                      finding["column"].asInt());
    }
    const std::string path = finding["path"].asString();
    fmt::print(stderr, "  {}: {}{}{}\n", location, path,
               path.empty() ? "" : ": ", finding["message"].asString());
  }
}

}  // namespace

std::vector<Command> AllCommands() {
  std::vector<Command> all;
  for (const std::vector<Command>& group :
       {JobCommands(), RequestCommands(), SettingsCommands(), StateCommands(),
        PolicyCommands(), ReplayCommands(), NodeCommands(), ExplainCommands(),
        ReportCommands()}) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

void AddNoOptions(cxxopts::OptionAdder&) {}

HttpReply CallServer(const Target& target, const std::string& method,
                     const std::string& path, const std::string& body,
                     Duration timeout, const std::string& if_match) {
  HttpCall call;
  call.address = target.server;
  call.method = method;
  call.path = path;
  call.body = body;
  call.token = target.token;
  call.if_match = if_match;
  call.connect_timeout = Duration(2000);
  call.timeout = timeout;
  return HttpClient().Call(call);
}

int ReportFailure(const Target& target, const HttpReply& reply) {
  if (reply.outcome == HttpOutcome::kNotSent) {
    fmt::print(stderr,
               "limeledge: cannot connect to {}; nothing was sent. Name a live "
               "instance with --server\n",
               target.server);
    return kExitFailed;
  }
  if (reply.outcome == HttpOutcome::kLost) {
    fmt::print(stderr, "limeledge: no complete response from {}; {}\n",
               target.server, HintFor(504));
    return kExitFailed;
  }
  if (target.json) fmt::print("{}\n", reply.body);
  const absl::StatusOr<Json::Value> json = ParseJson(reply.body);
  std::string message = reply.body;
  if (json.ok() && json->isObject() && json->isMember("error")) {
    const Json::Value& error = (*json)["error"];
    message = absl::StrCat(error["code"].asString(), ": ",
                           error["message"].asString());
  } else if (json.ok() && json->isObject() && json->isMember("outcome")) {
    message = absl::StrCat((*json)["outcome"].asString(), ": ",
                           (*json)["reason"].asString());
  }
  fmt::print(stderr, "limeledge: {}\n", message);
  if (json.ok() && json->isObject() && json->isMember("error")) {
    PrintFindings((*json)["error"]["findings"]);
  }
  const std::string hint = HintFor(reply.status);
  if (!hint.empty()) fmt::print(stderr, "  {}\n", hint);
  const auto retry = reply.headers.find("Retry-After");
  if (retry != reply.headers.end()) {
    fmt::print(stderr, "  retry after {} s\n", retry->second);
  }
  return kExitFailed;
}

int ReportUsage(const std::string& message) {
  fmt::print(stderr, "limeledge: {}; see --help\n", message);
  return kExitUsage;
}

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return absl::NotFoundError(absl::StrCat("cannot read '", path, "'"));
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

absl::Status AddLogFiles(const std::vector<std::string>& files,
                         MergedLog* log) {
  const std::vector<std::string> standard_input = {"-"};
  for (const std::string& file : files.empty() ? standard_input : files) {
    const absl::StatusOr<std::string> text = ReadFile(file);
    if (!text.ok()) return text.status();
    const int skipped = log->Add(*text);
    if (skipped == 0) continue;
    fmt::print(stderr,
               "limeledge: {}: skipped {} lines that are not log lines\n", file,
               skipped);
  }
  return absl::OkStatus();
}

bool PrintIfJson(const Target& target, const std::string& body) {
  if (!target.json) return false;
  fmt::print("{}\n", body);
  return true;
}

}  // namespace limeledge
