/// @file
/// Arithmetic on the tasks of a job.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/progress_blocks.h"

#include <algorithm>
#include <utility>

namespace limeledge::dispatch {

ProgressBlocks::ProgressBlocks(const JobSpec& spec, int tasks_per_block)
    : tasks_per_block_(tasks_per_block),
      occurrences_(spec.occurrences()),
      first_task_of_step_{0} {
  for (const StepSpec& step : spec.steps) {
    first_task_of_step_.push_back(first_task_of_step_.back() + step.count);
  }
}

int ProgressBlocks::count() const {
  const int tasks = occurrences_ * first_task_of_step_.back();
  return (tasks + tasks_per_block_ - 1) / tasks_per_block_;
}

int ProgressBlocks::BlockOf(int occurrence, int step, int index) const {
  const int task = occurrence * first_task_of_step_.back() +
                   first_task_of_step_[step] + index;
  return task / tasks_per_block_;
}

int ProgressBlocks::BlockOf(const TaskName& name) const {
  return BlockOf(name.occurrence, name.step, name.index);
}

std::vector<ProgressBlocks::Range> ProgressBlocks::RangesOf(int block) const {
  std::vector<Range> ranges;
  const int per_occurrence = first_task_of_step_.back();
  const int end =
      std::min((block + 1) * tasks_per_block_, occurrences_ * per_occurrence);
  int task = block * tasks_per_block_;
  while (task < end) {
    const int in_occurrence = task % per_occurrence;
    const auto next_step = std::upper_bound(
        first_task_of_step_.begin(), first_task_of_step_.end(), in_occurrence);
    Range range;
    range.occurrence = task / per_occurrence;
    range.step = static_cast<int>(next_step - first_task_of_step_.begin()) - 1;
    range.first = in_occurrence - first_task_of_step_[range.step];
    const int available = *next_step - in_occurrence;
    const int taken = std::min(available, end - task);
    range.last = range.first + taken;
    task += taken;
    ranges.push_back(range);
  }
  return ranges;
}

void ProgressBlocks::MarkStepChanged(int occurrence, int step) {
  const int count = first_task_of_step_[step + 1] - first_task_of_step_[step];
  if (count == 0) return;
  const int last = BlockOf(occurrence, step, count - 1);
  for (int block = BlockOf(occurrence, step, 0); block <= last; ++block) {
    changed_.insert(block);
  }
}

void ProgressBlocks::MarkAllChanged() {
  for (int block = 0; block < count(); ++block) changed_.insert(block);
}

std::set<int> ProgressBlocks::TakeChanged() {
  return std::exchange(changed_, {});
}

}  // namespace limeledge::dispatch
