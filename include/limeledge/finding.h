/// @file
/// Findings: faults in some input, each with its place, reported together.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_FINDING_H_
#define LIMELEDGE_FINDING_H_

#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"

namespace limeledge {

/// One fault in an input.
struct Finding {
  /// File name, or the name of the input such as "body".
  std::string source;
  /// From 1; 0 when the input has no lines.
  int line = 0;
  int column = 0;
  /// Path of the faulty value, such as "workspaces/bridges/weight".
  std::string path;
  std::string message;
};

/// Returns "FILE:LINE:COLUMN: PATH: MESSAGE", without the parts that are not
/// known. Safe from any thread.
std::string ToString(const Finding& finding);

/// Collects findings.
///
///     Findings findings("settings.yaml");
///     findings.Add("workspaces/a", "must name a hall");
///     return findings.ToStatus();
///
/// Thread safety: none; use it from one thread.
class Findings {
 public:
  explicit Findings(std::string source) : source_(std::move(source)) {}

  void Add(std::string path, std::string message);
  void Add(std::string path, int line, int column, std::string message);

  bool empty() const { return all_.empty(); }
  const std::vector<Finding>& all() const { return all_; }

  /// OK when there are none, else `kInvalidArgument` naming every one.
  absl::Status ToStatus() const;

 private:
  std::string source_;
  std::vector<Finding> all_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_FINDING_H_
