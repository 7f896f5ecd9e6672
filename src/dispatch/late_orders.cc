/// @file
/// Bookkeeping for orders without answers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/late_orders.h"

#include <algorithm>
#include <iterator>

namespace limeledge::dispatch {

void LateOrders::RecordStart(const RunKey& run, const Resources& need,
                             TimePoint now, TimePoint until) {
  StartsArrivingAfter(now);
  Start& start = starts_[run];
  start.need = need;
  start.until = std::max(start.until, until);
}

bool LateOrders::MayArrive(const RunKey& run, TimePoint now) const {
  const auto found = starts_.find(run);
  return found != starts_.end() && now < found->second.until;
}

const std::map<RunKey, LateOrders::Start>& LateOrders::StartsArrivingAfter(
    TimePoint now) {
  for (auto it = starts_.begin(); it != starts_.end();) {
    it = it->second.until <= now ? starts_.erase(it) : std::next(it);
  }
  return starts_;
}

void LateOrders::RecordGrant(TimePoint until) {
  grants_until_ = std::max(grants_until_, until);
}

}  // namespace limeledge::dispatch
