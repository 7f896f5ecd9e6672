/// @file
/// Tests of the decision whether a run is moved.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <cmath>

#include "dispatch/run_move.h"

namespace limeledge::dispatch {

TEST_GROUP(RunMove) {
  MoveQuery query;
  MoveRules rules;

  /// A run that takes `times` as long as expected, with `remaining` left.
  void SetRun(double times, Duration remaining) {
    query.pace = std::log(times);
    query.remaining = remaining;
    query.remaining_deviation = 0.05;
  }
  /// A runner that other runs show to be slow since `slow_for`.
  static PaceKnowledge TurnedSlow(double times, Duration slow_for) {
    PaceKnowledge known;
    known.transient = std::log(times);
    known.deviation = 0.3;
    known.slow_for = slow_for;
    return known;
  }
  static PaceKnowledge LastinglySlow(double times, double deviation) {
    PaceKnowledge known;
    known.lasting = std::log(times);
    known.deviation = deviation;
    return known;
  }
  MoveVerdict Verdict() const { return DecideMove(query, rules).verdict; }
};

// Load: 55 of 350 runners turn slow for 7 s under full load. Moving their runs
// at the first sign cost more than it saved, since they were soon fast again.
TEST(RunMove, RunOnARunnerThatTurnedSlowJustNowStays) {
  SetRun(4, Duration(16000));
  query.runners = {TurnedSlow(4, Duration(1000))};
  query.wait = Duration(1000);
  CHECK_TRUE(Verdict() == MoveVerdict::kNoGain);
}

TEST(RunMove, RunOnARunnerThatStaysSlowIsMoved) {
  SetRun(4, Duration(16000));
  query.runners = {TurnedSlow(4, Duration(7000))};
  query.wait = Duration(1000);
  const MoveDecision decision = DecideMove(query, rules);
  CHECK_TRUE(decision.verdict == MoveVerdict::kMove);
  // 7 s more of slowness and a quarter of the other 9 s; a wait of 1 s, a
  // restart of 0.6 s and a quarter of 16 s.
  LONGS_EQUAL(9250, decision.here.ms());
  LONGS_EQUAL(5600, decision.elsewhere.ms());
}

// Under full load the time until there is room can exceed what is saved.
TEST(RunMove, RunStaysIfRoomElsewhereComesTooLate) {
  SetRun(4, Duration(16000));
  query.runners = {TurnedSlow(4, Duration(7000))};
  query.wait = Duration(6000);
  CHECK_TRUE(Verdict() == MoveVerdict::kNoGain);
}

// Load: a fleet of which a third is lastingly slow by a factor of 1.5.
TEST(RunMove, LongRunThatWasPlacedOnALastinglySlowRunnerIsMoved) {
  SetRun(1.5, Duration(12000));
  query.runners = {LastinglySlow(1.5, 0.1)};
  query.pace_elsewhere_deviation = 0.1;
  CHECK_TRUE(Verdict() == MoveVerdict::kMove);
  // The same factor is lost with a runner that is no faster.
  query.pace_elsewhere = std::log(1.5);
  CHECK_TRUE(Verdict() == MoveVerdict::kNoGain);
}

TEST(RunMove, WorkWithoutACheckpointIsWeighedAgainstTheMove) {
  SetRun(1.5, Duration(12000));
  query.runners = {LastinglySlow(1.5, 0.1)};
  query.unsaved = Duration(6000);
  CHECK_TRUE(Verdict() == MoveVerdict::kNoGain);
}

TEST(RunMove, RunThatEndsSoonIsNotMovedWhateverItsRunner) {
  SetRun(1.5, Duration(2000));
  query.runners = {LastinglySlow(1.5, 0.05)};
  CHECK_TRUE(Verdict() == MoveVerdict::kNoGain);
}

// Load: three tasks in a hundred take seven times as long by themselves. They
// were stopped and were as long again elsewhere.
TEST(RunMove, TaskThatIsLongOnARunnerThatIsNotSlowStays) {
  SetRun(7, Duration(30000));
  query.runners = {PaceKnowledge()};
  CHECK_TRUE(Verdict() == MoveVerdict::kLongByItself);
  // What little is known of the runner may be chance.
  query.runners = {LastinglySlow(1.5, 0.3)};
  CHECK_TRUE(Verdict() == MoveVerdict::kLongByItself);
}

// A long task beside it makes a runner look slow, although other runs on it
// take as long as expected.
TEST(RunMove, RunThatIsNotLateItselfStaysOnARunnerThatSeemsSlow) {
  SetRun(1, Duration(8000));
  query.runners = {TurnedSlow(7, Duration(7000))};
  CHECK_TRUE(Verdict() == MoveVerdict::kLongByItself);
}

// Load: gangs over a fleet of which a third is lastingly slow. Members advance
// together, so that only what is known of the runners tells which is slow.
TEST(RunMove, GangIsMovedForItsSlowestMemberAndOnlyIfOneIsKnown) {
  SetRun(2, Duration(20000));
  query.runners = {PaceKnowledge(), LastinglySlow(1.4, 0.05),
                   LastinglySlow(2, 0.1), PaceKnowledge()};
  const MoveDecision decision = DecideMove(query, rules);
  CHECK_TRUE(decision.verdict == MoveVerdict::kMove);
  LONGS_EQUAL(2, decision.slow_runner);
  query.runners = {PaceKnowledge(), PaceKnowledge()};
  LONGS_EQUAL(-1, DecideMove(query, rules).slow_runner);
  CHECK_TRUE(Verdict() == MoveVerdict::kLongByItself);
}

}  // namespace limeledge::dispatch
