/// @file
/// Reads and validates the settings tree.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "settings/reader.h"

#include <algorithm>
#include <cctype>
#include <functional>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/identifier.h"
#include "settings/guarantee_check.h"
#include "settings/schema.h"
#include "settings/yaml_node.h"

namespace limeledge {

namespace {

constexpr std::size_t kDigestChars = 64;
constexpr int kMaxRacks = 1000;
constexpr int kMaxPerRack = 1000;
constexpr int kMaxAccelerators = 64;
constexpr int kMaxCores = 4096;
constexpr std::int64_t kMaxMemoryMb = 1LL << 30;
constexpr int kMaxMembers = 1024;

/// Returns true if `text` is a SHA-256 digest in lower-case hexadecimal.
bool IsDigest(const std::string& text) {
  return text.size() == kDigestChars &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
         });
}

/// Returns true if `name` is a valid value of `key`, which is `placement` or
/// `shadow_placement`.
bool IsPlacementName(const std::string& key, const std::string& name) {
  static const std::set<std::string> policies = {"cells", "fifo", "backfill"};
  if (policies.count(name) != 0) return true;
  return key == "shadow_placement" && name == "none";
}

/// Builds a settings tree from YAML and collects all validation errors.
class Reader {
 public:
  explicit Reader(Findings* findings) : findings_(findings) {}

  std::shared_ptr<const Settings> Read(const YAML::Node& root) {
    const YamlNode tree(root, "", findings_);
    tree.ForEachEntry([this](const std::string& name, const YamlNode& node) {
      ReadSection(name, node);
    });
    CheckReferences();
    if (findings_->empty()) CheckGuarantees(settings_, locations_, findings_);
    if (!findings_->empty()) return nullptr;
    return std::make_shared<const Settings>(std::move(settings_));
  }

 private:
  void ReadSection(const std::string& name, const YamlNode& node) {
    if (name == "operators") {
      ReadOperators(node);
    } else if (name == "halls") {
      ReadHalls(node);
    } else if (name == "system") {
      ReadValues(node, KeyScope::kSystem, &settings_.system_node);
    } else if (name == "defaults") {
      ReadValues(node, KeyScope::kInherited, &settings_.defaults);
    } else if (name == "classes") {
      ReadClasses(node);
    } else if (name == "workspaces") {
      ReadWorkspaces(node);
    } else {
      node.AddUnknownKey();
    }
  }

  void ReadValues(const YamlNode& node, KeyScope scope, SettingsNode* values) {
    node.ForEachEntry([&](const std::string& name, const YamlNode& value) {
      ReadValue(name, value, scope, values);
    });
  }

  void ReadValue(const std::string& name, const YamlNode& value, KeyScope scope,
                 SettingsNode* values) {
    locations_.Record(value);
    const KeySchema* key = FindKey(name, scope);
    if (key == nullptr) {
      value.AddUnknownKey();
      return;
    }
    switch (key->type) {
      case ValueType::kInteger:
        if (const auto number = value.Integer(key->min, key->max)) {
          values->numbers[name] = *number;
        }
        return;
      case ValueType::kBool:
        if (const auto flag = value.Bool()) values->numbers[name] = *flag;
        return;
      case ValueType::kName:
        ReadPolicyName(name, value, values);
        return;
    }
  }

  void ReadPolicyName(const std::string& key, const YamlNode& value,
                      SettingsNode* values) {
    const auto name = value.Identifier();
    if (!name) return;
    if (!IsPlacementName(key, *name)) {
      value.AddFinding(
          absl::StrCat("no policy is named '", *name,
                       "'; valid names are cells, fifo, backfill"));
      return;
    }
    values->names[key] = *name;
  }

  void ReadOperators(const YamlNode& node) {
    node.ForEachEntry([this](const std::string& name, const YamlNode& entry) {
      OperatorSettings op;
      op.name = name;
      entry.ForEachEntry([&](const std::string& key, const YamlNode& value) {
        if (key == "role") {
          ReadRole(value, &op.role);
        } else if (key == "token_sha256") {
          ReadDigest(value, &op.token_digest);
        } else {
          value.AddUnknownKey();
        }
      });
      if (op.token_digest.empty()) entry.AddFinding("token_sha256 is required");
      settings_.operators.push_back(std::move(op));
    });
  }

