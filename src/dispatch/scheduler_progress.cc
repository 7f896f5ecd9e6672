/// @file
/// How the scheduler stores the progress of jobs: in one row, or in blocks if
/// it does not fit.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

RowKey Scheduler::ProgressRowOf(const TaskName& name) {
  const Job* job = jobs_.Find(name.job);
  if (job == nullptr || job->blocks() == nullptr) {
    return {kProgressTable, name.job.value()};
  }
  return ProgressBlockKey(name.job.value(), job->blocks()->BlockOf(name));
}

std::set<RowKey> Scheduler::PendingProgressRowsOf(const TaskName& name) {
  std::set<RowKey> rows = {ProgressRowOf(name)};
  const Job* job = jobs_.Find(name.job);
  const bool is_gang = job != nullptr && job->HasStep(name.step) &&
                       job->step_spec(name.step).gang;
  if (is_gang && job->blocks() != nullptr) {
    TaskName member = name;
    for (member.index = 0; member.index < job->step_spec(name.step).count;
         ++member.index) {
      rows.insert(ProgressRowOf(member));
    }
  }
  for (auto row = rows.begin(); row != rows.end();) {
    row = writer_.IsPending(*row) ? std::next(row) : rows.erase(row);
  }
  return rows;
}

void Scheduler::DivideOversizedProgress(Context& ctx) {
  for (const RowKey& key : writer_.TakeOversized()) {
    Job* job =
        key.table == kProgressTable ? jobs_.Find(JobId(key.key)) : nullptr;
    if (job == nullptr || job->blocks() != nullptr) {
      ctx.Log(LogId::kRowTooLarge, {{"table", key.table}, {"row", key.key}});
      continue;
    }
    const int tasks_per_block =
        std::max(1, static_cast<int>(options_.writer.limits.max_row_bytes /
                                     options_.progress_bytes_per_task));
    ctx.Log(
        LogId::kProgressDivided,
        {{"job", key.key}, {"block_tasks", std::to_string(tasks_per_block)}});
    job->DivideProgress(tasks_per_block);
    job->MarkAllBlocksChanged();
    divided_jobs_.insert(job->spec().id);
    std::set<RowKey> rows;
    for (int block = 0; block < job->blocks()->count(); ++block) {
      rows.insert(ProgressBlockKey(key.key, block));
    }
    std::vector<StateWriter::Action> actions = writer_.Withdraw(key);
    MarkProgressDirty(job->spec().id);
    for (StateWriter::Action& action : actions) {
      writer_.RunWhenAllStored(rows, std::move(action));
    }
  }
}

void Scheduler::RemoveBlocksWhenStored(const Job& job) {
  const JobId id = job.spec().id;
  const int blocks = job.blocks()->count();
  writer_.RunWhenStored({kProgressTable, id.value()},
                        [this, id, blocks](Context&) {
                          for (int block = 0; block < blocks; ++block) {
                            writer_.Remove(ProgressBlockKey(id.value(), block));
                          }
                          divided_jobs_.erase(id);
                        });
}

void Scheduler::HandleRejectedProgress(Context& ctx) {
  for (const RowKey& key : writer_.TakeRejected()) {
    if (key.table != kProgressTable) continue;
    const JobId id(JobOfProgressKey(key.key));
    Job* job = jobs_.Find(id);
    if (job == nullptr) continue;
    job->SetStorable(false);
    writer_.RunWhenStored(key, [this, id](Context&) {
      Job* stored = jobs_.Find(id);
      if (stored == nullptr) return;
      stored->SetStorable(true);
      plan_due_ = true;
    });
    DropUnstoredRuns(ctx, id);
  }
}

void Scheduler::MarkProgressDirty(const JobId& id) {
  Job* job = jobs_.Find(id);
  if (job != nullptr && job->blocks() != nullptr) {
    for (const int block : job->TakeChangedBlocks()) {
      writer_.Mark(ProgressBlockKey(id.value(), block),
                   [this, id, block]() -> std::optional<std::string> {
                     const Job* now = jobs_.Find(id);
                     if (now == nullptr) return std::nullopt;
                     return EncodeProgressBlock(
                         *now, block, options_.writer.limits.max_row_bytes);
                   });
    }
    return;
  }
  writer_.Mark({kProgressTable, id.value()},
               [this, id]() -> std::optional<std::string> {
                 const Job* now = jobs_.Find(id);
                 if (now == nullptr) return std::nullopt;
                 return EncodeProgress(*now);
               });
}

void Scheduler::StartWhenStored(const std::vector<Assignment>& assignments) {
  for (const Assignment& assignment : assignments) {
    writer_.RunWhenAllStored(
        PendingProgressRowsOf(assignment.task),
        [this, name = assignment.task, run = assignment.run,
         incarnation = assignment.runner->incarnation()](Context&) {
          QueueStart(name, run, incarnation);
        });
  }
}

}  // namespace limeledge::dispatch
