/// @file
/// Checks identifiers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "codec/identifier.h"

#include <algorithm>
#include <cctype>

namespace limeledge {

namespace {

constexpr std::size_t kMaxIdentifierBytes = 64;

}  // namespace

bool IsIdentifier(const std::string& text) {
  if (text.empty() || text.size() > kMaxIdentifierBytes) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

}  // namespace limeledge
