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

  void Work() {
    effects.clear();
    Context ctx(now, 0, &tickets, &effects);
    watcher.Work(ctx);
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

TEST(CatalogWatcher, CatalogIsReadWhenAnotherNodeKnowsANewerVersion) {
  Work();
  watcher.SetKnownVersion(CatalogVersion(5));
  Answer(StoreOutcome::kDone);
  Work();
  CHECK_TRUE(Watches());
  watcher.SetKnownVersion(CatalogVersion(6));
  Answer(StoreOutcome::kDone);
  Work();
  CHECK_TRUE(Reads());
}

}  // namespace limeledge::dispatch
