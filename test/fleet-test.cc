/// @file
/// Tests of the runner list and of polling runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/fleet.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "CppUTest/TestHarness.h"

namespace limeledge::dispatch {

TEST_GROUP(Fleet) {
  Fleet fleet{FleetOptions()};
  StoreTimeout store_timeout;
  Ticket tickets;
  Effects effects;
  TimePoint now{1000};

  Context NewContext() {
    effects.clear();
    return Context(now, 0, &tickets, &effects);
  }

  Runner* AddRunner(const char* id, StartTime start_time = StartTime()) {
    RunnersListed listed;
    listed.ok = true;
    RunnerInfo info;
    info.id = RunnerId(id);
    info.start_time = start_time;
    info.address = "10.0.0.1:80";
    info.room = {64000, 262144, 8};
    listed.runners.push_back(info);
    Context ctx = NewContext();
    fleet.Handle(ctx, listed);
    return fleet.Find(info.incarnation());
  }

  /// Adds a listed runner on which a previous scheduler started a run.
  Runner* Inherit(const char* id, StartTime start_time) {
    AddRunner(id, start_time);
    return fleet.FindOrInherit({RunnerId(id), start_time}, "", now);
  }

  /// Delivers a list that contains no runner.
  void ListNone() {
    RunnersListed none;
    none.ok = true;
    Context ctx = NewContext();
    fleet.Handle(ctx, none);
  }

  void AddRun(Runner * runner) {
    Run run;
    run.number = 1;
    run.phase = RunPhase::kRunning;
    runner->Add({JobId("00000000000000aa"), 0, 0, 0}, run);
  }

  /// Returns the list request that is due, if any.
  std::optional<ListRunners> List() {
    Context ctx = NewContext();
    fleet.List(ctx, store_timeout);
    if (effects.empty()) return std::nullopt;
    return std::get<ListRunners>(effects.front());
  }

  /// Makes the list request in flight fail.
  void LoseList() {
    Context ctx = NewContext();
    fleet.Handle(ctx, RunnersListed());
  }

  /// The poll in flight gets no answer; the next one is due after a pause.
  void LosePoll(Runner * runner) {
    runner->poll_in_flight = false;
    runner->RecordMiss(now);
    const FleetOptions options;
    runner->next_poll_at =
        now + std::min(options.retry_pause * runner->misses(),
                       options.longest_retry_pause);
  }

  std::optional<PollRunner> Poll() {
    // The scheduler does this for each runner that an event concerns.
    for (auto& [id, runner] : fleet.runners()) fleet.FindPresent(id);
    Context ctx = NewContext();
    fleet.Poll(ctx, Epoch(1), true, true);
    for (const Effect& effect : effects) {
      if (const auto* poll = std::get_if<PollRunner>(&effect)) return *poll;
    }
    return std::nullopt;
  }
};

// Guards against a new scheduler that stays idle for two seconds because its
// first list request was sent on a dead connection.
TEST(Fleet, LostListRequestIsRepeatedAtOnce) {
  const std::optional<ListRunners> first = List();
  CHECK_TRUE(first->timeout < Duration(500));
  now = now + first->timeout;
  LoseList();
  CHECK_TRUE(List().has_value());
}

TEST(Fleet, SecondLostListRequestGetsALongerTimeoutAndAPause) {
  const Duration first = List()->timeout;
  LoseList();
  CHECK_TRUE(List()->timeout > first);
  LoseList();
  CHECK_FALSE(List().has_value());
  now = now + FleetOptions().first_list_pause;
  CHECK_TRUE(List().has_value());
}

// Guards against a new scheduler that preempts runs for capacity that other
// runners are about to report as free.
TEST(Fleet, FreeCapacityIsKnownOnceEachListedRunnerAnsweredOrMissed) {
  Runner* runner = AddRunner("i-1");
  CHECK_FALSE(fleet.KnowsFreeCapacity(now));
  runner->RecordMiss(now);
  CHECK_TRUE(fleet.KnowsFreeCapacity(now));
}

TEST(Fleet, FreeCapacityCountsAsKnownWhenFirstAnswersTakeLong) {
  AddRunner("i-1");
  now = now + FleetOptions().first_answers;
  CHECK_TRUE(fleet.KnowsFreeCapacity(now));
}

TEST(Fleet, PollOfResponsiveRunnerRenewsItsLease) {
  Runner* runner = AddRunner("i-1");
  AddRun(runner);
  runner->RecordAnswer(now, 500000);
  const std::optional<PollRunner> poll = Poll();
  CHECK_TRUE(poll.has_value());
  LONGS_EQUAL(500000 + FleetOptions().run_lease.ms(), poll->until_ms);
}

// Guards against polls that keep renewing the lease of a runner that is gone,
// so that its tasks are never restarted elsewhere.
TEST(Fleet, PollOfSilentRunnerDoesNotExtendItsLease) {
  Runner* runner = AddRunner("i-1");
  AddRun(runner);
  runner->RecordAnswer(now, 500000);
  CHECK_TRUE(Poll().has_value());
  const TimePoint over = runner->lease().expires_at();
  runner->poll_in_flight = false;
  runner->RecordMiss(now);
  now = now + Duration(2000);
  const std::optional<PollRunner> poll = Poll();
  CHECK_TRUE(poll.has_value());
  LONGS_EQUAL(0, poll->until_ms);
  CHECK_TRUE(over == runner->lease().expires_at());
}

TEST(Fleet, FirstPollsInFlightAreLimited) {
  RunnersListed listed;
  listed.ok = true;
  const int all = FleetOptions().max_first_polls + 5;
  for (int i = 0; i < all; ++i) {
    RunnerInfo info;
    info.id = RunnerId("i-" + std::to_string(i));
    info.address = "10.0.0.1:80";
    listed.runners.push_back(info);
  }
  Context ctx = NewContext();
  fleet.Handle(ctx, listed);
  Context first = NewContext();
  fleet.Poll(first, Epoch(1), true, true);
  LONGS_EQUAL(FleetOptions().max_first_polls, effects.size());
  CHECK_TRUE(fleet.next_at() > now);
  const auto* poll = std::get_if<PollRunner>(&effects.front());
  Runner* answered = fleet.Find(poll->target.incarnation);
  answered->poll_in_flight = false;
  answered->RecordAnswer(now, 1000);
  answered->next_poll_at = now + Duration(500);
  Context second = NewContext();
  fleet.Poll(second, Epoch(1), true, true);
  LONGS_EQUAL(1, effects.size());
}

TEST(Fleet, RunnerThatNeverAnsweredGetsNoWork) {
  AddRunner("i-1");
  CHECK_TRUE(fleet.Candidates(now).empty());
}

TEST(Fleet, DrainingRunnerGetsNoWork) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 500000);
  LONGS_EQUAL(1, fleet.Candidates(now).size());
  RunnerInfo info = runner->info();
  info.draining = true;
  runner->Update(info, now);
  CHECK_TRUE(fleet.Candidates(now).empty());
}

