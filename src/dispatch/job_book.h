/// @file
/// All accepted jobs as the scheduler knows them, read from the store and
/// followed there.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_JOB_BOOK_H_
#define LIMELEDGE_SRC_DISPATCH_JOB_BOOK_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/job.h"
#include "dispatch/row_codec.h"

namespace limeledge::dispatch {

/// Timing of reading and following jobs.
struct JobBookOptions {
  Duration read_timeout{1500};
  /// A following call is answered after this long without a change.
  Duration follow_wait{2000};
  /// Pause after a call that failed.
  Duration retry_pause{200};
  /// Rows of one reading; the store's own limit.
  int page_rows = 500;
};

/// Reads the jobs and their progress whole, then follows new jobs and
/// cancellations. Progress is only read once, since only the scheduler writes
/// it.
///
/// Thread safety: none; use it from one thread.
class JobBook {
 public:
  explicit JobBook(JobBookOptions options = {}) : options_(options) {}

  /// Sends the next call when it is due.
  void Work(Context& ctx);
  TimePoint next_at() const { return under_way_ ? kNever : next_at_; }
  /// True once everything was read a first time, also while jobs are read again
  /// because the store forgot its history.
  bool loaded() const { return loaded_; }

  bool Owns(Ticket ticket) const { return under_way_ && call_ == ticket; }
  /// Takes in an answer; returns the jobs that are new or to be cancelled.
  std::vector<JobId> Take(Context& ctx, const RowsAnswered& answer);
  std::vector<JobId> Take(Context& ctx, const ChangesAnswered& answer);

  /// Null when the job is not known, or was final long ago.
  Job* Find(const JobId& id);
  /// Jobs that are not final.
  const std::set<JobId>& active() const { return active_; }
  /// Notes that the job is final; its tasks are forgotten.
  void Close(const JobId& id, TimePoint now);
  /// Jobs that became final before `moment`; they are forgotten.
  std::vector<JobId> ForgetClosedBefore(TimePoint moment);

  /// Jobs without recurrence none of whose tasks has begun, by queue.
  WaitingCounts CountWaiting() const;

 private:
  enum class Stage { kReadProgress, kReadJobs, kFollow };

  void Read(Context& ctx, const std::string& table);
  void Retry(TimePoint now);
  void Store(Context& ctx, const Row& row, std::vector<JobId>* changed);
  void StoreCancel(const JobId& id, std::vector<JobId>* changed);

  JobBookOptions options_;
  Stage stage_ = Stage::kReadProgress;
  bool loaded_ = false;
  bool under_way_ = false;
  Ticket call_;
  TimePoint next_at_;
  std::string next_key_;
  /// Changes after this revision were not seen yet.
  Revision seen_;
  bool first_page_ = true;
  Revision page_newest_;
  /// Progress of jobs whose own row was not read yet.
  std::map<JobId, std::string> progress_;
  std::map<JobId, std::unique_ptr<Job>> jobs_;
  std::set<JobId> active_;
  std::map<JobId, TimePoint> closed_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_JOB_BOOK_H_
