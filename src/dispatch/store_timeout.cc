/// @file
/// Learning how long the store takes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/store_timeout.h"

#include <algorithm>

namespace limeledge::dispatch {

namespace {

constexpr int kAllPercent = 100;

}  // namespace

void StoreTimeout::Ended(Ticket ticket, TimePoint now, bool answered) {
  const auto sent = sent_.find(ticket);
  if (sent == sent_.end()) return;
  const TimePoint sent_at = sent->second;
  const Duration taken = now - sent_at;
  sent_.erase(sent);
  if (!answered) {
    if (!failing_since_.has_value()) failing_since_ = sent_at;
    return;
  }
  answered_at_ = now;
  failing_since_.reset();
  const int kept = kAllPercent - options_.fall_percent;
  const Duration fallen =
      (usual_ * kept + taken * options_.fall_percent) / kAllPercent;
  usual_ = std::max(taken, fallen);
}

Duration StoreTimeout::For(int tries) const {
  Duration bound = std::max(usual_ * options_.times_usual, options_.shortest);
  for (int i = 0; i < tries && bound < options_.longest; ++i) bound = bound * 2;
  return std::min(bound, options_.longest);
}

}  // namespace limeledge::dispatch
