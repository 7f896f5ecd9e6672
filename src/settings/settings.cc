/// @file
/// Lookup and inheritance of settings values.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "settings/settings.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "settings/schema.h"

namespace limeledge {

/// A node in which values are looked up, with its path.
struct Settings::Layer {
  std::string path;
  const SettingsNode* node;
};

namespace {

constexpr char kBuiltIn[] = "built-in";

std::int64_t SystemNumber(const SettingsNode& node, std::string_view name) {
  const auto it = node.numbers.find(name);
  if (it != node.numbers.end()) return it->second;
  return FindKey(name, KeyScope::kSystem)->default_int;
}

Duration SystemMs(const SettingsNode& node, std::string_view name) {
  return Duration(SystemNumber(node, name));
}

std::string Format(const KeySchema& key, std::int64_t number) {
  if (key.type == ValueType::kBool) return number != 0 ? "true" : "false";
  return absl::StrCat(number);
}

/// A parsed path of the form "defaults", "classes/C", "workspaces/W" or
/// "workspaces/W/classes/C". Names that are not in the path are empty.
struct NodePath {
  bool valid = false;
  WorkspaceId workspace;
  ClassId job_class;
};

NodePath ParseNodePath(const std::string& path) {
  const std::vector<std::string> parts = absl::StrSplit(path, '/');
  NodePath result;
  if (path == "defaults") {
    result.valid = true;
  } else if (parts.size() == 2 && parts[0] == "classes") {
    result = {true, WorkspaceId(), ClassId(parts[1])};
  } else if (parts.size() == 2 && parts[0] == "workspaces") {
    result = {true, WorkspaceId(parts[1]), ClassId()};
  } else if (parts.size() == 4 && parts[0] == "workspaces" &&
             parts[2] == "classes") {
    result = {true, WorkspaceId(parts[1]), ClassId(parts[3])};
  }
  return result;
}

}  // namespace

SystemSettings Settings::System() const {
  const SettingsNode& node = system_node;
  SystemSettings system;
  system.hall_lease = SystemMs(node, "hall_lease_ms");
  system.hall_lease_margin = SystemMs(node, "hall_lease_margin_ms");
  system.task_lease = SystemMs(node, "task_lease_ms");
  system.exchange = SystemMs(node, "exchange_ms");
  system.heartbeat = SystemMs(node, "heartbeat_ms");
  system.suspect = SystemMs(node, "suspect_ms");
  system.list_poll = SystemMs(node, "list_poll_ms");
  system.store_poll = SystemMs(node, "store_poll_ms");
  system.store_rows_per_second =
      static_cast<int>(SystemNumber(node, "store_rows_per_second"));
  system.store_wait = SystemMs(node, "store_wait_ms");
  system.slot_handover = SystemMs(node, "slot_handover_ms");
  system.retry_share_percent =
      static_cast<int>(SystemNumber(node, "retry_share_percent"));
  system.quarantine = SystemMs(node, "quarantine_ms");
  system.quarantine_failures =
      static_cast<int>(SystemNumber(node, "quarantine_failures"));
  system.job_retention = SystemMs(node, "job_retention_ms");
  system.claim_retention = SystemMs(node, "claim_retention_ms");
  system.stop_grace = SystemMs(node, "stop_grace_ms");
  return system;
}

std::vector<Settings::Layer> Settings::Layers(const WorkspaceId& workspace,
                                              const ClassId& job_class) const {
  std::vector<Layer> layers;
  const auto in_workspace = workspaces.find(workspace);
  if (in_workspace != workspaces.end()) {
    const std::string path = absl::StrCat("workspaces/", workspace.value());
    const auto& own = in_workspace->second.classes;
    const auto own_class = own.find(job_class);
    if (own_class != own.end()) {
      layers.push_back({absl::StrCat(path, "/classes/", job_class.value()),
                        &own_class->second});
    }
    layers.push_back({path, &in_workspace->second.node});
  }
  const auto shared_class = classes.find(job_class);
  if (shared_class != classes.end()) {
    layers.push_back({absl::StrCat("classes/", job_class.value()),
                      &shared_class->second.node});
  }
  layers.push_back({"defaults", &defaults});
  return layers;
}

EffectiveSettings Settings::Effective(const WorkspaceId& workspace,
                                      const ClassId& job_class) const {
  const std::vector<Layer> layers = Layers(workspace, job_class);
  const auto number = [&layers](std::string_view name) {
    for (const Layer& layer : layers) {
      const auto it = layer.node->numbers.find(name);
      if (it != layer.node->numbers.end()) return it->second;
    }
    return FindKey(name, KeyScope::kInherited)->default_int;
  };
  const auto text = [&layers](std::string_view name) {
    for (const Layer& layer : layers) {
      const auto it = layer.node->names.find(name);
      if (it != layer.node->names.end()) return it->second;
    }
    return std::string(FindKey(name, KeyScope::kInherited)->default_text);
  };
  EffectiveSettings result;
  result.placement = text("placement");
  result.shadow_placement = text("shadow_placement");
  result.priority = static_cast<int>(number("priority"));
  result.weight = static_cast<int>(number("weight"));
  result.deadline = Duration(number("deadline_ms"));
  result.max_queue_age = Duration(number("max_queue_ms"));
  result.max_queue = static_cast<int>(number("max_queue"));
  result.max_attempts = static_cast<int>(number("max_attempts"));
  result.reclaim = Duration(number("reclaim_ms"));
  result.reserve_after = Duration(number("reserve_after_ms"));
  result.prepare = Duration(number("prepare_ms"));
  result.max_run = Duration(number("max_run_ms"));
  result.checkpoint = number("checkpoint") != 0;
  result.borrow = number("borrow") != 0;
  return result;
}

std::vector<EffectiveValue> Settings::Explain(const std::string& path) const {
  const NodePath target = ParseNodePath(path);
  const bool known_workspace =
      target.workspace.empty() || workspaces.count(target.workspace) != 0;
  const bool known_class =
      target.job_class.empty() || classes.count(target.job_class) != 0;
  if (!target.valid || !known_workspace || !known_class) return {};
  const std::vector<Layer> layers = Layers(target.workspace, target.job_class);
  std::vector<EffectiveValue> values;
  for (const KeySchema& key : AllKeys()) {
    if (key.scope != KeyScope::kInherited) continue;
    EffectiveValue item{std::string(key.name), std::string(key.default_text),
                        kBuiltIn};
    if (key.type != ValueType::kName) item.value = Format(key, key.default_int);
    for (const Layer& layer : layers) {
      const auto number = layer.node->numbers.find(key.name);
      const auto name = layer.node->names.find(key.name);
      if (number != layer.node->numbers.end()) {
        item.value = Format(key, number->second);
      } else if (name != layer.node->names.end()) {
        item.value = name->second;
      } else {
        continue;
      }
      item.origin = layer.path;
      break;
    }
    values.push_back(std::move(item));
  }
  return values;
}

}  // namespace limeledge
