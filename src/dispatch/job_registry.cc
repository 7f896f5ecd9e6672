/// @file
/// Reading and following jobs.
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

bool JobRegistry::Owns(Ticket ticket) const {
  if (follow_under_way_ && follow_call_ == ticket) return true;
  return std::any_of(readings_.begin(), readings_.end(),
                     [ticket](const Reading& reading) {
                       return reading.under_way && reading.call == ticket;
                     });
}

bool JobRegistry::HasReadPartitionOf(const JobId& id) const {
  return parts_read_.count(JobPartition(id.value())) != 0;
}

TimePoint JobRegistry::next_at() const {
  TimePoint next = MayFollow() && !follow_under_way_ ? follow_at_ : kNever;
  for (const Reading& reading : readings_) {
    if (!reading.under_way) next = std::min(next, reading.next_at);
  }
  const bool waits_for_parts = !loaded_ && !parts_read_.empty();
  if (!waits_for_parts) return next;
  return std::min(next, jobs_asked_at_ + options_.partition_timeout);
}

void JobRegistry::BeginReadingJobs(TimePoint now) {
  stage_ = Stage::kReadJobs;
  jobs_asked_at_ = now;
  seen_ = Revision();
  readings_.clear();
  for (const std::string& partition : AllJobPartitions()) {
    Reading reading;
    reading.partition = partition;
    readings_.push_back(std::move(reading));
  }
}

void JobRegistry::Read(Context& ctx, Reading* reading) {
  reading->under_way = true;
  reading->call = ctx.NewTicket();
  const char* table =
      stage_ == Stage::kReadProgress ? kProgressTable : kJobTable;
  ctx.Emit(ReadRows{reading->call, StoreLane::kScheduler, table,
                    reading->partition, reading->next_key, "",
                    options_.page_rows, patience_->For(reading->misses)});
}

void JobRegistry::Follow(Context& ctx) {
  follow_under_way_ = true;
  follow_from_ = seen_;
  follow_call_ = ctx.NewTicket();
  const Duration timeout = options_.watch_wait + patience_->For(follow_misses_);
  ctx.Emit(AwaitChanges{follow_call_, kJobTable, seen_, options_.watch_wait,
                        timeout});
}

void JobRegistry::Work(Context& ctx) {
  for (Reading& reading : readings_) {
    const bool due = !reading.under_way && ctx.now() >= reading.next_at;
    if (due) Read(ctx, &reading);
  }
  // Runs of the jobs that are known must not lapse for a part that is away.
  const bool waited = stage_ == Stage::kReadJobs && !parts_read_.empty() &&
                      ctx.now() - jobs_asked_at_ >= options_.partition_timeout;
  loaded_ = loaded_ || waited;
  const bool follows =
      MayFollow() && !follow_under_way_ && ctx.now() >= follow_at_;
  if (follows) Follow(ctx);
}

std::vector<JobId> JobRegistry::Handle(Context& ctx,
                                       const ReadCompleted& answer) {
  std::vector<JobId> changed;
  const auto reading = std::find_if(
      readings_.begin(), readings_.end(),
      [&answer](const Reading& r) { return r.call == answer.ticket; });
  reading->under_way = false;
  if (answer.outcome != StoreOutcome::kDone) {
    // One that was lost with its connection is sent again at once.
    const bool lost =
        answer.outcome == StoreOutcome::kUnknown && reading->misses == 0;
    ++reading->misses;
    if (!lost) reading->next_at = ctx.now() + options_.retry_pause;
    return changed;
  }
  reading->misses = 0;
  const bool jobs = stage_ == Stage::kReadJobs;
  // What changes after any page was read is followed, though it was told of
  // before: a cancelling is dropped while its job is still to be taken in.
  const bool oldest = seen_ == Revision() || answer.newest < seen_;
  if (jobs && oldest) seen_ = answer.newest;
  for (const Row& row : answer.rows) {
    if (jobs) {
      Store(ctx, row, &changed);
    } else {
      progress_[JobId(row.key.key)] = row.value;
    }
  }
  if (answer.has_more && !answer.rows.empty()) {
    // Keys hold no blanks, so that this is the smallest one behind the last.
    reading->next_key = absl::StrCat(answer.rows.back().key.key, " ");
    return changed;
  }
  if (jobs) parts_read_.insert(reading->partition);
  readings_.erase(reading);
  if (readings_.empty()) FinishReading(ctx.now());
  return changed;
}

