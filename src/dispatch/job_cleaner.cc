/// @file
/// Removing the rows of final jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/job_cleaner.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

std::vector<JobId> JobCleaner::ChooseJobs(const std::vector<JobId>& old) const {
  std::vector<JobId> chosen;
  const std::string partition = JobPartition(old.front().value());
  for (const JobId& id : old) {
    if (chosen.size() == options_.max_jobs) break;
    if (JobPartition(id.value()) == partition) chosen.push_back(id);
  }
  return chosen;
}

void JobCleaner::Work(Context& ctx, JobRegistry* book, StateWriter* writer) {
  for (const JobId& id : book->TakeOrphans()) {
    writer->Remove({kProgressTable, id.value()});
  }
  if (under_way_ || ctx.now() < next_at_) return;
  const std::vector<JobId> old =
      book->FinalizedBefore(ctx.now() - options_.job_retention);
  if (old.empty()) return;
  jobs_ = ChooseJobs(old);
  under_way_ = true;
  call_ = ctx.NewTicket();
  CommitRows commit;
  commit.ticket = call_;
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
                        JobRegistry* book, StateWriter* writer) {
  under_way_ = false;
  if (answer.outcome != StoreOutcome::kDone) {
    // Removing what is gone already does no harm: all are tried again.
    next_at_ = ctx.now() + options_.retry_pause;
    ctx.Log(LogId::kJobsNotCleared,
            {{"jobs", std::to_string(jobs_.size())},
             {"part", JobPartition(jobs_.front().value())}});
    return;
  }
  for (const JobId& id : jobs_) {
    book->Forget(id);
    writer->Remove({kProgressTable, id.value()});
  }
}

}  // namespace limeledge::dispatch
