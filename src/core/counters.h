/// @file
/// Counters that the metrics page and the state dump show.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_COUNTERS_H_
#define LIMELEDGE_SRC_CORE_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "core/job.h"
#include "core/request.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// Counts of one workspace and class.
struct WorkKey {
  WorkspaceId workspace;
  ClassId work_class;

  friend bool operator<(const WorkKey& a, const WorkKey& b) {
    if (a.workspace != b.workspace) return a.workspace < b.workspace;
    return a.work_class < b.work_class;
  }
};

/// Requests of one key by outcome.
struct RequestCounts {
  std::int64_t answered = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
};

/// Durations in buckets of powers of two, in milliseconds.
struct DurationCounts {
  static constexpr std::size_t kBuckets = 24;
  std::array<std::int64_t, kBuckets> buckets = {};
  std::int64_t count = 0;
  std::int64_t sum_ms = 0;

  /// Adds one duration. Precondition: it is not negative.
  void Add(Duration duration) {
    std::size_t bucket = 0;
    while (bucket + 1 < kBuckets &&
           duration.ms() > (std::int64_t{1} << bucket)) {
      ++bucket;
    }
    ++buckets[bucket];
    ++count;
    sum_ms += duration.ms();
  }
};

/// Plain counts since the process began. Thread safety: none.
struct Counters {
  std::map<WorkKey, RequestCounts> requests;
  std::map<JobState, std::int64_t> jobs_ended;
  DurationCounts request_time;
  DurationCounts queue_time;
  DurationCounts job_wait_time;
  DurationCounts reclaim_time;
  DurationCounts store_time;
  std::int64_t retries = 0;
  std::int64_t retries_denied = 0;
  std::int64_t foreign_answers = 0;
  std::int64_t late_answers = 0;
  std::int64_t claims_replayed = 0;
  std::int64_t transactions = 0;
  std::int64_t rows_written = 0;
  std::int64_t rows_read = 0;
  std::int64_t conflicts = 0;
  std::int64_t lost_answers = 0;
  std::int64_t exchanges = 0;
  std::int64_t exchanges_failed = 0;
  std::int64_t heartbeats = 0;
  std::int64_t gangs_started = 0;
  std::int64_t preemptions = 0;
  std::int64_t stale_epochs = 0;
  std::int64_t shadow_agreed = 0;
  std::int64_t shadow_differed = 0;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_COUNTERS_H_
