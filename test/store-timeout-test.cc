/// @file
/// Tests of learning how long the store takes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

TEST_GROUP(StoreTimeout) {
  StoreTimeout patience;
  TimePoint now{1000};
  Ticket ticket;

  void Call(Duration taken, bool answered = true) {
    ticket = ticket.Next();
    patience.Sent(ticket, now);
    now = now + taken;
    patience.Ended(ticket, now, answered);
  }
};

TEST(StoreTimeout, QuickStoreIsWaitedForAShortTime) {
  for (int i = 0; i < 5; ++i) Call(Duration(6));
  LONGS_EQUAL(300, patience.For().ms());
}

TEST(StoreTimeout, EachSendingWithoutAnswerDoublesTheBoundUpToTheLongest) {
  LONGS_EQUAL(600, patience.For(1).ms());
  LONGS_EQUAL(1200, patience.For(2).ms());
  LONGS_EQUAL(1200, patience.For(9).ms());
}

TEST(StoreTimeout, SlowAnswerCountsAtOnceAndIsForgottenSlowly) {
  Call(Duration(40));
  LONGS_EQUAL(400, patience.For().ms());
  Call(Duration(5));
  LONGS_EQUAL(330, patience.For().ms());
}

TEST(StoreTimeout, CallWithoutAnswerTeachesNothing) {
  Call(Duration(900), false);
  LONGS_EQUAL(300, patience.For().ms());
}

}  // namespace limeledge::dispatch
