/// @file
/// Former capacities of runners, to check starts after a capacity has shrunk.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_EMULATOR_CAPACITY_HISTORY_H_
#define LIMELEDGE_SRC_EMULATOR_CAPACITY_HISTORY_H_

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "dispatch/job_spec.h"
#include "dispatch/runner.h"

namespace limeledge::emulator {

/// Records the capacities that runners had before they shrank.
///
/// Thread safety: none; callers lock.
class CapacityHistory {
 public:
  /// Starts have to respect a reduced capacity `notice` after the change, since
  /// the scheduler learns of it with a delay.
  explicit CapacityHistory(Duration notice) : notice_(notice) {}

  /// Records that the runner's capacity changes from `before` to another value.
  void RecordChange(const RunnerId& runner, const dispatch::Resources& before,
                    TimePoint now) {
    former_capacities_[runner].emplace_back(before, now + notice_);
  }
  /// Returns true if a start that was sent at `sent_at` may bring the capacity
  /// in use to `used`.
  bool Allows(const dispatch::RunnerInfo& info, const dispatch::Resources& used,
              TimePoint sent_at) const {
    if (used.Fits(info.room)) return true;
    const auto found = former_capacities_.find(info.id);
    if (found == former_capacities_.end()) return false;
    return std::any_of(
        found->second.begin(), found->second.end(), [&](const auto& entry) {
          return sent_at < entry.second && used.Fits(entry.first);
        });
  }

 private:
  Duration notice_;
  std::map<RunnerId, std::vector<std::pair<dispatch::Resources, TimePoint>>>
      former_capacities_;
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_SRC_EMULATOR_CAPACITY_HISTORY_H_
