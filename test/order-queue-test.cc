/// @file
/// Tests of the order in which the scheduler sends its orders to a runner.
///
/// Guards against runners that start tasks of a cancelled job, three to five
/// seconds after the cancellation was acknowledged. All starts of a transaction
/// used to be handed over together and were sent to the runner one after the
/// other. A runner that did not answer delayed each of them by a second. Jobs
/// were cancelled meanwhile, but each start was checked only when it joined the
/// queue, not when it was sent, so the runner carried out the rest once it
/// answered again. In the first test below, the start that is carried out too
/// late had passed its check and waited behind four orders without an answer.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

namespace {

constexpr int kTasks = 8;
constexpr Duration kLongWork{60000};

}  // namespace

TEST_GROUP_BASE(OrderQueue, SchedulerFixture) {
  std::vector<std::string> trace_lines;

  /// Options of a system with this number of runners.
  static SystemOptions WithRunners(int runners) {
    SystemOptions options;
    options.runners = runners;
    return options;
  }

  void StartScheduling(EmulatedSystem * other) {
    trace_lines.clear();
    other->Run(Duration(3000));
    other->SetTrace(
        [this](const std::string& line) { trace_lines.push_back(line); });
  }

  static void RunUntilAccepted(EmulatedSystem * other, const JobId& job) {
    while (!other->jobs().at(job).accepted) other->Run(Duration(5));
  }

  static void SilenceRunners(EmulatedSystem * other, std::size_t count) {
    for (const RunnerId& id : other->RunnerIds()) {
      if (other->faults().mute_runners.size() == count) return;
      other->faults().mute_runners.insert(id);
    }
  }

  static int CountStarts(const EmulatedSystem& other, const JobId& job) {
    int starts = 0;
    for (const auto& [task, count] : other.jobs().at(job).starts) {
      starts += count;
    }
    return starts;
  }

  /// Trace lines so far that contain all of the words.
  std::vector<std::string> FindLines(const std::vector<std::string>& words) {
    std::vector<std::string> found;
    std::copy_if(trace_lines.begin(), trace_lines.end(),
                 std::back_inserter(found), [&words](const std::string& line) {
                   return std::all_of(words.begin(), words.end(),
                                      [&line](const std::string& word) {
                                        return line.find(word) !=
                                               std::string::npos;
                                      });
                 });
    return found;
  }

  static void CheckNoViolationIn(const EmulatedSystem& other) {
    for (const std::string& error : other.violations()) FAIL(error.c_str());
  }
};

TEST(OrderQueue, NothingStartsOfACancelledJobOnceItsRunnerAnswersAgain) {
  constexpr Duration kMinSilence{1500};
  constexpr Duration kMaxSilence{7000};
  for (Duration silent_for = kMinSilence; silent_for <= kMaxSilence;
       silent_for = silent_for + Duration(250)) {
    EmulatedSystem single(WithRunners(1));
    StartScheduling(&single);
    SilenceRunners(&single, 1);
    const JobId job = SubmitTo(&single, Step(kTasks, 0, kLongWork));
    RunUntilAccepted(&single, job);
    single.Run(Duration(100));
    LONGS_EQUAL(kTasks, FindLines({"run_assigned", job.value()}).size());
    single.Cancel(job);
    single.Run(silent_for);
    single.faults().mute_runners.clear();
    single.Run(Duration(12000));
    CheckNoViolationIn(single);
  }
}

TEST(OrderQueue, QueuedStartsOfASilentRunnerArePlacedElsewhere) {
  EmulatedSystem pair(WithRunners(2));
  StartScheduling(&pair);
  const std::string silent_runner = pair.RunnerIds().front().value();
  SilenceRunners(&pair, 1);
  const JobId job = SubmitTo(&pair, Step(2 * kTasks, 0, kLongWork));
  RunUntilAccepted(&pair, job);
  pair.Run(Duration(200));
  CHECK_TRUE(FindLines({"run_assigned", "runner=" + silent_runner}).size() >=
             3);
  // One order is lost after a second; only its outcome is unknown then.
  pair.Run(Duration(1500));
  LONGS_EQUAL(2 * kTasks - 1, CountStarts(pair, job));
  CheckNoViolationIn(pair);
}

