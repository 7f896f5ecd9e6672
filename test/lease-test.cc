/// @file
/// Tests of lease timing for holders and observers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/lease.h"

#include "CppUTest/TestHarness.h"

namespace limeledge {

TEST_GROUP(Lease) {
  HeldLease held{Duration(6000), Duration(1000)};
  WatchedLease watched{Duration(6000)};
};

TEST(Lease, HeldLeaseStartsAtTheSendAndEndsBeforeTheMargin) {
  held.Renewed(TimePoint(100));
  CHECK_TRUE(held.ValidAt(TimePoint(5099)));
  CHECK_FALSE(held.ValidAt(TimePoint(5100)));
}

TEST(Lease, HolderPausedPastItsLeaseFindsItExpired) {
  held.Renewed(TimePoint(0));
  CHECK_FALSE(held.ValidAt(TimePoint(60000)));
  CHECK_TRUE(held.DueAt(TimePoint(60000)));
}

TEST(Lease, RenewalIsDueAfterAThird) {
  held.Renewed(TimePoint(0));
  CHECK_FALSE(held.DueAt(TimePoint(1999)));
  CHECK_TRUE(held.DueAt(TimePoint(2000)));
}

TEST(Lease, DroppedLeaseIsNotValid) {
  held.Renewed(TimePoint(0));
  held.Drop();
  CHECK_FALSE(held.ValidAt(TimePoint(1)));
}

TEST(Lease, WatchedLeaseExpiresOnlyWithoutChange) {
  watched.Observe(TimePoint(0), Revision(5));
  CHECK_FALSE(watched.LapsedAt(TimePoint(5999)));
  watched.Observe(TimePoint(5000), Revision(6));
  CHECK_FALSE(watched.LapsedAt(TimePoint(10999)));
  watched.Observe(TimePoint(8000), Revision(6));
  CHECK_TRUE(watched.LapsedAt(TimePoint(11000)));
}

TEST(Lease, UnobservedLeaseHasNotExpired) {
  CHECK_FALSE(watched.LapsedAt(TimePoint(100000)));
}

}  // namespace limeledge
