/// @file
/// Tests of queues whose steps need tickets of a slow advice service.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <cstdint>
#include <utility>
#include <vector>

#include "emulator/emulated_catalog.h"
#include "scheduler-fixture.h"

namespace limeledge::emulator {

/// The load: many small jobs on idle runners, half of which may run them. The
/// advice service takes 0.3 s for a request, and 20 ms more for each runner.
class AdviceFixture : public SchedulerFixture {
 public:
  static constexpr int kRunners = 48;
  static constexpr int kJobs = 18;
  /// Longer than any of these tests.
  static constexpr Duration kForever{1'000'000'000};
  /// Time for a request about each job beside as many others.
  static constexpr Duration kTurns{std::int64_t{2} * kJobs * 900};

  EmulatedSystem slow{SlowAdvice()};

  void setup() override { slow.Run(Duration(3000)); }

  static SystemOptions SlowAdvice() {
    SystemOptions options;
    options.runners = kRunners;
    options.advice_time = Duration(300);
    options.advice_time_per_runner = Duration(20);
    return options;
  }

  JobId SubmitAdvised(const dispatch::StepSpec& step) {
    return SubmitTo(&slow, step, kAdvisedPriority);
  }

  std::vector<JobId> SubmitSmallJobs() {
    std::vector<JobId> jobs;
    for (int i = 0; i < kJobs; ++i) {
      jobs.push_back(SubmitAdvised(Step(1, 1, Duration(300))));
    }
    return jobs;
  }

  /// Fills a part of every runner with a task that does not end by itself.
  void FillAllRunners(std::int64_t accelerators) {
    dispatch::JobSpec spec;
    spec.steps = {Step(kRunners, accelerators, Duration(1000))};
    spec.steps.front().long_running = true;
    spec.steps.front().max_per_runner = 1;
    spec.policy.priority = 0;
    TaskTruth truth;
    truth.work = kForever;
    slow.Submit(std::move(spec), {truth});
    slow.Run(Duration(3000));
  }

  int CountStarted(const std::vector<JobId>& jobs) {
    int started = 0;
    for (const JobId& job : jobs) {
      if (!slow.jobs().at(job).starts.empty()) ++started;
    }
    return started;
  }

  void CheckAllStart(const std::vector<JobId>& jobs) {
    slow.Run(kTurns);
    LONGS_EQUAL(jobs.size(), CountStarted(jobs));
    for (const std::string& error : slow.violations()) FAIL(error.c_str());
  }
};

TEST_GROUP_BASE(Advice, AdviceFixture){};

// Guards against jobs that never get a ticket because steps ahead of them that
// can never start are asked about over and over.
TEST(Advice, StepsThatFitNoRunnerTakeNoRequestsFromOthers) {
  for (int i = 0; i < 4; ++i) SubmitAdvised(Step(1, 16, Duration(300)));
  CheckAllStart(SubmitSmallJobs());
}

// The same for a gang that is wider than the service.
TEST(Advice, GangsWiderThanTheServiceTakeNoRequestsFromOthers) {
  dispatch::StepSpec gang = Step(60, 8, Duration(300));
  gang.gang = true;
  for (int i = 0; i < 2; ++i) SubmitAdvised(gang);
  CheckAllStart(SubmitSmallJobs());
}

// The same for steps that fit no runner at present.
TEST(Advice, StepsThatWaitForCapacityTakeNoRequestsFromOthers) {
  FillAllRunners(1);
  for (int i = 0; i < 2; ++i) SubmitAdvised(Step(1, 8, Duration(300)));
  CheckAllStart(SubmitSmallJobs());
}

// A wide step is asked about in several requests, in turn with others.
TEST(Advice, WideStepStartsBesideSmallJobs) {
  const JobId wide = SubmitAdvised(Step(96, 2, Duration(20000)));
  CheckAllStart(SubmitSmallJobs());
  LONGS_EQUAL(96, slow.jobs().at(wide).starts.size());
}

// A gang needs all its tickets at the same time.
TEST(Advice, GangOnManyRunnersStartsBesideSmallJobs) {
  dispatch::StepSpec gang = Step(20, 8, Duration(1000));
  gang.gang = true;
  const JobId wide = SubmitAdvised(gang);
  CheckAllStart(SubmitSmallJobs());
  LONGS_EQUAL(20, slow.jobs().at(wide).starts.size());
}

// Each job needs one runner, so that a request that names all of them keeps
// the others waiting for longer than necessary.
TEST(Advice, SmallJobsOnIdleRunnersWaitForFewShortRequests) {
  constexpr Duration kShortRequest{300 + 8 * 20};
  const std::vector<JobId> jobs = SubmitSmallJobs();
  slow.Run(kShortRequest * (kJobs + 2));
  LONGS_EQUAL(kJobs, CountStarted(jobs));
}

}  // namespace limeledge::emulator
