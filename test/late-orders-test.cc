/// @file
/// Tests of the bookkeeping for orders that may arrive late.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/late_orders.h"

namespace limeledge::dispatch {

TEST_GROUP(LateOrders) {
  LateOrders orders;
  const RunKey run{{JobId("j"), 0, 0, 0}, 3};
  const Resources need{1000, 64, 1};
};

TEST(LateOrders, StartMayArriveUntilItsTimeIsOver) {
  orders.RecordStart(run, need, TimePoint(1000), TimePoint(5000));
  CHECK_TRUE(orders.MayArrive(run, TimePoint(4999)));
  CHECK_FALSE(orders.MayArrive(run, TimePoint(5000)));
  LONGS_EQUAL(1, orders.StartsArrivingAfter(TimePoint(4999)).size());
  LONGS_EQUAL(0, orders.StartsArrivingAfter(TimePoint(5000)).size());
}

TEST(LateOrders, RepeatedStartMayArriveAsLateAsTheLatestOne) {
  orders.RecordStart(run, need, TimePoint(1000), TimePoint(5000));
  orders.RecordStart(run, need, TimePoint(1000), TimePoint(3000));
  CHECK_TRUE(orders.MayArrive(run, TimePoint(4000)));
}

TEST(LateOrders, StartsThatCannotArriveAreRemovedWithTheNextOne) {
  orders.RecordStart(run, need, TimePoint(1000), TimePoint(2000));
  orders.RecordStart({run.first, 4}, need, TimePoint(2000), TimePoint(9000));
  LONGS_EQUAL(1, orders.StartsArrivingAfter(TimePoint(1500)).size());
}

TEST(LateOrders, OtherRunOfTheTaskIsAnotherStart) {
  orders.RecordStart(run, need, TimePoint(1000), TimePoint(5000));
  CHECK_FALSE(orders.MayArrive({run.first, 4}, TimePoint(1000)));
}

TEST(LateOrders, GrantsCountUpToTheLatestArrival) {
  orders.RecordGrant(TimePoint(7000));
  orders.RecordGrant(TimePoint(6000));
  CHECK_TRUE(orders.grants_until() == TimePoint(7000));
}

}  // namespace limeledge::dispatch
