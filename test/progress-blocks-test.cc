/// @file
/// Tests of the rows that hold the progress of a large job.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>

#include "CppUTest/TestHarness.h"
#include "codec/json.h"
#include "dispatch/progress_blocks.h"
#include "dispatch/row_codec.h"
#include "dispatch/rows.h"

namespace limeledge::dispatch {

/// A job of two steps of 5 and 3 tasks, twice.
TEST_GROUP(ProgressBlocks) {
  static constexpr int kTasksPerBlock = 4;
  static constexpr std::size_t kRowBytes = 65536;

  static JobSpec Spec(bool gang = false) {
    JobSpec spec;
    spec.id = JobId("0123456789abcdef");
    spec.steps.resize(2);
    spec.steps[0].count = 5;
    spec.steps[1].count = 3;
    spec.steps[1].gang = gang;
    spec.recurrence.times = 2;
    return spec;
  }

  static TaskName Name(int occurrence, int step, int index) {
    return {Spec().id, occurrence, step, index};
  }

  static void Start(Job * job, const TaskName& name, int run = 1) {
    job->Assign(name, run, {RunnerId("i-1"), StartTime()}, "10.0.0.1:80",
                TimePoint());
  }

  /// Restores a job from its blocks, without the others.
  static Job Restored(const Job& job, const std::set<int>& blocks) {
    Job copy(job.spec());
    for (const int block : blocks) {
      const std::string row = EncodeProgressBlock(job, block, kRowBytes);
      CHECK_TRUE(DecodeProgressBlock(row, &copy).ok());
    }
    copy.ReconcileGangs();
    return copy;
  }
};

// Guards against rows that other versions read differently: their keys are in
// the order in which a JSON library writes them.
TEST(ProgressBlocks, RowsAreThoseOfAJsonLibrary) {
  Job job(Spec(true));
  for (int i = 0; i < 3; ++i) Start(&job, Name(0, 1, i), 2);
  Start(&job, Name(0, 0, 3));
  job.SaveProgress(Name(0, 0, 3), "half \"done\"");
  RunLoss loss;
  loss.run = 1;
  loss.incarnation = {RunnerId("i-1"), StartTime(1700)};
  job.RecordLoss(Name(0, 0, 3), loss);
  job.EndRun(Name(0, 1, 1), 2, RunEnd::kFailed, "", 5);
  const std::string whole = EncodeProgress(job);
  STRCMP_EQUAL(WriteJson(*ParseJson(whole)).c_str(), whole.c_str());
  job.DivideProgress(kTasksPerBlock);
  for (int block = 0; block < job.blocks()->count(); ++block) {
    const std::string row = EncodeProgressBlock(job, block, kRowBytes);
    STRCMP_EQUAL(WriteJson(*ParseJson(row)).c_str(), row.c_str());
  }
}

TEST(ProgressBlocks, EachTaskIsInTheBlockWhoseRangesHoldIt) {
  const ProgressBlocks blocks(Spec(), kTasksPerBlock);
  LONGS_EQUAL(4, blocks.count());
  int tasks = 0;
  for (int block = 0; block < blocks.count(); ++block) {
    for (const ProgressBlocks::Range& range : blocks.RangesOf(block)) {
      for (int i = range.first; i < range.last; ++i) {
        LONGS_EQUAL(block,
                    blocks.BlockOf(Name(range.occurrence, range.step, i)));
        ++tasks;
      }
    }
  }
  LONGS_EQUAL(16, tasks);
}

TEST(ProgressBlocks, LastBlockMayBeSmaller) {
  const ProgressBlocks blocks(Spec(), 7);
  LONGS_EQUAL(3, blocks.count());
  LONGS_EQUAL(1, blocks.RangesOf(2).size());
  LONGS_EQUAL(1, blocks.RangesOf(2).front().first);
  LONGS_EQUAL(3, blocks.RangesOf(2).front().last);
}

// Guards against a change that is not stored because its block does not count
// as changed.
TEST(ProgressBlocks, EveryChangeOfATaskMarksItsBlock) {
  Job job(Spec());
  job.DivideProgress(kTasksPerBlock);
  const TaskName name = Name(1, 0, 4);
  const std::set<int> block = {job.blocks()->BlockOf(name)};
  Start(&job, name);
  CHECK_TRUE(job.TakeChangedBlocks() == block);
  RunLoss loss;
  loss.run = 1;
  loss.incarnation = {RunnerId("i-1"), StartTime()};
  CHECK_TRUE(job.RecordLoss(name, loss));
  CHECK_TRUE(job.TakeChangedBlocks() == block);
  CHECK_TRUE(
      job.ResolveLosses(name, loss.incarnation, IncarnationFate::kCrashed));
  CHECK_TRUE(job.TakeChangedBlocks() == block);
  CHECK_TRUE(job.EndRun(name, 1, RunEnd::kLeaseExpired, "", 3));
  CHECK_TRUE(job.TakeChangedBlocks() == block);
  CHECK_TRUE(job.RecordLateFailure(name, 1, 3));
  CHECK_FALSE(job.TakeChangedBlocks().empty());
  CHECK_TRUE(job.CompleteLate(name));
  CHECK_TRUE(job.TakeChangedBlocks() == block);
  CHECK_TRUE(job.TakeChangedBlocks().empty());
}

TEST(ProgressBlocks, RestoredJobHasTheSameProgressAndBlocks) {
  Job job(Spec());
  job.DivideProgress(kTasksPerBlock);
  Start(&job, Name(0, 0, 0));
  Start(&job, Name(1, 1, 2), 2);
  job.EndRun(Name(0, 0, 0), 1, RunEnd::kDone, "", 3);
  const Job restored = Restored(job, {0, 1, 2, 3});
  LONGS_EQUAL(kTasksPerBlock, restored.blocks()->tasks_per_block());
  CHECK_TRUE(restored.state() == JobState::kRunning);
  CHECK_TRUE(restored.has_begun());
  CHECK_TRUE(restored.occurrences()[0].steps[0].tasks[0].phase ==
             TaskPhase::kDone);
  const Task& running = restored.occurrences()[1].steps[1].tasks[2];
  CHECK_TRUE(running.phase == TaskPhase::kAssigned);
  LONGS_EQUAL(2, running.run);
}

// Guards against lost progress of a job that an earlier version stored in one
// row: the row stays as it is, and blocks are added one by one.
TEST(ProgressBlocks, BlockTakesPrecedenceOverTheRowOfTheWholeJob) {
  Job job(Spec());
  Start(&job, Name(0, 0, 0));
  Start(&job, Name(1, 0, 0));
  const std::string whole = EncodeProgress(job);
  job.DivideProgress(kTasksPerBlock);
  job.EndRun(Name(0, 0, 0), 1, RunEnd::kDone, "", 3);
  Job restored(job.spec());
  CHECK_TRUE(DecodeProgress(whole, &restored).ok());
  CHECK_TRUE(
      DecodeProgressBlock(EncodeProgressBlock(job, 0, kRowBytes), &restored)
          .ok());
  CHECK_TRUE(restored.occurrences()[0].steps[0].tasks[0].phase ==
             TaskPhase::kDone);
  CHECK_TRUE(restored.occurrences()[1].steps[0].tasks[0].phase ==
             TaskPhase::kAssigned);
}

// Guards against a gang of which some members count as done and the others as
// running, because a crash came between the writes of its blocks.
TEST(ProgressBlocks, GangIsDoneIfTheBlockOfOneMemberSaysSo) {
  Job job(Spec(true));
  job.DivideProgress(2);
  for (int i = 0; i < 3; ++i) Start(&job, Name(0, 1, i));
  Job before = job;
  job.EndRun(Name(0, 1, 0), 1, RunEnd::kDone, "", 3);
  const int first = job.blocks()->BlockOf(Name(0, 1, 0));
  const int last = job.blocks()->BlockOf(Name(0, 1, 2));
  CHECK_TRUE(first != last);
  Job restored(job.spec());
  CHECK_TRUE(
      DecodeProgressBlock(EncodeProgressBlock(job, first, kRowBytes), &restored)
          .ok());
  CHECK_TRUE(DecodeProgressBlock(EncodeProgressBlock(before, last, kRowBytes),
                                 &restored)
                 .ok());
  restored.ReconcileGangs();
  LONGS_EQUAL(3, restored.occurrences()[0].steps[1].CountIn(TaskPhase::kDone));
}

// Guards against a block that does not fit into a row either because its tasks
// save large checkpoints.
TEST(ProgressBlocks, CheckpointsThatDoNotFitAreLeftOut) {
  Job job(Spec());
  job.DivideProgress(kTasksPerBlock);
  Start(&job, Name(0, 0, 0));
  job.SaveProgress(Name(0, 0, 0), std::string(5000, 'c'));
  const std::string row = EncodeProgressBlock(job, 0, 1000);
  CHECK_TRUE(row.size() <= 1000);
  Job restored(job.spec());
  CHECK_TRUE(DecodeProgressBlock(row, &restored).ok());
  const Task& task = restored.occurrences()[0].steps[0].tasks[0];
  CHECK_TRUE(task.phase == TaskPhase::kAssigned);
  STRCMP_EQUAL("", task.checkpoint.c_str());
}

TEST(ProgressBlocks, TaskThatIsDoneTakesFewBytes) {
  Job job(Spec());
  Start(&job, Name(0, 0, 3));
  job.SaveProgress(Name(0, 0, 3), "0123456789abcdef");
  job.EndRun(Name(0, 0, 3), 1, RunEnd::kDone, "", 3);
  Start(&job, Name(0, 0, 4), 2);
  job.EndRun(Name(0, 0, 4), 2, RunEnd::kDone, "", 3);
  STRCMP_CONTAINS("[[3,2],[4,2,2]]", EncodeProgress(job).c_str());
}

TEST(ProgressBlocks, KeyOfABlockNamesItsJob) {
  const RowKey key = ProgressBlockKey("0123456789abcdef", 12);
  STRCMP_EQUAL("0123456789abcdef.12", key.key.c_str());
  STRCMP_EQUAL("0123456789abcdef", JobOfProgressKey(key.key).c_str());
  STRCMP_EQUAL("0123456789abcdef",
               JobOfProgressKey("0123456789abcdef").c_str());
}

}  // namespace limeledge::dispatch
