/// @file
/// Derives timeouts of store calls from observed latencies.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/store_timeout.h"

#include <algorithm>

namespace limeledge::dispatch {

namespace {

constexpr int kFullPercent = 100;

}  // namespace

void StoreTimeout::Ended(Ticket ticket, TimePoint now, bool answered) {
  const auto sent = sent_.find(ticket);
  if (sent == sent_.end()) return;
  const TimePoint sent_at = sent->second;
  const Duration latency = now - sent_at;
  sent_.erase(sent);
  if (!answered) {
    if (!failing_since_.has_value()) failing_since_ = sent_at;
    return;
  }
  answered_at_ = now;
  failing_since_.reset();
  const int kept = kFullPercent - options_.fast_answer_weight_percent;
  const Duration smoothed =
      (usual_latency_ * kept + latency * options_.fast_answer_weight_percent) /
      kFullPercent;
  usual_latency_ = std::max(latency, smoothed);
}

Duration StoreTimeout::For(int attempts) const {
  Duration bound =
      std::max(usual_latency_ * options_.latency_multiple, options_.min);
  for (int i = 0; i < attempts && bound < options_.max; ++i) bound = bound * 2;
  return std::min(bound, options_.max);
}

Duration StoreTimeout::ForProbe() const {
  const Duration bound =
      std::max(usual_latency_ * options_.latency_multiple, options_.min_probe);
  return std::min(bound, For());
}

}  // namespace limeledge::dispatch
