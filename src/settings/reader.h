/// @file
/// Reads a settings tree from YAML and reports every fault with its place.
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

/// Longest settings text that is read, in bytes.
inline constexpr std::size_t kMaxSettingsBytes = 1 << 20;

/// Reads and checks a whole tree. `text` is YAML whose root is either the tree
/// or a map whose key `settings` holds it (as in a process file). Returns null
/// and adds to `findings` when anything is wrong. Safe from any thread.
std::shared_ptr<const Settings> ReadSettings(const std::string& text,
                                             Findings* findings);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_SETTINGS_READER_H_
