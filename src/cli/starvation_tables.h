/// @file
/// Tables of the report that show starving jobs and the use of accelerators.
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

/// Returns the summaries as a JSON object by queue. Safe from any thread.
Json::Value ToJson(const std::map<std::string, QueueSummary>& queue_summaries);

/// Returns the slots as a JSON array in order of time. Safe from any thread.
Json::Value ToJson(const std::vector<UseSlot>& use);

/// Prints the summary of each queue, and its open jobs by age. Not thread-safe:
/// writes to standard output.
void PrintQueueSummaries(
    const std::map<std::string, QueueSummary>& queue_summaries);

/// Prints the use of accelerators by slot. Not thread-safe: writes to standard
/// output.
void PrintUse(const std::vector<UseSlot>& use);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_STARVATION_TABLES_H_
