/// @file
/// The commands that check, apply and show settings.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <thread>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "cli/command.h"
#include "cli/text_diff.h"
#include "codec/json.h"
#include "settings/reader.h"

namespace limeledge {

namespace {

constexpr Duration kCallTimeout{20000};
constexpr std::chrono::milliseconds kPollInterval{100};
constexpr std::int64_t kMsPerSecond = 1000;

using Arguments = std::vector<std::string>;

/// The current settings of the server and the version in force at each
/// instance.
struct CurrentSettings {
  std::int64_t version = 0;
  std::string text;
  Json::Value in_force;
};

/// Reads the current settings. Reports a failure and returns an exit status.
int ReadCurrent(const Target& target, CurrentSettings* current) {
  const HttpReply reply =
      CallServer(target, "GET", "/v1/settings", "", kCallTimeout);
  if (!reply.ok()) return ReportFailure(target, reply);
  const absl::StatusOr<Json::Value> json = ParseJson(reply.body);
  if (!json.ok()) return kExitFailed;
  current->version = (*json)["version"].asInt64();
  current->text = (*json)["text"].asString();
  current->in_force = (*json)["in_force"];
  return kExitDone;
}

int PrintFindings(const Findings& findings) {
  for (const Finding& finding : findings.all()) {
    fmt::print(stderr, "{}\n", ToString(finding));
  }
  return kExitFailed;
}

/// Reads and checks a settings file. Reports all findings and returns null if
/// there are any.
std::shared_ptr<const Settings> CheckFile(const std::string& path,
                                          std::string* text, int* exit_code) {
  const absl::StatusOr<std::string> content = ReadFile(path);
  if (!content.ok()) {
    *exit_code = ReportUsage(std::string(content.status().message()));
    return nullptr;
  }
  *text = *content;
  Findings findings(path);
  std::shared_ptr<const Settings> settings = ReadSettings(*text, &findings);
  if (settings == nullptr) *exit_code = PrintFindings(findings);
  return settings;
}

int Check(const Target& target, const cxxopts::ParseResult&,
          const Arguments& arguments) {
  if (arguments.size() != 1) return ReportUsage("settings check needs a FILE");
  std::string text;
  int exit_code = kExitDone;
  const auto settings = CheckFile(arguments[0], &text, &exit_code);
  if (settings == nullptr) return exit_code;
  if (target.json) {
    fmt::print("{{\"findings\":[]}}\n");
  } else {
    fmt::print("{}: no findings; {} workspaces, {} classes, {} halls\n",
               arguments[0], settings->workspaces.size(),
               settings->classes.size(), settings->halls.size());
  }
  return kExitDone;
}

void AddApplyOptions(cxxopts::OptionAdder& add) {
  add("base", "version that was edited (default: the current version)",
      cxxopts::value<std::int64_t>());
  add("wait", "wait until the version is in force at every live instance");
  add("timeout-ms", "longest time to wait",
      cxxopts::value<std::int64_t>()->default_value("10000"));
}

/// Returns the ids of live instances that have an older version in force.
std::vector<std::string> OutdatedInstances(const Json::Value& in_force,
                                           std::int64_t version) {
  std::vector<std::string> outdated;
  for (const Json::Value& entry : in_force) {
    const bool is_outdated =
        entry["live"].asBool() && entry["version"].asInt64() < version;
    if (is_outdated) outdated.push_back(entry["instance"].asString());
  }
  return outdated;
}

int WaitInForce(const Target& target, std::int64_t version,
                std::int64_t timeout_ms) {
  const SteadyClock clock;
  const TimePoint deadline = clock.Now() + Duration(timeout_ms);
  while (true) {
    CurrentSettings current;
    const int code = ReadCurrent(target, &current);
    if (code != kExitDone) return code;
    const std::vector<std::string> outdated =
        OutdatedInstances(current.in_force, version);
    if (current.version >= version && outdated.empty()) {
      fmt::print("version {} is in force at {} instances\n", version,
                 current.in_force.size());
      return kExitDone;
    }
    if (clock.Now() >= deadline) {
      fmt::print(stderr,
                 "limeledge: version {} is accepted, but not yet in "
                 "force at:",
                 version);
      for (const std::string& id : outdated) fmt::print(stderr, " {}", id);
      fmt::print(stderr, "\n");
      return kExitFailed;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int Apply(const Target& target, const cxxopts::ParseResult& args,
          const Arguments& arguments) {
  if (arguments.size() != 1) return ReportUsage("settings apply needs a FILE");
  std::string text;
  int exit_code = kExitDone;
  if (CheckFile(arguments[0], &text, &exit_code) == nullptr) return exit_code;
  std::int64_t base = 0;
  if (args.count("base") != 0) {
    base = args["base"].as<std::int64_t>();
  } else {
    CurrentSettings current;
    const int code = ReadCurrent(target, &current);
    if (code != kExitDone) return code;
    base = current.version;
  }
  const HttpReply reply = CallServer(target, "PUT", "/v1/settings", text,
                                     kCallTimeout, absl::StrCat(base));
  if (!reply.ok()) return ReportFailure(target, reply);
  const absl::StatusOr<Json::Value> json = ParseJson(reply.body);
  const std::int64_t version = json.ok() ? (*json)["version"].asInt64() : 0;
  if (!PrintIfJson(target, absl::StrCat("{\"version\":", version, "}"))) {
    fmt::print("accepted as version {}\n", version);
  }
  if (args.count("wait") == 0) return kExitDone;
  return WaitInForce(target, version, args["timeout-ms"].as<std::int64_t>());
}

void AddShowOptions(cxxopts::OptionAdder& add) {
  add("effective",
      "print the values of one node and where each comes from: defaults, "
      "classes/C, workspaces/W or workspaces/W/classes/C",
      cxxopts::value<std::string>());
  add("file", "read a file instead of asking the server",
      cxxopts::value<std::string>());
}

int ShowEffective(const Target& target, const std::string& text,
                  const std::string& path) {
  Findings findings("settings");
  const auto settings = ReadSettings(text, &findings);
  if (settings == nullptr) return PrintFindings(findings);
  const std::vector<EffectiveValue> values = settings->Explain(path);
  if (values.empty()) {
    return ReportUsage(absl::StrCat("'", path,
                                    "' is not a settings node; nodes are "
                                    "defaults, classes/C, workspaces/W and "
                                    "workspaces/W/classes/C"));
  }
  Json::Value json(Json::arrayValue);
  for (const EffectiveValue& value : values) {
    Json::Value entry(Json::objectValue);
    entry["key"] = value.key;
    entry["value"] = value.value;
    entry["from"] = value.origin;
    json.append(entry);
    if (!target.json) {
      fmt::print("{:<20} {:<14} from {}\n", value.key, value.value,
                 value.origin);
    }
  }
  if (target.json) fmt::print("{}\n", WriteJson(json));
  return kExitDone;
}

int Show(const Target& target, const cxxopts::ParseResult& args,
         const Arguments&) {
  CurrentSettings current;
  if (args.count("file") != 0) {
    const auto text = ReadFile(args["file"].as<std::string>());
    if (!text.ok()) return ReportUsage(std::string(text.status().message()));
    current.text = *text;
  } else {
    const int code = ReadCurrent(target, &current);
    if (code != kExitDone) return code;
  }
  if (args.count("effective") != 0) {
    return ShowEffective(target, current.text,
                         args["effective"].as<std::string>());
  }
  if (target.json) {
    Json::Value json(Json::objectValue);
    json["version"] = Json::Int64(current.version);
    json["text"] = current.text;
    json["in_force"] = current.in_force;
    fmt::print("{}\n", WriteJson(json));
    return kExitDone;
  }
  fmt::print("# version {}\n", current.version);
  for (const Json::Value& entry : current.in_force) {
    fmt::print("# in force at {}: {}{}\n", entry["instance"].asString(),
               entry["version"].asInt64(),
               entry["live"].asBool() ? "" : " (not live)");
  }
  fmt::print("{}", current.text);
  return kExitDone;
}

int Diff(const Target& target, const cxxopts::ParseResult&,
         const Arguments& arguments) {
  if (arguments.size() != 1) return ReportUsage("settings diff needs a FILE");
  const absl::StatusOr<std::string> text = ReadFile(arguments[0]);
  if (!text.ok()) return ReportUsage(std::string(text.status().message()));
  CurrentSettings current;
  const int code = ReadCurrent(target, &current);
  if (code != kExitDone) return code;
  const std::vector<DiffLine> lines = DiffLines(current.text, *text);
  Json::Value json(Json::arrayValue);
  for (const DiffLine& line : lines) {
    if (line.kind == DiffKind::kSame) continue;
    const char sign = line.kind == DiffKind::kAdded ? '+' : '-';
    if (target.json) {
      json.append(absl::StrCat(std::string(1, sign), line.text));
    } else {
      fmt::print("{}{}\n", sign, line.text);
    }
  }
  if (target.json) fmt::print("{}\n", WriteJson(json));
  return kExitDone;
}

void AddHistoryOptions(cxxopts::OptionAdder& add) {
  add("count", "maximum number of versions",
      cxxopts::value<int>()->default_value("10"));
  add("version", "print the text of one version",
      cxxopts::value<std::int64_t>());
}

int History(const Target& target, const cxxopts::ParseResult& args,
            const Arguments&) {
  const std::string path =
      absl::StrCat("/v1/settings/history?count=", args["count"].as<int>());
  const HttpReply reply = CallServer(target, "GET", path, "", kCallTimeout);
  if (!reply.ok()) return ReportFailure(target, reply);
  if (PrintIfJson(target, reply.body)) return kExitDone;
  const absl::StatusOr<Json::Value> json = ParseJson(reply.body);
  if (!json.ok()) return kExitFailed;
  const std::int64_t wanted =
      args.count("version") != 0 ? args["version"].as<std::int64_t>() : 0;
  for (const Json::Value& version : (*json)["versions"]) {
    if (wanted != 0) {
      if (version["version"].asInt64() != wanted) continue;
      fmt::print("{}", version["text"].asString());
      return kExitDone;
    }
    const std::time_t seconds = version["written_ms"].asInt64() / kMsPerSecond;
    fmt::print("{:>6}  {:<16} {}", version["version"].asInt64(),
               version["author"].asString(), std::ctime(&seconds));
  }
  if (wanted == 0) return kExitDone;
  return ReportUsage(
      "version not found among the --count versions read; raise --count");
}

}  // namespace

std::vector<Command> SettingsCommands() {
  return {
      {"settings", "check", "FILE", "Check a file and print all findings.",
       AddNoOptions, Check},
      {"settings", "apply", "FILE",
       "Check a file and make it the next version.", AddApplyOptions, Apply},
      {"settings", "show", "", "Print the settings in force.", AddShowOptions,
       Show},
      {"settings", "diff", "FILE", "Compare the settings in force with a file.",
       AddNoOptions, Diff},
      {"settings", "history", "", "List accepted versions.", AddHistoryOptions,
       History},
  };
}

}  // namespace limeledge
