/// @file
/// Tests of jobs whose progress takes more than one row of the store, and of
/// rows that the store does not accept.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <memory>
#include <utility>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

/// A system whose store accepts only small rows, so that jobs of a few hundred
/// tasks are large.
TEST_GROUP_BASE(LargeJob, SchedulerFixture) {
  static constexpr std::size_t kMaxRowBytes = 2048;

  void setup() override {
    Restart(SystemOptions());
    system.Run(Duration(3000));
  }

  void Restart(SystemOptions options) {
    options.store_limits.max_row_bytes = kMaxRowBytes;
    small_rows = std::make_unique<EmulatedSystem>(std::move(options));
    small_rows->Run(Duration(3000));
  }

  JobId SubmitTasks(int tasks, Duration work) {
    return SubmitTo(small_rows.get(), Step(tasks, 1, work));
  }

  void CheckDoneOnce(const JobId& job, std::size_t tasks) {
    STRCMP_EQUAL("done", small_rows->StateOf(job).c_str());
    const JobWatch& watch = small_rows->jobs().at(job);
    LONGS_EQUAL(tasks, watch.starts.size());
    for (const std::string& error : small_rows->violations()) {
      FAIL(error.c_str());
    }
  }

  std::size_t CountProgressRows() {
    return small_rows->store()
        .Read(dispatch::kProgressTable, "", "", "", 500)
        .rows.size();
  }

  std::unique_ptr<EmulatedSystem> small_rows;
};

// Guards against a job whose progress outgrows a row of the store: the store
// refused the transaction for good, with the renewal of the scheduler's lease
// and the progress of all other jobs in it, and nothing started any more.
TEST(LargeJob, ProgressThatOutgrowsARowIsStoredAndHoldsUpNoOtherJob) {
  const JobId large = SubmitTasks(300, Duration(600));
  small_rows->Run(Duration(1500));
  const JobId small = SubmitTasks(3, Duration(500));
  small_rows->Run(Duration(12000));
  CheckDoneOnce(large, 300);
  CheckDoneOnce(small, 3);
}

// Guards against blocks that outlive their job: the rows of final jobs are
// removed, and nobody would remove these.
TEST(LargeJob, BlocksAreRemovedOnceTheJobIsFinal) {
  const JobId job = SubmitTasks(300, Duration(600));
  small_rows->Run(Duration(2500));
  CHECK_TRUE(CountProgressRows() > 10);
  small_rows->Run(Duration(10000));
  CheckDoneOnce(job, 300);
  LONGS_EQUAL(1, CountProgressRows());
}

// Guards against progress in blocks that a successor does not read: tasks that
// are done would start again.
TEST(LargeJob, SuccessorGoesOnWithTheBlocksOfItsPredecessor) {
  const JobId job = SubmitTasks(400, Duration(900));
  for (int i = 0; i < 5; ++i) {
    small_rows->Run(Duration(2300));
    const int leader = small_rows->leader();
    if (leader >= 0) small_rows->KillNode(leader, Duration(1000));
  }
  small_rows->Run(Duration(25000));
  CheckDoneOnce(job, 400);
}

// Guards against a gang that is started in part, or whose members start from
// different checkpoints, because its members are in different blocks.
TEST(LargeJob, GangThatSpansBlocksRunsWhole) {
  dispatch::StepSpec step = Step(40, 1, Duration(3000));
  step.gang = true;
  step.saves_progress = true;
  // Fills the rows, so that the gang is in several blocks.
  dispatch::JobSpec spec;
  spec.steps = {Step(80, 1, Duration(400)), step};
  spec.policy.priority = 1;
  TaskTruth quick;
  quick.work = Duration(400);
  TaskTruth gang;
  gang.work = Duration(3000);
  const JobId job = small_rows->Submit(spec, {quick, gang});
  for (int i = 0; i < 3; ++i) {
    small_rows->Run(Duration(2600));
    const int leader = small_rows->leader();
    if (leader >= 0) small_rows->KillNode(leader, Duration(1000));
  }
  small_rows->Run(Duration(25000));
  CheckDoneOnce(job, 120);
}

// Guards against a row that the store refuses for a reason of its own: it went
// into every further transaction, so that the store refused the renewal of the
// lease and the progress of all other jobs too.
TEST(LargeJob, RowThatTheStoreRejectsHoldsUpNoOtherJob) {
  const JobId rejected = SubmitTasks(4, Duration(500));
  small_rows->store().Reject(rejected.value());
  small_rows->Run(Duration(1000));
  const JobId accepted = SubmitTasks(64, Duration(500));
  small_rows->Run(Duration(4000));
  CheckDoneOnce(accepted, 64);
  LONGS_EQUAL(0, small_rows->jobs().at(rejected).starts.size());
  small_rows->store().Accept(rejected.value());
  small_rows->Run(Duration(35000));
  CheckDoneOnce(rejected, 4);
}

}  // namespace limeledge::emulator
