/// @file
/// Values as the report's tables and its JSON show them.
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

/// In seconds. Safe from any thread.
double Seconds(Duration length);

/// The jobs, with blanks between them. Safe from any thread.
std::string JoinJobs(const TopJobs& top_jobs);

/// The jobs as an array. Safe from any thread.
Json::Value ToJson(const TopJobs& top_jobs);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_REPORT_VALUES_H_
