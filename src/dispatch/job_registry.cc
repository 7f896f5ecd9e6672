/// @file
/// Reads and watches the job table.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/job_registry.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace limeledge::dispatch {

namespace {

/// Returns the job to which a key with the suffix belongs.
std::optional<JobId> JobOfKey(const RowKey& key, const char* suffix) {
  if (!absl::EndsWith(key.key, suffix)) return std::nullopt;
  return JobId(std::string(absl::StripSuffix(key.key, suffix)));
}

}  // namespace

bool JobRegistry::Owns(Ticket ticket) const {
  if (watch_in_flight_ && watch_ticket_ == ticket) return true;
  return std::any_of(reads_.begin(), reads_.end(),
                     [ticket](const PartitionRead& read) {
                       return read.in_flight && read.ticket == ticket;
                     });
}

bool JobRegistry::HasReadPartitionOf(const JobId& id) const {
  return partitions_read_.count(JobPartition(id.value())) != 0;
}

TimePoint JobRegistry::next_at() const {
  TimePoint next = CanWatch() && !watch_in_flight_ ? watch_at_ : kNever;
  for (const PartitionRead& read : reads_) {
    if (!read.in_flight) next = std::min(next, read.next_at);
  }
  const bool waits_for_partitions = !loaded_ && !partitions_read_.empty();
  if (!waits_for_partitions) return next;
  return std::min(next, job_read_started_at_ + options_.partition_timeout);
}

void JobRegistry::StartReadingJobs(TimePoint now) {
  stage_ = Stage::kReadJobs;
  job_read_started_at_ = now;
  revision_ = Revision();
  tombstones_.BeginReload();
  reads_.clear();
  for (const std::string& partition : AllJobPartitions()) {
    PartitionRead read;
    read.partition = partition;
    reads_.push_back(std::move(read));
  }
}

void JobRegistry::Read(Context& ctx, PartitionRead* read) {
  read->in_flight = true;
  read->ticket = ctx.NewTicket();
  const char* table =
      stage_ == Stage::kReadProgress ? kProgressTable : kJobTable;
  ctx.Emit(ReadRows{read->ticket, StoreLane::kScheduler, table, read->partition,
                    read->next_key, "", options_.page_rows,
                    store_timeout_->For(read->unanswered_attempts)});
}

void JobRegistry::Watch(Context& ctx) {
  watch_in_flight_ = true;
  watch_from_ = revision_;
  watch_sent_at_ = ctx.now();
  watch_ticket_ = ctx.NewTicket();
  // What changed long ago is wanted at once, even if nothing did.
  const bool outdated = ctx.now() - current_at_ > options_.max_age;
  const Duration wait = outdated ? Duration(0) : options_.watch_wait;
  const Duration timeout = wait + store_timeout_->For(unanswered_watches_);
  ctx.Emit(AwaitChanges{watch_ticket_, kJobTable, revision_, wait, timeout});
}

void JobRegistry::Work(Context& ctx) {
  for (PartitionRead& read : reads_) {
    const bool due = !read.in_flight && ctx.now() >= read.next_at;
    if (due) Read(ctx, &read);
  }
  // Start scheduling although a partition is unavailable: the leases of known
  // jobs' runs must be renewed before they expire.
  const bool waited =
      stage_ == Stage::kReadJobs && !partitions_read_.empty() &&
      ctx.now() - job_read_started_at_ >= options_.partition_timeout;
  if (waited && !loaded_) {
    loaded_ = true;
    current_at_ = job_read_started_at_;
  }
  const bool watches =
      CanWatch() && !watch_in_flight_ && ctx.now() >= watch_at_;
  if (watches) Watch(ctx);
}

