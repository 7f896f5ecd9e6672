/// @file
/// Tests of asking peers whether the store is down everywhere.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "dispatch/peer_check.h"
#include "dispatch/row_codec.h"

namespace limeledge::dispatch {

/// A node that knows six peers, and whose calls to the store fail from 5 s on.
TEST_GROUP(PeerCheck) {
  StoreTimeout store_timeout;
  PeerCheck check{PeerCheckOptions(), "n0", Self(), &store_timeout};
  Ticket tickets;
  Effects effects;
  TimePoint now{1000};

  static PeerRecord Self() {
    PeerRecord self;
    self.address = "n0:7000";
    return self;
  }

  Context NewContext() {
    effects.clear();
    return Context(now, now.ms(), &tickets, &effects);
  }

  void setup() override {
    Renew();
    ListPeers({"n0", "n1", "n2", "n3", "n4", "n5", "n6"});
    now = TimePoint(5000);
    store_timeout.Sent(Ticket(900), now);
    now = now + Duration(600);
    store_timeout.Ended(Ticket(900), now, false);
  }

  void Work(bool store_answers) {
    Context ctx = NewContext();
    check.Work(ctx, store_answers);
  }

  /// Completes the renewal that is due.
  void Renew() {
    Work(true);
    CommitCompleted renewed;
    renewed.ticket = std::get<CommitRows>(effects.front()).ticket;
    renewed.outcome = StoreOutcome::kDone;
    Context ctx = NewContext();
    check.Handle(ctx, renewed);
  }

  /// Answers the read that is due with rows that were just renewed.
  void ListPeers(const std::vector<std::string>& names) {
    Work(true);
    CHECK_TRUE(std::holds_alternative<ReadRows>(effects.front()));
    std::map<std::string, std::int64_t> renewed;
    for (const std::string& name : names) renewed[name] = now.ms();
    AnswerRows(renewed);
  }

  /// Answers a read with rows by name, each with the time of its renewal.
  void AnswerRows(const std::map<std::string, std::int64_t>& renewed) {
    ReadCompleted rows;
    rows.outcome = StoreOutcome::kDone;
    for (const auto& [name, wall_ms] : renewed) {
      Row row;
      row.key = {kPeerTable, PeerKey(name)};
      PeerRecord peer;
      peer.address = name + ":7000";
      peer.renewed_wall_ms = wall_ms;
      row.value = EncodePeer(peer);
      rows.rows.push_back(row);
    }
    Context ctx = NewContext();
    check.Handle(ctx, rows);
    FinishSample();
  }

  /// Answers the second read of a sample, if there is one, with no rows.
  void FinishSample() {
    if (effects.empty()) return;
    CHECK_TRUE(std::holds_alternative<ReadRows>(effects.front()));
    ReadCompleted none;
    none.outcome = StoreOutcome::kDone;
    Context ctx = NewContext();
    check.Handle(ctx, none);
  }

  std::vector<std::string> Asked() {
    std::vector<std::string> asked;
    for (const Effect& effect : effects) {
      const auto* ask = std::get_if<QueryPeer>(&effect);
      if (ask != nullptr) asked.push_back(ask->address);
    }
    return asked;
  }

  /// Runs one round in which all peers that are asked give the same answer.
  void Round(const PeerReplied& reply) {
    Work(false);
    for (const std::string& address : Asked()) {
      PeerReplied answer = reply;
      answer.address = address;
      Context ctx = NewContext();
      check.Handle(ctx, answer);
    }
    now = now + PeerCheckOptions().round_interval;
  }

  static PeerReplied Reply(bool store_answers, Duration age) {
    PeerReplied reply;
    reply.answered = true;
    reply.store_answers = store_answers;
    reply.store_answer_age = age;
    reply.callers_address = "n:80";
    return reply;
  }
};

TEST(PeerCheck, StoreAnswerOfAPeerAfterTheFailureMeansALocalOutage) {
  Round(Reply(true, Duration(100)));
  CHECK_TRUE(check.outage() == StoreOutage::kLocal);
  STRCMP_EQUAL("n:80", check.serving_peer()->c_str());
}

// Peers notice an outage some tenths of a second apart.
TEST(PeerCheck, StoreAnswerOfAPeerBeforeTheFailureIsInconclusive) {
  Round(Reply(true, Duration(620)));
  CHECK_TRUE(check.outage() == StoreOutage::kUnknown);
  Round(Reply(false, Duration(920)));
  CHECK_TRUE(check.outage() == StoreOutage::kGlobal);
}

TEST(PeerCheck, PeersWithoutTheStoreMeanAGlobalOutage) {
  Round(Reply(false, Duration(2000)));
  CHECK_TRUE(check.outage() == StoreOutage::kGlobal);
}

TEST(PeerCheck, SilentPeersMeanThatThisNodeIsCutOff) {
  Round(PeerReplied());
  CHECK_TRUE(check.outage() == StoreOutage::kLocal);
  CHECK_FALSE(check.serving_peer().has_value());
}

TEST(PeerCheck, OneSilentPeerIsInconclusive) {
  PeerCheck alone(PeerCheckOptions(), "n0", Self(), &store_timeout);
  check = alone;
  setup();
  now = now + PeerCheckOptions().list_interval;
  store_timeout.Sent(Ticket(901), now);
  store_timeout.Ended(Ticket(901), now, true);
  ListPeers({"n0", "n1"});
  store_timeout.Sent(Ticket(902), now);
  store_timeout.Ended(Ticket(902), now, false);
  Round(PeerReplied());
  CHECK_TRUE(check.outage() == StoreOutage::kUnknown);
}

TEST(PeerCheck, OtherPeersAreAskedInTheNextRound) {
  Work(false);
  const std::vector<std::string> first = Asked();
  LONGS_EQUAL(PeerCheckOptions().peers_per_round, first.size());
  Work(false);
  LONGS_EQUAL(0, Asked().size());
  now = now + PeerCheckOptions().round_interval;
  Work(false);
  CHECK_TRUE(Asked() != first);
}

TEST(PeerCheck, LossIsResetOnceTheStoreAnswers) {
  Round(Reply(false, Duration(2000)));
  Work(true);
  CHECK_TRUE(check.outage() == StoreOutage::kUnknown);
  CHECK_FALSE(check.serving_peer().has_value());
}

TEST(PeerCheck, AnswerOfAnEarlierRoundIsIgnored) {
  Work(false);
  const std::string early = Asked().front();
  now = now + PeerCheckOptions().round_interval;
  Work(false);
  PeerReplied late = Reply(true, Duration(0));
  late.address = early;
  Context ctx = NewContext();
  check.Handle(ctx, late);
  CHECK_TRUE(check.outage() == StoreOutage::kUnknown);
}

TEST(PeerCheck, OutdatedRowsAreRemoved) {
  now = TimePoint(1000 + PeerCheckOptions().renew_interval.ms());
  Renew();
  // By now the rows of the setup are outdated.
  now = now + PeerCheckOptions().max_row_age;
  Renew();
  ListPeers({"n0"});
  AnswerRows({{"n1", 5000}, {"n2", now.ms()}});
  now = now + PeerCheckOptions().renew_interval;
  Work(true);
  const auto& renewal = std::get<CommitRows>(effects.front());
  LONGS_EQUAL(1, renewal.transaction.removes.size());
  STRCMP_EQUAL(PeerKey("n1").c_str(),
               renewal.transaction.removes.front().key.c_str());
}

// All rows would be read by all nodes: the bytes grow with their square.
TEST(PeerCheck, SampleIsBoundedAndStartsAtARandomKey) {
  std::set<std::string> starts;
  for (int i = 0; i < 10; ++i) {
    now = now + PeerCheckOptions().list_interval;
    Work(true);
    if (std::holds_alternative<CommitRows>(effects.front())) {
      CommitCompleted renewed;
      renewed.outcome = StoreOutcome::kDone;
      Context ctx = NewContext();
      check.Handle(ctx, renewed);
      Work(true);
    }
    const ReadRows read = std::get<ReadRows>(effects.front());
    LONGS_EQUAL(PeerCheckOptions().sample_rows, read.limit);
    starts.insert(read.from);
    AnswerRows({});
  }
  LONGS_EQUAL(10, starts.size());
}

TEST(PeerCheck, SampleThatCannotBeReadLeavesThePreviousOne) {
  now = now + PeerCheckOptions().list_interval;
  Work(true);
  Context ctx = NewContext();
  check.Handle(ctx, ReadCompleted());
  Work(false);
  LONGS_EQUAL(PeerCheckOptions().peers_per_round, Asked().size());
}

TEST(PeerCheck, SampleThatReachesTheEndOfTheTableContinuesAtItsStart) {
  now = now + PeerCheckOptions().list_interval;
  Work(true);
  const ReadRows first = std::get<ReadRows>(effects.front());
  ReadCompleted rows;
  rows.outcome = StoreOutcome::kDone;
  for (int i = 0; i < 5; ++i) {
    Row row;
    row.key = {kPeerTable, PeerKey("n" + std::to_string(i + 1))};
    rows.rows.push_back(row);
  }
  Context ctx = NewContext();
  check.Handle(ctx, rows);
  const ReadRows second = std::get<ReadRows>(effects.front());
  STRCMP_EQUAL("", second.from.c_str());
  STRCMP_EQUAL(first.from.c_str(), second.to.c_str());
  LONGS_EQUAL(PeerCheckOptions().sample_rows - 5, second.limit);
}

// The store refuses most of the writes of hundreds of nodes that start
// together.
TEST(PeerCheck, RefusedFirstRenewalsOfAFleetAreSpread) {
  std::set<std::int64_t> moments;
  for (int i = 0; i < 20; ++i) {
    PeerCheck started(PeerCheckOptions(), "m" + std::to_string(i), Self(),
                      &store_timeout);
    Context ctx = NewContext();
    started.Work(ctx, true);
    CommitCompleted refused;
    refused.outcome = StoreOutcome::kNotApplied;
    started.Handle(ctx, refused);
    // The read that is due meanwhile fails too.
    started.Work(ctx, true);
    started.Handle(ctx, ReadCompleted());
    const Duration delay = started.renew_at() - now;
    CHECK_TRUE(delay <= PeerCheckOptions().first_renewal_spread +
                            PeerCheckOptions().retry_pause);
    moments.insert(delay.ms());
  }
  CHECK_TRUE(moments.size() > 10);
}

}  // namespace limeledge::dispatch