TEST(Fleet, RunnerWhoseEntryExpiredInAStoreOutageIsUsedForAGracePeriod) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 500000);
  now = now + Duration(6000);
  ListNone();
  LONGS_EQUAL(1, fleet.Candidates(now).size());
  CHECK_FALSE(runner->draining_since().has_value());
  LONGS_EQUAL(0, fleet.Candidates(now + FleetOptions().unlisted_grace).size());
}

TEST(Fleet, RunnerThatStaysUnlistedAfterAStoreOutageIsMarkedLeaving) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 500000);
  now = now + Duration(6000);
  for (int i = 0; i < 4; ++i) {
    ListNone();
    now = now + FleetOptions().list_interval;
  }
  CHECK_TRUE(runner->draining_since().has_value());
}

// Runners may leave without announcement: their entry is just removed.
TEST(Fleet, RunnerWhoseEntryIsRemovedWhileTheStoreIsAvailableGetsNoWork) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 500000);
  for (int i = 0; i < 3; ++i) {
    now = now + FleetOptions().list_interval;
    AddRunner("i-1");
  }
  now = now + FleetOptions().list_interval;
  ListNone();
  LONGS_EQUAL(0, fleet.Candidates(now).size());
  CHECK_TRUE(runner->draining_since().has_value());
  CHECK_TRUE(runner->leaves_at == now + FleetOptions().unannounced_drain_time);
}

