/// @file
/// Tests of when callers are told to come back while the store is lost.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "scheduler-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(ComingBack, SchedulerFixture){};

// A third of the nodes could not reach the store for twelve seconds. Callers
// who met one had to come back a second later, which made their urgent work
// late, though any other node would have taken it at once.
TEST(ComingBack, CallersOfANodeThatAloneLostTheStoreComeBackAtOnce) {
  const int lost = (system.leader() + 1) % 3;
  system.faults().nodes_without_store = {lost};
  system.Run(Duration(2500));
  CHECK_TRUE(system.LossAt(lost) == dispatch::StoreOutage::kLocal);
  system.faults().nodes_without_store.clear();
  system.Run(Duration(1500));
  CHECK_TRUE(system.LossAt(lost) == dispatch::StoreOutage::kUnknown);
}

// Callers that came back at once would have used up their tries long before a
// store that is away for four seconds was back.
TEST(ComingBack, CallersComeBackLaterWhileTheStoreIsAwayForAll) {
  system.faults().store_down = true;
  for (int i = 0; i < 40; ++i) {
    system.Run(Duration(100));
    for (int node = 0; node < 3; ++node) {
      CHECK_TRUE(system.LossAt(node) != dispatch::StoreOutage::kLocal);
    }
  }
  for (int node = 0; node < 3; ++node) {
    CHECK_TRUE(system.LossAt(node) == dispatch::StoreOutage::kGlobal);
  }
}

}  // namespace limeledge::emulator
