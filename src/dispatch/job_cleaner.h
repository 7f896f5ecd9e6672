/// @file
/// Removes jobs from the store some time after they became final.
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

/// Timing and size limits of removing final jobs.
struct JobCleanerOptions {
  /// Final states are promised to callers for 120 s; the rest allows for slow
  /// callers.
  Duration job_retention{180000};
  /// Pause after a failed removal, as while a partition is unavailable.
  Duration retry_pause{1000};
  /// Jobs per transaction: two rows each, below the store's limit of 100
  /// entries.
  std::size_t max_jobs = 48;
  /// Timeout of one call to the store.
  Duration call_timeout{1200};
};

/// Removes the rows of jobs whose final state is stored, one transaction at a
/// time. The transaction can't depend on the scheduler's lease, whose row is in
/// another partition: a scheduler that has lost its lease may still send it, or
/// it may be applied late. That is harmless, since a stored final state never
/// changes, whichever node schedules. A job's progress is removed after its job
/// row; otherwise the job would be read as a new one.
///
/// Thread safety: none; use it from one thread.
class JobCleaner {
 public:
  explicit JobCleaner(JobCleanerOptions options = {}) : options_(options) {}

  /// Sends the next removal if one is due.
  void Work(Context& ctx, JobRegistry* registry, StateWriter* writer);

  bool Owns(Ticket ticket) const { return in_flight_ && ticket_ == ticket; }
  /// Handles the response to the removal in flight.
  void Handle(Context& ctx, const CommitCompleted& answer,
              JobRegistry* registry, StateWriter* writer);

 private:
  /// Returns jobs of one partition: that of the first job in `final_jobs`.
  std::vector<JobId> ChooseJobs(const std::vector<JobId>& final_jobs) const;

  JobCleanerOptions options_;
  bool in_flight_ = false;
  Ticket ticket_;
  std::vector<JobId> jobs_;
  TimePoint next_at_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_JOB_CLEANER_H_
