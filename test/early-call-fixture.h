/// @file
/// Fixture for tests of runners that restart under their ids and carry out
/// calls that were meant for an earlier incarnation.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_EARLY_CALL_FIXTURE_H_
#define LIMELEDGE_TEST_EARLY_CALL_FIXTURE_H_

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

/// Two runners that keep their ids. All jobs go to the first, since the other
/// one is full until `CutOff`.
struct EarlyCallFixture : Utest {
  static constexpr Duration kLongWork{40000};

  static SystemOptions Options() {
    SystemOptions options;
    options.runners = 2;
    options.keeps_ids = true;
    // Unless a poll waits, the scheduler learns of the next incarnation from
    // its answer to a poll, and else from its entry.
    options.entry_lag = Duration(600);
    return options;
  }

  EmulatedSystem system{Options()};
  RunnerId runner;
  JobId filler;
  int incarnations_found = 0;

  void setup() override {
    system.SetTrace([this](const std::string& line) {
      if (line.find(" runner_began ") != std::string::npos) {
        ++incarnations_found;
      }
      if (std::getenv("LIMELEDGE_TRACE") == nullptr) return;
      std::printf("%s\n", line.c_str());
    });
    system.faults().resend_interval = Duration(20);
    // The first incarnation's clock is far ahead of that of the next one.
    system.Run(Duration(15000));
    filler = Submit(system.room().accelerators, kLongWork);
    system.Run(Duration(1000));
    const RunnerId full = SchedulerFixture::RunnerOf(&system, filler);
    CHECK_FALSE(full == RunnerId());
    for (const RunnerId& id : system.RunnerIds()) {
      if (id != full) runner = id;
    }
  }

  /// Submits a job of one task.
  JobId Submit(std::int64_t accelerators, Duration work) {
    return SchedulerFixture::SubmitTo(
        &system, SchedulerFixture::Step(1, accelerators, work));
  }

  /// Runs until the scheduler knows of another incarnation.
  void RunUntilFound() {
    const int before = incarnations_found;
    for (int i = 0; i < 5000 && incarnations_found == before; ++i) {
      system.Run(Duration(1));
    }
    LONGS_EQUAL(before + 1, incarnations_found);
  }

  /// Restarts the runner and lets its next incarnation carry out and answer a
  /// start that was sent to the earlier one. Returns the start's job.
  JobId RestartWithEarlyStart(Duration work) {
    system.CrashRunner(runner, Duration(300));
    JobId job = Submit(1, work);
    constexpr int kLatestMs = 330;
    for (int i = 0; i < kLatestMs; ++i) {
      if (SchedulerFixture::RunnerOf(&system, job) == runner) break;
      system.Run(Duration(1));
    }
    // The run was started by the next incarnation, which is not known yet.
    CHECK_TRUE(SchedulerFixture::RunnerOf(&system, job) == runner);
    LONGS_EQUAL(0, incarnations_found);
    return job;
  }

  /// Starts a long task on the runner.
  JobId StartLongTask() {
    JobId job = Submit(1, kLongWork);
    system.Run(Duration(100));
    CHECK_TRUE(SchedulerFixture::RunnerOf(&system, job) == runner);
    return job;
  }

  /// Cuts the runner off, which keeps running, and lets the scheduler restart
  /// the task on the other one. Checks that only one run of it was active at a
  /// time.
  void CutOffAndCheckTask(const JobId& job) {
    system.faults().unreachable_runners.insert(runner);
    system.Cancel(filler);
    system.Run(Duration(30000));
    for (const std::string& error : system.violations()) FAIL(error.c_str());
    // It waits for the lease, but not for good.
    LONGS_EQUAL(2, system.jobs().at(job).starts.begin()->second);
  }
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_TEST_EARLY_CALL_FIXTURE_H_
