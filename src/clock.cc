/// @file
/// Reads the steady clock.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/clock.h"

#include <ctime>

namespace limeledge {

TimePoint SteadyClock::Now() const {
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::int64_t kNsPerMs = 1000000;
  // The monotonic clock stands still while the machine is suspended: a process
  // would take its leases, and all that it heard, for younger than they are.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs);
}

}  // namespace limeledge