void JobRegistry::FinishReading(TimePoint now) {
  // Progress first: a job's row is there before its progress, so that no
  // progress is read for a job that is then taken for a new one.
  if (stage_ == Stage::kReadProgress) {
    BeginReadingJobs(now);
    return;
  }
  loaded_ = true;
  for (const auto& [id, progress] : progress_) orphans_.push_back(id);
  progress_.clear();
}

std::vector<JobId> JobRegistry::TakeOrphans() {
  return std::exchange(orphans_, {});
}

std::vector<JobId> JobRegistry::Handle(Context& ctx,
                                       const ChangesReceived& answer) {
  follow_under_way_ = false;
  std::vector<JobId> changed;
  if (answer.outcome == StoreOutcome::kHistoryCompacted) {
    // Progress is this node's own by now; only the jobs are read again.
    BeginReadingJobs(ctx.now());
    return changed;
  }
  if (answer.outcome != StoreOutcome::kDone) {
    // One that was lost with its connection is sent again at once.
    const bool lost =
        answer.outcome == StoreOutcome::kUnknown && follow_misses_ == 0;
    ++follow_misses_;
    if (!lost) follow_at_ = ctx.now() + options_.retry_pause;
    return changed;
  }
  follow_misses_ = 0;
  for (const Row& row : answer.rows) {
    if (!row.removed) Store(ctx, row, &changed);
  }
  // A part that was read meanwhile, as it was before that, must be followed
  // from there.
  const bool goes_on = seen_ == follow_from_;
  if (goes_on && answer.newest > seen_) seen_ = answer.newest;
  return changed;
}

void JobRegistry::Store(Context& ctx, const Row& row,
                        std::vector<JobId>* changed) {
  if (absl::EndsWith(row.key.key, kCancelSuffix)) {
    const auto id = absl::StripSuffix(row.key.key, kCancelSuffix);
    StoreCancel(JobId(std::string(id)), changed);
    return;
  }
  const JobId id(row.key.key);
  if (jobs_.count(id) != 0 || closed_.count(id) != 0) return;
  absl::StatusOr<JobSpec> spec = DecodeJobSpec(row.value);
  if (!spec.ok() || spec->steps.empty()) {
    ctx.Log(LogId::kRowUnreadable,
            {{"row", id.value()}, {"error", spec.status().ToString()}});
    // Its progress must stay: the row is there, and may be read one day.
    progress_.erase(id);
    return;
  }
  auto job = std::make_unique<Job>(*std::move(spec));
  if (!ReadProgress(ctx, id, job.get())) return;
  if (IsFinal(job->state())) {
    closed_[id] = ctx.now();
    return;
  }
  jobs_[id] = std::move(job);
  active_.insert(id);
  changed->push_back(id);
}

bool JobRegistry::ReadProgress(Context& ctx, const JobId& id, Job* job) {
  const auto progress = progress_.find(id);
  if (progress == progress_.end()) return true;
  const absl::Status status = DecodeProgress(progress->second, job);
  progress_.erase(progress);
  if (status.ok()) return true;
  ctx.Log(LogId::kRowUnreadable,
          {{"row", id.value()}, {"error", status.ToString()}});
  return false;
}

void JobRegistry::StoreCancel(const JobId& id, std::vector<JobId>* changed) {
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
  closed_[id] = std::nullopt;
}

void JobRegistry::RecordFinalStored(const JobId& id, TimePoint now) {
  const auto found = closed_.find(id);
  if (found != closed_.end()) found->second = now;
}

std::vector<JobId> JobRegistry::FinalizedBefore(TimePoint moment) const {
  std::vector<JobId> stored;
  for (const auto& [id, since] : closed_) {
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
