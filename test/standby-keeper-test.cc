/// @file
/// Tests of the selection and the checks of standbys.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <set>
#include <utility>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "dispatch/row_codec.h"
#include "dispatch/standby_keeper.h"

namespace limeledge::dispatch {

constexpr std::int64_t kLarge = 1000;
constexpr std::int64_t kSmall = 120;

/// A leader with peers in five halls.
TEST_GROUP(StandbyKeeper) {
  StoreTimeout store_timeout;
  StandbyOptions options;
  TimePoint now{1000};
  StandbyKeeper keeper{options, "self:1", &store_timeout, now};
  Ticket tickets;
  Effects effects;

  static std::string Address(int hall, std::int64_t capacity, int number) {
    return absl::StrCat("h", hall, "-", capacity, "-", number, ":1");
  }

  /// Rows of `count` peers of each hall, in the order of a scan.
  std::vector<Row> PeerRows(int count, std::int64_t capacity) const {
    std::vector<Row> rows;
    for (int hall = 0; hall < 5; ++hall) {
      for (int i = 0; i < count; ++i) {
        PeerRecord peer;
        peer.address = Address(hall, capacity, i);
        peer.renewed_wall_ms = now.ms();
        peer.hall = HallId(absl::StrCat("hall-", hall));
        peer.capacity = capacity;
        Row row;
        row.key = {kPeerTable, PeerKey(peer.address)};
        row.value = EncodePeer(peer);
        rows.push_back(std::move(row));
      }
    }
    return rows;
  }

  void Work(bool store_answers = true) {
    effects.clear();
    Context ctx(now, now.ms(), &tickets, &effects);
    keeper.Work(ctx, store_answers);
  }

  /// Completes the scan that is due with one page.
  void Scan(std::vector<Row> rows, bool has_more = false) {
    Work();
    ReadCompleted answer;
    answer.outcome = StoreOutcome::kDone;
    answer.rows = std::move(rows);
    answer.has_more = has_more;
    Context ctx(now, now.ms(), &tickets, &effects);
    keeper.Handle(ctx, answer);
  }

  /// Runs one check, which the standbys in `silent` do not answer.
  void Check(const std::set<std::string>& silent, bool store_answers = true) {
    now = now + options.check_interval;
    Work();
    for (const Effect& effect : Effects(effects)) {
      const auto* query = std::get_if<QueryPeer>(&effect);
      if (query == nullptr) continue;
      CHECK_TRUE(query->request == PeerRequest::kAppointStandby);
      PeerReplied reply;
      reply.address = query->address;
      reply.answered = silent.count(query->address) == 0;
      reply.store_answers = store_answers;
      keeper.Handle(reply);
    }
  }

  std::set<std::string> Halls() const {
    std::set<std::string> halls;
    for (const std::string& address : keeper.standbys()) {
      halls.insert(address.substr(0, address.find('-')));
    }
    return halls;
  }
};

TEST(StandbyKeeper, LargeNodesOfAllHallsAreSelectedFirst) {
  std::vector<Row> rows = PeerRows(100, kSmall);
  for (Row& row : PeerRows(2, kLarge)) rows.push_back(std::move(row));
  Scan(rows);
  LONGS_EQUAL(511, keeper.nodes());
  LONGS_EQUAL(options.count, keeper.standbys().size());
  LONGS_EQUAL(5, Halls().size());
  for (const std::string& address : keeper.standbys()) {
    CHECK_TRUE(address.find("-1000-") != std::string::npos);
  }
}

TEST(StandbyKeeper, FleetOfSmallNodesHasStandbysToo) {
  Scan(PeerRows(10, kSmall));
  LONGS_EQUAL(options.count, keeper.standbys().size());
}

TEST(StandbyKeeper, EachNodeOfASmallFleetIsAStandby) {
  Scan(PeerRows(1, kSmall));
  LONGS_EQUAL(5, keeper.standbys().size());
}

TEST(StandbyKeeper, NumberOfStandbysDoesNotGrowWithTheFleet) {
  Scan(PeerRows(2000, kSmall));
  LONGS_EQUAL(options.count, keeper.standbys().size());
}

TEST(StandbyKeeper, PagesOfAScanAreReadOneAfterTheOther) {
  std::vector<Row> rows = PeerRows(4, kSmall);
  const std::vector<Row> first(rows.begin(), rows.begin() + 10);
  const std::vector<Row> second(rows.begin() + 10, rows.end());
  Scan(first, true);
  LONGS_EQUAL(0, keeper.nodes());
  Work();
  const auto& read = std::get<ReadRows>(effects.front());
  STRCMP_EQUAL((first.back().key.key + " ").c_str(), read.from.c_str());
  ReadCompleted answer;
  answer.outcome = StoreOutcome::kDone;
  answer.rows = second;
  Context ctx(now, now.ms(), &tickets, &effects);
  keeper.Handle(ctx, answer);
  LONGS_EQUAL(21, keeper.nodes());
}

TEST(StandbyKeeper, SilentStandbyIsReplacedAfterTwoChecks) {
  Scan(PeerRows(10, kSmall));
  const std::string silent = keeper.standbys().front();
  Check({silent});
  Check({silent});
  CHECK_TRUE(std::count(keeper.standbys().begin(), keeper.standbys().end(),
                        silent) == 1);
  Check({silent});
  CHECK_TRUE(std::count(keeper.standbys().begin(), keeper.standbys().end(),
                        silent) == 0);
  LONGS_EQUAL(options.count, keeper.standbys().size());
}

TEST(StandbyKeeper, StandbyWithoutTheStoreIsReplacedIfThisNodeReachesIt) {
  Scan(PeerRows(10, kSmall));
  const std::vector<std::string> before = keeper.standbys();
  for (int i = 0; i < 3; ++i) Check({}, false);
  for (const std::string& address : keeper.standbys()) {
    CHECK_TRUE(std::count(before.begin(), before.end(), address) == 0);
  }
}

TEST(StandbyKeeper, LeaseIsOfferedToOneStandbyAfterTheOther) {
  Scan(PeerRows(10, kSmall));
  std::set<std::string> asked;
  for (int i = 0; i < 3; ++i) {
    effects.clear();
    Context ctx(now, now.ms(), &tickets, &effects);
    keeper.OfferLease(ctx, Epoch(7));
    keeper.OfferLease(ctx, Epoch(7));
    LONGS_EQUAL(2, effects.size());
    const auto& query = std::get<QueryPeer>(effects.back());
    CHECK_TRUE(query.request == PeerRequest::kOfferLease);
    LONGS_EQUAL(7, query.epoch.value());
    asked.insert(query.address);
    now = now + options.offer_interval;
  }
  LONGS_EQUAL(3, asked.size());
}

TEST(StandbyKeeper, RowThatWasNotRenewedIsNoNode) {
  std::vector<Row> rows = PeerRows(1, kSmall);
  now = now + options.max_row_age + Duration(1000);
  Scan(rows);
  LONGS_EQUAL(1, keeper.nodes());
  LONGS_EQUAL(0, keeper.standbys().size());
}

}  // namespace limeledge::dispatch
