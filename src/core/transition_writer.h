/// @file
/// The right to act for a hall, and the writes that rest on it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_TRANSITION_WRITER_H_
#define LIMELEDGE_SRC_CORE_TRANSITION_WRITER_H_

#include <map>

#include "core/context.h"
#include "core/job.h"
#include "core/store_client.h"
#include "limeledge/base.h"
#include "limeledge/ownership.h"

namespace limeledge {

/// What the hall's ownership allows at this moment.
struct HallRight {
  HallId hall;
  OwnershipRecord record;
  /// When the present epoch began.
  TimePoint since;
  /// The lease runs and the store answers: new work may start.
  bool may_start = false;
  /// Leases of running tasks may be renewed.
  bool may_renew = false;
};

/// Writes job rows on condition of the hall's epoch and the row's version, at
/// most one at a time for each job.
///
/// Thread safety: none; belongs to the reducer.
class TransitionWriter {
 public:
  /// Queues the write. Precondition: no write of the job is on its way.
  void Push(Context& ctx, const HallRight& right, JobRow next,
            WritePriority priority);
  /// Notes that the job's write is no longer on its way.
  void OnFinished(const JobId& job) { pending_.erase(job); }
  void Reset() { pending_.clear(); }

  bool Busy(const JobId& job) const { return pending_.count(job) != 0; }
  /// Rows on their way, by job.
  const std::map<JobId, JobRow>& pending() const { return pending_; }

 private:
  std::map<JobId, JobRow> pending_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_TRANSITION_WRITER_H_
