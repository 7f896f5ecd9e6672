/// @file
/// Recording of sessions, and their replay.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_TRIAL_SESSION_H_
#define LIMELEDGE_SRC_TRIAL_SESSION_H_

#include <cstdint>
#include <functional>
#include <istream>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/reducer.h"

namespace limeledge {

/// What a replay came to.
struct ReplaySummary {
  std::int64_t events = 0;
  std::int64_t effects = 0;
  /// Virtual time between the first and the last event.
  Duration span;
  /// Hash of all effects in order: equal sessions give equal hashes.
  std::uint64_t hash = 0;
  /// Effects by their first word.
  std::map<std::string, std::int64_t> by_kind;
};

/// Called for each event and its effects.
using ReplayObserver = std::function<void(const Event&, const Effects&)>;

/// Reads a session (a header line, then a line for each event) and reduces it
/// again. Fails with `kDataLoss` naming the line that cannot be read. Safe
/// from any thread.
absl::StatusOr<ReplaySummary> ReplaySession(std::istream& session,
                                            const ReplayObserver& observer);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_TRIAL_SESSION_H_