// One member's start was queued behind other starts while the other member
// waited for it on its runner. The queued start was then sent for a gang run
// that had already ended.
TEST(OrderQueue, GangMemberIsNotStartedLongAfterTheFirst) {
  EmulatedSystem pair(WithRunners(2));
  StartScheduling(&pair);
  pair.faults().order_time = Duration(600);
  SubmitTo(&pair, Step(12, 0, kLongWork));
  dispatch::StepSpec step = Step(2, 8, kLongWork);
  step.gang = true;
  pair.Run(Duration(300));
  const JobId gang = SubmitTo(&pair, step);
  pair.Run(Duration(16000));
  const std::string ended_alone = "end=alone";
  LONGS_EQUAL(0, FindLines({"run_ended", gang.value(), ended_alone}).size());
  CHECK_FALSE(FindLines({"start_given_up", gang.value()}).empty());
}

TEST(OrderQueue, OneOrderAtATimeGoesToARunner) {
  for (int i = 0; i < 4; ++i) {
    const JobId job = Submit(Step(2 * kTasks, 0, kLongWork));
    system.Run(Duration(300));
    system.Cancel(job);
  }
  system.faults().orders_lost = 0.5;
  const JobId job = Submit(Step(2 * kTasks, 0, kLongWork));
  system.Run(Duration(3000));
  system.Cancel(job);
  system.Run(Duration(10000));
  LONGS_EQUAL(1, system.most_orders_in_flight());
  CheckNoViolation();
}

TEST(OrderQueue, StopsAreSentBeforeStarts) {
  EmulatedSystem single(WithRunners(1));
  StartScheduling(&single);
  const JobId first = SubmitTo(&single, Step(2, 0, kLongWork));
  single.Run(Duration(1000));
  LONGS_EQUAL(2, CountStarts(single, first));
  single.faults().order_time = Duration(200);
  const JobId second = SubmitTo(&single, Step(kTasks, 0, kLongWork));
  RunUntilAccepted(&single, second);
  single.Cancel(first);
  // Time for four orders, two of which are the stops.
  single.Run(Duration(900));
  LONGS_EQUAL(2, FindLines({" stop ", first.value()}).size());
  single.Run(Duration(2000));
  LONGS_EQUAL(kTasks, CountStarts(single, second));
  CheckNoViolationIn(single);
}

TEST(OrderQueue, QueuedStartIsNotSentAfterItsTicketExpired) {
  EmulatedSystem single(WithRunners(1));
  StartScheduling(&single);
  single.faults().order_time = Duration(600);
  const JobId job = SubmitTo(&single, Step(2 * kTasks, 0, kLongWork), 2);
  single.Run(Duration(20000));
  LONGS_EQUAL(2 * kTasks, CountStarts(single, job));
  CheckNoViolationIn(single);
}

TEST(OrderQueue, RunOnASilentRunnerIsStoppedSoonAfterItAnswersAgain) {
  EmulatedSystem single(WithRunners(1));
  StartScheduling(&single);
  const JobId job = SubmitTo(&single, Step(kTasks, 0, kLongWork));
  single.Run(Duration(1000));
  LONGS_EQUAL(kTasks, CountStarts(single, job));
  SilenceRunners(&single, 1);
  single.Run(Duration(200));
  single.Cancel(job);
  single.Run(Duration(2500));
  LONGS_EQUAL(0, FindLines({" stop ", job.value()}).size());
  single.faults().mute_runners.clear();
  // A poll is retried every second, and may itself be lost after a second.
  single.Run(Duration(2100));
  LONGS_EQUAL(kTasks, FindLines({" stop ", job.value()}).size());
  CheckNoViolationIn(single);
}

TEST(OrderQueue, QueuedStartOfACancelledJobIsNotSent) {
  EmulatedSystem single(WithRunners(1));
  StartScheduling(&single);
  single.faults().order_time = Duration(200);
  const JobId job = SubmitTo(&single, Step(kTasks, 0, kLongWork));
  RunUntilAccepted(&single, job);
  single.Run(Duration(300));
  single.Cancel(job);
  single.Run(Duration(8000));
  CHECK_TRUE(CountStarts(single, job) < kTasks);
  LONGS_EQUAL(CountStarts(single, job),
              FindLines({" stop ", job.value()}).size());
  CheckNoViolationIn(single);
}

}  // namespace limeledge::emulator
