/// @file
/// Collects and formats findings.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/finding.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace limeledge {

std::string ToString(const Finding& finding) {
  std::string text = finding.source;
  if (finding.line > 0) {
    absl::StrAppend(&text, ":", finding.line, ":", finding.column);
  }
  if (!finding.path.empty()) absl::StrAppend(&text, ": ", finding.path);
  return absl::StrCat(text, ": ", finding.message);
}

void Findings::Add(std::string path, std::string message) {
  Add(std::move(path), 0, 0, std::move(message));
}

void Findings::Add(std::string path, int line, int column,
                   std::string message) {
  all_.push_back({source_, line, column, std::move(path), std::move(message)});
}

absl::Status Findings::ToStatus() const {
  if (all_.empty()) return absl::OkStatus();
  std::vector<std::string> lines;
  lines.reserve(all_.size());
  for (const Finding& finding : all_) lines.push_back(ToString(finding));
  return absl::InvalidArgumentError(absl::StrJoin(lines, "\n"));
}

}  // namespace limeledge
