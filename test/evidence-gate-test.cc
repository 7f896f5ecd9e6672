/// @file
/// Tests of holding calls while it is uncertain whether the store answers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/evidence_gate.h"

namespace limeledge::dispatch {

TEST_GROUP(EvidenceGate) {
  EvidenceGate gate;
  TimePoint now{10000};

  void Hold() {
    CallReceived call;
    call.call = CallId(7);
    call.deadline = Duration(3000);
    gate.Hold(now, call);
  }
};

TEST(EvidenceGate, OldAnswerIsNoEvidence) {
  CHECK_TRUE(gate.IsFresh(now, now - Duration(400)));
  CHECK_FALSE(gate.IsFresh(now, now - Duration(5000)));
}

TEST(EvidenceGate, CallIsReleasedOnceTheStoreAnswers) {
  Hold();
  CHECK_TRUE(gate.Release(now, now - Duration(5000), false).empty());
  const TimePoint answered_at = now + Duration(5);
  const auto released = gate.Release(answered_at, answered_at, false);
  LONGS_EQUAL(1, released.size());
  CHECK_TRUE(released.front().store_answers);
  LONGS_EQUAL(2995, released.front().call.deadline.ms());
  CHECK_TRUE(gate.empty());
}

TEST(EvidenceGate, CallIsReleasedUnservedOnceTheStoreIsKnownToBeLost) {
  Hold();
  const auto released = gate.Release(now, now - Duration(5000), true);
  LONGS_EQUAL(1, released.size());
  CHECK_FALSE(released.front().store_answers);
}

TEST(EvidenceGate, CallIsNotHeldForever) {
  Hold();
  const TimePoint end = gate.next_at();
  CHECK_TRUE(end - now <= Duration(1000));
  const auto released = gate.Release(end, now - Duration(5000), false);
  LONGS_EQUAL(1, released.size());
  CHECK_FALSE(released.front().store_answers);
  CHECK_TRUE(gate.next_at() == kNever);
}

}  // namespace limeledge::dispatch
