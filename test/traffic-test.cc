/// @file
/// Tests of counting the calls and bytes that a process exchanges.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "platform/traffic.h"

#include "CppUTest/TestHarness.h"

namespace limeledge::platform {

TEST_GROUP(Traffic) {
  Traffic traffic;

  void Add(const char* kind, HttpOutcome outcome) {
    traffic.Add({kind, outcome, 100, 30});
  }
};

TEST(Traffic, CallsOfOneKindAreAddedUp) {
  Add("poll", HttpOutcome::kAnswered);
  Add("poll", HttpOutcome::kLost);
  Add("start", HttpOutcome::kAnswered);
  traffic.AddRows("peer_read", 12);
  LONGS_EQUAL(2, traffic.counts().at("poll").calls);
  LONGS_EQUAL(1, traffic.counts().at("poll").unanswered);
  LONGS_EQUAL(200, traffic.counts().at("poll").sent_bytes);
  LONGS_EQUAL(60, traffic.counts().at("poll").received_bytes);
  LONGS_EQUAL(1, traffic.counts().at("start").calls);
  LONGS_EQUAL(12, traffic.counts().at("peer_read").rows);
}

TEST(Traffic, SummaryNamesEachKind) {
  Add("poll", HttpOutcome::kAnswered);
  const LogLine line = traffic.Summary();
  LONGS_EQUAL(1, line.fields.size());
  STRCMP_EQUAL("poll", line.fields.front().name.c_str());
  STRCMP_EQUAL("1 calls, 0 unanswered, 100 B sent, 30 B received, 0 rows",
               line.fields.front().value.c_str());
}

}  // namespace limeledge::platform
