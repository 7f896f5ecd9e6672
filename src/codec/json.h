/// @file
/// Strict JSON parsing and compact writing.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CODEC_JSON_H_
#define LIMELEDGE_SRC_CODEC_JSON_H_

#include <json/json.h>

#include <string>

#include "absl/status/statusor.h"

namespace limeledge {

/// Deepest nesting that is read.
inline constexpr int kMaxJsonDepth = 32;

/// Parses a whole JSON text. Fails with `kInvalidArgument` on anything that
/// standard JSON does not allow, repeated keys, text after the value, and
/// nesting deeper than `kMaxJsonDepth`. Safe from any thread.
absl::StatusOr<Json::Value> ParseJson(const std::string& text);

/// Writes without white space. Safe from any thread.
std::string WriteJson(const Json::Value& value);
/// Writes with indentation, for people. Safe from any thread.
std::string WritePrettyJson(const Json::Value& value);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CODEC_JSON_H_
