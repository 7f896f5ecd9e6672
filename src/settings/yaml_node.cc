/// @file
/// Implementation of the typed access to YAML nodes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "settings/yaml_node.h"

#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/identifier.h"

namespace limeledge {

namespace {

std::string ChildPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : absl::StrCat(path, "/", name);
}

}  // namespace

void YamlNode::ForEachEntry(
    const std::function<void(const std::string&, const YamlNode&)>& visit)
    const {
  if (node_.IsNull()) return;
  if (!node_.IsMap()) {
    AddFinding("must be a map");
    return;
  }
  std::set<std::string> seen;
  for (const auto& entry : node_) {
    if (!entry.first.IsScalar()) {
      YamlNode(entry.first, path_, findings_).AddFinding("a key must be text");
      continue;
    }
    const std::string name = entry.first.Scalar();
    const YamlNode child(entry.second, ChildPath(path_, name), findings_);
    if (!seen.insert(name).second) {
      YamlNode(entry.first, ChildPath(path_, name), findings_)
          .AddFinding("the key appears twice");
      continue;
    }
    visit(name, child);
  }
}

void YamlNode::ForEachElement(
    const std::function<void(const YamlNode&)>& visit) const {
  if (node_.IsNull()) return;
  if (!node_.IsSequence()) {
    AddFinding("must be a list");
    return;
  }
  std::size_t index = 0;
  for (const YAML::Node& element : node_) {
    visit(YamlNode(element, absl::StrCat(path_, "/", index), findings_));
    ++index;
  }
}

std::optional<std::int64_t> YamlNode::Integer(std::int64_t min,
                                              std::int64_t max) const {
  std::int64_t value = 0;
  if (!node_.IsScalar() || !absl::SimpleAtoi(node_.Scalar(), &value)) {
    AddFinding("must be a whole number");
    return std::nullopt;
  }
  if (value < min || value > max) {
    AddFinding(
        absl::StrCat("must be from ", min, " to ", max, ", but is ", value));
    return std::nullopt;
  }
  return value;
}

std::optional<bool> YamlNode::Bool() const {
  if (node_.IsScalar() && node_.Scalar() == "true") return true;
  if (node_.IsScalar() && node_.Scalar() == "false") return false;
  AddFinding("must be true or false");
  return std::nullopt;
}

std::optional<std::string> YamlNode::Text() const {
  if (!node_.IsScalar() || node_.Scalar().empty()) {
    AddFinding("must be text");
    return std::nullopt;
  }
  return node_.Scalar();
}

std::optional<std::string> YamlNode::Identifier() const {
  if (!node_.IsScalar() || !IsIdentifier(node_.Scalar())) {
    AddFinding("must be a name of at most 64 letters, digits, '-', '_' or '.'");
    return std::nullopt;
  }
  return node_.Scalar();
}

void YamlLocations::Record(const YamlNode& node) {
  nodes_.emplace(node.path(), node);
}

void YamlLocations::Add(const std::string& path, const std::string& message,
                        Findings* findings) const {
  const auto it = nodes_.find(path);
  if (it == nodes_.end()) {
    findings->Add(path, message);
  } else {
    it->second.AddFinding(message);
  }
}

void YamlNode::AddFinding(const std::string& message) const {
  const YAML::Mark mark = node_.Mark();
  const bool known = !mark.is_null();
  findings_->Add(path_, known ? mark.line + 1 : 0, known ? mark.column + 1 : 0,
                 message);
}

}  // namespace limeledge
