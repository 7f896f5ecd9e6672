/// @file
/// Reads the process file.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/process_config.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <climits>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "settings/reader.h"
#include "settings/yaml_node.h"

namespace limeledge {

namespace {

constexpr std::int64_t kMaxConnections = 10000;
constexpr std::int64_t kMaxBodyBytes = 64 << 20;
constexpr std::int64_t kMaxTimeoutMs = 600000;
constexpr std::int64_t kMaxLanes = 1024;

void ReadEndpoint(const YamlNode& value, Endpoint* endpoint) {
  const auto text = value.Text();
  if (!text) return;
  const absl::StatusOr<Endpoint> parsed = ParseEndpoint(*text);
  if (!parsed.ok()) {
    value.AddFinding("must be HOST:PORT");
    return;
  }
  *endpoint = *parsed;
}

void ReadPlatform(const YamlNode& node, ProcessConfig* config) {
  node.ForEachEntry([&](const std::string& key, const YamlNode& value) {
    if (key == "kind") {
      const auto kind = value.Text();
      if (!kind) return;
      if (*kind == "embedded") {
        config->platform = PlatformKind::kEmbedded;
      } else if (*kind != "http") {
        value.AddFinding("must be http or embedded");
      }
    } else if (key == "address") {
      Endpoint endpoint;
      ReadEndpoint(value, &endpoint);
      config->platform_address = value.Text().value_or("");
    } else {
      value.AddUnknownKey();
    }
  });
}

void ReadDivision(const YamlNode& value, ProcessConfig* config) {
  const auto name = value.Text();
  if (!name) return;
  if (*name == "by_runner") {
    config->slot_division = SlotDivision::kByRunner;
  } else if (*name != "by_slot") {
    value.AddFinding("must be by_slot or by_runner");
  }
}

void ReadProcessKey(const std::string& key, const YamlNode& value,
                    ProcessConfig* config) {
  if (key == "id") {
    config->id = InstanceId(value.Identifier().value_or(""));
  } else if (key == "hall") {
    config->hall = HallId(value.Identifier().value_or(""));
  } else if (key == "listen") {
    ReadEndpoint(value, &config->listen);
  } else if (key == "peer_listen") {
    ReadEndpoint(value, &config->peer_listen);
  } else if (key == "platform") {
    ReadPlatform(value, config);
  } else if (key == "connections") {
    config->connections =
        static_cast<std::size_t>(value.Integer(1, kMaxConnections).value_or(1));
  } else if (key == "max_body_bytes") {
    config->max_body_bytes =
        static_cast<std::size_t>(value.Integer(1, kMaxBodyBytes).value_or(1));
  } else if (key == "read_timeout_ms") {
    config->read_timeout =
        Duration(value.Integer(1, kMaxTimeoutMs).value_or(1));
  } else if (key == "runner_lanes") {
    config->runner_lanes =
        static_cast<int>(value.Integer(1, kMaxLanes).value_or(1));
  } else if (key == "worker_lanes") {
    config->worker_lanes =
        static_cast<int>(value.Integer(1, kMaxLanes).value_or(1));
  } else if (key == "record") {
    config->record = value.Text().value_or("");
  } else if (key == "slot_division") {
    ReadDivision(value, config);
  } else {
    value.AddUnknownKey();
  }
}

/// The lines of the file that belong to `settings`, comments included.
std::string SettingsLines(const std::string& text, const YAML::Node& root) {
  int first = 0;
  int last = INT_MAX;
  for (const auto& entry : root) {
    const int line = entry.first.Mark().line;
    if (entry.first.Scalar() == "settings") first = line;
  }
  for (const auto& entry : root) {
    const int line = entry.first.Mark().line;
    if (line > first) last = std::min(last, line);
  }
  const std::vector<std::string> lines = absl::StrSplit(text, '\n');
  std::string result;
  for (int i = first; i < last && i < static_cast<int>(lines.size()); ++i) {
    absl::StrAppend(&result, lines[static_cast<std::size_t>(i)], "\n");
  }
  return result;
}

}  // namespace

ProcessConfig ReadProcessConfig(const std::string& text, Findings* findings) {
  ProcessConfig config;
  try {
    const YAML::Node root = YAML::Load(text);
    if (!root.IsMap()) {
      findings->Add("", 1, 1, "the process file must be a map");
      return config;
    }
    bool has_settings = false;
    const YamlNode tree(root, "", findings);
    tree.ForEachEntry([&](const std::string& name, const YamlNode& node) {
      if (name == "process") {
        node.ForEachEntry([&](const std::string& key, const YamlNode& value) {
          ReadProcessKey(key, value, &config);
        });
      } else if (name == "settings") {
        has_settings = true;
      } else {
        node.AddUnknownKey();
      }
    });
    if (has_settings) {
      ReadSettings(text, findings);
      config.initial_settings = SettingsLines(text, root);
    }
  } catch (const YAML::Exception& error) {
    const bool known = !error.mark.is_null();
    findings->Add("", known ? error.mark.line + 1 : 0,
                  known ? error.mark.column + 1 : 0, error.msg);
  }
  return config;
}

}  // namespace limeledge
