/// @file
/// Session replay.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "trial/session.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "codec/effect_text.h"
#include "codec/event_codec.h"

namespace limeledge {

namespace {

void Count(const Effects& effects, ReplaySummary* summary) {
  for (const Effect& effect : effects) {
    const std::string text = DescribeEffect(effect);
    ++summary->effects;
    ++summary->by_kind[text.substr(0, text.find(' '))];
    summary->hash = XXH64(text.data(), text.size(), summary->hash);
  }
}

}  // namespace

absl::StatusOr<ReplaySummary> ReplaySession(std::istream& session,
                                            const ReplayObserver& observer) {
  std::string line;
  if (!std::getline(session, line)) {
    return absl::DataLossError("the session is empty");
  }
  const absl::StatusOr<ReducerOptions> options = DecodeSessionHeader(line);
  if (!options.ok()) {
    return absl::DataLossError(
        absl::StrCat("line 1: ", options.status().message()));
  }
  Reducer reducer(*options);
  ReplaySummary summary;
  TimePoint first;
  for (int number = 2; std::getline(session, line); ++number) {
    if (line.empty()) continue;
    const absl::StatusOr<Event> event = DecodeEvent(line);
    if (!event.ok()) {
      return absl::DataLossError(
          absl::StrCat("line ", number, ": ", event.status().message()));
    }
    const Effects effects = reducer.Reduce(*event);
    if (summary.events == 0) first = event->at;
    ++summary.events;
    summary.span = event->at - first;
    Count(effects, &summary);
    if (observer) observer(*event, effects);
  }
  return summary;
}

}  // namespace limeledge
