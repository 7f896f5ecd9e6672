/// @file
/// Queries over the recorded fault spans.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/fault_log.h"

#include <algorithm>

namespace limeledge::soak {

void FaultLog::Note(const std::string& subject, TimePoint from, TimePoint to,
                    TroubleSort sort) {
  const std::lock_guard<std::mutex> lock(mutex_);
  spans_.push_back({subject, from, to, sort});
}

bool FaultLog::IsCalm(const std::string& subject, TimePoint from,
                      TimePoint to) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::none_of(spans_.begin(), spans_.end(), [&](const Span& span) {
    return span.subject == subject && span.Touches(from, to) &&
           span.Is(TroubleSort::kFault, TroubleSort::kRunnerLeft);
  });
}

bool FaultLog::AllCalm(TimePoint from, TimePoint to) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::none_of(spans_.begin(), spans_.end(), [&](const Span& span) {
    return span.Touches(from, to) &&
           span.Is(TroubleSort::kFault, TroubleSort::kRunnerLeft);
  });
}

bool FaultLog::IsSteady(TimePoint from, TimePoint to) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::none_of(spans_.begin(), spans_.end(), [&](const Span& span) {
    return span.Touches(from, to) &&
           span.Is(TroubleSort::kFault, TroubleSort::kNodeChange);
  });
}

bool FaultLog::MayOrdersComeLate(TimePoint from, TimePoint to) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::any_of(spans_.begin(), spans_.end(), [&](const Span& span) {
    return span.Touches(from, to) && span.sort == TroubleSort::kLateOrders;
  });
}

}  // namespace limeledge::soak
