/// @file
/// Builds log lines of jobs and their runs for tests of the code that reads
/// logs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_LOG_LINES_FIXTURE_H_
#define LIMELEDGE_TEST_LOG_LINES_FIXTURE_H_

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cli/merged_log.h"

namespace limeledge {

/// Lines in the order in which a test adds them. One process is the scheduler
/// from 0 ms on; a job is submitted at 1000 ms. Every run holds four
/// accelerators and eight cores, and is expected to take 2000 ms.
struct LogLinesFixture : public Utest {
  using Fields = std::map<std::string, std::string>;

  std::vector<LogEntry> lines;

  void setup() override {
    Line(0, "leader_claimed", {{"epoch", "1"}});
    Submit(1000, "aa", "sweep", "roads");
  }

  void Line(std::int64_t ms, const std::string& event, const Fields& fields,
            const std::string& instance = "e1") {
    LogEntry entry;
    entry.wall_ms = ms;
    entry.event = event;
    entry.instance = instance;
    entry.fields = fields;
    lines.push_back(entry);
  }

  void Submit(std::int64_t ms, const std::string& job, const std::string& queue,
              const std::string& workspace) {
    Line(ms, "job_accepted",
         {{"job", job}, {"queue", queue}, {"workspace", workspace}});
    Line(ms, "call_answered",
         {{"call", "submit"}, {"path", "/q/" + job}, {"result", "done"}});
  }

  void Assign(std::int64_t ms, const std::string& task, int run,
              const std::string& runner = "i-1") {
    Line(ms, "run_assigned",
         {{"task", task},
          {"run", std::to_string(run)},
          {"runner", runner},
          {"expected_ms", "2000"},
          {"accelerators", "4"},
          {"cpu_millis", "8000"}});
  }

  void End(std::int64_t ms, const std::string& task, int run,
           const std::string& end, const std::string& saved = "") {
    Line(ms, "run_ended",
         {{"task", task},
          {"run", std::to_string(run)},
          {"runner", "i-1"},
          {"end", end},
          {"saved", saved}});
  }

  void Settle(std::int64_t ms, const std::string& job,
              const std::string& state = "done") {
    Line(ms, "job_settled", {{"job", job}, {"state", state}});
  }

  void Preempt(std::int64_t ms, const std::string& task,
               const std::string& urgent) {
    Line(ms, "run_displaced",
         {{"task", task}, {"runner", "i-1"}, {"for", urgent}});
  }

  void Wait(std::int64_t ms, const std::string& step, int tasks,
            const std::string& reason = "no room") {
    Line(
        ms, "step_waits",
        {{"step", step}, {"tasks", std::to_string(tasks)}, {"reason", reason}});
  }

  /// Adds the last line, which concerns no job.
  void EndLogs(std::int64_t ms) {
    Line(ms, "runner_heard", {{"runner", "i-9"}});
  }
};

}  // namespace limeledge

#endif  // LIMELEDGE_TEST_LOG_LINES_FIXTURE_H_
