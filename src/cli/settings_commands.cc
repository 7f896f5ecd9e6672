/// @file
/// The verbs of settings.
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

/// The settings in force at the server.
struct Present {
  std::int64_t version = 0;
  std::string text;
  Json::Value in_force;
};

/// Reads the present settings, or reports why not and returns an exit code.
int ReadPresent(const Target& target, Present* present) {
  const HttpReply reply =
      CallServer(target, "GET", "/v1/settings", "", kCallTimeout);
  if (!reply.ok()) return ReportFailure(target, reply);
  const absl::StatusOr<Json::Value> json = ParseJson(reply.body);
  if (!json.ok()) return kExitFailed;
  present->version = (*json)["version"].asInt64();
  present->text = (*json)["text"].asString();
  present->in_force = (*json)["in_force"];
  return kExitDone;
}

int PrintFindings(const Findings& findings) {
  for (const Finding& finding : findings.all()) {
    fmt::print(stderr, "{}\n", ToString(finding));
  }
  return kExitFailed;
}

/// Reads a settings file and reports all findings; null when there are any.
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
  add("base", "version that was edited; the present one when left out",
      cxxopts::value<std::int64_t>());
  add("wait", "return when every live instance has it in force");
  add("timeout-ms", "longest time to wait",
      cxxopts::value<std::int64_t>()->default_value("10000"));
}

/// Names live instances that do not have `version` in force.
std::vector<std::string> Behind(const Json::Value& in_force,
                                std::int64_t version) {
  std::vector<std::string> behind;
  for (const Json::Value& entry : in_force) {
    const bool late =
        entry["live"].asBool() && entry["version"].asInt64() < version;
    if (late) behind.push_back(entry["instance"].asString());
  }
  return behind;
}

int WaitInForce(const Target& target, std::int64_t version,
                std::int64_t timeout_ms) {
  const SteadyClock clock;
  const TimePoint until = clock.Now() + Duration(timeout_ms);
  while (true) {
    Present present;
    const int code = ReadPresent(target, &present);
    if (code != kExitDone) return code;
    const std::vector<std::string> behind = Behind(present.in_force, version);
    if (present.version >= version && behind.empty()) {
      fmt::print("version {} is in force at {} instances\n", version,
                 present.in_force.size());
      return kExitDone;
    }
    if (clock.Now() >= until) {
      fmt::print(stderr,
                 "limeledge: version {} is accepted, but not yet in "
                 "force at:",
                 version);
      for (const std::string& id : behind) fmt::print(stderr, " {}", id);
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
    Present present;
    const int code = ReadPresent(target, &present);
    if (code != kExitDone) return code;
    base = present.version;
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
    return ReportUsage(absl::StrCat(
        "'", path,
        "' names no node; nodes are defaults, classes/C, workspaces/W and "
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
  Present present;
  if (args.count("file") != 0) {
    const auto text = ReadFile(args["file"].as<std::string>());
    if (!text.ok()) return ReportUsage(std::string(text.status().message()));
    present.text = *text;
  } else {
    const int code = ReadPresent(target, &present);
    if (code != kExitDone) return code;
  }
  if (args.count("effective") != 0) {
    return ShowEffective(target, present.text,
                         args["effective"].as<std::string>());
  }
  if (target.json) {
    Json::Value json(Json::objectValue);
    json["version"] = Json::Int64(present.version);
    json["text"] = present.text;
    json["in_force"] = present.in_force;
    fmt::print("{}\n", WriteJson(json));
    return kExitDone;
  }
  fmt::print("# version {}\n", present.version);
  for (const Json::Value& entry : present.in_force) {
    fmt::print("# in force at {}: {}{}\n", entry["instance"].asString(),
               entry["version"].asInt64(),
               entry["live"].asBool() ? "" : " (not live)");
  }
  fmt::print("{}", present.text);
  return kExitDone;
}

int Diff(const Target& target, const cxxopts::ParseResult&,
         const Arguments& arguments) {
  if (arguments.size() != 1) return ReportUsage("settings diff needs a FILE");
  const absl::StatusOr<std::string> text = ReadFile(arguments[0]);
  if (!text.ok()) return ReportUsage(std::string(text.status().message()));
  Present present;
  const int code = ReadPresent(target, &present);
  if (code != kExitDone) return code;
  const std::vector<DiffLine> lines = DiffLines(present.text, *text);
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
  add("count", "how many versions", cxxopts::value<int>()->default_value("10"));
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
      "that version is not among those asked for; raise --count");
}

}  // namespace

std::vector<Command> SettingsCommands() {
  return {
      {"settings", "check", "FILE", "Check a file; print every finding.",
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
