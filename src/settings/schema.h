/// @file
/// Every settings key: its type, unit, range and default, in one table.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_SETTINGS_SCHEMA_H_
#define LIMELEDGE_SRC_SETTINGS_SCHEMA_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limeledge {

enum class ValueType { kInteger, kBool, kName };

/// Where a key may stand.
enum class KeyScope {
  /// In `defaults`, a class, a workspace, or a class of a workspace.
  kInherited,
  /// In `system` only.
  kSystem,
};

/// One key of the settings tree.
struct KeySchema {
  std::string_view name;
  KeyScope scope;
  ValueType type;
  /// "ms", "rows/s", "" and so on.
  std::string_view unit;
  /// Bounds of integers.
  std::int64_t min;
  std::int64_t max;
  /// Default of integers and booleans (0 or 1).
  std::int64_t number;
  /// Default of names.
  std::string_view text;
  std::string_view help;
};

/// All keys, in the order in which docs/SETTINGS.md lists them.
const std::vector<KeySchema>& AllKeys();

/// The key's line in docs/SETTINGS.md. Safe from any thread.
std::string DocumentKey(const KeySchema& key);

/// Returns the key, or null when there is none of that name and scope.
const KeySchema* FindKey(std::string_view name, KeyScope scope);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_SETTINGS_SCHEMA_H_
