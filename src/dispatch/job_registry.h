/// @file
/// The scheduler's in-memory copy of all accepted jobs, read from the store and
/// kept current by a watch.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_JOB_REGISTRY_H_
#define LIMELEDGE_SRC_DISPATCH_JOB_REGISTRY_H_

#include <algorithm>
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
#include "dispatch/tombstones.h"

namespace limeledge::dispatch {

/// Timing and paging of reads and watches of the job table.
struct JobRegistryOptions {
  /// A watch call returns after this time if nothing changed. Short, because
  /// new jobs are not seen while a call waits on a connection that went silent.
  Duration watch_wait{500};
  /// Pause after a failed call.
  Duration retry_pause{200};
  /// Scheduling continues without a partition that can't be read for this long:
  /// a few reads of a healthy store, and less than what remains of the runs'
  /// leases after a take-over.
  Duration partition_timeout{700};
  /// The jobs are outdated if no answer of the store to a later request was
  /// handled for this long. Callers rely on it that nothing of a job starts 3 s
  /// after its cancellation was acknowledged.
  Duration max_age{2500};
  /// Rows per read; the store's own limit.
  int page_rows = 500;
};

/// Reads all jobs and their progress, then watches for new jobs and
/// cancellations. Progress is read only once, since only the scheduler writes
/// it.
///
/// Thread safety: none; use it from one thread.
class JobRegistry {
 public:
  /// `store_timeout` must outlive this object.
  explicit JobRegistry(const StoreTimeout* store_timeout,
                       JobRegistryOptions options = {})
      : options_(options), store_timeout_(store_timeout) {}

  /// Sends the calls that are due.
  void Work(Context& ctx);
  TimePoint next_at() const;
  /// Returns true once the first read is complete. Stays true while jobs are
  /// read again because the store compacted its history, and while a partition
  /// is unavailable.
  bool loaded() const { return loaded_; }
  /// Returns false until the partition that holds the job has been read. Until
  /// then it is unknown whether the job exists.
  bool HasReadPartitionOf(const JobId& id) const;
  /// Returns true once every partition has been read.
  bool HasReadAllPartitions() const {
    return partitions_read_.size() == kJobPartitions;
  }

  /// Returns true if all changes up to a short time before `now` have been
  /// applied, as far as there are any: the store was unavailable until
  /// `available_since`, or is available for longer. While it returns false,
  /// nothing must be started: jobs may have been cancelled.
  bool IsCurrent(TimePoint now, TimePoint available_since) const {
    const TimePoint unseen_since = std::max(current_at_, available_since);
    return loaded_ && now - unseen_since <= options_.max_age;
  }
  /// All changes up to this time have been applied.
  TimePoint current_at() const { return current_at_; }

  bool Owns(Ticket ticket) const;
  /// Handles the response to one of this registry's calls (`Owns`). Returns the
  /// jobs that are new or whose cancellation was requested.
  std::vector<JobId> Handle(Context& ctx, const ReadCompleted& answer);
  std::vector<JobId> Handle(Context& ctx, const ChangesReceived& answer);

  /// Returns null if the job is unknown or final.
  Job* Find(const JobId& id);
  /// Jobs that are not final.
  const std::set<JobId>& active() const { return active_; }
  /// Marks the job final and drops its tasks.
  void MarkFinal(const JobId& id);
  /// Records that the final job's state is stored.
  void RecordFinalStored(const JobId& id, TimePoint now);
  /// Returns the final jobs whose state was stored before `moment`.
  std::vector<JobId> FinalizedBefore(TimePoint moment) const;
  /// Removes a final job. Precondition: its row was removed from the store, as
  /// of `removed_at`; otherwise it would be read as a new job.
  void Forget(const JobId& id, Revision removed_at);
  /// Returns the keys of rows in the progress table that no job needs, each
  /// only once: those without a job row, and blocks of final jobs.
  std::vector<std::string> TakeOrphans();

  /// The tombstones in the partitions that have been read.
  Tombstones& tombstones() { return tombstones_; }
  const Tombstones& tombstones() const { return tombstones_; }

  /// Counts jobs without recurrence and without started tasks, per queue.
  WaitingCounts CountWaiting() const;

 private:
  enum class Stage { kReadProgress, kReadJobs };
  /// State of reading one partition of a table page by page.
  struct PartitionRead {
    std::string partition;
    std::string next_key;
    bool in_flight = false;
    /// Calls for the current page that got no response.
    int unanswered_attempts = 0;
    Ticket ticket;
    TimePoint next_at;
  };

  /// Starts to read all partitions of the job table at the same time.
  void StartReadingJobs(TimePoint now);
  void Read(Context& ctx, PartitionRead* read);
  /// Called when all partitions of the stage's table have been read.
  void FinishStage(TimePoint now);
  bool CanWatch() const { return loaded_ && revision_ > Revision(); }
  void Watch(Context& ctx);
  /// Applies a row of the job table: a job, a request to cancel one, or a
  /// tombstone.
  void ApplyRow(Context& ctx, const Row& row, std::vector<JobId>* changed);
  /// Records that a row of the job table was removed.
  void ApplyRemoval(const RowKey& key);
  /// The rows that hold a job's progress.
  struct StoredProgress {
    /// Empty if there is no such row.
    std::string row;
    /// Rows of blocks, by their keys.
    std::map<std::string, std::string> blocks;
  };
  /// Records a row of the progress table.
  void AddProgressRow(const Row& row);
  static absl::Status Restore(const StoredProgress& progress, Job* job);
  /// Restores the progress that was read for a new job, if any. Returns false
  /// if the progress can't be decoded: the job must not start from the
  /// beginning then, since its tasks may have run.
  bool RestoreProgress(Context& ctx, const JobId& id, Job* job);
  /// True if the row of this job is older than its removal.
  bool WasRemoved(const JobId& id, Revision revision) const;
  void ApplyCancel(const JobId& id, std::vector<JobId>* changed);

  JobRegistryOptions options_;
  const StoreTimeout* store_timeout_;
  Stage stage_ = Stage::kReadProgress;
  bool loaded_ = false;
  /// Partitions that are still to be read in this stage.
  std::vector<PartitionRead> reads_ = {PartitionRead()};
  TimePoint job_read_started_at_;
  std::set<std::string> partitions_read_;
  // The watch call.
  bool watch_in_flight_ = false;
  Ticket watch_ticket_;
  TimePoint watch_sent_at_;
  /// Revision from which the watch call in flight started.
  Revision watch_from_;
  TimePoint watch_at_;
  /// Consecutive watch calls without a response.
  int unanswered_watches_ = 0;
  TimePoint current_at_;
  /// Changes after this revision have not been seen.
  Revision revision_;
  std::vector<std::string> orphans_;
  /// Progress of jobs whose job row has not been read.
  std::map<JobId, StoredProgress> progress_;
  std::map<JobId, std::unique_ptr<Job>> jobs_;
  std::set<JobId> active_;
  /// Final jobs, with the time at which the stored final state was confirmed,
  /// if it was.
  std::map<JobId, std::optional<TimePoint>> final_jobs_;
  /// Jobs whose progress was read and could not be decoded.
  std::set<JobId> unreadable_jobs_;
  /// Jobs that were forgotten since the present read began, with the revision
  /// of the removal. Answers may still show their rows from before it.
  std::map<JobId, Revision> forgotten_during_read_;
  Tombstones tombstones_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_JOB_REGISTRY_H_
