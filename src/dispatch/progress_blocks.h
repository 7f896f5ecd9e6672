/// @file
/// Divides the progress of a job into blocks of tasks.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PROGRESS_BLOCKS_H_
#define LIMELEDGE_SRC_DISPATCH_PROGRESS_BLOCKS_H_

#include <set>
#include <vector>

#include "dispatch/job_spec.h"

namespace limeledge::dispatch {

/// Assigns the tasks of a job to blocks of equal size and records which blocks
/// have changed. The progress of a job that does not fit into one row of the
/// store is stored with one row per block.
///
/// Thread safety: none; use it from one thread.
class ProgressBlocks {
 public:
  /// Precondition: `tasks_per_block` is positive.
  ProgressBlocks(const JobSpec& spec, int tasks_per_block);

  int tasks_per_block() const { return tasks_per_block_; }
  /// Number of blocks.
  int count() const;
  /// The block that holds the task. Precondition: the job has this task.
  int BlockOf(const TaskName& name) const;

  /// Tasks `first` to `last` - 1 of a step.
  struct Range {
    int occurrence = 0;
    int step = 0;
    int first = 0;
    int last = 0;
  };
  /// The tasks of a block, in ascending order.
  std::vector<Range> RangesOf(int block) const;

  /// Records that the progress of the task has changed. Precondition: the job
  /// has this task.
  void MarkChanged(const TaskName& name) { changed_.insert(BlockOf(name)); }
  /// The same for all tasks of a step.
  void MarkStepChanged(int occurrence, int step);
  void MarkAllChanged();
  /// Returns the blocks that have changed since the last call.
  std::set<int> TakeChanged();

 private:
  int BlockOf(int occurrence, int step, int index) const;

  int tasks_per_block_;
  int occurrences_;
  /// Number of the first task of each step within an occurrence, and of all
  /// tasks of an occurrence.
  std::vector<int> first_task_of_step_;
  std::set<int> changed_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PROGRESS_BLOCKS_H_
