/// @file
/// A holder that was paused beyond its lease no longer holds it on resuming.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/lease.h"

#include <cstdio>

int main() {
  limeledge::FakeClock clock;
  limeledge::HeldLease lease(limeledge::Duration(6000),
                             limeledge::Duration(1000));
  lease.Renewed(clock.Now());
  std::printf("held: %d\n", lease.ValidAt(clock.Now()) ? 1 : 0);
  clock.Advance(limeledge::Duration(60000));
  std::printf("held after a pause: %d\n", lease.ValidAt(clock.Now()) ? 1 : 0);
  return 0;
}
