/// @file
/// Tests of member states derived from instance lists and heartbeats.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/membership.h"

#include "CppUTest/TestHarness.h"

namespace limeledge {

TEST_GROUP(Membership) {
  Membership members{InstanceId("e1"), {Duration(5000), Duration(5000)}};
  const InstanceId other{"e2"};

  bool IsState(MemberState state, TimePoint now) const {
    return members.StateOf(now, other) == state;
  }
};

TEST(Membership, ListedMemberIsLiveDuringTheGracePeriod) {
  members.OnList(TimePoint(0), {{other, false}});
  CHECK_TRUE(IsState(MemberState::kLive, TimePoint(4999)));
  CHECK_TRUE(IsState(MemberState::kSuspect, TimePoint(5000)));
}

TEST(Membership, MemberWithHeartbeatsIsLiveWithoutListing) {
  members.OnHeartbeat(TimePoint(0), other, 1, false);
  CHECK_TRUE(IsState(MemberState::kLive, TimePoint(100)));
  CHECK_TRUE(IsState(MemberState::kGone, TimePoint(6000)));
}

TEST(Membership, LeavingHeartbeatOverridesTheList) {
  members.OnList(TimePoint(0), {{other, false}});
  members.OnHeartbeat(TimePoint(1), other, 1, true);
  members.OnHeartbeat(TimePoint(2), other, 1, false);
  CHECK_TRUE(IsState(MemberState::kLeaving, TimePoint(3)));
}

TEST(Membership, RestartedMemberIsNotLeaving) {
  members.OnHeartbeat(TimePoint(0), other, 1, true);
  members.OnHeartbeat(TimePoint(1), other, 2, false);
  CHECK_TRUE(IsState(MemberState::kLive, TimePoint(2)));
  members.OnHeartbeat(TimePoint(3), other, 1, true);
  CHECK_TRUE(IsState(MemberState::kLive, TimePoint(4)));
}

TEST(Membership, UnlistedMemberWithoutHeartbeatsIsGone) {
  members.OnList(TimePoint(0), {{other, false}});
  members.OnList(TimePoint(10), {});
  CHECK_TRUE(IsState(MemberState::kGone, TimePoint(10)));
  LONGS_EQUAL(0, members.Peers().size());
}

TEST(Membership, LeavingMemberServesWhileItSendsHeartbeats) {
  members.OnHeartbeat(TimePoint(0), other, 1, true);
  LONGS_EQUAL(2, members.Serving(TimePoint(4999)).size());
  LONGS_EQUAL(1, members.Serving(TimePoint(5000)).size());
}

TEST(Membership, LeavingSelfIsNotLive) {
  members.OnHeartbeat(TimePoint(0), other, 1, false);
  LONGS_EQUAL(2, members.Live(TimePoint(1)).size());
  members.OnList(TimePoint(1), {{InstanceId("e1"), true}});
  LONGS_EQUAL(1, members.Live(TimePoint(1)).size());
}

}  // namespace limeledge
