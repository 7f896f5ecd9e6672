/// @file
/// Merges the logs of several processes and extracts the lines of one job or
/// request.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_MERGED_LOG_H_
#define LIMELEDGE_SRC_CLI_MERGED_LOG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limeledge {

/// One line of a structured log.
struct LogEntry {
  std::int64_t wall_ms = 0;
  std::string level;
  /// Id of the event type, such as "LL910".
  std::string number;
  std::string event;
  std::string instance;
  std::map<std::string, std::string> fields;

  /// Returns the value of the field; empty if the line does not have it.
  const std::string& Field(const std::string& name) const;
};

/// Log lines of several processes, in order of time.
///
/// Thread safety: none; use it from one thread.
class MergedLog {
 public:
  /// Adds the text of a log. Ignores the part of each line before the first
  /// brace, and skips lines that are not log lines. Returns the number of
  /// non-empty lines that were skipped.
  int Add(const std::string& text);

  /// Returns all lines.
  std::vector<LogEntry> Lines() const;
  /// Returns the lines that mention the job or request.
  std::vector<LogEntry> LinesOf(const std::string& id) const;
  /// Returns these lines and, from the time between the first and the last of
  /// them, the lines about runners that held a run of the job, about changes of
  /// the scheduler, and about the store.
  std::vector<LogEntry> LinesAround(const std::string& id) const;

 private:
  std::vector<LogEntry> entries_;
};

/// True if a field of the line mentions the job or request. Safe from any
/// thread.
bool Mentions(const LogEntry& entry, const std::string& id);

/// Returns the line as readable text. Safe from any thread.
std::string Describe(const LogEntry& entry);

/// Summarizes the lines of a job in one sentence: its state, its times, and how
/// its runs ended. Safe from any thread.
std::string Summarize(const std::vector<LogEntry>& lines);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_MERGED_LOG_H_
