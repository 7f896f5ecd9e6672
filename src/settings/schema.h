/// @file
/// The schema of the settings: type, unit, range and default of each key.
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

/// Type of a settings value.
enum class ValueType { kInteger, kBool, kName };

/// Where a key is allowed.
enum class KeyScope {
  /// Allowed in `defaults`, a class, a workspace, or a class of a workspace.
  kInherited,
  /// Allowed only in `system`.
  kSystem,
};

/// Schema of one key of the settings tree.
struct KeySchema {
  std::string_view name;
  KeyScope scope;
  ValueType type;
  /// Unit such as "ms" or "rows/s"; empty for plain numbers, names and
  /// booleans.
  std::string_view unit;
  /// Smallest and largest allowed value of an integer.
  std::int64_t min;
  std::int64_t max;
  /// Default of an integer, or of a boolean as 0 or 1.
  std::int64_t default_int;
  /// Default of a name.
  std::string_view default_text;
  /// Description for users, as in docs/SETTINGS.md.
  std::string_view help;
};

/// Returns all keys in the order of docs/SETTINGS.md. Safe from any thread.
const std::vector<KeySchema>& AllKeys();

/// Returns the key's row in the Markdown table of docs/SETTINGS.md. Safe from
/// any thread.
std::string DocumentKey(const KeySchema& key);

/// Returns the key with this name and scope, or null if there is none. Safe
/// from any thread.
const KeySchema* FindKey(std::string_view name, KeyScope scope);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_SETTINGS_SCHEMA_H_
