/// @file
/// The commands that query the state of nodes through their metrics addresses.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "cli/command.h"
#include "codec/json.h"

namespace limeledge {

namespace {

constexpr Duration kCallTimeout{4000};

/// State that one node reported; `error` is set if it reported none.
struct NodeState {
  std::string address;
  Json::Value state;
  std::string error;
};

NodeState ReadNode(const Target& target, const std::string& address) {
  NodeState node;
  node.address = address;
  Target node_target = target;
  node_target.server = address;
  const HttpReply reply =
      CallServer(node_target, "GET", "/state", "", kCallTimeout);
  if (!reply.ok()) {
    node.error = reply.outcome == HttpOutcome::kAnswered
                     ? absl::StrCat("answered ", reply.status)
                     : "does not answer";
    return node;
  }
  const absl::StatusOr<Json::Value> json = ParseJson(reply.body);
  if (json.ok() && json->isObject()) {
    node.state = *json;
  } else {
    node.error = "answered something else";
  }
  return node;
}

/// Reads the state of all given addresses, or of --server if none are given.
std::vector<NodeState> ReadNodes(const Target& target,
                                 const std::vector<std::string>& addresses) {
  std::vector<NodeState> nodes;
  for (const std::string& address : addresses) {
    nodes.push_back(ReadNode(target, address));
  }
  if (nodes.empty()) nodes.push_back(ReadNode(target, target.server));
  return nodes;
}

/// Returns the scheduler part of the state of the node that is the scheduler;
/// null if none of the nodes is.
const Json::Value* FindScheduler(const std::vector<NodeState>& nodes) {
  for (const NodeState& node : nodes) {
    if (node.state.isMember("scheduler")) return &node.state["scheduler"];
  }
  return nullptr;
}

int ReportNoScheduler() {
  fmt::print(
      stderr,
      "limeledge: none of these nodes is the scheduler; pass the metrics "
      "addresses of all nodes\n");
  return kExitFailed;
}

const char* YesNo(const Json::Value& value) {
  return value.asBool() ? "yes" : "no";
}

/// Returns the states of the nodes without the scheduler part.
Json::Value ToJson(const std::vector<NodeState>& nodes) {
  Json::Value json(Json::arrayValue);
  for (const NodeState& node : nodes) {
    Json::Value entry = node.state;
    entry["address"] = node.address;
    if (!node.error.empty()) entry["error"] = node.error;
    entry.removeMember("scheduler");
    json.append(std::move(entry));
  }
  return json;
}

void PrintNode(const NodeState& node) {
  if (!node.error.empty()) {
    fmt::print("{:<24} {:<20} {}\n", "-", node.address, node.error);
    return;
  }
  fmt::print(
      "{:<24} {:<20} {:<10} {:<6} {:<6} {}\n", node.state["name"].asString(),
      node.address, YesNo(node.state["leads"]), YesNo(node.state["ready"]),
      YesNo(node.state["store_answers"]), node.state["catalog"].asInt64());
}

int ListNodes(const Target& target, const cxxopts::ParseResult&,
              const std::vector<std::string>& arguments) {
  const std::vector<NodeState> nodes = ReadNodes(target, arguments);
  const bool all_reported =
      std::all_of(nodes.begin(), nodes.end(),
                  [](const NodeState& node) { return node.error.empty(); });
  const int exit_status = all_reported ? kExitDone : kExitFailed;
  if (PrintIfJson(target, WriteJson(ToJson(nodes)))) return exit_status;
  fmt::print("{:<24} {:<20} {:<10} {:<6} {:<6} {}\n", "NODE", "ADDRESS",
             "SCHEDULES", "READY", "STORE", "CONFIGURATION");
  for (const NodeState& node : nodes) PrintNode(node);
  return exit_status;
}

int ListJobs(const Target& target, const cxxopts::ParseResult&,
             const std::vector<std::string>& arguments) {
  const std::vector<NodeState> nodes = ReadNodes(target, arguments);
  const Json::Value* scheduler = FindScheduler(nodes);
  if (scheduler == nullptr) return ReportNoScheduler();
  const Json::Value& jobs = (*scheduler)["jobs"];
  if (PrintIfJson(target, WriteJson(jobs))) return kExitDone;
  fmt::print("{:<18} {:<16} {:<12} {:<10} {:>8} {:>8} {:>8}\n", "JOB", "QUEUE",
             "WORKSPACE", "STATE", "WAITING", "RUNNING", "DONE");
  for (const std::string& id : jobs.getMemberNames()) {
    const Json::Value& job = jobs[id];
    fmt::print("{:<18} {:<16} {:<12} {:<10} {:>8} {:>8} {:>8}\n", id,
               job["queue"].asString(), job["workspace"].asString(),
               job["state"].asString(), job["tasks_waiting"].asInt(),
               job["tasks_assigned"].asInt(), job["tasks_done"].asInt());
  }
  return kExitDone;
}

/// Open jobs and tasks of one queue.
struct QueueCount {
  int jobs = 0;
  int waiting = 0;
  int running = 0;
};

std::map<std::string, QueueCount> CountQueues(const Json::Value& jobs) {
  std::map<std::string, QueueCount> queues;
  for (const Json::Value& job : jobs) {
    QueueCount& count = queues[job["queue"].asString()];
    ++count.jobs;
    count.waiting += job["tasks_waiting"].asInt();
    count.running += job["tasks_assigned"].asInt();
  }
  return queues;
}

Json::Value ToJson(const std::map<std::string, QueueCount>& queues) {
  Json::Value json(Json::objectValue);
  for (const auto& [name, count] : queues) {
    json[name]["jobs"] = count.jobs;
    json[name]["tasks_waiting"] = count.waiting;
    json[name]["tasks_running"] = count.running;
  }
  return json;
}

int ListQueues(const Target& target, const cxxopts::ParseResult&,
               const std::vector<std::string>& arguments) {
  const std::vector<NodeState> nodes = ReadNodes(target, arguments);
  const Json::Value* scheduler = FindScheduler(nodes);
  if (scheduler == nullptr) return ReportNoScheduler();
  const std::map<std::string, QueueCount> queues =
      CountQueues((*scheduler)["jobs"]);
  if (PrintIfJson(target, WriteJson(ToJson(queues)))) return kExitDone;
  fmt::print("{:<20} {:>6} {:>14} {:>14}\n", "QUEUE", "JOBS", "TASKS WAITING",
             "TASKS RUNNING");
  for (const auto& [name, count] : queues) {
    fmt::print("{:<20} {:>6} {:>14} {:>14}\n", name, count.jobs, count.waiting,
               count.running);
  }
  return kExitDone;
}

/// Formats log pace, deviation, number of measured runs and time since the last
/// of them; null if the runner was not measured.
std::string SpeedColumns(const Json::Value& speed) {
  constexpr double kMsPerSecond = 1000;
  if (speed.isNull()) {
    return fmt::format("{:>8} {:>9} {:>8} {:>10}", "-", "-", 0, "-");
  }
  return fmt::format("{:>8.2f} {:>9.2f} {:>8} {:>8.1f} s",
                     speed["log_pace"].asDouble(),
                     speed["deviation"].asDouble(), speed["runs"].asInt(),
                     speed["age_ms"].asDouble() / kMsPerSecond);
}

int ListRunners(const Target& target, const cxxopts::ParseResult&,
                const std::vector<std::string>& arguments) {
  const std::vector<NodeState> nodes = ReadNodes(target, arguments);
  const Json::Value* scheduler = FindScheduler(nodes);
  if (scheduler == nullptr) return ReportNoScheduler();
  const Json::Value& runners = (*scheduler)["runners"];
  if (PrintIfJson(target, WriteJson(runners))) return kExitDone;
  fmt::print(
      "{:<14} {:<8} {:<10} {:<8} {:>5} {:>6} {:>9} {:>9} {:>8} {:>9} {:>8} "
      "{:>10}\n",
      "RUNNER", "RACK", "ANSWERS", "LEAVES", "RUNS", "FREE", "SLOWNESS",
      "AVOIDED", "LOG PACE", "DEVIATION", "MEASURED", "LAST");
  for (const std::string& id : runners.getMemberNames()) {
    const Json::Value& runner = runners[id];
    fmt::print("{:<14} {:<8} {:<10} {:<8} {:>5} {:>6} {:>9.2f} {:>6} ms {}\n",
               id, runner["rack"].asString(), YesNo(runner["reachable"]),
               YesNo(runner["draining"]), runner["runs"].size(),
               runner["free_accelerators"].asInt64(),
               runner["slowness"].asDouble(), runner["avoided_ms"].asInt64(),
               SpeedColumns(runner["speed"]));
  }
  return kExitDone;
}

}  // namespace

std::vector<Command> NodeCommands() {
  return {
      {"node", "list", "[ADDRESS...]",
       "List nodes by metrics address: which one schedules, configuration.",
       AddNoOptions, ListNodes},
      {"node", "jobs", "[ADDRESS...]",
       "List open jobs as the scheduler sees them.", AddNoOptions, ListJobs},
      {"node", "queues", "[ADDRESS...]",
       "Count open jobs and tasks of each queue.", AddNoOptions, ListQueues},
      {"node", "runners", "[ADDRESS...]",
       "List runners as the scheduler sees them.", AddNoOptions, ListRunners},
  };
}

}  // namespace limeledge
