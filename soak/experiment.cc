/// @file
/// Parsing of experiments and generation of fault plans.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/experiment.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge::soak {

namespace {

struct KindName {
  FaultKind kind;
  const char* name;
};

constexpr std::array<KindName, 36> kKindNames = {{
    {FaultKind::kKillNode, "kill-node"},
    {FaultKind::kStopNode, "stop-node"},
    {FaultKind::kPauseNode, "pause-node"},
    {FaultKind::kReloadNode, "reload-node"},
    {FaultKind::kCutStore, "cut-store"},
    {FaultKind::kResetStore, "reset-store"},
    {FaultKind::kSilenceNode, "silence-node"},
    {FaultKind::kSilenceRunners, "silence-runners"},
    {FaultKind::kSilenceAll, "silence-all"},
    {FaultKind::kStoreDown, "store-down"},
    {FaultKind::kStoreSlow, "store-slow"},
    {FaultKind::kStoreAnswersLost, "store-answers-lost"},
    {FaultKind::kStoreForgets, "store-forgets"},
    {FaultKind::kKillRunner, "kill-runner"},
    {FaultKind::kDrainRunner, "drain-runner"},
    {FaultKind::kCutRunner, "cut-runner"},
    {FaultKind::kHoldAnswers, "hold-answers"},
    {FaultKind::kDelayRunner, "delay-runner"},
    {FaultKind::kSlowRunner, "slow-runner"},
    {FaultKind::kFailingRunner, "failing-runner"},
    {FaultKind::kResetCallers, "reset-callers"},
    {FaultKind::kDelayCallers, "delay-callers"},
    {FaultKind::kChangeConfig, "change-config"},
    {FaultKind::kReplaceNode, "replace-node"},
    {FaultKind::kLoseNode, "lose-node"},
    {FaultKind::kLateOrders, "late-orders"},
    {FaultKind::kShrinkRoom, "shrink-room"},
    {FaultKind::kSuspendNode, "suspend-node"},
    {FaultKind::kPartitionRunner, "partition-runner"},
    {FaultKind::kIsolateRunner, "isolate-runner"},
    {FaultKind::kLapseEntry, "lapse-entry"},
    {FaultKind::kStoreWritesLate, "store-writes-late"},
    {FaultKind::kOverwriteEntry, "overwrite-entry"},
    {FaultKind::kAliasEntry, "alias-entry"},
    {FaultKind::kHoldCalls, "hold-calls"},
    {FaultKind::kRestartRunnerDark, "restart-runner-dark"},
}};

/// Name of `kLeaderTarget` in experiment files.
constexpr char kLeaderName[] = "leader";
constexpr Duration kShortestFault{300};
// Interval between faults of one kind in a series.
constexpr Duration kSeriesGap{250};
// Delay after which an unanswered order is carried out.
constexpr Duration kLeastLateness{2000};
constexpr Duration kMostLateness{12000};
// Time for which an entry names another runner's address.
constexpr Duration kShortestOverwrite{500};
constexpr Duration kLongestOverwrite{2000};
// Time for which calls are held: beyond the time within which a scheduler
// expects orders to be carried out.
constexpr Duration kShortestHold{12600};
constexpr Duration kLongestHold{16000};
// Time for which a runner is down that restarts with calls to its previous
// incarnation waiting: less than the life of its entry.
constexpr Duration kShortestDark{100};
constexpr Duration kLongestDark{850};
// The new incarnation is cut off this long after it started, for longer than a
// scheduler counts its lease, and within the longest lease that it can hold.
constexpr Duration kShortestUncut{1000};
constexpr Duration kLongestUncut{4000};
constexpr Duration kShortestCut{6000};
constexpr Duration kLongestCut{9000};

bool StrikesNode(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKillNode:
    case FaultKind::kStopNode:
    case FaultKind::kPauseNode:
    case FaultKind::kReloadNode:
    case FaultKind::kCutStore:
    case FaultKind::kResetStore:
    case FaultKind::kSilenceNode:
    case FaultKind::kResetCallers:
    case FaultKind::kDelayCallers:
    case FaultKind::kReplaceNode:
    case FaultKind::kLoseNode:
    case FaultKind::kSuspendNode:
      return true;
    default:
      return false;
  }
}

template <typename Value>
void ReadField(const YAML::Node& root, const char* name, Value* value,
               Findings* findings) {
  if (!root[name]) return;
  try {
    *value = root[name].as<Value>();
  } catch (const YAML::Exception&) {
    findings->Add(name, "has a value of another type");
  }
}

