/// @file
/// Naming the few jobs that something cost most.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_TOP_JOBS_H_
#define LIMELEDGE_SRC_CLI_TOP_JOBS_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace limeledge {

/// Jobs that something cost most, the dearest first.
///
/// Thread safety: none; use it from one thread.
class TopJobs {
 public:
  explicit TopJobs(std::size_t most = 3) : most_(most) {}

  /// Notes what it cost a job, in any unit.
  void Add(double cost, const std::string& job);
  /// Each job once.
  std::vector<std::string> jobs() const;

 private:
  std::size_t most_;
  std::vector<std::pair<double, std::string>> jobs_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_TOP_JOBS_H_
