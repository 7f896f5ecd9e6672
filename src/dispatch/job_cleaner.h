/// @file
/// Clears jobs away that have been final for long enough.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_JOB_CLEANER_H_
#define LIMELEDGE_SRC_DISPATCH_JOB_CLEANER_H_

#include <cstddef>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/job_registry.h"
#include "dispatch/state_writer.h"

namespace limeledge::dispatch {

/// Timing and size of clearing jobs away.
struct JobCleanerOptions {
  /// States are promised for 120 s; some more for slow callers.
  Duration job_retention{180000};
  /// Pause after rows could not be removed, as while a part is away.
  Duration retry_pause{1000};
  /// Jobs of one transaction: two rows each, below the store's limit of 100
  /// entries.
  std::size_t max_jobs = 48;
  /// Bound on one call to the store.
  Duration call_timeout{1200};
};

/// Removes the rows of jobs whose final state is known to be stored, one
/// transaction at a time. The transaction can not depend on the scheduler's
/// lease, whose row lies in another part: so it may be sent by one that has
/// lost it, or come through late. That is harmless, since a stored final state
/// never changes, whoever schedules. A job's progress is removed after its own
/// row, or the job would be taken for a new one.
///
/// Thread safety: none; use it from one thread.
class JobCleaner {
 public:
  explicit JobCleaner(JobCleanerOptions options = {}) : options_(options) {}

  /// Sends the next removal if one is due.
  void Work(Context& ctx, JobRegistry* book, StateWriter* writer);

  bool Owns(Ticket ticket) const { return under_way_ && call_ == ticket; }
  /// Takes in the answer of the removal under way.
  void Handle(Context& ctx, const CommitCompleted& answer, JobRegistry* book,
              StateWriter* writer);

 private:
  /// Jobs of one part, the one with the job that is final for longest.
  std::vector<JobId> ChooseJobs(const std::vector<JobId>& old) const;

  JobCleanerOptions options_;
  bool under_way_ = false;
  Ticket call_;
  std::vector<JobId> jobs_;
  TimePoint next_at_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_JOB_CLEANER_H_
