/// @file
/// Implementation of the settings version tracking.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/settings_follower.h"

namespace limeledge {

bool SettingsFollower::Offer(SettingsVersion version, const std::string& text) {
  Heard(version);
  if (version <= version_) return false;
  version_ = version;
  text_ = text;
  return true;
}

void SettingsFollower::Heard(SettingsVersion version) {
  if (version > newest_known_) newest_known_ = version;
}

}  // namespace limeledge
