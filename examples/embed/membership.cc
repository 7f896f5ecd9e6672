/// @file
/// A heartbeat that reports 'leaving' takes precedence over a stale list.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/membership.h"

#include <cstdio>

using limeledge::InstanceId;
using limeledge::TimePoint;

int main() {
  limeledge::Membership members(InstanceId("a"), {});
  members.OnList(TimePoint(0), {{InstanceId("b"), false}});
  members.OnHeartbeat(TimePoint(10), InstanceId("b"), 1, true);
  std::printf("b is %s\n", limeledge::ToString(members.StateOf(
                               TimePoint(20), InstanceId("b"))));
  return 0;
}
