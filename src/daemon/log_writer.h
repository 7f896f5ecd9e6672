/// @file
/// Writes numbered log lines to standard error.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_LOG_WRITER_H_
#define LIMELEDGE_SRC_DAEMON_LOG_WRITER_H_

#include <string>

#include "core/log_event.h"

namespace limeledge {

/// Returns a line such as
/// `2026-12-02T12:00:00.123Z info LL101 ready instance=e1 reason=""`.
/// Safe from any thread.
std::string FormatLogLine(const LogLine& line, const std::string& instance,
                          std::int64_t wall_ms);

/// Writes one line to standard error. Safe from any thread.
void WriteLogLine(const LogLine& line, const std::string& instance);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_LOG_WRITER_H_
