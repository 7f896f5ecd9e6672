/// @file
/// Keeps the sums of observed durations.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/observed_durations.h"

namespace limeledge::dispatch {

void ObservedDurations::Record(const IncarnationId& incarnation,
                               Duration duration) {
  OfRunner& runner = runners_[incarnation.runner];
  const auto [shortest, added] =
      runner.shortest.emplace(incarnation.start_time, duration);
  Duration change = duration;
  if (added) {
    ++count_;
  } else if (duration < shortest->second) {
    change = duration - shortest->second;
    shortest->second = duration;
  } else {
    return;
  }
  runner.sum = runner.sum + change;
  sum_ = sum_ + change;
}

Duration ObservedDurations::MeanElsewhere(const RunnerId& runner) const {
  Duration sum = sum_;
  std::int64_t count = count_;
  const auto own = runners_.find(runner);
  if (own != runners_.end()) {
    sum = sum - own->second.sum;
    count -= static_cast<std::int64_t>(own->second.shortest.size());
  }
  return count == 0 ? Duration(0) : sum / count;
}

}  // namespace limeledge::dispatch
