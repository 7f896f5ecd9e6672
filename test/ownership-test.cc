/// @file
/// Tests of ownership by epochs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/ownership.h"

#include "CppUTest/TestHarness.h"

namespace limeledge {

TEST_GROUP(Ownership) {
  Ownership mine{InstanceId("e1"), 7, {Duration(6000), Duration(1000)}};

  static OwnershipRecord Record(int epoch, const char* holder, int incarnation,
                                int version, int renewal) {
    return {Epoch(epoch), InstanceId(holder), incarnation, Revision(version),
            Revision(renewal)};
  }

  /// Claims and commits at `at`.
  void Claim(TimePoint at) {
    OwnershipRecord next = mine.Proposal(OwnershipAction::kClaim);
    next.version = Revision(100 + at.ms());
    mine.OnWritten(at, next);
  }

  bool Decides(OwnershipAction action, TimePoint now, bool preferred,
               bool stopping = false) const {
    return mine.Decide(now, preferred, stopping) == action;
  }
};

TEST(Ownership, FreeIsClaimedByThePreferredOnly) {
  CHECK_TRUE(Decides(OwnershipAction::kClaim, TimePoint(0), true));
  CHECK_TRUE(Decides(OwnershipAction::kNone, TimePoint(0), false));
}

TEST(Ownership, ClaimRaisesTheEpoch) {
  mine.OnRead(TimePoint(0), Record(4, "", 0, 9, 0));
  const OwnershipRecord next = mine.Proposal(OwnershipAction::kClaim);
  LONGS_EQUAL(5, next.epoch.value());
  CHECK_TRUE(next.holder == InstanceId("e1"));
  LONGS_EQUAL(7, next.incarnation);
}

TEST(Ownership, OtherHolderIsReplacedOnlyAfterItsLease) {
  mine.OnRead(TimePoint(0), Record(1, "e2", 1, 5, 0));
  CHECK_TRUE(Decides(OwnershipAction::kNone, TimePoint(5000), true));
  mine.OnRead(TimePoint(5000), Record(1, "e2", 1, 5, 6));
  CHECK_TRUE(Decides(OwnershipAction::kNone, TimePoint(10000), true));
  CHECK_TRUE(Decides(OwnershipAction::kClaim, TimePoint(11000), true));
}

TEST(Ownership, FormerIncarnationIsAnotherHolder) {
  mine.OnRead(TimePoint(0), Record(3, "e1", 6, 5, 0));
  CHECK_FALSE(mine.named());
  CHECK_FALSE(mine.HoldsAt(TimePoint(0)));
  CHECK_TRUE(Decides(OwnershipAction::kNone, TimePoint(1000), true));
  CHECK_TRUE(Decides(OwnershipAction::kClaim, TimePoint(6000), true));
}

TEST(Ownership, HolderRenewsAfterAThirdAndHoldsUntilTheMargin) {
  Claim(TimePoint(0));
  CHECK_TRUE(Decides(OwnershipAction::kNone, TimePoint(1000), true));
  CHECK_TRUE(Decides(OwnershipAction::kRenew, TimePoint(2000), true));
  CHECK_TRUE(mine.HoldsAt(TimePoint(4999)));
  CHECK_FALSE(mine.HoldsAt(TimePoint(5000)));
}

TEST(Ownership, PausedHolderMustRenewBeforeItActs) {
  Claim(TimePoint(0));
  CHECK_FALSE(mine.HoldsAt(TimePoint(50000)));
  CHECK_TRUE(Decides(OwnershipAction::kRenew, TimePoint(50000), true));
}

TEST(Ownership, NewerEpochTakesItAwayForGood) {
  Claim(TimePoint(0));
  mine.OnRead(TimePoint(10), Record(2, "e2", 1, 900, 0));
  CHECK_FALSE(mine.HoldsAt(TimePoint(11)));
  mine.OnRead(TimePoint(12), Record(1, "e1", 7, 100, 0));
  CHECK_FALSE(mine.named());
}

TEST(Ownership, StoppingHolderReleases) {
  Claim(TimePoint(0));
  CHECK_TRUE(Decides(OwnershipAction::kRelease, TimePoint(10), true, true));
  CHECK_TRUE(mine.Proposal(OwnershipAction::kRelease).holder.empty());
}

TEST(Ownership, ClaimWhoseAnswerWasLostIsLearnedFromItsRow) {
  OwnershipRecord next = mine.Proposal(OwnershipAction::kClaim);
  next.version = Revision(5);
  mine.OnRead(TimePoint(40), next);
  CHECK_TRUE(mine.named());
  LONGS_EQUAL(40, mine.since().ms());
  CHECK_FALSE(mine.HoldsAt(TimePoint(40)));
  CHECK_TRUE(Decides(OwnershipAction::kRenew, TimePoint(40), true));
}

}  // namespace limeledge