  static void ReadRole(const YamlNode& value, OperatorRole* role) {
    const auto name = value.Text();
    if (!name) return;
    if (*name == "admin") {
      *role = OperatorRole::kAdmin;
    } else if (*name != "viewer") {
      value.AddFinding("must be admin or viewer");
    }
  }

  static void ReadDigest(const YamlNode& value, std::string* digest) {
    const auto text = value.Text();
    if (!text) return;
    if (!IsDigest(*text)) {
      value.AddFinding(
          "must be the lower-case hex SHA-256 of a token, 64 digits");
      return;
    }
    *digest = *text;
  }

  void ReadHalls(const YamlNode& node) {
    node.ForEachEntry([this](const std::string& name, const YamlNode& entry) {
      HallSettings hall;
      entry.ForEachEntry([&](const std::string& key, const YamlNode& value) {
        ReadHallValue(key, value, &hall);
      });
      CheckName(name, entry);
      settings_.halls[HallId(name)] = hall;
    });
  }

  static void ReadHallValue(const std::string& key, const YamlNode& value,
                            HallSettings* hall) {
    if (key == "region") {
      hall->region = value.Identifier().value_or("");
    } else if (key == "racks") {
      hall->racks = ReadInt(value, 1, kMaxRacks);
    } else if (key == "workers_per_rack") {
      hall->workers_per_rack = ReadInt(value, 1, kMaxPerRack);
    } else if (key == "accelerators_per_worker") {
      hall->accelerators_per_worker = ReadInt(value, 0, kMaxAccelerators);
    } else if (key == "cores_per_worker") {
      hall->cores_per_worker = ReadInt(value, 1, kMaxCores);
    } else if (key == "memory_mb_per_worker") {
      hall->memory_mb_per_worker = value.Integer(0, kMaxMemoryMb).value_or(0);
    } else {
      value.AddUnknownKey();
    }
  }

  static int ReadInt(const YamlNode& value, int min, int max) {
    return static_cast<int>(value.Integer(min, max).value_or(min));
  }

  void ReadClasses(const YamlNode& node) {
    node.ForEachEntry([this](const std::string& name, const YamlNode& entry) {
      ClassSettings settings;
      bool has_kind = false;
      entry.ForEachEntry([&](const std::string& key, const YamlNode& value) {
        if (key == "kind") {
          has_kind = true;
          ReadKind(value, &settings.kind);
          return;
        }
        ReadValue(key, value, KeyScope::kInherited, &settings.node);
      });
      if (!has_kind) entry.AddFinding("kind is required: request or job");
      CheckName(name, entry);
      settings_.classes[ClassId(name)] = std::move(settings);
    });
  }

  static void ReadKind(const YamlNode& value, ClassKind* kind) {
    const auto name = value.Text();
    if (!name) return;
    if (*name == "request") {
      *kind = ClassKind::kRequest;
    } else if (*name != "job") {
      value.AddFinding("must be request or job");
    }
  }

  void ReadWorkspaces(const YamlNode& node) {
    node.ForEachEntry([this](const std::string& name, const YamlNode& entry) {
      WorkspaceSettings workspace;
      entry.ForEachEntry([&](const std::string& key, const YamlNode& value) {
        ReadWorkspaceKey(key, value, &workspace);
      });
      CheckName(name, entry);
      settings_.workspaces[WorkspaceId(name)] = std::move(workspace);
    });
  }

  void ReadWorkspaceKey(const std::string& key, const YamlNode& value,
                        WorkspaceSettings* workspace) {
    if (key == "tokens_sha256") {
      value.ForEachElement([&](const YamlNode& element) {
        std::string digest;
        ReadDigest(element, &digest);
        if (!digest.empty()) workspace->token_digests.push_back(digest);
      });
    } else if (key == "guarantees") {
      value.ForEachEntry([&](const std::string& name, const YamlNode& entry) {
        workspace->guarantees.push_back(ReadGuarantee(name, entry));
      });
    } else if (key == "classes") {
      ReadWorkspaceClasses(value, workspace);
    } else {
      ReadValue(key, value, KeyScope::kInherited, &workspace->node);
    }
  }

