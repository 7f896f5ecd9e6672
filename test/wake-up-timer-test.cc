/// @file
/// Tests of the reducer's timer.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "platform/wake_up_timer.h"

namespace limeledge::platform {

TEST_GROUP(WakeUpTimer) { WakeUpTimer timer; };

TEST(WakeUpTimer, EarlierRequestIsSet) {
  CHECK_TRUE(timer.Request(TimePoint(200)));
  CHECK_TRUE(timer.Request(TimePoint(100)));
}

TEST(WakeUpTimer, LaterRequestIsNotSet) {
  timer.Request(TimePoint(100));
  CHECK_FALSE(timer.Request(TimePoint(200)));
}

// Guards against a thread that sets a further wake-up for each message while an
// overdue one waits in its queue, and then works for every one of them.
TEST(WakeUpTimer, OverdueWakeUpIsNotSetAgain) {
  timer.Request(TimePoint(100));
  for (int now = 150; now < 160; ++now) {
    CHECK_FALSE(timer.Request(TimePoint(now)));
  }
}

TEST(WakeUpTimer, ReplacedWakeUpIsPassedOver) {
  timer.Request(TimePoint(200));
  timer.Request(TimePoint(100));
  CHECK_TRUE(timer.Fire(TimePoint(100)));
  CHECK_FALSE(timer.Fire(TimePoint(200)));
}

TEST(WakeUpTimer, WakeUpAfterTheLastOneIsSet) {
  timer.Request(TimePoint(100));
  timer.Fire(TimePoint(100));
  CHECK_TRUE(timer.Request(TimePoint(200)));
}

}  // namespace limeledge::platform