TEST(Fleet, RunnerThatIsListedAgainGetsWorkAgain) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 500000);
  now = now + Duration(4000);
  ListNone();
  now = now + Duration(4000);
  AddRunner("i-1");
  CHECK_FALSE(runner->draining_since().has_value());
  LONGS_EQUAL(1, fleet.Candidates(now).size());
}

TEST(Fleet, FailedListReadChangesNoRunner) {
  Runner* runner = AddRunner("i-1");
  Context ctx = NewContext();
  fleet.Handle(ctx, RunnersListed());
  CHECK_TRUE(runner->listed());
}

TEST(Fleet, UnreadableEntryIsLoggedOnce) {
  RunnersListed listed;
  listed.ok = true;
  listed.unreadable = {RunnerId("i-9")};
  Context first = NewContext();
  fleet.Handle(first, listed);
  LONGS_EQUAL(1, effects.size());
  Context second = NewContext();
  fleet.Handle(second, listed);
  LONGS_EQUAL(0, effects.size());
}

// Guards against a new scheduler that keeps polling a hundred silent runners.
// They took all slots for first polls, and runners with greater ids were not
// polled until all their runs had expired.
TEST(Fleet, RunnersThatWereNeverPolledComeBeforeSilentOnes) {
  constexpr int kSilent = 100;
  RunnersListed listed;
  listed.ok = true;
  for (int i = 0; i <= kSilent; ++i) {
    RunnerInfo info;
    info.id = RunnerId("i-" + std::to_string(kSilent + i));
    info.address = "10.0.0.1:80";
    listed.runners.push_back(info);
  }
  Context ctx = NewContext();
  fleet.Handle(ctx, listed);
  const IncarnationId last = listed.runners.back().incarnation();
  bool last_polled = false;
  constexpr int kRounds = 30;
  for (int round = 0; round < kRounds; ++round) {
    Context polls = NewContext();
    fleet.Poll(polls, Epoch(1), true, true);
    // A poll without an answer takes this long.
    now = now + Duration(500);
    for (const Effect& effect : effects) {
      const IncarnationId id = std::get<PollRunner>(effect).target.incarnation;
      last_polled = last_polled || id == last;
      LosePoll(fleet.Find(id));
    }
  }
  CHECK_TRUE(last_polled);
}

TEST(Fleet, StopIsSentOneAtATimeAndRepeatedWithoutEffect) {
  const Duration again_after(1500);
  StopRequest stop;
  CHECK_TRUE(stop.IsDue(now, again_after));
  stop.Sent(now);
  CHECK_FALSE(stop.IsDue(now + again_after * 10, again_after));
  stop.Answered(true);
  CHECK_FALSE(stop.IsDue(now + again_after - Duration(1), again_after));
  CHECK_TRUE(stop.IsDue(now + again_after, again_after));
}

TEST(Fleet, StopWithoutAnAnswerIsDueAtOnce) {
  StopRequest stop;
  stop.Sent(now);
  stop.Answered(false);
  CHECK_TRUE(stop.IsDue(now, Duration(1500)));
}

TEST(Fleet, PollWaitsBrieflyWhileAStopMustResolveAnUnconfirmedRun) {
  Runner* runner = AddRunner("i-1");
  AddRun(runner);
  fleet.HandleForeignCallsRejected(runner, now);
  runner->RecordAnswer(now, 500000);
  Run& run = runner->runs().begin()->second;
  run.phase = RunPhase::kUnconfirmed;
  LONGS_EQUAL(0, Poll()->wait.ms());
  runner->poll_in_flight = false;
  run.stop.Sent(now);
  LONGS_EQUAL(FleetOptions().unconfirmed_run_wait.ms(), Poll()->wait.ms());
  runner->poll_in_flight = false;
  run.stop.Answered(true);
  LONGS_EQUAL(0, Poll()->wait.ms());
}

