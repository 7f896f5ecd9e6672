/// @file
/// Tests of watching the runner list by its changes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <optional>

#include "CppUTest/TestHarness.h"
#include "dispatch/fleet.h"

namespace limeledge::dispatch {

// A fleet that has received the runners "a" and "b" as of revision 7.
TEST_GROUP(RunnerList) {
  FleetOptions options;
  Fleet fleet{options};
  StoreTimeout store_timeout;
  Ticket tickets;
  Effects effects;
  TimePoint now{1000};

  void setup() override {
    CHECK_TRUE(Requested().has_value());
    RunnersListed snapshot;
    snapshot.runners = {Entry("a"), Entry("b")};
    snapshot.newest = Revision(7);
    Deliver(snapshot);
  }

  static RunnerInfo Entry(const char* id) {
    RunnerInfo info;
    info.id = RunnerId(id);
    info.address = "10.0.0.1:80";
    return info;
  }

  /// Returns the list request that is due, if any.
  std::optional<ListRunners> Requested() {
    effects.clear();
    Context ctx(now, 0, &tickets, &effects);
    fleet.List(ctx, store_timeout);
    if (effects.empty()) return std::nullopt;
    return std::get<ListRunners>(effects.front());
  }

  /// The same after the minimum pause between requests for changes.
  std::optional<ListRunners> RequestedNext() {
    now = now + options.list_pause;
    return Requested();
  }

  void Deliver(RunnersListed answer, bool ok = true) {
    answer.ok = ok;
    effects.clear();
    Context ctx(now, 0, &tickets, &effects);
    fleet.Handle(ctx, answer);
  }

  static RunnersListed Changes() {
    RunnersListed changes;
    changes.snapshot = false;
    changes.newest = Revision(9);
    return changes;
  }

  bool Leaves(const char* id) {
    return fleet.FindPresent(RunnerId(id))->draining_since().has_value();
  }
};

TEST(RunnerList, ChangesAreRequestedAfterTheWholeList) {
  const std::optional<ListRunners> request = RequestedNext();
  CHECK_TRUE(request->after == Revision(7));
  CHECK_TRUE(request->wait == options.list_interval);
  CHECK_TRUE(request->timeout > request->wait);
}

TEST(RunnerList, ChangesAreRequestedAfterAPause) {
  CHECK_FALSE(Requested().has_value());
  CHECK_TRUE(fleet.next_list_at() == now + options.list_pause);
}

TEST(RunnerList, RunnersThatDidNotChangeStayListed) {
  Deliver(Changes());
  CHECK_TRUE(fleet.FindPresent(RunnerId("a"))->listed());
  CHECK_FALSE(Leaves("a"));
  CHECK_TRUE(RequestedNext()->after == Revision(9));
}

TEST(RunnerList, DrainingEntryMarksOnlyItsRunnerAsLeaving) {
  RunnersListed changes = Changes();
  changes.runners = {Entry("b")};
  changes.runners.front().draining = true;
  Deliver(changes);
  CHECK_TRUE(Leaves("b"));
  CHECK_FALSE(Leaves("a"));
}

TEST(RunnerList, RunnerWhoseEntryIsRemovedIsMarkedLeaving) {
  now = now + options.unlisted_grace;
  RunnersListed changes = Changes();
  changes.removed = {RunnerId("b")};
  Deliver(changes);
  CHECK_FALSE(fleet.FindPresent(RunnerId("b"))->listed());
  CHECK_TRUE(Leaves("b"));
  CHECK_TRUE(fleet.FindPresent(RunnerId("a"))->listed());
}

TEST(RunnerList, RunnerWhoseEntryBecomesUnreadableIsMarkedLeaving) {
  now = now + options.unlisted_grace;
  RunnersListed changes = Changes();
  changes.unreadable = {RunnerId("b")};
  Deliver(changes);
  CHECK_TRUE(Leaves("b"));
}

TEST(RunnerList, RunnerThatComesBackIsListedAgain) {
  now = now + options.unlisted_grace;
  RunnersListed removed = Changes();
  removed.removed = {RunnerId("b")};
  Deliver(removed);
  RunnersListed back = Changes();
  back.runners = {Entry("b")};
  Deliver(back);
  CHECK_TRUE(fleet.FindPresent(RunnerId("b"))->listed());
  CHECK_FALSE(Leaves("b"));
}

// The changes since then may be missing from the next answer, since the store
// compacts its history.
TEST(RunnerList, LostRequestForChangesIsFollowedByTheWholeListAtOnce) {
  CHECK_TRUE(RequestedNext().has_value());
  Deliver(RunnersListed(), false);
  CHECK_TRUE(Requested()->after == Revision());
  CHECK_TRUE(fleet.FindPresent(RunnerId("a"))->listed());
}

TEST(RunnerList, WholeListIsReadAgainAfterItsInterval) {
  now = now + options.whole_list_interval;
  CHECK_TRUE(Requested()->after == Revision());
}

}  // namespace limeledge::dispatch
