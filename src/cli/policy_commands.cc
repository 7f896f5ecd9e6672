/// @file
/// The commands that list and compare placement policies.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <fstream>

#include "cli/command.h"
#include "codec/json.h"
#include "core/placement_policy.h"
#include "trial/comparison.h"
#include "trial/workload.h"

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

void AddCompareOptions(cxxopts::OptionAdder& add) {
  add("policies", "policy names, separated by commas",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "fifo,backfill,cells"));
  add("seed", "seed of the workload",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("jobs", "jobs", cxxopts::value<int>()->default_value("400"));
  add("load", "requested accelerators in percent of the available ones",
      cxxopts::value<int>()->default_value("90"));
  add("racks", "number of racks in the hall",
      cxxopts::value<int>()->default_value("6"));
  add("workers-per-rack", "number of workers in a rack",
      cxxopts::value<int>()->default_value("8"));
  add("accelerators", "number of accelerators of a worker",
      cxxopts::value<int>()->default_value("8"));
  add("workspaces", "workspaces", cxxopts::value<int>()->default_value("4"));
  add("gang", "maximum number of members of a gang",
      cxxopts::value<int>()->default_value("8"));
  add("html", "write an HTML page with plots to this file",
      cxxopts::value<std::string>());
}

/// Returns the first name that is not a policy, or an empty string.
std::string UnknownPolicy(const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    if (FindPlacementPolicy(name) == nullptr) return name;
  }
  return "";
}

int Compare(const Target& target, const cxxopts::ParseResult& args,
            const std::vector<std::string>&) {
  const auto policies = args["policies"].as<std::vector<std::string>>();
  const std::string unknown = UnknownPolicy(policies);
  if (!unknown.empty()) {
    return ReportUsage("unknown policy '" + unknown + "'");
  }
  WorkloadOptions options;
  options.seed = args["seed"].as<std::uint64_t>();
  options.jobs = args["jobs"].as<int>();
  options.load_percent = args["load"].as<int>();
  options.racks = args["racks"].as<int>();
  options.workers_per_rack = args["workers-per-rack"].as<int>();
  options.accelerators_per_worker = args["accelerators"].as<int>();
  options.workspaces = args["workspaces"].as<int>();
  options.largest_gang = args["gang"].as<int>();
  const bool valid = options.jobs > 0 && options.load_percent > 0 &&
                     options.racks > 0 && options.workers_per_rack > 0 &&
                     options.accelerators_per_worker >= 8 &&
                     options.workspaces > 0 && options.largest_gang > 1;
  if (!valid) {
    return ReportUsage(
        "sizes must be positive, --accelerators at least 8, and "
        "--gang at least 2");
  }
  const Comparison comparison =
      ComparePolicies(MakeWorkload(options), policies);
  fmt::print("{}", target.json ? FormatJson(comparison) + "\n"
                               : FormatTable(comparison));
  if (args.count("html") == 0) return kExitDone;
  std::ofstream html_file(args["html"].as<std::string>());
  html_file << FormatHtml(comparison);
  return html_file.good() ? kExitDone : kExitFailed;
}

}  // namespace

std::vector<Command> PolicyCommands() {
  return {
      {"policy", "compare", "",
       "Run several policies on one workload and compare the results.",
       AddCompareOptions, Compare},
      {"policy", "list", "", "List placement policies.", AddNoOptions,
       ListPolicies},
  };
}

}  // namespace limeledge
