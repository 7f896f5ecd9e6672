/// @file
/// The stand-in inside a daemon, for trials on one machine.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_PLATFORM_EMBEDDED_PLATFORM_H_
#define LIMELEDGE_SRC_PLATFORM_EMBEDDED_PLATFORM_H_

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "platform/platform_services.h"
#include "platform/target_host.h"
#include "settings/settings.h"

namespace limeledge {

/// Adds the workers that a hall declares to `host`.
absl::Status AddHallTargets(const HallId& id, const HallSettings& hall,
                            TargetHost* host);

/// Runs the platform's services in memory on free loopback ports, with the
/// workers that the settings declare and one runner in each hall.
///
/// Thread safety: all methods from one thread.
class EmbeddedPlatform {
 public:
  explicit EmbeddedPlatform(const Settings& settings);

  absl::Status Start();
  void Stop();
  void AddEntry(const EntryInfo& entry) { services_.AddEntry(entry); }
  std::string address() const { return services_.address(); }

 private:
  absl::Status AddTargets();

  Settings settings_;
  PlatformServices services_;
  std::unique_ptr<TargetHost> targets_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_PLATFORM_EMBEDDED_PLATFORM_H_
