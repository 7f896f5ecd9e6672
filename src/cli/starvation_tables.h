/// @file
/// The report's tables on which jobs starve, and what ran meanwhile.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_STARVATION_TABLES_H_
#define LIMELEDGE_SRC_CLI_STARVATION_TABLES_H_

#include <map>
#include <string>
#include <vector>

#include "cli/accelerator_use.h"
#include "cli/open_jobs.h"
#include "codec/json.h"

namespace limeledge {

/// By queue. Safe from any thread.
Json::Value ToJson(const std::map<std::string, QueueSummary>& queue_summaries);

/// In order of time. Safe from any thread.
Json::Value ToJson(const std::vector<UseSlot>& use);

/// Prints how each queue stands, and its open jobs by age. Not to be called
/// while others print.
void PrintQueueSummaries(
    const std::map<std::string, QueueSummary>& queue_summaries);

/// Prints the use of accelerators by slot. Not to be called while others print.
void PrintUse(const std::vector<UseSlot>& use);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_STARVATION_TABLES_H_
