/// @file
/// Tests of telling by peers where the store is lost.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "dispatch/peer_check.h"
#include "dispatch/row_codec.h"

namespace limeledge::dispatch {

/// A node that knows six peers, and whose calls to the store fail from 5 s on.
TEST_GROUP(PeerCheck) {
  StoreTimeout patience;
  PeerCheck check{PeerCheckOptions(), "n0", "n0:7000", &patience};
  Ticket tickets;
  Effects effects;
  TimePoint now{1000};

  Context NewContext() {
    effects.clear();
    return Context(now, now.ms(), &tickets, &effects);
  }

  void setup() override {
    Renew();
    TellPeers({"n0", "n1", "n2", "n3", "n4", "n5", "n6"});
    now = TimePoint(5000);
    patience.Sent(Ticket(900), now);
    now = now + Duration(600);
    patience.Ended(Ticket(900), now, false);
  }

  void Work(bool store_answers) {
    Context ctx = NewContext();
    check.Work(ctx, store_answers);
  }

  /// The renewal that is due is done.
  void Renew() {
    Work(true);
    CommitCompleted renewed;
    renewed.ticket = std::get<CommitRows>(effects.front()).ticket;
    renewed.outcome = StoreOutcome::kDone;
    Context ctx = NewContext();
    check.Handle(ctx, renewed);
  }

  /// The reading that is due finds rows that were just renewed.
  void TellPeers(const std::vector<std::string>& names) {
    Work(true);
    CHECK_TRUE(std::holds_alternative<ReadRows>(effects.front()));
    std::map<std::string, std::int64_t> renewed;
    for (const std::string& name : names) renewed[name] = now.ms();
    TellRows(renewed);
  }

  /// Rows by name, with the time of their renewal.
  void TellRows(const std::map<std::string, std::int64_t>& renewed) {
    ReadCompleted rows;
    rows.outcome = StoreOutcome::kDone;
    for (const auto& [name, wall_ms] : renewed) {
      Row row;
      row.key = {kPeerTable, name};
      row.value = EncodePeer({name + ":7000", wall_ms});
      rows.rows.push_back(row);
    }
    Context ctx = NewContext();
    check.Handle(ctx, rows);
  }

  std::vector<std::string> Asked() {
    std::vector<std::string> asked;
    for (const Effect& effect : effects) {
      const auto* ask = std::get_if<QueryPeer>(&effect);
      if (ask != nullptr) asked.push_back(ask->address);
    }
    return asked;
  }

  /// Asks, and has all that are asked give the same answer.
  void Round(const PeerReplied& word) {
    Work(false);
    for (const std::string& address : Asked()) {
      PeerReplied answer = word;
      answer.address = address;
      Context ctx = NewContext();
      check.Handle(ctx, answer);
    }
    now = now + PeerCheckOptions().ask_interval;
  }

  static PeerReplied Word(bool store_answers, Duration age) {
    PeerReplied word;
    word.answered = true;
    word.store_answers = store_answers;
    word.store_answer_age = age;
    return word;
  }
};

TEST(PeerCheck, PeerThatTheStoreAnsweredSinceTellsOfALossHereOnly) {
  Round(Word(true, Duration(100)));
  CHECK_TRUE(check.outage() == StoreOutage::kLocal);
}

// Peers notice an outage some tenths of a second one after the other.
TEST(PeerCheck, PeerThatTheStoreAnsweredBeforeTheLossTellsNothing) {
  Round(Word(true, Duration(620)));
  CHECK_TRUE(check.outage() == StoreOutage::kUnknown);
  Round(Word(false, Duration(920)));
  CHECK_TRUE(check.outage() == StoreOutage::kGlobal);
}

TEST(PeerCheck, PeersWithoutTheStoreTellOfALossEverywhere) {
  Round(Word(false, Duration(2000)));
  CHECK_TRUE(check.outage() == StoreOutage::kGlobal);
}

TEST(PeerCheck, SilentPeersTellOfANodeThatIsCutOff) {
  Round(PeerReplied());
  CHECK_TRUE(check.outage() == StoreOutage::kLocal);
}

TEST(PeerCheck, OneSilentPeerAloneTellsNothing) {
  PeerCheck alone(PeerCheckOptions(), "n0", "n0:7000", &patience);
  check = alone;
  setup();
  now = now + PeerCheckOptions().list_interval;
  patience.Sent(Ticket(901), now);
  patience.Ended(Ticket(901), now, true);
  TellPeers({"n0", "n1"});
  patience.Sent(Ticket(902), now);
  patience.Ended(Ticket(902), now, false);
  Round(PeerReplied());
  CHECK_TRUE(check.outage() == StoreOutage::kUnknown);
}

TEST(PeerCheck, OtherPeersAreAskedInTheNextRound) {
  Work(false);
  const std::vector<std::string> first = Asked();
  LONGS_EQUAL(PeerCheckOptions().peers_asked, first.size());
  Work(false);
  LONGS_EQUAL(0, Asked().size());
  now = now + PeerCheckOptions().ask_interval;
  Work(false);
  CHECK_TRUE(Asked() != first);
}

TEST(PeerCheck, LossIsForgottenOnceTheStoreAnswers) {
  Round(Word(false, Duration(2000)));
  Work(true);
  CHECK_TRUE(check.outage() == StoreOutage::kUnknown);
}

TEST(PeerCheck, AnswerOfAnEarlierRoundIsPassedOver) {
  Work(false);
  const std::string early = Asked().front();
  now = now + PeerCheckOptions().ask_interval;
  Work(false);
  PeerReplied late = Word(true, Duration(0));
  late.address = early;
  Context ctx = NewContext();
  check.Handle(ctx, late);
  CHECK_TRUE(check.outage() == StoreOutage::kUnknown);
}

TEST(PeerCheck, RowsThatNobodyRenewedAreClearedAway) {
  now = TimePoint(1000 + PeerCheckOptions().renew_interval.ms());
  Renew();
  // The rows of the setup are old by now.
  now = now + PeerCheckOptions().row_age;
  Renew();
  TellPeers({"n0"});
  TellRows({{"n1", 5000}, {"n2", now.ms()}});
  now = now + PeerCheckOptions().renew_interval;
  Work(true);
  const auto& renewal = std::get<CommitRows>(effects.front());
  LONGS_EQUAL(1, renewal.transaction.removes.size());
  STRCMP_EQUAL("n1", renewal.transaction.removes.front().key.c_str());
}

}  // namespace limeledge::dispatch