TEST(Fleet, EntryOfAnotherIncarnationCausesAPollDespiteOneInFlight) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 500000);
  CHECK_TRUE(Poll().has_value());
  CHECK_FALSE(Poll().has_value());
  RunnersListed listed;
  listed.ok = true;
  listed.runners = {runner->info()};
  listed.runners.front().start_time = StartTime(1700);
  Context ctx = NewContext();
  fleet.Handle(ctx, listed);
  const auto poll = Poll();
  CHECK_TRUE(poll.has_value());
  // The list alone does not end an incarnation.
  CHECK_TRUE(poll->target.incarnation ==
             IncarnationId(RunnerId("i-1"), StartTime()));
  CHECK_TRUE(runner->reachable());
  // One extra poll is enough, since the entry may be outdated.
  Context again = NewContext();
  fleet.Handle(again, listed);
  CHECK_FALSE(Poll().has_value());
}

// Guards against ends that a restarted runner drops before anyone has read
// them. The poll that checks for a restart may reach the next incarnation,
// which numbers its ends from 1 again.
TEST(Fleet, PollThatChecksForARestartAcknowledgesNoEnd) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 500000);
  runner->newest_end = 4;
  AddRunner("i-1", StartTime(1700));
  LONGS_EQUAL(0, Poll()->acknowledged_end);
}

// A poll that waits for ends delays the news of a restart by up to two seconds.
TEST(Fleet, PollThatChecksForARestartDoesNotWait) {
  AddRunner("i-1")->RecordAnswer(now, 500000);
  AddRunner("i-1", StartTime(1700));
  LONGS_EQUAL(0, Poll()->wait.ms());
}

// Guards against late calls to an earlier incarnation that the next one carries
// out, since it has seen no fencing token.
TEST(Fleet, CallsToTheNextIncarnationCarryAHigherToken) {
  Runner* before = AddRunner("i-1", StartTime(1700));
  before->RecordAnswer(now, 500000);
  const FencingToken token = Poll()->target.fence;
  before->poll_in_flight = false;
  Runner* next = fleet.StartIncarnation(before, StartTime(1800), now);
  CHECK_TRUE(token < Fleet::TargetOf(*next, Epoch(1)).fence);
  CHECK_TRUE(Fleet::TargetOf(*next, Epoch(1)).fence <
             FencingToken({Epoch(2), FenceGeneration()}));
  CHECK_TRUE(fleet.IsOutdated(RunnerId("i-1"), token.generation));
  CHECK_FALSE(fleet.IsOutdated(RunnerId("i-1"), next->fence_generation));
}

TEST(Fleet, PollDoesNotWaitUntilTheNextIncarnationRejectsEarlierCalls) {
  Runner* before = AddRunner("i-1", StartTime(1700));
  Runner* next = fleet.StartIncarnation(before, StartTime(1800), now);
  next->RecordAnswer(now, 1000);
  LONGS_EQUAL(0, Poll()->wait.ms());
  next->poll_in_flight = false;
  fleet.HandleForeignCallsRejected(next, now);
  CHECK_TRUE(Poll()->wait > Duration(0));
}

// A runner that leaves the list and comes back has seen the token of its
// restart.
TEST(Fleet, TokenOfARunnerThatIsAddedAgainIsNotLower) {
  Runner* before = AddRunner("i-1", StartTime(1700));
  const FenceGeneration generation =
      fleet.StartIncarnation(before, StartTime(1800), now)->fence_generation;
  ListNone();
  now = now + FleetOptions().unlisted_grace;
  Context ctx = NewContext();
  fleet.RemoveGone(ctx);
  CHECK_TRUE(fleet.runners().empty());
  CHECK_TRUE(AddRunner("i-1", StartTime(1800))->fence_generation >= generation);
}

