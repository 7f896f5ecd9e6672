/// @file
/// The verbs of placement policies.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include "cli/command.h"
#include "codec/json.h"
#include "core/placement_policy.h"

namespace limeledge {

namespace {

int ListPolicies(const Target& target, const cxxopts::ParseResult&,
                 const std::vector<std::string>&) {
  Json::Value json(Json::arrayValue);
  for (const PlacementPolicy* policy : AllPlacementPolicies()) {
    const std::string name(policy->name());
    json.append(name);
    if (!target.json) {
      fmt::print("{:<12} {}\n", name, std::string(policy->summary()));
    }
  }
  if (target.json) fmt::print("{}\n", WriteJson(json));
  return kExitDone;
}

}  // namespace

std::vector<Command> PolicyCommands() {
  return {
      {"policy", "list", "", "List placement policies.", AddNoOptions,
       ListPolicies},
  };
}

}  // namespace limeledge
