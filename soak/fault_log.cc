/// @file
/// Spans of troubles.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/fault_log.h"

#include <algorithm>

namespace limeledge::soak {

void FaultLog::Note(const std::string& subject, TimePoint from, TimePoint to) {
  const std::lock_guard<std::mutex> lock(mutex_);
  spans_.push_back({subject, from, to});
}

bool FaultLog::IsCalm(const std::string& subject, TimePoint from,
                      TimePoint to) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::none_of(spans_.begin(), spans_.end(), [&](const Span& span) {
    return span.subject == subject && span.from <= to && span.to >= from;
  });
}

bool FaultLog::AllCalm(TimePoint from, TimePoint to) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::none_of(spans_.begin(), spans_.end(), [&](const Span& span) {
    return span.from <= to && span.to >= from;
  });
}

}  // namespace limeledge::soak
