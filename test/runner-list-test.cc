/// @file
/// Tests of following the list of runners by its changes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <optional>

#include "CppUTest/TestHarness.h"
#include "dispatch/fleet.h"

namespace limeledge::dispatch {

// A fleet that was told of the runners "a" and "b" as of revision 7.
TEST_GROUP(RunnerList) {
  FleetOptions options;
  Fleet fleet{options};
  StoreTimeout patience;
  Ticket tickets;
  Effects effects;
  TimePoint now{1000};

  void setup() override {
    CHECK_TRUE(Asked().has_value());
    RunnersListed snapshot;
    snapshot.runners = {Entry("a"), Entry("b")};
    snapshot.newest = Revision(7);
    Tell(snapshot);
  }

  static RunnerInfo Entry(const char* id) {
    RunnerInfo info;
    info.id = RunnerId(id);
    info.address = "10.0.0.1:80";
    return info;
  }

  /// What the fleet asks of the list now; nothing if nothing.
  std::optional<ListRunners> Asked() {
    effects.clear();
    Context ctx(now, 0, &tickets, &effects);
    fleet.List(ctx, patience);
    if (effects.empty()) return std::nullopt;
    return std::get<ListRunners>(effects.front());
  }

  /// The same once changes may be asked for again.
  std::optional<ListRunners> AskedNext() {
    now = now + options.list_pause;
    return Asked();
  }

  void Tell(RunnersListed answer, bool ok = true) {
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

TEST(RunnerList, ChangesAreAwaitedAfterTheWholeList) {
  const std::optional<ListRunners> asked = AskedNext();
  CHECK_TRUE(asked->after == Revision(7));
  CHECK_TRUE(asked->wait == options.list_interval);
  CHECK_TRUE(asked->timeout > asked->wait);
}

TEST(RunnerList, ChangesAreNotAskedForAtOnce) {
  CHECK_FALSE(Asked().has_value());
  CHECK_TRUE(fleet.next_list_at() == now + options.list_pause);
}

TEST(RunnerList, RunnersThatDidNotChangeStayListed) {
  Tell(Changes());
  CHECK_TRUE(fleet.FindPresent(RunnerId("a"))->listed());
  CHECK_FALSE(Leaves("a"));
  CHECK_TRUE(AskedNext()->after == Revision(9));
}

TEST(RunnerList, RunnerThatSaysItLeavesDoesAndNoOther) {
  RunnersListed changes = Changes();
  changes.runners = {Entry("b")};
  changes.runners.front().draining = true;
  Tell(changes);
  CHECK_TRUE(Leaves("b"));
  CHECK_FALSE(Leaves("a"));
}

TEST(RunnerList, RunnerWhoseEntryIsGoneIsTakenForLeaving) {
  now = now + options.unlisted_grace;
  RunnersListed changes = Changes();
  changes.removed = {RunnerId("b")};
  Tell(changes);
  CHECK_FALSE(fleet.FindPresent(RunnerId("b"))->listed());
  CHECK_TRUE(Leaves("b"));
  CHECK_TRUE(fleet.FindPresent(RunnerId("a"))->listed());
}

TEST(RunnerList, EntryThatTurnsUnreadableNamesNoRunner) {
  now = now + options.unlisted_grace;
  RunnersListed changes = Changes();
  changes.unreadable = {RunnerId("b")};
  Tell(changes);
  CHECK_TRUE(Leaves("b"));
}

TEST(RunnerList, RunnerThatComesBackIsListedAgain) {
  now = now + options.unlisted_grace;
  RunnersListed removed = Changes();
  removed.removed = {RunnerId("b")};
  Tell(removed);
  RunnersListed back = Changes();
  back.runners = {Entry("b")};
  Tell(back);
  CHECK_TRUE(fleet.FindPresent(RunnerId("b"))->listed());
  CHECK_FALSE(Leaves("b"));
}

// What changed meanwhile may not be told any more: the store forgets.
TEST(RunnerList, LostWaitIsFollowedByTheWholeListAtOnce) {
  CHECK_TRUE(AskedNext().has_value());
  Tell(RunnersListed(), false);
  CHECK_TRUE(Asked()->after == Revision());
  CHECK_TRUE(fleet.FindPresent(RunnerId("a"))->listed());
}

TEST(RunnerList, WholeListIsReadAgainAfterItsInterval) {
  now = now + options.whole_list_interval;
  CHECK_TRUE(Asked()->after == Revision());
}

}  // namespace limeledge::dispatch
