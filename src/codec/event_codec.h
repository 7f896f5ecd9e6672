/// @file
/// Events as JSON lines, for recorded sessions and their replay.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CODEC_EVENT_CODEC_H_
#define LIMELEDGE_SRC_CODEC_EVENT_CODEC_H_

#include <string>

#include "absl/status/statusor.h"
#include "core/event.h"
#include "core/reducer.h"

namespace limeledge {

/// One event on one line. All are safe from any thread.
std::string EncodeEvent(const Event& event);
/// Fails with `kDataLoss` when the line is no event.
absl::StatusOr<Event> DecodeEvent(const std::string& line);

/// The first line of a session: what the reducer began with.
std::string EncodeSessionHeader(const ReducerOptions& options);
absl::StatusOr<ReducerOptions> DecodeSessionHeader(const std::string& line);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CODEC_EVENT_CODEC_H_