TEST(Fleet, NextIncarnationTakesOverOnlyTheListEntry) {
  Runner* before = AddRunner("i-1");
  before->RecordAnswer(now, 500000);
  AddRun(before);
  before->newest_end = 7;
  before->delivered_acknowledgement = 7;
  before->consecutive_failures = 2;
  before->backoff_until = now + Duration(60000);
  before->suspect_until = now + Duration(60000);
  before->MarkLeaving(now, Duration(1000));
  before->ended = true;
  before->waiting_starts.emplace_back(
      TaskName{JobId("00000000000000aa"), 0, 0, 0}, 1);
  before->RecordPace(8, JobId("00000000000000aa"));
  const Runner* next = fleet.StartIncarnation(before, StartTime(1700), now);
  CHECK_TRUE(next->incarnation() ==
             IncarnationId(RunnerId("i-1"), StartTime(1700)));
  LONGS_EQUAL(2, next->incarnations());
  CHECK_TRUE(fleet.Find(IncarnationId(RunnerId("i-1"), StartTime())) ==
             nullptr);
  CHECK_FALSE(next->heard());
  CHECK_TRUE(next->runs().empty());
  CHECK_TRUE(next->waiting_starts.empty());
  LONGS_EQUAL(0, next->newest_end);
  LONGS_EQUAL(0, next->delivered_acknowledgement);
  LONGS_EQUAL(0, next->consecutive_failures);
  CHECK_TRUE(next->backoff_until <= now);
  CHECK_TRUE(next->suspect_until <= now);
  CHECK_FALSE(next->draining_since().has_value());
  CHECK_FALSE(next->ended);
  DOUBLES_EQUAL(1, next->slowness(), 0);
  LONGS_EQUAL(8, next->free_capacity().accelerators);
  CHECK_TRUE(next->lease().expires_at() <= now);
}

TEST(Fleet, EndsAreAcknowledgedOnceAndOnlyToAnIncarnationThatJustAnswered) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 500000);
  runner->newest_end = 4;
  now = now + FleetOptions().max_acknowledgement_delay + Duration(1);
  LONGS_EQUAL(0, Poll()->acknowledged_end);
  runner->poll_in_flight = false;
  runner->RecordAnswer(now, 500101);
  LONGS_EQUAL(4, Poll()->acknowledged_end);
  runner->poll_in_flight = false;
  runner->delivered_acknowledgement = 4;
  runner->RecordAnswer(now, 500101);
  LONGS_EQUAL(0, Poll()->acknowledged_end);
}

TEST(Fleet, NoEndIsAcknowledgedToASilentRunner) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 500000);
  runner->newest_end = 4;
  LosePoll(runner);
  now = runner->next_poll_at;
  LONGS_EQUAL(0, Poll()->acknowledged_end);
}

TEST(Fleet, DeferredEndIsAcknowledgedOnceTheLeaseExpired) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 1);
  runner->newest_end = 4;
  const Duration lease = FleetOptions().run_lease;
  const TimePoint until = runner->DeferAcknowledgement(3, now, lease);
  CHECK_TRUE(until - now > lease);
  const std::optional<PollRunner> held = Poll();
  LONGS_EQUAL(2, held->acknowledged_end);
  LONGS_EQUAL(0, held->until_ms);
  runner->poll_in_flight = false;
  now = until;
  runner->RecordAnswer(now, until.ms());
  runner->ReleaseDeferredAcknowledgements(now);
  LONGS_EQUAL(4, Poll()->acknowledged_end);
}

TEST(Fleet, DeferredAcknowledgementWaitsForALateRenewal) {
  Runner* runner = AddRunner("i-1");
  runner->RecordAnswer(now, 1);
  constexpr Duration kLate{12500};
  runner->late_orders.RecordGrant(now + kLate);
  const Duration lease = FleetOptions().run_lease;
  CHECK_TRUE(runner->DeferAcknowledgement(1, now, lease) > now + kLate + lease);
}

