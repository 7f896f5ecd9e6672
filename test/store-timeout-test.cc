/// @file
/// Tests of adaptive timeouts for calls to the store.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

TEST_GROUP(StoreTimeout) {
  StoreTimeout timeout;
  TimePoint now{1000};
  Ticket ticket;

  void Call(Duration taken, bool answered = true) {
    ticket = ticket.Next();
    timeout.Sent(ticket, now);
    now = now + taken;
    timeout.Ended(ticket, now, answered);
  }
};

TEST(StoreTimeout, FastStoreGetsTheShortestTimeout) {
  for (int i = 0; i < 5; ++i) Call(Duration(6));
  LONGS_EQUAL(300, timeout.For().ms());
}

TEST(StoreTimeout, EachUnansweredAttemptDoublesTheTimeoutUpToTheLongest) {
  LONGS_EQUAL(600, timeout.For(1).ms());
  LONGS_EQUAL(1200, timeout.For(2).ms());
  LONGS_EQUAL(1200, timeout.For(9).ms());
}

TEST(StoreTimeout, SlowAnswerCountsAtOnceAndDecaysSlowly) {
  Call(Duration(40));
  LONGS_EQUAL(400, timeout.For().ms());
  Call(Duration(5));
  LONGS_EQUAL(330, timeout.For().ms());
}

TEST(StoreTimeout, CallWithoutAnswerDoesNotChangeTheTimeout) {
  Call(Duration(900), false);
  LONGS_EQUAL(300, timeout.For().ms());
}

}  // namespace limeledge::dispatch
