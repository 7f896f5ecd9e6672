/// @file
/// Validation errors with their locations in the input.
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

/// One validation error in an input.
struct Finding {
  /// File name, or the name of the input such as "body".
  std::string source;
  /// Line number, starting at 1; 0 if the position is unknown.
  int line = 0;
  /// Column number, starting at 1; 0 if the position is unknown.
  int column = 0;
  /// Path of the invalid value, such as "workspaces/bridges/weight".
  std::string path;
  std::string message;
};

/// Formats a finding as "SOURCE:LINE:COLUMN: PATH: MESSAGE". The position is
/// omitted if `line` is 0, the path if it is empty. Safe from any thread.
std::string ToString(const Finding& finding);

/// Collects the findings of one input, so that they can be reported together.
///
///     Findings findings("settings.yaml");
///     findings.Add("workspaces/a", "must name a hall");
///     return findings.ToStatus();
///
/// Thread safety: none; use it from one thread.
class Findings {
 public:
  explicit Findings(std::string source) : source_(std::move(source)) {}

  /// Adds a finding without a position.
  void Add(std::string path, std::string message);
  /// Adds a finding with a position; `line` and `column` start at 1.
  void Add(std::string path, int line, int column, std::string message);

  bool empty() const { return all_.empty(); }
  const std::vector<Finding>& all() const { return all_; }

  /// Returns OK if there are no findings, otherwise `kInvalidArgument` with all
  /// findings in the message, one per line.
  absl::Status ToStatus() const;

 private:
  std::string source_;
  std::vector<Finding> all_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_FINDING_H_