// Guards against logs that do not tell that a poll that grants a lease was
// given up when an entry named another incarnation, which may carry it out.
TEST(Fleet, GrantOfAPollThatIsGivenUpIsRemembered) {
  Runner* runner = AddRunner("i-1", StartTime(1700));
  AddRun(runner);
  runner->RecordAnswer(now, 500000);
  CHECK_TRUE(Poll()->until_ms > 0);
  now = now + Duration(20);
  AddRunner("i-1", StartTime(1800));
  CHECK_TRUE(runner->unattributed_grants().poll_unanswered_at == now);
  const TimePoint given_up_at = now;
  now = now + Duration(20);
  const Runner* next = fleet.StartIncarnation(runner, StartTime(1800), now);
  CHECK_TRUE(next->unattributed_grants().poll_unanswered_at == given_up_at);
}

TEST(Fleet, PollWithoutAGrantThatIsGivenUpIsNotRemembered) {
  Runner* runner = AddRunner("i-1", StartTime(1700));
  runner->RecordAnswer(now, 500000);
  CHECK_TRUE(Poll()->until_ms == 0);
  AddRunner("i-1", StartTime(1800));
  CHECK_FALSE(runner->unattributed_grants().poll_unanswered_at.has_value());
}

TEST(Fleet, LeaseOfAPreviousSchedulerIsBoundedOnceItsRunnerAnswers) {
  fleet.AssumePreviousScheduler(now);
  Runner* runner = Inherit("i-1", StartTime());
  const TimePoint unheard = runner->lease().expires_at();
  now = now + Duration(50);
  fleet.HandleForeignCallsRejected(runner, now);
  CHECK_TRUE(runner->lease().expires_at() < unheard);
  // A lease of 5 s on a clock that runs 2% slow lasts up to 5.1 s.
  CHECK_TRUE(runner->lease().expires_at() >= now + Duration(5100));
  CHECK_TRUE(runner->lease().expires_at() <= now + Duration(5500));
}

// A late call to the previous incarnation may have granted the longest lease
// that a runner accepts.
TEST(Fleet,
     LeaseOfAPreviousSchedulerIsBoundedByTheLongestOnRunnersThatKeepIds) {
  fleet.AssumePreviousScheduler(now);
  Runner* runner = Inherit("i-1", StartTime(1700000000000));
  fleet.HandleForeignCallsRejected(runner, now);
  CHECK_TRUE(runner->lease().expires_at() >= now + Duration(10200));
  CHECK_TRUE(runner->lease().expires_at() <= now + Duration(10800));
}

// Guards against a task that runs twice: a lease that outlives a scheduler also
// holds for runs that its successor starts there, whether or not it inherited
// any.
TEST(Fleet, LeaseOfAPreviousSchedulerIsAssumedWithoutInheritedRuns) {
  fleet.AssumePreviousScheduler(now);
  Runner* runner = AddRunner("i-1", StartTime(1700000000000));
  fleet.HandleForeignCallsRejected(runner, now);
  CHECK_TRUE(runner->lease().expires_at() >= now + Duration(10200));
  CHECK_TRUE(runner->lease().expires_at() <= now + Duration(10800));
}

TEST(Fleet, NoForeignLeaseIsAssumedWithoutAPreviousScheduler) {
  Runner* runner = AddRunner("i-1", StartTime(1700000000000));
  now = now + Duration(60000);
  fleet.HandleForeignCallsRejected(runner, now);
  CHECK_TRUE(runner->lease().expires_at() <= now);
}

TEST(Fleet, NoForeignLeaseIsAssumedLongAfterATakeOver) {
  fleet.AssumePreviousScheduler(now);
  Runner* runner = AddRunner("i-1", StartTime(1700000000000));
  now = now + Duration(60000);
  fleet.HandleForeignCallsRejected(runner, now);
  CHECK_TRUE(runner->lease().expires_at() <= now);
}

