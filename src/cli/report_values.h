/// @file
/// Formats values for the tables and the JSON of the report.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_REPORT_VALUES_H_
#define LIMELEDGE_SRC_CLI_REPORT_VALUES_H_

#include <string>

#include "cli/top_jobs.h"
#include "codec/json.h"
#include "limeledge/clock.h"

namespace limeledge {

/// Converts a duration to seconds. Safe from any thread.
double Seconds(Duration length);

/// Returns the ids of the jobs, separated by spaces. Safe from any thread.
std::string JoinJobs(const TopJobs& top_jobs);

/// Returns the ids of the jobs as a JSON array. Safe from any thread.
Json::Value ToJson(const TopJobs& top_jobs);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_REPORT_VALUES_H_
