/// @file
/// Tracks the newest accepted version of the settings.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SETTINGS_FOLLOWER_H_
#define LIMELEDGE_SETTINGS_FOLLOWER_H_

#include <string>

#include "limeledge/base.h"

namespace limeledge {

/// Holds the newest accepted settings that this instance has received from the
/// store or from a peer. Copies may arrive in any order; the version in force
/// never decreases.
///
///     if (follower.Offer(version, text)) Apply(follower.text());
///
/// Thread safety: none; use it from one thread.
class SettingsFollower {
 public:
  /// Offers a copy of the settings. Returns true if it is newer than the
  /// version in force; the copy is then in force and the caller must apply it.
  /// Older and equal versions are ignored.
  bool Offer(SettingsVersion version, const std::string& text);

  /// Records that a peer has `version` in force.
  void Heard(SettingsVersion version);

  /// Returns true if a newer version than the one in force is known.
  bool behind() const { return version_ < newest_known_; }
  /// Returns true once any version is in force.
  bool ready() const { return version_ > SettingsVersion(0); }

  /// Returns the version in force; 0 if there is none.
  SettingsVersion version() const { return version_; }
  /// Returns the text of the settings in force; empty if there are none.
  const std::string& text() const { return text_; }

 private:
  SettingsVersion version_;
  SettingsVersion newest_known_;
  std::string text_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SETTINGS_FOLLOWER_H_
