/// @file
/// Tests of `CallLane`, which runs calls one at a time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <vector>

#include "net/call_lane.h"

namespace limeledge {

TEST_GROUP(CallLane) {
  CallLane lane;
  std::vector<int> started;
  std::vector<CallLane::Finished> running;

  void Run(int number) {
    lane.Run([this, number](CallLane::Finished finished) {
      started.push_back(number);
      running.push_back(std::move(finished));
    });
  }
};

TEST(CallLane, FirstCallStartsImmediately) {
  Run(1);
  LONGS_EQUAL(1, started.size());
}

TEST(CallLane, NextCallStartsWhenThePreviousOneFinishes) {
  Run(1);
  Run(2);
  LONGS_EQUAL(1, started.size());
  running[0]();
  LONGS_EQUAL(2, started.size());
}

TEST(CallLane, CallsStartInOrder) {
  for (const int number : {1, 2, 3}) Run(number);
  running[0]();
  running[1]();
  CHECK((started == std::vector<int>{1, 2, 3}));
}

TEST(CallLane, IdleLaneStartsTheNextCallImmediately) {
  Run(1);
  running[0]();
  Run(2);
  LONGS_EQUAL(2, started.size());
}

}  // namespace limeledge
