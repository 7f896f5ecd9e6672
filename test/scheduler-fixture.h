/// @file
/// Fixture for tests that run jobs on an emulated system.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_SCHEDULER_FIXTURE_H_
#define LIMELEDGE_TEST_SCHEDULER_FIXTURE_H_

#include <set>
#include <string>
#include <utility>

#include "CppUTest/TestHarness.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {

/// An emulated system whose scheduler is active, with helpers to submit jobs.
class SchedulerFixture : public Utest {
 public:
  EmulatedSystem system{SystemOptions()};

  void setup() override { system.Run(Duration(3000)); }

  static dispatch::StepSpec Step(int count, std::int64_t accelerators,
                                 Duration estimate) {
    dispatch::StepSpec step;
    step.count = count;
    step.need = {2000, 4096, accelerators};
    step.estimate = estimate;
    return step;
  }

  /// Submits a job of one step whose tasks take exactly the estimated time.
  JobId Submit(const dispatch::StepSpec& step, int priority = 1) {
    return SubmitTo(&system, step, priority);
  }
  /// Like `Submit`, to another system.
  static JobId SubmitTo(EmulatedSystem* other, const dispatch::StepSpec& step,
                        int priority = 1) {
    dispatch::JobSpec spec;
    spec.steps.push_back(step);
    spec.policy.priority = priority;
    TaskTruth truth;
    truth.work = step.estimate;
    return other->Submit(std::move(spec), {truth});
  }

  /// Racks on which runs of the job are active.
  static std::set<std::string> RacksOf(EmulatedSystem* other,
                                       const JobId& job) {
    std::set<std::string> racks;
    for (const RunnerId& id : other->RunnerIds()) {
      const EmulatedRunner* runner = other->FindRunner(id);
      other->FindRunner(id)->ForEachRun(
          [&](const dispatch::TaskName& name, int) {
            if (name.job == job) racks.insert(runner->info().rack);
          });
    }
    return racks;
  }

  /// A runner on which a task of the job runs; empty if there is none.
  RunnerId RunnerOf(const JobId& job) { return RunnerOf(&system, job); }
  /// Like `RunnerOf`, of another system.
  static RunnerId RunnerOf(EmulatedSystem* other, const JobId& job) {
    RunnerId found;
    for (const RunnerId& id : other->RunnerIds()) {
      other->FindRunner(id)->ForEachRun(
          [&](const dispatch::TaskName& name, int) {
            if (name.job == job) found = id;
          });
    }
    return found;
  }

  /// The runner on which this task runs; empty if there is none.
  static RunnerId RunnerOf(EmulatedSystem* other,
                           const dispatch::TaskName& task) {
    RunnerId found;
    for (const RunnerId& id : other->RunnerIds()) {
      other->FindRunner(id)->ForEachRun(
          [&](const dispatch::TaskName& name, int) {
            if (name == task) found = id;
          });
    }
    return found;
  }

  const JobWatch& Watch(const JobId& job) { return system.jobs().at(job); }

  void CheckNoViolation() {
    for (const std::string& error : system.violations()) FAIL(error.c_str());
  }
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_TEST_SCHEDULER_FIXTURE_H_