void ReadDuration(const YAML::Node& root, const char* name, Duration* value,
                  Findings* findings) {
  std::int64_t ms = value->ms();
  ReadField(root, name, &ms, findings);
  if (ms < 0) findings->Add(name, "must not be negative");
  *value = Duration(ms);
}

/// Returns the kind with this name; adds a finding at `place` if there is none.
std::optional<FaultKind> FindKind(const YAML::Node& name_node,
                                  const char* place, Findings* findings) {
  const std::string name = name_node.as<std::string>("");
  const auto found =
      std::find_if(kKindNames.begin(), kKindNames.end(),
                   [&name](const KindName& k) { return name == k.name; });
  if (found != kKindNames.end()) return found->kind;
  findings->Add(place, absl::StrCat("'", name, "' is no kind of fault"));
  return std::nullopt;
}

void ReadKinds(const YAML::Node& root, std::vector<FaultKind>* kinds,
               Findings* findings) {
  if (!root["faults"]) return;
  kinds->clear();
  for (const YAML::Node& entry : root["faults"]) {
    const std::optional<FaultKind> kind = FindKind(entry, "faults", findings);
    if (kind.has_value()) kinds->push_back(*kind);
  }
}

void SortByTime(std::vector<Fault>* plan) {
  std::stable_sort(plan->begin(), plan->end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
}

void ReadPlan(const YAML::Node& root, std::vector<Fault>* plan,
              Findings* findings) {
  for (const YAML::Node& entry : root["plan"]) {
    const std::optional<FaultKind> kind =
        FindKind(entry["fault"], "plan", findings);
    if (!kind.has_value()) continue;
    Fault fault;
    fault.kind = *kind;
    ReadDuration(entry, "at_ms", &fault.at, findings);
    ReadDuration(entry, "length_ms", &fault.length, findings);
    ReadDuration(entry, "starts_within_ms", &fault.starts_within, findings);
    const bool leader = entry["target"].as<std::string>("") == kLeaderName;
    if (leader) {
      fault.target = kLeaderTarget;
    } else {
      ReadField(entry, "target", &fault.target, findings);
    }
    plan->push_back(fault);
  }
  SortByTime(plan);
}

Duration PickBetween(Duration least, Duration most, std::mt19937_64* random) {
  return Duration(std::uniform_int_distribution<std::int64_t>(
      least.ms(), most.ms())(*random));
}

/// Adds the cut of a runner that has restarted, and for some a take-over
/// between the two.
void AddCutAfter(const Experiment& experiment, const Fault& restart,
                 std::mt19937_64* random, std::vector<Fault>* plan) {
  const Duration uncut = PickBetween(kShortestUncut, kLongestUncut, random);
  const bool resets = std::uniform_int_distribution<>(0, 1)(*random) == 1;
  Fault cut = restart;
  cut.at = restart.at + restart.length + uncut;
  cut.kind = resets ? FaultKind::kPartitionRunner : FaultKind::kIsolateRunner;
  cut.length = PickBetween(kShortestCut, kLongestCut, random);
  plan->push_back(cut);
  const double chance = std::uniform_real_distribution<>()(*random);
  if (chance >= experiment.take_over_share) return;
  Fault kill;
  kill.at = cut.at - PickBetween(Duration(0), uncut, random);
  kill.kind = FaultKind::kKillNode;
  kill.target = kLeaderTarget;
  plan->push_back(kill);
}

void CheckAtLeastOne(const char* name, int value, Findings* findings) {
  if (value < 1) findings->Add(name, "must be at least 1");
}

}  // namespace

const char* ToString(FaultKind kind) {
  for (const KindName& entry : kKindNames) {
    if (entry.kind == kind) return entry.name;
  }
  return "";
}

const std::vector<FaultKind>& RandomFaultKinds() {
  static const std::vector<FaultKind>* const kinds = [] {
    auto* all = new std::vector<FaultKind>;
    for (const KindName& entry : kKindNames) {
      const bool early = entry.kind < FaultKind::kReplaceNode;
      if (early && entry.kind != FaultKind::kSilenceAll) {
        all->push_back(entry.kind);
      }
    }
    return all;
  }();
  return *kinds;
}

