/// @file
/// The few jobs with the highest cost.
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

/// The jobs with the highest cost, in descending order.
///
/// Thread safety: none; use it from one thread.
class TopJobs {
 public:
  explicit TopJobs(std::size_t max_jobs = 3) : max_jobs_(max_jobs) {}

  /// Adds a cost of a job. All costs must have the same unit.
  void Add(double cost, const std::string& job);
  /// Returns the ids of the jobs, each once.
  std::vector<std::string> jobs() const;

 private:
  std::size_t max_jobs_;
  std::vector<std::pair<double, std::string>> jobs_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_TOP_JOBS_H_
