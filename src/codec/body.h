/// @file
/// Decoding of a message body, with its faults as a status.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CODEC_BODY_H_
#define LIMELEDGE_SRC_CODEC_BODY_H_

#include <string>

#include "absl/status/statusor.h"
#include "codec/json.h"
#include "limeledge/finding.h"

namespace limeledge {

/// Parses a body and lets `read` pick its fields.
template <typename T, typename ReadFn>
absl::StatusOr<T> DecodeBody(const std::string& body, const char* source,
                             const ReadFn& read) {
  const auto json = ParseJson(body);
  if (!json.ok()) return json.status();
  if (!json->isObject()) return absl::InvalidArgumentError("is no object");
  Findings findings(source);
  T value;
  read(*json, &findings, &value);
  const absl::Status status = findings.ToStatus();
  if (!status.ok()) return status;
  return value;
}

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CODEC_BODY_H_
