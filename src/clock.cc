/// @file
/// Implementation of the steady clock.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/clock.h"

#include <ctime>

namespace limeledge {

TimePoint SteadyClock::Now() const {
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::int64_t kNsPerMs = 1000000;
  // CLOCK_MONOTONIC stops while the machine is suspended. A process that used
  // it would underestimate the age of its leases and of received messages.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs);
}

}  // namespace limeledge
