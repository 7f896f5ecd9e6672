/// @file
/// Reads the steady clock.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/clock.h"

#include <chrono>

namespace limeledge {

TimePoint SteadyClock::Now() const {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

}  // namespace limeledge
