/// @file
/// Two members agree on the owner of a resource through epochs in a table.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/ownership.h"

#include <cstdio>

using limeledge::InstanceId;
using limeledge::OwnershipAction;
using limeledge::TimePoint;

int main() {
  const limeledge::OwnershipOptions options;
  limeledge::Ownership mine(InstanceId("a"), 1, options);
  limeledge::Ownership theirs(InstanceId("b"), 1, options);
  // "a" claims the resource. A real program writes the proposal only if the row
  // is unchanged.
  limeledge::OwnershipRecord row = mine.Proposal(OwnershipAction::kClaim);
  row.version = limeledge::Revision(1);
  mine.OnWritten(TimePoint(0), row);
  theirs.OnRead(TimePoint(0), row);
  const bool waits =
      theirs.Decide(TimePoint(5000), true, false) == OwnershipAction::kNone;
  const bool claims =
      theirs.Decide(TimePoint(6000), true, false) == OwnershipAction::kClaim;
  std::printf("epoch %lld; the other waits %d, then claims %d\n",
              static_cast<long long>(row.epoch.value()), waits ? 1 : 0,
              claims ? 1 : 0);
  return 0;
}
