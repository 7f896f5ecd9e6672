/// @file
/// Tests of calls that wait for each other.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <vector>

#include "net/call_lane.h"

namespace limeledge {

TEST_GROUP(CallLane) {
  CallLane lane;
  std::vector<int> begun;
  std::vector<CallLane::Finished> under_way;

  void Run(int number) {
    lane.Run([this, number](CallLane::Finished finished) {
      begun.push_back(number);
      under_way.push_back(std::move(finished));
    });
  }
};

TEST(CallLane, FirstCallBeginsAtOnce) {
  Run(1);
  LONGS_EQUAL(1, begun.size());
}

TEST(CallLane, NextCallBeginsWhenTheLastIsFinished) {
  Run(1);
  Run(2);
  LONGS_EQUAL(1, begun.size());
  under_way[0]();
  LONGS_EQUAL(2, begun.size());
}

TEST(CallLane, CallsBeginInTheirOrder) {
  for (const int number : {1, 2, 3}) Run(number);
  under_way[0]();
  under_way[1]();
  CHECK((begun == std::vector<int>{1, 2, 3}));
}

TEST(CallLane, IdleLaneBeginsTheNextCallAtOnce) {
  Run(1);
  under_way[0]();
  Run(2);
  LONGS_EQUAL(2, begun.size());
}

}  // namespace limeledge
