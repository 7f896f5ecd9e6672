/// @file
/// Tests of reading and watching the catalog.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/catalog_watcher.h"

namespace limeledge::dispatch {

TEST_GROUP(CatalogWatcher) {
  CatalogWatcher watcher;
  TimePoint now{1000};
  Ticket tickets;
  Effects effects;
  bool store_answers = true;

  void Work() {
    effects.clear();
    Context ctx(now, 0, &tickets, &effects);
    watcher.Work(ctx, store_answers);
  }

  bool Reads() const {
    return effects.size() == 1 &&
           std::holds_alternative<ReadCatalog>(effects.front());
  }

  bool Watches() const {
    return effects.size() == 1 &&
           std::holds_alternative<AwaitCatalog>(effects.front());
  }

  void Answer(StoreOutcome outcome, int version = 0) {
    CatalogReceived answer;
    for (const Effect& effect : effects) {
      answer.from_watch =
          answer.from_watch || std::holds_alternative<AwaitCatalog>(effect);
    }
    answer.outcome = outcome;
    if (version > 0) {
      answer.catalog = Catalog();
      answer.catalog->version = CatalogVersion(version);
    }
    Context ctx(now, 0, &tickets, &effects);
    watcher.Handle(ctx, answer);
  }

  void setup() override {
    Work();
    Answer(StoreOutcome::kDone, 5);
  }
};

// Each read returns the whole configuration, so regular reads cost every node
// its size again and again.
TEST(CatalogWatcher, UnchangedCatalogIsReadOnce) {
  for (int i = 0; i < 100; ++i) {
    Work();
    CHECK_TRUE(Watches());
    now = now + CatalogWatcherOptions().wait;
    Answer(StoreOutcome::kDone);
  }
}

// Reading the catalog again would cost its whole size, on all nodes that an
// outage cut off.
TEST(CatalogWatcher, FailedWatchIsRepeatedFromTheSameRevision) {
  Work();
  const Revision after = std::get<AwaitCatalog>(effects.front()).after;
  Answer(StoreOutcome::kUnknown);
  now = now + CatalogWatcherOptions().retry_pause;
  Work();
  CHECK_TRUE(Watches());
  const auto& repeated = std::get<AwaitCatalog>(effects.front());
  CHECK_TRUE(repeated.after == after);
  CHECK_TRUE(repeated.wait < Duration(100));
  Answer(StoreOutcome::kDone);
  CHECK_TRUE(watcher.confirmed_at() == now);
}

TEST(CatalogWatcher, CatalogIsReadAtOnceWhenTheHistoryIsForgotten) {
  Work();
  Answer(StoreOutcome::kHistoryCompacted);
  Work();
  CHECK_TRUE(Reads());
}

TEST(CatalogWatcher, KnownVersionIsReadIfTheWatchDoesNotReturnIt) {
  Work();
  watcher.SetKnownVersion(now, CatalogVersion(5));
  now = now + CatalogWatcherOptions().catch_up_grace;
  Work();
  CHECK_TRUE(effects.empty());
  CHECK_TRUE(watcher.known_version() == watcher.version());
  watcher.SetKnownVersion(now, CatalogVersion(6));
  CHECK_TRUE(watcher.known_version() == CatalogVersion(6));
  Work();
  CHECK_TRUE(effects.empty());
  CHECK_TRUE(watcher.next_at() == now + CatalogWatcherOptions().catch_up_grace);
  now = watcher.next_at();
  Work();
  CHECK_TRUE(Reads());
  Answer(StoreOutcome::kDone, 6);
  CHECK_TRUE(watcher.version() == CatalogVersion(6));
}

// Every node of a fleet may learn of a version before its watch returns it.
TEST(CatalogWatcher, KnownVersionIsNotReadIfTheWatchReturnsIt) {
  Work();
  watcher.SetKnownVersion(now, CatalogVersion(6));
  Answer(StoreOutcome::kDone, 6);
  now = now + CatalogWatcherOptions().catch_up_grace;
  Work();
  CHECK_TRUE(Watches());
}

// A read that cannot be answered would still be waited for once the store
// answers again.
TEST(CatalogWatcher, KnownVersionIsReadOnlyOnceTheStoreAnswers) {
  Work();
  watcher.SetKnownVersion(now, CatalogVersion(6));
  now = now + Duration(1000);
  store_answers = false;
  Work();
  CHECK_TRUE(effects.empty());
  CHECK_TRUE(watcher.next_at() == kNever);
  store_answers = true;
  Work();
  CHECK_TRUE(Reads());
}

// Guards against an older version, or older halls, from a watch that was
// overtaken by a read.
TEST(CatalogWatcher, WatchThatReturnsAfterANewerReadChangesNothing) {
  CatalogReceived read;
  read.outcome = StoreOutcome::kDone;
  read.catalog = Catalog();
  read.catalog->version = CatalogVersion(9);
  read.lists_all_halls = true;
  read.newest = Revision(60);
  CatalogReceived watch;
  watch.from_watch = true;
  watch.outcome = StoreOutcome::kDone;
  watch.halls[HallId("h1")] = true;
  watch.newest = Revision(50);
  Context ctx(now, 0, &tickets, &effects);
  watcher.Handle(ctx, read);
  watcher.Handle(ctx, watch);
  CHECK_TRUE(watcher.catalog()->drained_halls.empty());
  Work();
  CHECK_TRUE(std::get<AwaitCatalog>(effects.front()).after == Revision(60));
}

// Drained halls change without a new version of the catalog.
TEST(CatalogWatcher, KnownChangeIsReadIfTheWatchDoesNotReturnIt) {
  Work();
  watcher.SetKnownChange(now, Revision(80));
  CHECK_TRUE(watcher.is_behind());
  now = now + CatalogWatcherOptions().catch_up_grace;
  Work();
  CHECK_TRUE(Reads());
  CatalogReceived read;
  read.outcome = StoreOutcome::kDone;
  read.changed_at = Revision(80);
  read.newest = Revision(90);
  Context ctx(now, 0, &tickets, &effects);
  watcher.Handle(ctx, read);
  CHECK_FALSE(watcher.is_behind());
  CHECK_TRUE(watcher.changed_at() == Revision(80));
}

}  // namespace limeledge::dispatch
