/// @file
/// Limits how many writes the callers of a workspace cause.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_WRITE_QUOTA_H_
#define LIMELEDGE_SRC_DISPATCH_WRITE_QUOTA_H_

#include <algorithm>
#include <cstdint>
#include <map>

#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// The writes that each workspace may cause.
struct WriteQuotaOptions {
  /// Writes per second at all nodes together: a tenth of what the store takes.
  double writes_per_second = 80;
  /// Writes that a node accepts at once.
  double burst = 32;
};

/// A token bucket per workspace. All nodes share the rate equally, so that what
/// a workspace may cause does not grow with their number.
///
/// Thread safety: none; use it from one thread.
class WriteQuota {
 public:
  explicit WriteQuota(WriteQuotaOptions options = {}) : options_(options) {}

  /// Sets the number of nodes; 0 counts as one.
  void SetNodeCount(std::int64_t nodes) {
    nodes_ = std::max<std::int64_t>(1, nodes);
  }

  /// Takes one write of the workspace's quota. Returns false if it is used up.
  bool Take(TimePoint now, const WorkspaceId& workspace) {
    constexpr double kMsPerSecond = 1000;
    const auto [entry, is_new] =
        buckets_.try_emplace(workspace, Bucket{options_.burst, now});
    Bucket& bucket = entry->second;
    const double rate =
        options_.writes_per_second / static_cast<double>(nodes_);
    const double refill = static_cast<double>((now - bucket.filled_at).ms()) *
                          rate / kMsPerSecond;
    bucket.tokens = std::min(options_.burst, bucket.tokens + refill);
    bucket.filled_at = now;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled_at;
  };

  WriteQuotaOptions options_;
  std::int64_t nodes_ = 1;
  std::map<WorkspaceId, Bucket> buckets_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_WRITE_QUOTA_H_
