/// @file
/// Reading and following jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/job_book.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace limeledge::dispatch {

void JobBook::Retry(TimePoint now) {
  under_way_ = false;
  next_at_ = now + options_.retry_pause;
}

void JobBook::Read(Context& ctx, const std::string& table) {
  ctx.Emit(ReadRows{call_, StoreLane::kJobFeed, table, next_key_, "",
                    options_.page_rows, options_.read_timeout});
}

void JobBook::Work(Context& ctx) {
  if (under_way_ || ctx.now() < next_at_) return;
  under_way_ = true;
  call_ = ctx.NewTicket();
  switch (stage_) {
    // Progress first: a job's row is there before its progress, so that no
    // progress is read for a job that is then taken for a new one.
    case Stage::kReadProgress:
      Read(ctx, kProgressTable);
      break;
    case Stage::kReadJobs:
      Read(ctx, kJobTable);
      break;
    case Stage::kFollow:
      ctx.Emit(AwaitChanges{call_, kJobTable, seen_, options_.follow_wait});
      break;
  }
}

std::vector<JobId> JobBook::Take(Context& ctx, const RowsAnswered& answer) {
  std::vector<JobId> changed;
  if (answer.outcome != StoreOutcome::kDone) {
    Retry(ctx.now());
    return changed;
  }
  under_way_ = false;
  const bool jobs = stage_ == Stage::kReadJobs;
  // What changes after the first page was read is followed.
  if (jobs && first_page_) page_newest_ = answer.newest;
  first_page_ = false;
  for (const Row& row : answer.rows) {
    if (jobs) {
      Store(ctx, row, &changed);
    } else {
      progress_[JobId(row.key.key)] = row.value;
    }
  }
  if (answer.more && !answer.rows.empty()) {
    // Keys hold no blanks, so that this is the smallest one behind the last.
    next_key_ = absl::StrCat(answer.rows.back().key.key, " ");
    return changed;
  }
  next_key_.clear();
  first_page_ = true;
  if (jobs) {
    seen_ = page_newest_;
    stage_ = Stage::kFollow;
    loaded_ = true;
    progress_.clear();
  } else {
    stage_ = Stage::kReadJobs;
  }
  return changed;
}

std::vector<JobId> JobBook::Take(Context& ctx, const ChangesAnswered& answer) {
  std::vector<JobId> changed;
  if (answer.outcome == StoreOutcome::kHistoryGone) {
    // Progress is this node's own by now; only the jobs are read again.
    stage_ = Stage::kReadJobs;
    under_way_ = false;
    return changed;
  }
  if (answer.outcome != StoreOutcome::kDone) {
    Retry(ctx.now());
    return changed;
  }
  under_way_ = false;
  for (const Row& row : answer.rows) {
    if (!row.gone) Store(ctx, row, &changed);
  }
  if (answer.newest > seen_) seen_ = answer.newest;
  return changed;
}

void JobBook::Store(Context& ctx, const Row& row, std::vector<JobId>* changed) {
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
    return;
  }
  auto job = std::make_unique<Job>(*std::move(spec));
  const auto progress = progress_.find(id);
  if (progress != progress_.end()) {
    const absl::Status status = DecodeProgress(progress->second, job.get());
    if (!status.ok()) {
      ctx.Log(LogId::kRowUnreadable,
              {{"row", id.value()}, {"error", status.ToString()}});
    }
    progress_.erase(progress);
  }
  if (IsFinal(job->state())) {
    closed_[id] = ctx.now();
    return;
  }
  jobs_[id] = std::move(job);
  active_.insert(id);
  changed->push_back(id);
}

void JobBook::StoreCancel(const JobId& id, std::vector<JobId>* changed) {
  Job* job = Find(id);
  if (job == nullptr || job->cancel_asked()) return;
  job->AskCancel();
  changed->push_back(id);
}

Job* JobBook::Find(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

void JobBook::Close(const JobId& id, TimePoint now) {
  active_.erase(id);
  jobs_.erase(id);
  closed_[id] = now;
}

std::vector<JobId> JobBook::ForgetClosedBefore(TimePoint moment) {
  std::vector<JobId> forgotten;
  for (auto it = closed_.begin(); it != closed_.end();) {
    if (it->second < moment) {
      forgotten.push_back(it->first);
      it = closed_.erase(it);
    } else {
      ++it;
    }
  }
  return forgotten;
}

WaitingCounts JobBook::CountWaiting() const {
  WaitingCounts counts;
  for (const JobId& id : active_) {
    const Job& job = *jobs_.at(id);
    if (job.has_begun() || job.spec().recurrence.times > 0) continue;
    ++counts[job.spec().queue];
  }
  return counts;
}

}  // namespace limeledge::dispatch
