/// @file
/// Formats values of the report.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/report_values.h"

#include "absl/strings/str_join.h"

namespace limeledge {

namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

double Seconds(Duration length) {
  return static_cast<double>(length.ms()) / kMillisPerSecond;
}

std::string JoinJobs(const TopJobs& top_jobs) {
  return absl::StrJoin(top_jobs.jobs(), " ");
}

Json::Value ToJson(const TopJobs& top_jobs) {
  Json::Value json(Json::arrayValue);
  for (const std::string& job : top_jobs.jobs()) json.append(job);
  return json;
}

}  // namespace limeledge
