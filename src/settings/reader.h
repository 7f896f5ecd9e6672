/// @file
/// Reads and validates a settings tree in YAML.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_SETTINGS_READER_H_
#define LIMELEDGE_SRC_SETTINGS_READER_H_

#include <memory>
#include <string>

#include "limeledge/finding.h"
#include "settings/settings.h"

namespace limeledge {

/// Maximum size of a settings text in bytes.
inline constexpr std::size_t kMaxSettingsBytes = 1 << 20;

/// Reads and validates a settings tree. `text` is YAML whose root is either the
/// tree or a map with the tree under the key `settings`, as in the
/// configuration file of a process. Adds all errors to `findings` and returns
/// null if there are any, also if `findings` was not empty before the call.
/// Safe from any thread.
std::shared_ptr<const Settings> ReadSettings(const std::string& text,
                                             Findings* findings);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_SETTINGS_READER_H_
