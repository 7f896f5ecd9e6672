/// @file
/// Keeps the jobs with the highest cost.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/top_jobs.h"

#include <algorithm>

namespace limeledge {

void TopJobs::Add(double cost, const std::string& job) {
  jobs_.emplace_back(cost, job);
  std::stable_sort(
      jobs_.begin(), jobs_.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  if (jobs_.size() > max_jobs_) jobs_.pop_back();
}

std::vector<std::string> TopJobs::jobs() const {
  std::vector<std::string> names;
  for (const auto& [cost, job] : jobs_) {
    const bool named =
        std::find(names.begin(), names.end(), job) != names.end();
    if (!named) names.push_back(job);
  }
  return names;
}

}  // namespace limeledge
