/// @file
/// Ignores an older settings version that arrives late.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/settings_follower.h"

#include <cstdio>

int main() {
  limeledge::SettingsFollower follower;
  follower.Offer(limeledge::SettingsVersion(2), "two");
  follower.Offer(limeledge::SettingsVersion(1), "one");
  std::printf("in force: %s\n", follower.text().c_str());
  return 0;
}
