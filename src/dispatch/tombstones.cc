/// @file
/// Keeps track of tombstones and removes old ones.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/tombstones.h"

#include <algorithm>

namespace limeledge::dispatch {

void Tombstones::Record(const JobId& job, Revision revision, TimePoint now) {
  Tombstone tombstone{revision, now};
  for (const auto* earlier : {&known_, &unconfirmed_}) {
    const auto found = earlier->find(job);
    const bool same =
        found != earlier->end() && found->second.revision == revision;
    if (same) tombstone = found->second;
  }
  Erase(job);
  known_[job] = tombstone;
  by_age_.emplace(tombstone.read_at, job);
}

void Tombstones::Erase(const JobId& job) {
  unconfirmed_.erase(job);
  const auto found = known_.find(job);
  if (found == known_.end()) return;
  by_age_.erase({found->second.read_at, job});
  known_.erase(found);
}

void Tombstones::BeginReload() {
  unconfirmed_.insert(known_.begin(), known_.end());
  known_.clear();
  by_age_.clear();
}

std::vector<JobId> Tombstones::ReadBefore(TimePoint moment,
                                          std::size_t limit) const {
  std::vector<JobId> jobs;
  for (const auto& [read_at, job] : by_age_) {
    if (read_at >= moment || jobs.size() == limit) break;
    const bool same_partition =
        jobs.empty() ||
        JobPartition(job.value()) == JobPartition(jobs.front().value());
    if (same_partition) jobs.push_back(job);
  }
  return jobs;
}

void TombstoneCleaner::Work(Context& ctx, const Tombstones& tombstones) {
  if (in_flight_ || ctx.now() < next_at_) return;
  jobs_ = tombstones.ReadBefore(ctx.now() - options_.retention,
                                options_.max_tombstones);
  if (jobs_.empty()) return;
  in_flight_ = true;
  ticket_ = ctx.NewTicket();
  CommitRows commit;
  commit.ticket = ticket_;
  commit.lane = StoreLane::kScheduler;
  commit.transaction.partition = JobPartition(jobs_.front().value());
  for (const JobId& job : jobs_) {
    const RowKey key = TombstoneKey(job.value());
    commit.transaction.conditions.push_back({key, tombstones.RevisionOf(job)});
    commit.transaction.removes.push_back(key);
  }
  commit.timeout = options_.call_timeout;
  ctx.Emit(std::move(commit));
}

void TombstoneCleaner::Handle(Context& ctx, const CommitCompleted& answer,
                              Tombstones* tombstones) {
  in_flight_ = false;
  const bool done = answer.outcome == StoreOutcome::kDone;
  if (!done && answer.outcome != StoreOutcome::kConflict) {
    // The conditions make a repeated removal harmless.
    next_at_ = ctx.now() + options_.retry_pause;
    ctx.Log(LogId::kTombstonesNotRemoved,
            {{"jobs", std::to_string(jobs_.size())},
             {"part", JobPartition(jobs_.front().value())}});
    return;
  }
  // After a conflict, the answer has the tombstones that are still there.
  for (const JobId& job : jobs_) {
    const RowKey key = TombstoneKey(job.value());
    const auto row =
        std::find_if(answer.rows.begin(), answer.rows.end(),
                     [&key](const Row& r) { return r.key == key; });
    if (done || row == answer.rows.end()) {
      tombstones->Erase(job);
    } else {
      tombstones->Record(job, row->revision, ctx.now());
    }
  }
}

}  // namespace limeledge::dispatch
