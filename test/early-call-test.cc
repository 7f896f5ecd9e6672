/// @file
/// Tests of runners that restart under their ids and carry out calls that were
/// meant for an earlier incarnation.
//
// The end of a lease is given on the clock of the incarnation that a call is
// meant for. The next one's clock starts anew, so that such a call grants it
// the longest lease, which holds for all that runs there later.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "early-call-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(EarlyCall, EarlyCallFixture){};

// Guards against a task that runs twice because a successor counts no lease of
// a runner on which it inherits no run.
TEST(EarlyCall, LeaseOutlastsATakeOverWithoutRuns) {
  const JobId early = RestartWithEarlyStart(Duration(100));
  RunUntilFound();
  system.Run(Duration(300));
  STRCMP_EQUAL("done", system.StateOf(early).c_str());
  const int first = system.leader();
  system.KillNode(first, Duration(20000));
  while (system.leader() < 0) system.Run(Duration(100));
  system.Run(Duration(200));
  CutOffAndCheckTask(StartLongTask());
}

// Guards against a task that runs twice because the answer to a start does not
// tell that the next incarnation has carried it out.
TEST(EarlyCall, LeaseOfAStartThatTheNextIncarnationAnsweredIsCounted) {
  const JobId early = RestartWithEarlyStart(Duration(100));
  RunUntilFound();
  system.Run(Duration(300));
  STRCMP_EQUAL("done", system.StateOf(early).c_str());
  CutOffAndCheckTask(StartLongTask());
}

// Guards against a task that runs twice because a poll that grants a lease is
// forgotten once an entry names another incarnation and a second poll is sent.
TEST(EarlyCall, LeaseOfASupersededPollIsCounted) {
  const JobId early = Submit(1, Duration(500));
  system.Run(Duration(100));
  CHECK_TRUE(SchedulerFixture::RunnerOf(&system, early) == runner);
  // Until its end is stored, polls renew the lease, and nothing runs there.
  system.faults().store_slowness = 60;
  system.Run(Duration(600));
  CHECK_TRUE(SchedulerFixture::RunnerOf(&system, early) == RunnerId());
  system.CrashRunner(runner, Duration(800));
  system.Run(Duration(1000));
  system.faults().store_slowness = 1;
  LONGS_EQUAL(0, incarnations_found);
  RunUntilFound();
  system.Run(Duration(100));
  CutOffAndCheckTask(StartLongTask());
}

// Guards against a task that runs twice because the lease of an early call is
// not counted while the next incarnation has not answered the poll after the
// one that showed it.
TEST(EarlyCall, LeaseIsCountedBeforeEarlierCallsAreRejected) {
  RestartWithEarlyStart(Duration(100));
  RunUntilFound();
  // The poll that follows at once gets no answer.
  system.faults().mute_runners.insert(runner);
  system.Run(Duration(3));
  system.faults().mute_runners.clear();
  CutOffAndCheckTask(StartLongTask());
}

}  // namespace limeledge::emulator
