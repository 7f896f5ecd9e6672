/// @file
/// Tests of what is known of the leases that a runner may hold.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <memory>

#include "CppUTest/TestHarness.h"
#include "dispatch/runner.h"

namespace limeledge::dispatch {

TEST_GROUP(RunnerLease) {
  static constexpr Duration kLongestLease{10000};
  const TimePoint assumed_until{20000};
  Runner runner{RunnerInfo()};

  /// Lets an incarnation answer for the first time, at `now`.
  static void AnswerFirst(Runner * incarnation, TimePoint now) {
    incarnation->RecordAnswer(now, now.ms());
    incarnation->LimitPreviousLease(kLongestLease);
  }
};

// Guards against a task that runs twice: a previous scheduler that is cut off
// renews the lease of the next incarnation, which was taken to hold none.
TEST(RunnerLease, NextIncarnationMayHoldOneOfAPreviousScheduler) {
  runner.AssumePreviousLeaseUntil(assumed_until);
  const std::unique_ptr<Runner> next =
      runner.Next(StartTime(2), TimePoint(5000));
  AnswerFirst(next.get(), TimePoint(5000));
  CHECK_TRUE(next->lease_expires_at() >= TimePoint(5000) + kLongestLease);
}

// That the previous incarnation rejects the previous scheduler says nothing of
// the next one.
TEST(RunnerLease, NextIncarnationOfOneThatAnsweredMayHoldOneToo) {
  runner.AssumePreviousLeaseUntil(assumed_until);
  AnswerFirst(&runner, TimePoint(5000));
  const std::unique_ptr<Runner> next =
      runner.Next(StartTime(2), TimePoint(8000));
  AnswerFirst(next.get(), TimePoint(8000));
  CHECK_TRUE(next->lease_expires_at() >= TimePoint(8000) + kLongestLease);
}

TEST(RunnerLease, NextIncarnationHoldsNoneLongAfterATakeOver) {
  runner.AssumePreviousLeaseUntil(assumed_until);
  AnswerFirst(&runner, TimePoint(5000));
  const std::unique_ptr<Runner> next =
      runner.Next(StartTime(2), TimePoint(60000));
  AnswerFirst(next.get(), TimePoint(60000));
  CHECK_TRUE(next->lease_expires_at() <= assumed_until);
}

}  // namespace limeledge::dispatch