std::vector<JobId> JobRegistry::Handle(Context& ctx,
                                       const ReadCompleted& answer) {
  std::vector<JobId> changed;
  const auto read = std::find_if(
      reads_.begin(), reads_.end(),
      [&answer](const PartitionRead& r) { return r.ticket == answer.ticket; });
  read->in_flight = false;
  if (answer.outcome != StoreOutcome::kDone) {
    // A call lost with its connection is retried at once.
    const bool lost = answer.outcome == StoreOutcome::kUnknown &&
                      read->unanswered_attempts == 0;
    ++read->unanswered_attempts;
    if (!lost) read->next_at = ctx.now() + options_.retry_pause;
    return changed;
  }
  read->unanswered_attempts = 0;
  const bool jobs = stage_ == Stage::kReadJobs;
  // Watch from the revision of the page that was read first, even if a watch
  // call already returned later changes: a cancellation is ignored while its
  // job has not been read, and must be seen again.
  const bool oldest = revision_ == Revision() || answer.newest < revision_;
  if (jobs && oldest) revision_ = answer.newest;
  for (const Row& row : answer.rows) {
    if (jobs) {
      ApplyRow(ctx, row, &changed);
    } else {
      AddProgressRow(row);
    }
  }
  if (answer.has_more && !answer.rows.empty()) {
    // Keys contain no spaces, so this is the smallest key after the last one.
    read->next_key = absl::StrCat(answer.rows.back().key.key, " ");
    return changed;
  }
  if (jobs) partitions_read_.insert(read->partition);
  reads_.erase(read);
  if (reads_.empty()) FinishStage(ctx.now());
  return changed;
}

void JobRegistry::FinishStage(TimePoint now) {
  // Progress is read before the jobs: a job's row is written before its
  // progress, so the row of every job whose progress was read is found
  // afterwards, and no such job is taken for a new one.
  if (stage_ == Stage::kReadProgress) {
    StartReadingJobs(now);
    return;
  }
  loaded_ = true;
  current_at_ = std::max(current_at_, job_read_started_at_);
  tombstones_.EndReload();
  forgotten_during_read_.clear();
  for (const auto& [id, progress] : progress_) {
    if (!progress.row.empty()) orphans_.push_back(id.value());
    for (const auto& [key, block] : progress.blocks) orphans_.push_back(key);
  }
  progress_.clear();
}

void JobRegistry::AddProgressRow(const Row& row) {
  const std::string job = JobOfProgressKey(row.key.key);
  StoredProgress& progress = progress_[JobId(job)];
  if (row.key.key == job) {
    progress.row = row.value;
  } else {
    progress.blocks[row.key.key] = row.value;
  }
}

std::vector<std::string> JobRegistry::TakeOrphans() {
  return std::exchange(orphans_, {});
}

std::vector<JobId> JobRegistry::Handle(Context& ctx,
                                       const ChangesReceived& answer) {
  watch_in_flight_ = false;
  std::vector<JobId> changed;
  if (answer.outcome == StoreOutcome::kHistoryCompacted) {
    // This node is the only writer of progress, so only the jobs are read
    // again.
    StartReadingJobs(ctx.now());
    return changed;
  }
  if (answer.outcome != StoreOutcome::kDone) {
    // A call lost with its connection is retried at once.
    const bool lost =
        answer.outcome == StoreOutcome::kUnknown && unanswered_watches_ == 0;
    ++unanswered_watches_;
    if (!lost) watch_at_ = ctx.now() + options_.retry_pause;
    return changed;
  }
  unanswered_watches_ = 0;
  if (!answer.may_have_more) {
    current_at_ = std::max(current_at_, watch_sent_at_);
  }
  for (const Row& row : answer.rows) {
    if (row.removed) {
      ApplyRemoval(row.key);
    } else {
      ApplyRow(ctx, row, &changed);
    }
  }
  // If a partition was read during this call, as of an earlier revision, the
  // next call must watch from that revision.
  const bool unchanged = revision_ == watch_from_;
  if (unchanged && answer.newest > revision_) revision_ = answer.newest;
  return changed;
}

