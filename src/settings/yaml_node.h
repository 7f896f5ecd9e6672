/// @file
/// Typed access to YAML nodes that reports errors as findings.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_SETTINGS_YAML_NODE_H_
#define LIMELEDGE_SRC_SETTINGS_YAML_NODE_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "limeledge/finding.h"

namespace limeledge {

/// A YAML node with its path in the document. Errors are added to `findings`
/// with the node's path and position.
///
/// Thread safety: none; use it from one thread.
class YamlNode {
 public:
  YamlNode(const YAML::Node& node, std::string path, Findings* findings)
      : node_(node), path_(std::move(path)), findings_(findings) {}

  /// Calls `visit(name, child)` for each entry of a map; a null node counts as
  /// an empty map. Adds a finding if the node is not a map, and for each key
  /// that is not a scalar or is a duplicate.
  void ForEachEntry(const std::function<void(const std::string&,
                                             const YamlNode&)>& visit) const;
  /// Calls `visit(child)` for each element of a list; a null node counts as an
  /// empty list. Adds a finding if the node is not a list.
  void ForEachElement(const std::function<void(const YamlNode&)>& visit) const;

  /// Returns the value as an integer. If it is not an integer in [min, max],
  /// adds a finding and returns nothing.
  std::optional<std::int64_t> Integer(std::int64_t min, std::int64_t max) const;
  /// Returns the value as a boolean. If it is neither `true` nor `false`, adds
  /// a finding and returns nothing.
  std::optional<bool> Bool() const;
  /// Returns the value as text. If it is not a scalar or is empty, adds a
  /// finding and returns nothing.
  std::optional<std::string> Text() const;
  /// Returns the value as an identifier: at most 64 letters, digits, '-', '_'
  /// or '.'. For any other value, adds a finding and returns nothing.
  std::optional<std::string> Identifier() const;

  /// Adds a finding with the path and position of this node.
  void AddFinding(const std::string& message) const;
  /// Adds the finding that the key of this node is unknown.
  void AddUnknownKey() const { AddFinding("unknown key"); }

  const std::string& path() const { return path_; }
  bool IsMap() const { return node_.IsMap(); }

 private:
  YAML::Node node_;
  std::string path_;
  Findings* findings_;
};

/// Maps paths to nodes, so that checks after reading can report positions.
///
/// Thread safety: none; use it from one thread.
class YamlLocations {
 public:
  /// Records the node under its path. A path that is already known is kept.
  void Record(const YamlNode& node);
  /// Adds a finding with the position of the node at `path`, or without a
  /// position if no such node was recorded.
  void Add(const std::string& path, const std::string& message,
           Findings* findings) const;

 private:
  std::map<std::string, YamlNode> nodes_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_SETTINGS_YAML_NODE_H_
