/// @file
/// Tests of what is known of the leases that a runner may hold.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <map>
#include <memory>
#include <random>

#include "CppUTest/TestHarness.h"
#include "dispatch/runner.h"

namespace limeledge::dispatch {

TEST_GROUP(RunnerLease) {
  static constexpr Duration kLongestLease{10000};
  // A lease of 10 s on a clock that runs 2% slow lasts up to 10.2 s.
  static constexpr Duration kLongestOnSlowClock{10200};
  static constexpr Duration kLongestExpected{10800};
  const TimePoint assumed_until{20000};
  Runner runner{RunnerInfo()};

  /// Lets an incarnation answer a call that outranks all foreign ones, at
  /// `now`.
  static void AnswerFirst(Runner * incarnation, TimePoint now) {
    incarnation->RecordForeignCallsRejected(now, now, kLongestLease);
    incarnation->RecordAnswer(now, now.ms());
  }

  static void CheckHoldsLongestLeaseFrom(TimePoint from, const Runner& holder) {
    const TimePoint until = holder.lease().expires_at();
    CHECK_TRUE(until >= from + kLongestOnSlowClock);
    CHECK_TRUE(until <= from + kLongestExpected);
  }
};

// Guards against a task that runs twice: a call that was meant for an earlier
// incarnation granted the longest lease, on a runner whose runs the scheduler
// had not inherited.
TEST(RunnerLease, MayHaveBeenGrantedByAForeignCallBeforeTheFirstAnswer) {
  AnswerFirst(&runner, TimePoint(5000));
  CheckHoldsLongestLeaseFrom(TimePoint(5000), runner);
  CHECK_TRUE(runner.lease().basis() ==
             LeaseBasis::kForeignCallBeforeFirstAnswer);
}

// Guards against the same where the scheduler knew the earlier incarnation: the
// answer to a start does not tell which incarnation has carried it out.
TEST(RunnerLease, OfTheNextIncarnationLastsTheLongestFromItsFirstAnswer) {
  AnswerFirst(&runner, TimePoint(5000));
  const std::unique_ptr<Runner> next =
      runner.Next(StartTime(2), TimePoint(60000));
  next->AssumeForeignLeaseUntil(TimePoint(85000),
                                LeaseBasis::kCallToEarlierIncarnation);
  AnswerFirst(next.get(), TimePoint(60100));
  CheckHoldsLongestLeaseFrom(TimePoint(60100), *next);
}

// Later answers show nothing about leases that were granted before the first.
TEST(RunnerLease, IsNotProlongedByLaterAnswers) {
  AnswerFirst(&runner, TimePoint(5000));
  AnswerFirst(&runner, TimePoint(9000));
  CheckHoldsLongestLeaseFrom(TimePoint(5000), runner);
}

TEST(RunnerLease, LastsAsAssumedUntilTheFirstAnswer) {
  runner.AssumeForeignLeaseUntil(assumed_until, LeaseBasis::kPreviousScheduler);
  runner.AssumeForeignLeaseUntil(TimePoint(15000),
                                 LeaseBasis::kPreviousScheduler);
  CHECK_TRUE(runner.lease().expires_at() == assumed_until);
  CHECK_TRUE(runner.lease().basis() == LeaseBasis::kPreviousScheduler);
}

TEST(RunnerLease, IsBasedOnTheLatestGrantOfThisSchedulerLater) {
  AnswerFirst(&runner, TimePoint(5000));
  runner.RecordAnswer(TimePoint(30000), 30000);
  runner.GrantLease(TimePoint(30000), Duration(5000));
  CHECK_TRUE(runner.lease().basis() == LeaseBasis::kGranted);
  CHECK_TRUE(runner.lease().expires_at() >= TimePoint(35100));
  CHECK_TRUE(runner.lease().expires_at() <= TimePoint(35500));
}

// Guards against a task that runs twice: a young incarnation crashed, and the
// next one, which was as old by then, answered a start that was meant for it.
TEST(RunnerLease, IsCountedByTheClockInTheAnswerToAStart) {
  runner.RecordAnswer(TimePoint(1000), 300);
  Run run;
  run.clock_ms_at_send = 300;
  run.until_ms = runner.GrantLease(TimePoint(1900), Duration(5000));
  runner.RecordStartAnswer(TimePoint(2050), run, 350, kLongestLease);
  // 5,850 ms are left, on a clock that runs 2% slow.
  CHECK_TRUE(runner.lease().expires_at() >= TimePoint(2050 + 5967));
  CHECK_TRUE(runner.lease().expires_at() <= TimePoint(2050 + 6300));
}

TEST(RunnerLease, IsCountedUpToTheLongestAfterTheAnswerToAStart) {
  runner.RecordAnswer(TimePoint(1000), 300000);
  Run run;
  run.clock_ms_at_send = 300000;
  run.until_ms = runner.GrantLease(TimePoint(1900), Duration(5000));
  runner.RecordStartAnswer(TimePoint(2050), run, 80, kLongestLease);
  CheckHoldsLongestLeaseFrom(TimePoint(2050), runner);
}

// Guards against logs that do not tell that another incarnation answered a
// start, which its answer does not name.
TEST(RunnerLease, AnswerToAStartWithAnEarlierClockIsOfAnotherIncarnation) {
  Run run;
  run.clock_ms_at_send = 300000;
  runner.RecordAnswer(TimePoint(5000), 300000);
  runner.RecordStartAnswer(TimePoint(5100), run, 300120, kLongestLease);
  runner.RecordStartAnswer(TimePoint(5100), run, 80, kLongestLease);
  LONGS_EQUAL(2, runner.unattributed_grants().starts_answered);
  LONGS_EQUAL(1, runner.unattributed_grants().starts_answered_by_another);
}

// An answer to a poll may overtake the answer to a start, whose clock is then
// behind the one that is known.
TEST(RunnerLease, OvertakenAnswerToAStartIsNotOfAnotherIncarnation) {
  Run run;
  run.clock_ms_at_send = 299900;
  runner.RecordAnswer(TimePoint(5000), 300000);
  runner.RecordStartAnswer(TimePoint(5100), run, 299995, kLongestLease);
  LONGS_EQUAL(1, runner.unattributed_grants().starts_answered);
  LONGS_EQUAL(0, runner.unattributed_grants().starts_answered_by_another);
}

TEST(RunnerLease, StartsAnsweredBeforeAnAnsweredPollAreOfTheIncarnation) {
  Run run;
  run.clock_ms_at_send = 300000;
  runner.RecordAnswer(TimePoint(5000), 300000);
  runner.RecordStartAnswer(TimePoint(5100), run, 80, kLongestLease);
  runner.RecordAnswer(TimePoint(5200), 300200);
  LONGS_EQUAL(0, runner.unattributed_grants().starts_answered);
  LONGS_EQUAL(0, runner.unattributed_grants().starts_answered_by_another);
}

TEST(RunnerLease, ClockInTheFirstAnswerIsKept) {
  runner.RecordAnswer(TimePoint(5000), 90);
  runner.RecordAnswer(TimePoint(6000), 1090);
  LONGS_EQUAL(90, runner.first_clock_ms());
}

// Guards against a lease that lasts longer than the scheduler assumes, on a
// clock that is 2% slow, where answers take seconds and pass one another.
TEST(RunnerLease, LastsNoLongerThanAssumedOnASlowClockWithLateAnswers) {
  constexpr int kAnswers = 2000;
  constexpr std::int64_t kClockStart = 5000;
  constexpr double kRate = 0.98;
  constexpr Duration kLease{5000};
  std::mt19937 random(1);
  std::uniform_int_distribution<std::int64_t> up_to_three_seconds(0, 3000);
  // Clock readings by the time at which the answers arrive.
  std::multimap<std::int64_t, std::int64_t> answers;
  for (int i = 0; i < kAnswers; ++i) {
    const std::int64_t read_at = 10000 + i * 250;
    const double clock = kClockStart + kRate * static_cast<double>(read_at);
    answers.emplace(read_at + up_to_three_seconds(random),
                    static_cast<std::int64_t>(clock));
  }
  for (const auto& [arrives_at, clock_ms] : answers) {
    runner.RecordAnswer(TimePoint(arrives_at), clock_ms);
    const TimePoint granted_at(arrives_at + up_to_three_seconds(random) / 10);
    const std::int64_t until_ms = runner.GrantLease(granted_at, kLease);
    const double lasts_until =
        static_cast<double>(until_ms - kClockStart) / kRate;
    CHECK_TRUE(static_cast<double>(runner.lease().expires_at().ms()) >=
               lasts_until);
  }
}

}  // namespace limeledge::dispatch
