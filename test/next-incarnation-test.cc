/// @file
/// Tests of starts that the next incarnation of a runner carries out before the
/// scheduler knows of it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "scheduler-fixture.h"

namespace limeledge::emulator {

namespace {

constexpr Duration kNetwork{40};

}  // namespace

TEST_GROUP_BASE(NextIncarnation, SchedulerFixture) {
  const RunnerId runner{"i-0-1"};
  SystemOptions options;
  std::unique_ptr<EmulatedSystem> fleet;
  /// Numbers of trace lines: runs that were assigned, runs that counted as lost
  /// with their runner, and tasks that were given up.
  int assigned = 0;
  int lost = 0;
  int given_up = 0;
  /// Next incarnations that answered.
  int began = 0;

  void setup() override {
    options.runners = 1;
    options.keeps_ids = true;
  }

  void Start() {
    fleet = std::make_unique<EmulatedSystem>(options);
    fleet->SetTrace([this](const std::string& line) {
      if (absl::StrContains(line, "run_assigned")) ++assigned;
      if (absl::StrContains(line, "runner_began")) ++began;
      if (absl::StrContains(line, "run_lost")) ++lost;
      if (absl::StrContains(line, "task_given_up")) ++given_up;
    });
    fleet->Run(Duration(3000));
  }

  /// Restarts the runner while the next start of the job's task is on its way
  /// to it, so that the next incarnation carries it out, and until the answer
  /// arrives. The network has to take `kNetwork`.
  void RestartUnderTheNextStart(const JobId& job) {
    const int before = assigned;
    while (assigned == before) fleet->Run(Duration(1));
    // The start is sent once the assignment is stored, about now. The crash is
    // not noticed by then.
    fleet->Run(kNetwork * 3);
    fleet->CrashRunner(runner, Duration(1));
    const TimePoint latest = fleet->now() + kNetwork * 2;
    while (RunnerOf(fleet.get(), job) != runner && fleet->now() < latest) {
      fleet->Run(Duration(1));
    }
    CHECK_TRUE(RunnerOf(fleet.get(), job) == runner);
    fleet->Run(kNetwork);
  }

  void CheckNoViolationOfFleet() {
    for (const std::string& error : fleet->violations()) FAIL(error.c_str());
  }
};

// Guards against two runs of a task at a time. The answer to a start that the
// next incarnation carried out overtakes its answer to an earlier poll, which
// lacks the run, and the run was held to be lost with the incarnation before.
TEST(NextIncarnation, RunBegunAfterItsFirstPollIsNotLost) {
  Start();
  // The entry of the next incarnation is there before the scheduler notices
  // that its poll of the previous one was cut short.
  fleet->Run(Duration(6));
  fleet->CrashRunner(runner, Duration(1));
  fleet->faults().poll_answer_time = Duration(150);
  const JobId job = SubmitTo(fleet.get(), Step(1, 1, Duration(2000)));
  fleet->Run(Duration(100));
  CHECK_TRUE(RunnerOf(fleet.get(), job) == runner);
  fleet->faults() = Faults();
  fleet->Run(Duration(6000));
  STRCMP_EQUAL("done", fleet->StateOf(job).c_str());
  LONGS_EQUAL(1, fleet->jobs().at(job).starts.begin()->second);
  LONGS_EQUAL(0, lost);
  CheckNoViolationOfFleet();
}

// Guards against a crash that does not count against the task. The previous
// incarnation began the run and crashed while a poll was on its way, which the
// next one answered.
TEST(NextIncarnation, RunBegunByThePreviousOneDuringThePollIsLost) {
  options.network = kNetwork;
  options.entry_lag = Duration(5000);
  Start();
  const int polls = fleet->polls();
  while (fleet->polls() == polls) fleet->Run(Duration(1));
  // An idle runner is polled every 2080 ms, and a task starts 277 ms after its
  // job was submitted.
  fleet->Run(Duration(2080 - 250));
  const JobId job = SubmitTo(fleet.get(), Step(1, 1, Duration(2000)));
  fleet->Run(Duration(280));
  LONGS_EQUAL(polls + 2, fleet->polls());
  CHECK_TRUE(RunnerOf(fleet.get(), job) == runner);
  fleet->CrashRunner(runner, Duration(1));
  fleet->Run(Duration(2500));
  LONGS_EQUAL(1, lost);
}

// Guards against a task that is given up for crashes that it did not cause.
// Each of its starts was carried out by the next incarnation of the runner,
// which was cut off and did not crash, and was held to have crashed the one
// before.
TEST(NextIncarnation, TaskThatItBeganIsNotGivenUpForEarlierCrashes) {
  options.network = kNetwork;
  Start();
  const JobId job = SubmitTo(fleet.get(), Step(1, 1, Duration(40000)));
  for (int i = 0; i < 2; ++i) {
    RestartUnderTheNextStart(job);
    fleet->faults().mute_runners.insert(runner);
    fleet->Run(Duration(25000));
    fleet->faults() = Faults();
  }
  fleet->Run(Duration(60000));
  LONGS_EQUAL(0, given_up);
  STRCMP_EQUAL("done", fleet->StateOf(job).c_str());
  CheckNoViolationOfFleet();
}

// Guards against two runs of a task at a time. A call names the end of its
// lease on the clock of the incarnation that it was sent to, which lies far
// ahead for the next one, and that one was cut off before it was polled.
TEST(NextIncarnation,
     RunOfOneThatWasNotPolledIsNotMadeAgainWhileItsLeaseLasts) {
  options.network = kNetwork;
  options.runners = 2;
  Start();
  const RunnerId other("i-1-1");
  fleet->SetCapacity(other, dispatch::Resources());
  fleet->Run(Duration(10000));
  const JobId job = SubmitTo(fleet.get(), Step(1, 1, Duration(30000)));
  RestartUnderTheNextStart(job);
  fleet->SetCapacity(other, fleet->room());
  fleet->faults().mute_runners.insert(runner);
  int starts = 1;
  for (int i = 0; starts == 1; ++i) {
    CHECK_TRUE(i < 30000);
    fleet->Run(Duration(1));
    starts = fleet->jobs().at(job).starts.begin()->second;
  }
  bool runs_still = false;
  fleet->FindRunner(runner)->ForEachRun(
      [&](const dispatch::TaskName& name, int) {
        runs_still = runs_still || name.job == job;
      });
  CHECK_FALSE(runs_still);
}

// Guards against a restart that is noticed only when a poll fails or the list
// of runners shows it.
TEST(NextIncarnation, IsPolledAtOnceIfItAnswersAStart) {
  options.network = kNetwork;
  options.entry_lag = Duration(5000);
  Start();
  const JobId job = SubmitTo(fleet.get(), Step(1, 1, Duration(2000)));
  RestartUnderTheNextStart(job);
  fleet->Run(kNetwork * 2);
  LONGS_EQUAL(1, began);
}

}  // namespace limeledge::emulator
