/// @file
/// Tests of the order in which a scheduler's orders go to one runner.
///
/// Seen: runners began tasks three to five seconds after the cancelling of
/// their job was acknowledged. How it came about: all starts of one stored
/// transaction were handed over at once and went to their runner one after the
/// other. A runner that gave no answers held each of them for a second; jobs
/// were cancelled meanwhile, and what was left went out and was carried out
/// when the runner answered again. Cause: each start was checked when it joined
/// that queue, not when it left. Proof: in the first test below, the start that
/// is carried out too late had been checked in time and had four orders without
/// an answer ahead of it.
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
constexpr Duration kLong{60000};

}  // namespace

TEST_GROUP_BASE(OrderQueue, SchedulerFixture) {
  std::vector<std::string> lines;

  /// A system with so many runners that has begun to schedule.
  static SystemOptions WithRunners(int runners) {
    SystemOptions options;
    options.runners = runners;
    return options;
  }

  void Begin(EmulatedSystem * other) {
    lines.clear();
    other->Run(Duration(3000));
    other->SetTrace([this](const std::string& line) { lines.push_back(line); });
  }

  static void RunUntilAccepted(EmulatedSystem * other, const JobId& job) {
    while (!other->jobs().at(job).accepted) other->Run(Duration(5));
  }

  static void Mute(EmulatedSystem * other, std::size_t count) {
    for (const RunnerId& id : other->RunnerIds()) {
      if (other->faults().mute_runners.size() == count) return;
      other->faults().mute_runners.insert(id);
    }
  }

  static int StartsOf(const EmulatedSystem& other, const JobId& job) {
    int starts = 0;
    for (const auto& [task, count] : other.jobs().at(job).starts) {
      starts += count;
    }
    return starts;
  }

  /// Lines up to now that hold all of the words.
  std::vector<std::string> Lines(const std::vector<std::string>& words) {
    std::vector<std::string> found;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(found),
                 [&words](const std::string& line) {
                   return std::all_of(words.begin(), words.end(),
                                      [&line](const std::string& word) {
                                        return line.find(word) !=
                                               std::string::npos;
                                      });
                 });
    return found;
  }

  static void CheckSound(const EmulatedSystem& other) {
    for (const std::string& what : other.violations()) FAIL(what.c_str());
  }
};

TEST(OrderQueue, NothingStartsOfACancelledJobOnceItsRunnerAnswersAgain) {
  constexpr Duration kShortest{1500};
  constexpr Duration kLongest{7000};
  for (Duration silence = kShortest; silence <= kLongest;
       silence = silence + Duration(250)) {
    EmulatedSystem one(WithRunners(1));
    Begin(&one);
    Mute(&one, 1);
    const JobId job = SubmitTo(&one, Step(kTasks, 0, kLong));
    RunUntilAccepted(&one, job);
    one.Run(Duration(100));
    LONGS_EQUAL(kTasks, Lines({"run_assigned", job.value()}).size());
    one.Cancel(job);
    one.Run(silence);
    one.faults().mute_runners.clear();
    one.Run(Duration(12000));
    CheckSound(one);
  }
}

TEST(OrderQueue, StartsThatWaitForASilentRunnerArePlacedElsewhereAtOnce) {
  EmulatedSystem two(WithRunners(2));
  Begin(&two);
  const std::string mute = two.RunnerIds().front().value();
  Mute(&two, 1);
  const JobId job = SubmitTo(&two, Step(2 * kTasks, 0, kLong));
  RunUntilAccepted(&two, job);
  two.Run(Duration(200));
  CHECK_TRUE(Lines({"run_assigned", "runner=" + mute}).size() >= 3);
  // One order is lost after a second; only that one is in doubt then.
  two.Run(Duration(1500));
  LONGS_EQUAL(2 * kTasks - 1, StartsOf(two, job));
  CheckSound(two);
}

