/// @file
/// Tests of a scheduler that handles changes of the jobs late.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <memory>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "emulator/emulated_system.h"
#include "simulation-settings.h"

namespace limeledge::emulator {

TEST_GROUP(OutdatedJobs) {
  static constexpr int kJobs = 40;

  std::unique_ptr<EmulatedSystem> system;
  std::vector<JobId> jobs;

  void setup() override {
    SystemOptions options;
    options.runners = 2;
    system = std::make_unique<EmulatedSystem>(options);
    TraceIfRequested(system.get());
    system->Run(Duration(3000));
  }

  /// Submits more jobs than there is room for.
  void SubmitAll() {
    for (int i = 0; i < kJobs; ++i) {
      dispatch::JobSpec spec;
      dispatch::StepSpec step;
      step.need = {1000, 64, 4};
      step.estimate = Duration(1000);
      spec.steps.push_back(step);
      spec.policy.priority = 1;
      TaskTruth truth;
      truth.work = step.estimate;
      jobs.push_back(system->Submit(spec, {truth}));
    }
    system->Run(Duration(1500));
  }

  JobId SubmitTasks(int count, const dispatch::Resources& need, bool gang) {
    dispatch::JobSpec spec;
    dispatch::StepSpec step;
    step.count = count;
    step.gang = gang;
    step.need = need;
    step.estimate = Duration(1000);
    spec.steps.push_back(step);
    spec.policy.priority = 1;
    TaskTruth truth;
    truth.work = step.estimate;
    if (gang) truth.gang_size = count;
    return system->Submit(spec, {truth});
  }

  int Starts() const {
    int starts = 0;
    for (const auto& [id, watch] : system->jobs()) {
      for (const auto& [task, count] : watch.starts) starts += count;
    }
    return starts;
  }
};

// Guards against tasks that a scheduler starts although their job's cancel was
// acknowledged seconds before: it has more to do than it can, and has not
// handled the cancel yet.
TEST(OutdatedJobs, NothingOfACancelledJobStartsIfTheCancelIsHandledLate) {
  SubmitAll();
  system->faults().watch_delay = Duration(9000);
  system->Run(Duration(600));
  for (const JobId& job : jobs) system->Cancel(job);
  system->Run(Duration(8000));
  for (const std::string& violation : system->violations()) {
    UT_PRINT(violation.c_str());
  }
  LONGS_EQUAL(0, system->violations().size());
}

// Guards against a scheduler that stays idle once its jobs are current again.
TEST(OutdatedJobs, StartsGoOnOnceTheJobsAreCurrent) {
  SubmitAll();
  system->faults().watch_delay = Duration(9000);
  system->Run(Duration(8000));
  const int starts = Starts();
  system->Run(Duration(1000));
  LONGS_EQUAL(starts, Starts());
  system->faults().watch_delay = Duration();
  system->Run(Duration(25000));
  LONGS_EQUAL(kJobs, Starts());
}

// Guards against a scheduler that waits for changes although none come.
TEST(OutdatedJobs, JobsAreCurrentWhileNothingChanges) {
  system->Run(Duration(10000));
  SubmitAll();
  CHECK_TRUE(Starts() > 0);
}

// Guards against members of a gang that wait in vain for the others: the list
// of runners became outdated after some had been started, and the starts of the
// others were held back.
TEST(OutdatedJobs, StartedMembersOfAGangDoNotWaitForStartsThatAreHeldBack) {
  int alone = 0;
  system->SetTrace([&alone](const std::string& line) {
    if (line.find("end=alone") != std::string::npos) ++alone;
  });
  system->faults().order_time = Duration(300);
  // One member of the gang has to wait behind the starts of these.
  SubmitTasks(20, {1000, 64, 0}, false);
  system->Run(Duration(1500));
  system->faults().runner_list_delay = Duration(15000);
  system->Run(Duration(300));
  const JobId gang = SubmitTasks(2, {1000, 64, 8}, true);
  system->Run(Duration(10000));
  LONGS_EQUAL(1, system->jobs().at(gang).starts.size());
  LONGS_EQUAL(0, alone);
  system->faults() = Faults();
  system->Run(Duration(30000));
  STRCMP_EQUAL("done", system->StateOf(gang).c_str());
}

}  // namespace limeledge::emulator
