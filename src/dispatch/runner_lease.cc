/// @file
/// Until when a runner may hold a lease, whoever granted it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/runner_lease.h"

#include <algorithm>
#include <cstdint>

namespace limeledge::dispatch {

namespace {

// A runner's steady clock may run 2% slow; the third percent covers rounding.
constexpr std::int64_t kSlowClockPercent = 103;
// Timers on the runner fire slightly late.
constexpr Duration kExpiryMargin{150};

}  // namespace

const char* ToString(LeaseBasis basis) {
  switch (basis) {
    case LeaseBasis::kNone:
      return "none";
    case LeaseBasis::kGranted:
      return "granted by this scheduler";
    case LeaseBasis::kPreviousScheduler:
      return "a previous scheduler may renew it";
    case LeaseBasis::kCallToEarlierIncarnation:
      return "a call to an earlier incarnation may arrive";
    case LeaseBasis::kForeignCallBeforeFirstAnswer:
      return "a foreign call may have preceded the first answer";
  }
  return "";
}

Duration OnSlowClock(Duration length) {
  return Duration(length.ms() * kSlowClockPercent / 100) + kExpiryMargin;
}

void RunnerLease::RecordGrant(TimePoint at) {
  granted_until_ = std::max(granted_until_, at);
}

void RunnerLease::AssumeForeignUntil(TimePoint at, LeaseBasis basis) {
  if (at <= foreign_until_) return;
  foreign_until_ = at;
  foreign_basis_ = basis;
}

void RunnerLease::BoundForeign(TimePoint latest, Duration longest) {
  foreign_until_ = latest + OnSlowClock(longest);
  foreign_basis_ = LeaseBasis::kForeignCallBeforeFirstAnswer;
}

TimePoint RunnerLease::expires_at() const {
  return std::max(granted_until_, foreign_until_);
}

LeaseBasis RunnerLease::basis() const {
  if (granted_until_ > foreign_until_) return LeaseBasis::kGranted;
  return foreign_basis_;
}

}  // namespace limeledge::dispatch
