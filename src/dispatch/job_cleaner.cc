/// @file
/// Removes the rows of final jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/job_cleaner.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

std::vector<JobId> JobCleaner::ChooseJobs(
    const std::vector<JobId>& final_jobs) const {
  std::vector<JobId> chosen;
  const std::string partition = JobPartition(final_jobs.front().value());
  for (const JobId& id : final_jobs) {
    if (chosen.size() == options_.max_jobs) break;
    if (JobPartition(id.value()) == partition) chosen.push_back(id);
  }
  return chosen;
}

void JobCleaner::Work(Context& ctx, JobRegistry* registry,
                      StateWriter* writer) {
  for (const std::string& key : registry->TakeOrphans()) {
    writer->Remove({kProgressTable, key});
  }
  if (in_flight_ || ctx.now() < next_at_) return;
  const std::vector<JobId> final_jobs =
      registry->FinalizedBefore(ctx.now() - options_.job_retention);
  if (final_jobs.empty()) return;
  jobs_ = ChooseJobs(final_jobs);
  in_flight_ = true;
  ticket_ = ctx.NewTicket();
  CommitRows commit;
  commit.ticket = ticket_;
  commit.lane = StoreLane::kScheduler;
  commit.transaction.partition = JobPartition(jobs_.front().value());
  for (const JobId& id : jobs_) {
    commit.transaction.removes.push_back({kJobTable, id.value()});
    commit.transaction.removes.push_back(
        {kJobTable, absl::StrCat(id.value(), kCancelSuffix)});
  }
  commit.timeout = options_.call_timeout;
  ctx.Emit(std::move(commit));
}

void JobCleaner::Handle(Context& ctx, const CommitCompleted& answer,
                        JobRegistry* registry, StateWriter* writer) {
  in_flight_ = false;
  if (answer.outcome != StoreOutcome::kDone) {
    // Removing a row twice is harmless, so the whole batch is retried.
    next_at_ = ctx.now() + options_.retry_pause;
    ctx.Log(LogId::kJobsNotCleared,
            {{"jobs", std::to_string(jobs_.size())},
             {"part", JobPartition(jobs_.front().value())}});
    return;
  }
  for (const JobId& id : jobs_) {
    registry->Forget(id, answer.revision);
    writer->Remove({kProgressTable, id.value()});
  }
}

}  // namespace limeledge::dispatch