Experiment ReadExperiment(const std::string& text, Findings* findings) {
  Experiment experiment;
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception& error) {
    findings->Add("", error.what());
    return experiment;
  }
  ReadField(root, "nodes", &experiment.nodes, findings);
  ReadField(root, "runners", &experiment.runners, findings);
  ReadField(root, "callers", &experiment.callers, findings);
  ReadField(root, "jobs_per_caller", &experiment.jobs_per_caller, findings);
  ReadField(root, "jobs_at_once", &experiment.jobs_at_once, findings);
  ReadDuration(root, "shortest_work_ms", &experiment.shortest_work, findings);
  ReadDuration(root, "longest_work_ms", &experiment.longest_work, findings);
  ReadField(root, "most_accelerators", &experiment.most_accelerators, findings);
  ReadDuration(root, "latest_cancel_ms", &experiment.latest_cancel, findings);
  ReadField(root, "gang_share", &experiment.gang_share, findings);
  ReadField(root, "urgent_share", &experiment.urgent_share, findings);
  ReadField(root, "failing_share", &experiment.failing_share, findings);
  ReadField(root, "crashing_share", &experiment.crashing_share, findings);
  ReadField(root, "guards_room", &experiment.guards_room, findings);
  ReadField(root, "keeps_ids", &experiment.keeps_ids, findings);
  ReadField(root, "cancelled_share", &experiment.cancelled_share, findings);
  ReadField(root, "given_up_share", &experiment.given_up_share, findings);
  ReadDuration(root, "length_ms", &experiment.length, findings);
  ReadDuration(root, "fault_interval_ms", &experiment.fault_interval, findings);
  ReadDuration(root, "longest_fault_ms", &experiment.longest_fault, findings);
  ReadDuration(root, "faults_until_ms", &experiment.faults_until, findings);
  ReadField(root, "series_share", &experiment.series_share, findings);
  ReadField(root, "leader_share", &experiment.leader_share, findings);
  ReadField(root, "take_over_share", &experiment.take_over_share, findings);
  ReadKinds(root, &experiment.faults, findings);
  ReadPlan(root, &experiment.plan, findings);
  ReadField(root, "checks_times", &experiment.checks_times, findings);
  if (experiment.shortest_work > experiment.longest_work) {
    findings->Add("shortest_work_ms", "must not be above longest_work_ms");
  }
  CheckAtLeastOne("nodes", experiment.nodes, findings);
  CheckAtLeastOne("runners", experiment.runners, findings);
  CheckAtLeastOne("callers", experiment.callers, findings);
  CheckAtLeastOne("most_accelerators", experiment.most_accelerators, findings);
  CheckAtLeastOne("jobs_at_once", experiment.jobs_at_once, findings);
  if (experiment.jobs_per_caller <= 0) {
    findings->Add("jobs_per_caller", "must be above 0");
  }
  return experiment;
}

std::vector<Fault> PlanFaults(const Experiment& experiment,
                              std::uint64_t seed) {
  std::vector<Fault> plan = experiment.plan;
  if (!plan.empty()) return plan;
  if (experiment.fault_interval == Duration(0) || experiment.faults.empty()) {
    return plan;
  }
  std::mt19937_64 random(seed);
  const auto pick = [&random](std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random);
  };
  const auto chance = [&random] {
    return std::uniform_real_distribution<>()(random);
  };
  const Duration until = experiment.faults_until > Duration(0)
                             ? experiment.faults_until
                             : experiment.length;
  Fault fault;
  while (fault.at < until) {
    const bool series = !plan.empty() && chance() < experiment.series_share;
    fault.at = fault.at +
               Duration(series ? pick(0, kSeriesGap.ms())
                               : pick(1, experiment.fault_interval.ms() * 2));
    if (!series) {
      const auto last = static_cast<std::int64_t>(experiment.faults.size()) - 1;
      fault.kind = experiment.faults[pick(0, last)];
    }
    const int things =
        StrikesNode(fault.kind) ? experiment.nodes : experiment.runners;
    fault.target = static_cast<int>(pick(0, things - 1));
    fault.length = Duration(
        pick(kShortestFault.ms(),
             std::max(kShortestFault.ms(), experiment.longest_fault.ms())));
    if (fault.kind == FaultKind::kLateOrders) {
      fault.length = Duration(pick(kLeastLateness.ms(), kMostLateness.ms()));
    }
    if (fault.kind == FaultKind::kHoldCalls) {
      fault.length = Duration(pick(kShortestHold.ms(), kLongestHold.ms()));
    }
    if (fault.kind == FaultKind::kOverwriteEntry) {
      fault.length =
          Duration(pick(kShortestOverwrite.ms(), kLongestOverwrite.ms()));
    }
    const bool leader = experiment.leader_share > 0 &&
                        StrikesNode(fault.kind) &&
                        chance() < experiment.leader_share;
    if (leader) fault.target = kLeaderTarget;
    const bool dark = fault.kind == FaultKind::kRestartRunnerDark;
    if (dark) fault.length = PickBetween(kShortestDark, kLongestDark, &random);
    plan.push_back(fault);
    if (dark) AddCutAfter(experiment, fault, &random, &plan);
  }
  SortByTime(&plan);
  return plan;
}

}  // namespace limeledge::soak
