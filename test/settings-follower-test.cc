/// @file
/// Tests of tracking settings versions.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "limeledge/settings_follower.h"

namespace limeledge {

TEST_GROUP(SettingsFollower) { SettingsFollower follower; };

TEST(SettingsFollower, NewerVersionIsAccepted) {
  CHECK_TRUE(follower.Offer(SettingsVersion(1), "a"));
  CHECK_TRUE(follower.Offer(SettingsVersion(3), "c"));
  STRCMP_EQUAL("c", follower.text().c_str());
}

TEST(SettingsFollower, OlderAndEqualVersionsAreIgnored) {
  follower.Offer(SettingsVersion(3), "c");
  CHECK_FALSE(follower.Offer(SettingsVersion(2), "b"));
  CHECK_FALSE(follower.Offer(SettingsVersion(3), "x"));
  STRCMP_EQUAL("c", follower.text().c_str());
}

TEST(SettingsFollower, NewerVersionOfAPeerMeansBehind) {
  follower.Offer(SettingsVersion(1), "a");
  CHECK_FALSE(follower.behind());
  follower.Heard(SettingsVersion(2));
  CHECK_TRUE(follower.behind());
  follower.Offer(SettingsVersion(2), "b");
  CHECK_FALSE(follower.behind());
}

TEST(SettingsFollower, NoVersionIsNotReady) { CHECK_FALSE(follower.ready()); }

}  // namespace limeledge
