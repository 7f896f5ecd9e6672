/// @file
/// Follows accepted settings versions, which never go back.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SETTINGS_FOLLOWER_H_
#define LIMELEDGE_SETTINGS_FOLLOWER_H_

#include <string>

#include "limeledge/base.h"

namespace limeledge {

/// Holds the newest accepted settings text that this instance has seen, from
/// the store or from a peer, in whichever order copies arrive.
///
///     if (follower.Offer(version, text)) Apply(follower.text());
///
/// Thread safety: none; use it from one thread.
class SettingsFollower {
 public:
  /// Takes a copy. Returns true when it is newer than what is in force and so
  /// has to be applied; older and equal versions change nothing.
  bool Offer(SettingsVersion version, const std::string& text);

  /// Notes that a peer has `version` in force.
  void Heard(SettingsVersion version);

  /// True when a newer version is known than the one in force.
  bool behind() const { return version_ < newest_heard_; }
  /// True once any version is in force.
  bool ready() const { return version_ > SettingsVersion(0); }

  SettingsVersion version() const { return version_; }
  const std::string& text() const { return text_; }

 private:
  SettingsVersion version_;
  SettingsVersion newest_heard_;
  std::string text_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SETTINGS_FOLLOWER_H_
