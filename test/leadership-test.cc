/// @file
/// Tests of watching and claiming the lease on scheduling.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/leadership.h"

#include <algorithm>
#include <utility>

#include "CppUTest/TestHarness.h"

namespace limeledge::dispatch {

TEST_GROUP(Leadership) {
  TimePoint now{1000};
  Ticket tickets;
  Effects effects;

  static LeadershipOptions Options(std::int64_t capacity) {
    LeadershipOptions options;
    options.capacity = capacity;
    return options;
  }

  StoreTimeout store_timeout;
  Leadership follower{Options(250), "e1/1", &store_timeout};

  static LeaderRecord Held(std::int64_t capacity) {
    LeaderRecord record;
    record.epoch = Epoch(3);
    record.holder = "e2/1";
    record.capacity = capacity;
    record.largest_capacity = capacity;
    return record;
  }

  /// Lets the follower read the row; returns its claim, or null.
  const CommitRows* Read(const LeaderRecord& record, int revision,
                         StoreOutcome outcome = StoreOutcome::kDone) {
    now = now + LeadershipOptions().poll_interval;
    effects.clear();
    Context ctx(now, 0, &tickets, &effects);
    follower.Follow(ctx);
    const ReadRows read = std::get<ReadRows>(effects.front());
    ReadCompleted answer;
    answer.ticket = read.ticket;
    answer.outcome = outcome;
    Row row;
    row.value = EncodeLeader(record);
    row.revision = Revision(revision);
    answer.rows.push_back(std::move(row));
    effects.clear();
    follower.Handle(ctx, answer);
    for (const Effect& effect : effects) {
      if (const auto* claim = std::get_if<CommitRows>(&effect)) return claim;
    }
    return nullptr;
  }
};

TEST(Leadership, RowThatChangesIsNotClaimed) {
  for (int i = 0; i < 20; ++i) POINTERS_EQUAL(nullptr, Read(Held(250), i));
}

TEST(Leadership, UnchangedRowIsClaimedWithTheNextEpoch) {
  const CommitRows* claim = nullptr;
  int readings = 0;
  while (claim == nullptr && readings < 20) {
    claim = Read(Held(250), 5);
    ++readings;
  }
  CHECK_TRUE(claim != nullptr);
  LONGS_EQUAL(6, readings);
  const auto record = DecodeLeader(claim->transaction.puts.front().value);
  LONGS_EQUAL(4, record->epoch.value());
  LONGS_EQUAL(5, claim->transaction.conditions.front().revision.value());
}

TEST(Leadership, FailedReadRestartsTheWatch) {
  for (int i = 0; i < 4; ++i) POINTERS_EQUAL(nullptr, Read(Held(250), 5));
  POINTERS_EQUAL(nullptr, Read(Held(250), 5, StoreOutcome::kNotApplied));
  for (int i = 0; i < 5; ++i) POINTERS_EQUAL(nullptr, Read(Held(250), 5));
  CHECK_TRUE(Read(Held(250), 5) != nullptr);
}

TEST(Leadership, ReleasedLeaseIsClaimedAtOnce) {
  LeaderRecord record = Held(250);
  record.released = true;
  CHECK_TRUE(Read(record, 5) != nullptr);
}

// Guards against taking an old row for a new one: a lost scheduler's row can be
// read at any time.
TEST(Leadership, AgeOfARowIsKnownOnceAReadShowsAnotherRevision) {
  Read(Held(250), 1);
  const TimePoint first = now;
  CHECK_TRUE(follower.record_written_after() < TimePoint(0));
  Read(Held(250), 1);
  CHECK_TRUE(follower.record_written_after() < TimePoint(0));
  const TimePoint second = now;
  Read(Held(250), 2);
  CHECK_TRUE(first < second);
  LONGS_EQUAL(second.ms(), follower.record_written_after().ms());
  Read(Held(250), 2);
  Read(Held(250), 3, StoreOutcome::kUnknown);
  LONGS_EQUAL(second.ms(), follower.record_written_after().ms());
}

// Guards against waiting for the whole lease after a power failure of all
// machines although the holder's own next incarnation is up.
TEST(Leadership, LeaseOfAnEarlierIncarnationIsTakenOverAtOnce) {
  LeaderRecord record = Held(250);
  record.holder = "e1/0";
  CHECK_TRUE(Read(record, 5) != nullptr);
}

// Guards against two incarnations of one instance that depose each other in
// turn while its machine is being replaced.
TEST(Leadership, DeposedIncarnationDoesNotClaimBack) {
  LeaderRecord record = Held(250);
  record.holder = "e1/0";
  const CommitRows* claim = Read(record, 5);
  CommitCompleted done;
  done.ticket = claim->ticket;
  done.outcome = StoreOutcome::kDone;
  done.revision = Revision(6);
  Context ctx(now, 0, &tickets, &effects);
  CHECK_TRUE(follower.Handle(ctx, done).has_value());
  follower.Reset(now, true);
  record.holder = "e1/2";
  POINTERS_EQUAL(nullptr, Read(record, 7));
}

TEST(Leadership, InstanceNameWithACommonPrefixIsAnotherInstance) {
  LeaderRecord record = Held(250);
  record.holder = "e11/1";
  POINTERS_EQUAL(nullptr, Read(record, 5));
}

TEST(Leadership, MuchLargerProcessTakesOverAtOnce) {
  CHECK_TRUE(Read(Held(100), 5) != nullptr);
}

TEST(Leadership, MuchSmallerProcessWaitsLonger) {
  int readings = 0;
  while (Read(Held(500), 5) == nullptr && readings < 30) ++readings;
  LONGS_EQUAL(8, readings);
}

// In a fleet of hundreds of nodes, reading the row every 300 ms makes up most
// calls to the store, although a handful of readers is enough.
TEST(Leadership, BackupPausesOnceItHasSeenARenewal) {
  LeaderRecord record = Held(250);
  record.nodes = 583;
  Duration pauses;
  constexpr int kLooks = 100;
  for (int look = 0; look < kLooks; ++look) {
    POINTERS_EQUAL(nullptr, Read(record, 2 * look));
    CHECK_TRUE(follower.next_at() - now <= LeadershipOptions().poll_interval);
    POINTERS_EQUAL(nullptr, Read(record, 2 * look + 1));
    CHECK_TRUE(follower.is_backup());
    pauses = pauses + (follower.next_at() - now);
    now = follower.next_at();
  }
  // 583 nodes that pause for 29 s on average look 20 times a second.
  const std::int64_t mean_ms = pauses.ms() / kLooks;
  CHECK_TRUE(mean_ms > 20000 && mean_ms < 40000);
}

TEST(Leadership, BackupThatSeesNoRenewalGoesOnReadingAndClaims) {
  LeaderRecord record = Held(250);
  record.nodes = 583;
  int readings = 0;
  while (Read(record, 5) == nullptr && readings < 20) ++readings;
  LONGS_EQUAL(5, readings);
}

// The renewal that ends a look must have happened during the look.
TEST(Leadership, RenewalBeforeALookDoesNotEndIt) {
  LeaderRecord record = Held(250);
  record.nodes = 583;
  Read(record, 1);
  Read(record, 2);
  now = follower.next_at();
  Read(record, 90);
  CHECK_TRUE(follower.next_at() - now <= LeadershipOptions().poll_interval);
}

TEST(Leadership, AppointedNodeKeepsReadingForItsTerm) {
  LeaderRecord record = Held(250);
  record.nodes = 583;
  follower.Appoint(now);
  const TimePoint end = now + LeadershipOptions().standby_term;
  for (int i = 0; now < end - LeadershipOptions().poll_interval; ++i) {
    Read(record, i);
    CHECK_TRUE(follower.next_at() - now <= LeadershipOptions().poll_interval);
  }
}

TEST(Leadership, OfferedLeaseIsClaimedAtOnce) {
  POINTERS_EQUAL(nullptr, Read(Held(250), 1));
  follower.AcceptOffer(now, Epoch(3));
  CHECK_TRUE(follower.next_at() == now);
  CHECK_TRUE(Read(Held(250), 1) != nullptr);
}

TEST(Leadership, OfferOfAnEarlierEpochIsIgnored) {
  follower.AcceptOffer(now, Epoch(2));
  POINTERS_EQUAL(nullptr, Read(Held(250), 1));
}

TEST(Leadership, ProbeEndsAPause) {
  LeaderRecord record = Held(250);
  record.nodes = 583;
  Read(record, 1);
  Read(record, 2);
  now = now + Duration(3000);
  follower.Probe(now);
  CHECK_TRUE(follower.next_at() == now);
}

TEST(Leadership, BackupReadsSeldomWhileTheStoreDoesNotAnswer) {
  LeaderRecord record = Held(250);
  record.nodes = 583;
  Read(record, 1);
  Read(record, 2);
  Duration pauses;
  constexpr int kReads = 50;
  for (int i = 0; i < kReads; ++i) {
    now = std::max(now, follower.next_at() - LeadershipOptions().poll_interval);
    Read(record, 2, StoreOutcome::kNotApplied);
    pauses = pauses + (follower.next_at() - now);
  }
  CHECK_TRUE(pauses.ms() / kReads > 1000);
  // A caller waits.
  now = now + Duration(100);
  follower.Probe(now);
  CHECK_TRUE(follower.next_at() == now);
}

TEST(Leadership, NodesOfUnknownNumberAllKeepReading) {
  for (int i = 0; i < 20; ++i) Read(Held(250), i);
  CHECK_FALSE(follower.is_backup());
}

TEST(Leadership, MissingRowIsCreatedAfterARandomDelay) {
  TimePoint end = now + LeadershipOptions().poll_interval * 2;
  const CommitRows* claim = nullptr;
  while (claim == nullptr && now < end) {
    now = std::max(now, follower.next_at());
    effects.clear();
    Context ctx(now, 0, &tickets, &effects);
    follower.Follow(ctx);
    ReadCompleted answer;
    answer.ticket = std::get<ReadRows>(effects.front()).ticket;
    answer.outcome = StoreOutcome::kDone;
    effects.clear();
    follower.Handle(ctx, answer);
    if (!effects.empty()) claim = std::get_if<CommitRows>(&effects.front());
  }
  CHECK_TRUE(claim != nullptr);
  LONGS_EQUAL(0, claim->transaction.conditions.front().revision.value());
}

TEST(Leadership, RetiredProcessClaimsNothing) {
  follower.Retire();
  LeaderRecord record = Held(250);
  record.released = true;
  POINTERS_EQUAL(nullptr, Read(record, 5));
}

}  // namespace limeledge::dispatch
