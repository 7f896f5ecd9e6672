/// @file
/// Tests of when callers are told to retry while the store is unavailable.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "scheduler-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(ComingBack, SchedulerFixture){};

// Guards against callers of a node that alone cannot reach the store being told
// to retry a second later: that made urgent work late although any other node
// would have accepted it at once.
TEST(ComingBack, CallersOfANodeThatAloneLostTheStoreRetryAtOnce) {
  const int lost = (system.leader() + 1) % 3;
  system.faults().nodes_without_store = {lost};
  system.Run(Duration(2500));
  CHECK_TRUE(system.StoreOutageAt(lost) == dispatch::StoreOutage::kLocal);
  system.faults().nodes_without_store.clear();
  system.Run(Duration(1500));
  CHECK_TRUE(system.StoreOutageAt(lost) == dispatch::StoreOutage::kUnknown);
}

// Guards against callers being told to retry at once while the store is down
// for all nodes: they would use up their attempts before it is back.
TEST(ComingBack, CallersRetryLaterWhileTheStoreIsDownForAllNodes) {
  system.faults().store_down = true;
  for (int i = 0; i < 40; ++i) {
    system.Run(Duration(100));
    for (int node = 0; node < 3; ++node) {
      CHECK_TRUE(system.StoreOutageAt(node) != dispatch::StoreOutage::kLocal);
    }
  }
  for (int node = 0; node < 3; ++node) {
    CHECK_TRUE(system.StoreOutageAt(node) == dispatch::StoreOutage::kGlobal);
  }
}

}  // namespace limeledge::emulator
