/// @file
/// All accepted jobs as the scheduler knows them, read from the store and
/// followed there.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_JOB_REGISTRY_H_
#define LIMELEDGE_SRC_DISPATCH_JOB_REGISTRY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/job.h"
#include "dispatch/row_codec.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

/// Timing of reading and following jobs.
struct JobRegistryOptions {
  /// A following call is answered after this long without a change. Short: new
  /// jobs are not seen while one waits on a connection that went silent.
  Duration watch_wait{500};
  /// Pause after a call that failed.
  Duration retry_pause{200};
  /// Scheduling goes on without a part that can not be read for so long: a few
  /// readings of an ordinary store, and less than what is left of the runs'
  /// leases after a take-over.
  Duration partition_timeout{700};
  /// Rows of one reading; the store's own limit.
  int page_rows = 500;
};

/// Reads the jobs and their progress whole, then follows new jobs and
/// cancellations. Progress is only read once, since only the scheduler writes
/// it.
///
/// Thread safety: none; use it from one thread.
class JobRegistry {
 public:
  /// `patience` outlives this object.
  explicit JobRegistry(const StoreTimeout* patience,
                       JobRegistryOptions options = {})
      : options_(options), patience_(patience) {}

  /// Sends the next call when it is due.
  void Work(Context& ctx);
  TimePoint next_at() const;
  /// True once everything was read a first time, also while jobs are read again
  /// because the store forgot its history, or while a part of the store is
  /// away.
  bool loaded() const { return loaded_; }
  /// False while the part that holds the job was never read: nothing can be
  /// said of it.
  bool HasReadPartitionOf(const JobId& id) const;
  /// True once every part was read.
  bool HasReadAllPartitions() const {
    return parts_read_.size() == kJobPartitions;
  }

  bool Owns(Ticket ticket) const;
  /// Takes in an answer to a call of this book (`Owns`); returns the jobs that
  /// are new or to be cancelled.
  std::vector<JobId> Handle(Context& ctx, const ReadCompleted& answer);
  std::vector<JobId> Handle(Context& ctx, const ChangesReceived& answer);

  /// Null when the job is not known, or was final long ago.
  Job* Find(const JobId& id);
  /// Jobs that are not final.
  const std::set<JobId>& active() const { return active_; }
  /// Notes that the job is final; its tasks are forgotten.
  void MarkFinal(const JobId& id);
  /// Notes that the closed job's final state is in the store.
  void RecordFinalStored(const JobId& id, TimePoint now);
  /// Closed jobs whose final state is in the store since before `moment`.
  std::vector<JobId> FinalizedBefore(TimePoint moment) const;
  /// Forgets a final job. Precondition: its row is removed, or it would be
  /// taken for a new one.
  void Forget(const JobId& id) { closed_.erase(id); }
  /// Jobs with progress but without a row of their own; told once.
  std::vector<JobId> TakeOrphans();

  /// Jobs without recurrence none of whose tasks has begun, by queue.
  WaitingCounts CountWaiting() const;

 private:
  enum class Stage { kReadProgress, kReadJobs };
  /// The reading of one part of a table, page by page.
  struct Reading {
    std::string partition;
    std::string next_key;
    bool under_way = false;
    /// Calls for the present page that were not answered.
    int misses = 0;
    Ticket call;
    TimePoint next_at;
  };

  /// Reads all parts of the table of jobs at once.
  void BeginReadingJobs(TimePoint now);
  void Read(Context& ctx, Reading* reading);
  /// All parts of the stage's table are read.
  void FinishReading(TimePoint now);
  bool MayFollow() const { return loaded_ && seen_ > Revision(); }
  void Follow(Context& ctx);
  /// Takes in a row of the table of jobs: a job, or the wish to cancel one.
  void Store(Context& ctx, const Row& row, std::vector<JobId>* changed);
  /// Gives a new job the progress that was read for it, if any. Returns false
  /// if that is unreadable: the job must not begin anew then, since its tasks
  /// may have run.
  bool ReadProgress(Context& ctx, const JobId& id, Job* job);
  void StoreCancel(const JobId& id, std::vector<JobId>* changed);

  JobRegistryOptions options_;
  const StoreTimeout* patience_;
  Stage stage_ = Stage::kReadProgress;
  bool loaded_ = false;
  /// What is still to be read in this stage.
  std::vector<Reading> readings_ = {Reading()};
  TimePoint jobs_asked_at_;
  std::set<std::string> parts_read_;
  // The following call.
  bool follow_under_way_ = false;
  Ticket follow_call_;
  /// What the call under way follows from.
  Revision follow_from_;
  TimePoint follow_at_;
  /// Following calls in a row that were not answered.
  int follow_misses_ = 0;
  /// Changes after this revision were not seen yet.
  Revision seen_;
  std::vector<JobId> orphans_;
  /// Progress of jobs whose own row was not read yet.
  std::map<JobId, std::string> progress_;
  std::map<JobId, std::unique_ptr<Job>> jobs_;
  std::set<JobId> active_;
  /// Final jobs, and since when that is known to be stored, if it is.
  std::map<JobId, std::optional<TimePoint>> closed_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_JOB_REGISTRY_H_