// Guards against a task that runs twice: what the scheduler forgets with a
// runner's object includes the calls that a later incarnation may carry out.
TEST(Fleet, ForeignLeaseIsAssumedForARunnerThatIsAddedAgain) {
  Runner* before = AddRunner("i-1", StartTime(1700));
  before->RecordAnswer(now, 500000);
  const FencingToken token = Fleet::TargetOf(*before, Epoch(1)).fence;
  ListNone();
  now = now + FleetOptions().unlisted_grace;
  Context ctx = NewContext();
  fleet.RemoveGone(ctx);
  Runner* again = AddRunner("i-1", StartTime(1800));
  CHECK_TRUE(token < Fleet::TargetOf(*again, Epoch(1)).fence);
  now = now + Duration(1000);
  fleet.HandleForeignCallsRejected(again, now);
  CHECK_TRUE(again->lease().expires_at() >= now + Duration(10200));
  CHECK_TRUE(again->lease().expires_at() <= now + Duration(10800));
}

// The first answer of an incarnation may precede the arrival of a call to the
// previous one, which grants a lease.
TEST(Fleet, LateGrantOutlastsTheFirstAnswerOfAnIncarnation) {
  Runner* before = Inherit("i-1", StartTime(1700000000000));
  fleet.HandleForeignCallsRejected(before, now);
  Runner* next = fleet.StartIncarnation(before, StartTime(1700000009000), now);
  const TimePoint late = now + Duration(12500) + Duration(10300);
  next->AssumeForeignLeaseUntil(late, LeaseBasis::kCallToEarlierIncarnation);
  next->RecordAnswer(now, 500);
  CHECK_TRUE(next->lease().expires_at() == late);
}

// Guards against starts on runners that announced seconds ago that they leave:
// there are more changes of entries than the scheduler reads, and each full
// answer was taken as up to date.
TEST(Fleet, FullAnswerDoesNotBringTheListUpToDate) {
  AddRunner("i-1");
  List();
  const TimePoint read_at = now;
  RunnersListed full;
  full.ok = true;
  full.snapshot = false;
  full.may_have_more = true;
  full.changes = 1;
  for (int i = 0; i < 4; ++i) {
    now = now + Duration(1000);
    Context ctx = NewContext();
    fleet.Handle(ctx, full);
    CHECK_TRUE(List().has_value());
  }
  CHECK_TRUE(fleet.list_current_at() <= read_at);
  CHECK_FALSE(fleet.IsListCurrent(now, TimePoint()));
  full.may_have_more = false;
  Context ctx = NewContext();
  fleet.Handle(ctx, full);
  CHECK_TRUE(fleet.IsListCurrent(now, TimePoint()));
}

TEST(Fleet, WholeListIsReadOnceTheChangesOutnumberTheRunners) {
  AddRunner("i-1");
  now = now + Duration(200);
  RunnersListed full;
  full.ok = true;
  full.snapshot = false;
  full.newest = Revision(7);
  full.may_have_more = true;
  full.changes = 1;
  List();
  Context ctx = NewContext();
  fleet.Handle(ctx, full);
  CHECK_TRUE(List()->after == Revision(7));
  Context next = NewContext();
  fleet.Handle(next, full);
  CHECK_TRUE(List()->after == Revision());
}

// Guards against runs that are started again although they go on: another
// runner answered where an earlier incarnation had been called, which was taken
// for the end of the present one.
TEST(Fleet, AddressOfAnEarlierIncarnationIsNotThatOfTheNextOne) {
  Runner* runner = AddRunner("a", StartTime(2));
  fleet.FindOrInherit({RunnerId("a"), StartTime(2)}, "10.0.0.1:80", now);
  fleet.FindOrInherit({RunnerId("a"), StartTime(1)}, "10.0.0.9:80", now);
  CHECK_FALSE(runner->HasAnsweredAt("10.0.0.9:80"));
  CHECK_TRUE(runner->HasAnsweredAt("10.0.0.1:80"));
}

}  // namespace limeledge::dispatch
