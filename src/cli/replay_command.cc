/// @file
/// The command that replays recorded sessions.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <fstream>

#include "absl/strings/str_cat.h"
#include "cli/command.h"
#include "codec/effect_text.h"
#include "codec/event_codec.h"
#include "codec/json.h"
#include "trial/session.h"

namespace limeledge {

namespace {

void AddReplayOptions(cxxopts::OptionAdder& add) {
  add("effects", "print every event that has effects, and the effects");
}

void PrintStep(const Event& event, const Effects& effects) {
  if (effects.empty()) return;
  fmt::print("> {}\n", EncodeEvent(event));
  for (const Effect& effect : effects) {
    fmt::print("  {}\n", DescribeEffect(effect));
  }
}

int Replay(const Target& target, const cxxopts::ParseResult& args,
           const std::vector<std::string>& arguments) {
  if (arguments.size() != 1) return ReportUsage("replay needs a FILE");
  std::ifstream file(arguments[0]);
  if (!file) return ReportUsage(absl::StrCat("cannot read ", arguments[0]));
  ReplayObserver observer;
  if (args.count("effects") != 0) observer = PrintStep;
  const absl::StatusOr<ReplaySummary> summary = ReplaySession(file, observer);
  if (!summary.ok()) {
    fmt::print(stderr, "limeledge: {}: {}\n", arguments[0],
               std::string(summary.status().message()));
    return kExitFailed;
  }
  if (target.json) {
    Json::Value json(Json::objectValue);
    json["events"] = Json::Int64(summary->events);
    json["effects"] = Json::Int64(summary->effects);
    json["span_ms"] = Json::Int64(summary->span.ms());
    json["hash"] = fmt::format("{:016x}", summary->hash);
    for (const auto& [kind, count] : summary->by_kind) {
      json["by_kind"][kind] = Json::Int64(count);
    }
    fmt::print("{}\n", WriteJson(json));
    return kExitDone;
  }
  fmt::print("{} events over {} ms gave {} effects, hash {:016x}\n",
             summary->events, summary->span.ms(), summary->effects,
             summary->hash);
  for (const auto& [kind, count] : summary->by_kind) {
    fmt::print("  {:<12} {}\n", kind, count);
  }
  return kExitDone;
}

}  // namespace

std::vector<Command> ReplayCommands() {
  return {{"replay", "", "FILE",
           "Replay a recorded session and summarize its effects.",
           AddReplayOptions, Replay}};
}

}  // namespace limeledge
