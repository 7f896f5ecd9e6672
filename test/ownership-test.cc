/// @file
/// Tests of claiming, renewing and releasing a resource.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/ownership.h"

#include "CppUTest/TestHarness.h"

namespace limeledge {

TEST_GROUP(Ownership) {
  Ownership ownership{InstanceId("e1"), 7, {Duration(6000), Duration(1000)}};

  static OwnershipRecord Record(int epoch, const char* holder, int incarnation,
                                int version, int renewal) {
    return {Epoch(epoch), InstanceId(holder), incarnation, Revision(version),
            Revision(renewal)};
  }

  /// Claims the resource with a write that is sent and committed at `at`.
  void Claim(TimePoint at) {
    OwnershipRecord next = ownership.Proposal(OwnershipAction::kClaim);
    next.version = Revision(100 + at.ms());
    ownership.OnWritten(at, next);
  }

  bool Decides(OwnershipAction action, TimePoint now, bool preferred,
               bool stopping = false) const {
    return ownership.Decide(now, preferred, stopping) == action;
  }
};

TEST(Ownership, UnownedResourceIsClaimedOnlyIfPreferred) {
  CHECK_TRUE(Decides(OwnershipAction::kClaim, TimePoint(0), true));
  CHECK_TRUE(Decides(OwnershipAction::kNone, TimePoint(0), false));
}

TEST(Ownership, ClaimIncrementsTheEpoch) {
  ownership.OnRead(TimePoint(0), Record(4, "", 0, 9, 0));
  const OwnershipRecord next = ownership.Proposal(OwnershipAction::kClaim);
  LONGS_EQUAL(5, next.epoch.value());
  CHECK_TRUE(next.holder == InstanceId("e1"));
  LONGS_EQUAL(7, next.incarnation);
}

TEST(Ownership, OtherHolderIsReplacedOnlyAfterItsLeaseExpires) {
  ownership.OnRead(TimePoint(0), Record(1, "e2", 1, 5, 0));
  CHECK_TRUE(Decides(OwnershipAction::kNone, TimePoint(5000), true));
  ownership.OnRead(TimePoint(5000), Record(1, "e2", 1, 5, 6));
  CHECK_TRUE(Decides(OwnershipAction::kNone, TimePoint(10000), true));
  CHECK_TRUE(Decides(OwnershipAction::kClaim, TimePoint(11000), true));
}

TEST(Ownership, PreviousIncarnationIsADifferentHolder) {
  ownership.OnRead(TimePoint(0), Record(3, "e1", 6, 5, 0));
  CHECK_FALSE(ownership.named());
  CHECK_FALSE(ownership.HoldsAt(TimePoint(0)));
  CHECK_TRUE(Decides(OwnershipAction::kNone, TimePoint(1000), true));
  CHECK_TRUE(Decides(OwnershipAction::kClaim, TimePoint(6000), true));
}

TEST(Ownership, HolderRenewsAfterAThirdAndHoldsUntilTheMargin) {
  Claim(TimePoint(0));
  CHECK_TRUE(Decides(OwnershipAction::kNone, TimePoint(1000), true));
  CHECK_TRUE(Decides(OwnershipAction::kRenew, TimePoint(2000), true));
  CHECK_TRUE(ownership.HoldsAt(TimePoint(4999)));
  CHECK_FALSE(ownership.HoldsAt(TimePoint(5000)));
}

TEST(Ownership, PausedHolderMustRenewBeforeItActs) {
  Claim(TimePoint(0));
  CHECK_FALSE(ownership.HoldsAt(TimePoint(50000)));
  CHECK_TRUE(Decides(OwnershipAction::kRenew, TimePoint(50000), true));
}

TEST(Ownership, NewerEpochEndsTheOwnershipPermanently) {
  Claim(TimePoint(0));
  ownership.OnRead(TimePoint(10), Record(2, "e2", 1, 900, 0));
  CHECK_FALSE(ownership.HoldsAt(TimePoint(11)));
  ownership.OnRead(TimePoint(12), Record(1, "e1", 7, 100, 0));
  CHECK_FALSE(ownership.named());
}

TEST(Ownership, StoppingHolderReleases) {
  Claim(TimePoint(0));
  CHECK_TRUE(Decides(OwnershipAction::kRelease, TimePoint(10), true, true));
  CHECK_TRUE(ownership.Proposal(OwnershipAction::kRelease).holder.empty());
}

TEST(Ownership, ClaimWithALostReplyIsLearnedByReading) {
  OwnershipRecord next = ownership.Proposal(OwnershipAction::kClaim);
  next.version = Revision(5);
  ownership.OnRead(TimePoint(40), next);
  CHECK_TRUE(ownership.named());
  LONGS_EQUAL(40, ownership.since().ms());
  CHECK_FALSE(ownership.HoldsAt(TimePoint(40)));
  CHECK_TRUE(Decides(OwnershipAction::kRenew, TimePoint(40), true));
}

}  // namespace limeledge