void JobRegistry::ApplyRow(Context& ctx, const Row& row,
                           std::vector<JobId>* changed) {
  if (const auto cancelled = JobOfKey(row.key, kTombstoneSuffix)) {
    tombstones_.Record(*cancelled, row.revision, ctx.now());
    // Versions without tombstones store the job all the same.
    ApplyCancel(*cancelled, changed);
    return;
  }
  if (const auto cancelled = JobOfKey(row.key, kCancelSuffix)) {
    ApplyCancel(*cancelled, changed);
    return;
  }
  const JobId id(row.key.key);
  const bool known = jobs_.count(id) != 0 || final_jobs_.count(id) != 0 ||
                     unreadable_jobs_.count(id) != 0 ||
                     WasRemoved(id, row.revision);
  if (known) return;
  absl::StatusOr<JobSpec> spec = DecodeJobSpec(row.value);
  if (!spec.ok() || spec->steps.empty()) {
    ctx.Log(LogId::kRowUnreadable,
            {{"row", id.value()}, {"error", spec.status().ToString()}});
    // Keep the job's progress: its row exists, and a later version may be able
    // to decode it.
    progress_.erase(id);
    return;
  }
  auto job = std::make_unique<Job>(*std::move(spec));
  if (!RestoreProgress(ctx, id, job.get())) return;
  if (IsFinal(job->state())) {
    final_jobs_[id] = ctx.now();
    return;
  }
  if (tombstones_.Contains(id)) job->RequestCancel();
  jobs_[id] = std::move(job);
  active_.insert(id);
  changed->push_back(id);
}

void JobRegistry::ApplyRemoval(const RowKey& key) {
  const auto job = JobOfKey(key, kTombstoneSuffix);
  if (job.has_value()) tombstones_.Erase(*job);
}

absl::Status JobRegistry::Restore(const StoredProgress& progress, Job* job) {
  if (!progress.row.empty()) {
    absl::Status status = DecodeProgress(progress.row, job);
    if (!status.ok()) return status;
  }
  if (IsFinal(job->state())) return absl::OkStatus();
  for (const auto& [key, block] : progress.blocks) {
    absl::Status status = DecodeProgressBlock(block, job);
    if (!status.ok()) return status;
  }
  if (job->blocks() != nullptr) job->ReconcileGangs();
  return absl::OkStatus();
}

bool JobRegistry::RestoreProgress(Context& ctx, const JobId& id, Job* job) {
  const auto progress = progress_.find(id);
  if (progress == progress_.end()) return true;
  const absl::Status status = Restore(progress->second, job);
  if (status.ok() && IsFinal(job->state())) {
    for (const auto& [key, block] : progress->second.blocks) {
      orphans_.push_back(key);
    }
  }
  progress_.erase(progress);
  if (status.ok()) return true;
  // Its progress is not read again, while its job row may be.
  unreadable_jobs_.insert(id);
  ctx.Log(LogId::kRowUnreadable,
          {{"row", id.value()}, {"error", status.ToString()}});
  return false;
}

void JobRegistry::ApplyCancel(const JobId& id, std::vector<JobId>* changed) {
  Job* job = Find(id);
  if (job == nullptr || job->cancel_requested()) return;
  job->RequestCancel();
  changed->push_back(id);
}

Job* JobRegistry::Find(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

void JobRegistry::MarkFinal(const JobId& id) {
  active_.erase(id);
  jobs_.erase(id);
  final_jobs_[id] = std::nullopt;
}

void JobRegistry::Forget(const JobId& id, Revision removed_at) {
  final_jobs_.erase(id);
  if (!reads_.empty()) forgotten_during_read_[id] = removed_at;
}

bool JobRegistry::WasRemoved(const JobId& id, Revision revision) const {
  const auto forgotten = forgotten_during_read_.find(id);
  return forgotten != forgotten_during_read_.end() &&
         revision < forgotten->second;
}

void JobRegistry::RecordFinalStored(const JobId& id, TimePoint now) {
  const auto found = final_jobs_.find(id);
  if (found != final_jobs_.end()) found->second = now;
}

std::vector<JobId> JobRegistry::FinalizedBefore(TimePoint moment) const {
  std::vector<JobId> stored;
  for (const auto& [id, since] : final_jobs_) {
    if (since.has_value() && *since < moment) stored.push_back(id);
  }
  return stored;
}

WaitingCounts JobRegistry::CountWaiting() const {
  WaitingCounts counts;
  for (const JobId& id : active_) {
    const Job& job = *jobs_.at(id);
    if (job.has_begun() || job.spec().recurrence.times > 0) continue;
    ++counts[job.spec().queue];
  }
  return counts;
}

}  // namespace limeledge::dispatch