  void ReadWorkspaceClasses(const YamlNode& node,
                            WorkspaceSettings* workspace) {
    node.ForEachEntry([&](const std::string& name, const YamlNode& entry) {
      SettingsNode values;
      ReadValues(entry, KeyScope::kInherited, &values);
      workspace->classes[ClassId(name)] = std::move(values);
      Defer([this, name, entry] {
        if (settings_.classes.count(ClassId(name)) == 0) {
          entry.AddFinding("no such class in the top-level classes");
        }
      });
    });
  }

  Guarantee ReadGuarantee(const std::string& name, const YamlNode& entry) {
    Guarantee guarantee;
    guarantee.name = name;
    locations_.Record(entry);
    entry.ForEachEntry([&](const std::string& key, const YamlNode& value) {
      if (key == "hall") {
        guarantee.hall = HallId(value.Identifier().value_or(""));
      } else if (key == "members") {
        guarantee.members = ReadInt(value, 1, kMaxMembers);
      } else if (key == "accelerators") {
        guarantee.accelerators = ReadInt(value, 1, kMaxAccelerators);
      } else {
        value.AddUnknownKey();
      }
    });
    Defer([this, guarantee, entry] {
      const auto hall = settings_.halls.find(guarantee.hall);
      if (hall == settings_.halls.end()) {
        entry.AddFinding(
            "hall is required and must be the name of a hall under halls");
      } else if (guarantee.accelerators >
                 hall->second.accelerators_per_worker) {
        entry.AddFinding(absl::StrCat(
            "one member needs ", guarantee.accelerators,
            " accelerators, but a worker of hall ", guarantee.hall.value(),
            " has ", hall->second.accelerators_per_worker));
      }
    });
    return guarantee;
  }

  static void CheckName(const std::string& name, const YamlNode& entry) {
    if (!IsIdentifier(name)) {
      entry.AddFinding(
          "the name must have at most 64 letters, digits, '-', '_' or '.'");
    }
  }

  /// Postpones a check until the whole tree has been read, because it refers to
  /// entries that may come later in the text.
  void Defer(std::function<void()> check) {
    deferred_.push_back(std::move(check));
  }

  /// Runs the deferred checks and those between several `system` values.
  void CheckReferences() {
    for (const std::function<void()>& check : deferred_) check();
    const SystemSettings system = settings_.System();
    if (system.hall_lease_margin >= system.hall_lease) {
      locations_.Add("system/hall_lease_margin_ms",
                     "must be less than hall_lease_ms", findings_);
    }
    if (system.exchange * 2 > system.task_lease) {
      locations_.Add("system/exchange_ms",
                     "must be at most half of task_lease_ms, so that one lost "
                     "exchange does not stop any task",
                     findings_);
    }
    if (system.heartbeat * 2 > system.suspect) {
      locations_.Add("system/heartbeat_ms",
                     "must be at most half of suspect_ms", findings_);
    }
  }

  Findings* findings_;
  Settings settings_;
  YamlLocations locations_;
  std::vector<std::function<void()>> deferred_;
};

}  // namespace

std::shared_ptr<const Settings> ReadSettings(const std::string& text,
                                             Findings* findings) {
  if (text.size() > kMaxSettingsBytes) {
    findings->Add(
        "", absl::StrCat("the settings have ", text.size(),
                         " bytes; the limit is ", kMaxSettingsBytes, " bytes"));
    return nullptr;
  }
  if (text.find('\0') != std::string::npos) {
    findings->Add("", "the settings contain a NUL byte");
    return nullptr;
  }
  try {
    YAML::Node root = YAML::Load(text);
    if (!root.IsMap()) {
      findings->Add("", 1, 1, "the settings must be a map");
      return nullptr;
    }
    if (root["settings"]) root = root["settings"];
    return Reader(findings).Read(root);
  } catch (const YAML::Exception& error) {
    const bool known = !error.mark.is_null();
    findings->Add("", known ? error.mark.line + 1 : 0,
                  known ? error.mark.column + 1 : 0, error.msg);
    return nullptr;
  }
}

}  // namespace limeledge
