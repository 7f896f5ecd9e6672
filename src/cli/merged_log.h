/// @file
/// The history of one job or request, put together from the logs of several
/// processes.
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

/// One line of a node's structured log.
struct LogEntry {
  std::int64_t wall_ms = 0;
  std::string level;
  /// Number of the event, such as "LL910".
  std::string number;
  std::string event;
  std::string instance;
  std::map<std::string, std::string> fields;

  /// The field's value; empty if there is none.
  const std::string& Field(const std::string& name) const;
};

/// Logs of several processes, in order of time.
///
/// Thread safety: none; use it from one thread.
class MergedLog {
 public:
  /// Takes in a log's text. What stands before a line's first brace is passed
  /// over, as are lines that are no log lines; returns how many those were.
  int Add(const std::string& text);

  /// All lines.
  std::vector<LogEntry> Lines() const;
  /// All lines that name the job or request.
  std::vector<LogEntry> LinesOf(const std::string& id) const;
  /// The same, and what happened meanwhile to the runners it ran on, to who
  /// schedules, and to the store.
  std::vector<LogEntry> LinesAround(const std::string& id) const;

 private:
  std::vector<LogEntry> entries_;
};

/// True if the line names the job or request. Safe from any thread.
bool Mentions(const LogEntry& entry, const std::string& id);

/// The line in words. Safe from any thread.
std::string Describe(const LogEntry& entry);

/// What the lines of a job come to, in a sentence: its state, and what held it
/// up. Safe from any thread.
std::string Summarize(const std::vector<LogEntry>& lines);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_MERGED_LOG_H_