// A member waited behind other starts while the other one ended alone, and was
// then started in a run that was over, to end alone as well.
TEST(OrderQueue, MemberIsNotStartedOnceItsGangIsOver) {
  EmulatedSystem two(WithRunners(2));
  Begin(&two);
  two.faults().order_time = Duration(600);
  SubmitTo(&two, Step(12, 0, kLong));
  dispatch::StepSpec step = Step(2, 8, kLong);
  step.gang = true;
  two.Run(Duration(300));
  const JobId gang = SubmitTo(&two, step);
  two.Run(Duration(16000));
  const std::string alone = "end=alone";
  LONGS_EQUAL(1, Lines({"run_ended", gang.value(), "run=1 ", alone}).size());
}

TEST(OrderQueue, OneOrderAtATimeGoesToARunner) {
  for (int i = 0; i < 4; ++i) {
    const JobId job = Submit(Step(2 * kTasks, 0, kLong));
    system.Run(Duration(300));
    system.Cancel(job);
  }
  system.faults().orders_lost = 0.5;
  const JobId job = Submit(Step(2 * kTasks, 0, kLong));
  system.Run(Duration(3000));
  system.Cancel(job);
  system.Run(Duration(10000));
  LONGS_EQUAL(1, system.longest_order_lane());
  CheckNoViolation();
}

TEST(OrderQueue, StopsGoBeforeStarts) {
  EmulatedSystem one(WithRunners(1));
  Begin(&one);
  const JobId first = SubmitTo(&one, Step(2, 0, kLong));
  one.Run(Duration(1000));
  LONGS_EQUAL(2, StartsOf(one, first));
  one.faults().order_time = Duration(200);
  const JobId second = SubmitTo(&one, Step(kTasks, 0, kLong));
  RunUntilAccepted(&one, second);
  one.Cancel(first);
  // Time for four orders, two of them the stops.
  one.Run(Duration(900));
  LONGS_EQUAL(2, Lines({" stop ", first.value()}).size());
  one.Run(Duration(2000));
  LONGS_EQUAL(kTasks, StartsOf(one, second));
  CheckSound(one);
}

TEST(OrderQueue, StartWhoseTicketRanOutWhileItWaitedIsNotSent) {
  EmulatedSystem one(WithRunners(1));
  Begin(&one);
  one.faults().order_time = Duration(600);
  const JobId job = SubmitTo(&one, Step(2 * kTasks, 0, kLong), 2);
  one.Run(Duration(20000));
  LONGS_EQUAL(2 * kTasks, StartsOf(one, job));
  CheckSound(one);
}

TEST(OrderQueue, RunOnASilentRunnerIsStoppedSoonAfterItAnswersAgain) {
  EmulatedSystem one(WithRunners(1));
  Begin(&one);
  const JobId job = SubmitTo(&one, Step(kTasks, 0, kLong));
  one.Run(Duration(1000));
  LONGS_EQUAL(kTasks, StartsOf(one, job));
  Mute(&one, 1);
  one.Run(Duration(200));
  one.Cancel(job);
  one.Run(Duration(2500));
  LONGS_EQUAL(0, Lines({" stop ", job.value()}).size());
  one.faults().mute_runners.clear();
  // A look is tried again each second, and may itself be lost by a second.
  one.Run(Duration(2100));
  LONGS_EQUAL(kTasks, Lines({" stop ", job.value()}).size());
  CheckSound(one);
}

TEST(OrderQueue, StartOfACancelledJobThatWaitsIsNeverSent) {
  EmulatedSystem one(WithRunners(1));
  Begin(&one);
  one.faults().order_time = Duration(200);
  const JobId job = SubmitTo(&one, Step(kTasks, 0, kLong));
  RunUntilAccepted(&one, job);
  one.Run(Duration(300));
  one.Cancel(job);
  one.Run(Duration(8000));
  CHECK_TRUE(StartsOf(one, job) < kTasks);
  LONGS_EQUAL(StartsOf(one, job), Lines({" stop ", job.value()}).size());
  CheckSound(one);
}

}  // namespace limeledge::emulator
