/// @file
/// Tests of cancels whose job is not stored yet, because its submit waits
/// somewhere.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "dispatch/front_end.h"
#include "emulator/emulated_system.h"
#include "simulation-settings.h"

namespace limeledge::emulator {

using dispatch::CallResult;

TEST_GROUP(EarlyCancel) {
  static constexpr Duration kWork{2000};

  SystemOptions options;
  std::unique_ptr<EmulatedSystem> system;
  TaskTruth truth;
  /// A node that does not schedule, and the node at which callers cancel.
  int slow_node = 0;
  int other_node = 0;

  void setup() override { Start(); }

  void Start() {
    system = std::make_unique<EmulatedSystem>(options);
    TraceIfRequested(system.get());
    system->Run(Duration(3000));
    slow_node = (system->leader() + 1) % options.nodes;
    other_node = (system->leader() + 2) % options.nodes;
    truth.work = kWork;
  }

  static dispatch::JobSpec Spec() {
    dispatch::JobSpec spec;
    dispatch::StepSpec step;
    step.count = 1;
    step.need = {1000, 64, 1};
    step.estimate = kWork;
    spec.steps.push_back(step);
    spec.policy.priority = 1;
    return spec;
  }

  JobId SubmitTo(int node) { return system->SubmitOnce(node, Spec(), {truth}); }

  void CancelAsUnknown(const JobId& job) {
    const std::optional<CallResult> result = system->CancelAt(other_node, job);
    CHECK_TRUE(result == CallResult::kUnknownJob);
  }

  int Starts(const JobId& job) const {
    int starts = 0;
    for (const auto& [task, count] : system->jobs().at(job).starts) {
      starts += count;
    }
    return starts;
  }

  /// Number of tombstones in the store.
  int Tombstones() const {
    int count = 0;
    for (const std::string& partition : dispatch::AllJobPartitions()) {
      const dispatch::ReadCompleted read =
          system->store().Read(dispatch::kJobTable, partition, "", "", 100000);
      count += static_cast<int>(std::count_if(
          read.rows.begin(), read.rows.end(), [](const dispatch::Row& row) {
            return row.key.key.find(dispatch::kTombstoneSuffix) !=
                   std::string::npos;
          }));
    }
    return count;
  }

  void CheckNeverStarts(const JobId& job) {
    system->Run(Duration(15000));
    LONGS_EQUAL(0, Starts(job));
    STRCMP_EQUAL("gone", system->StateOf(job).c_str());
    LONGS_EQUAL(0, system->violations().size());
  }
};

// Guards against a job that runs although its cancel was acknowledged: the node
// that had its submit was paused, and stored the job when it went on.
TEST(EarlyCancel, SubmitAtPausedNodeIsNotStoredAfterItsCancel) {
  system->FreezeNode(slow_node, Duration(4000));
  const JobId job = SubmitTo(slow_node);
  system->Run(Duration(500));
  CancelAsUnknown(job);
  CheckNeverStarts(job);
}

TEST(EarlyCancel, SubmitAtPausedSchedulerIsNotStoredAfterItsCancel) {
  const int leader = system->leader();
  system->FreezeNode(leader, Duration(4000));
  const JobId job = SubmitTo(leader);
  system->Run(Duration(500));
  CancelAsUnknown(job);
  CheckNeverStarts(job);
}

// Guards against a job that runs although its cancel was acknowledged: the
// store carried the write of its submit out after that.
TEST(EarlyCancel, WriteThatIsCarriedOutLateDoesNotStoreTheJob) {
  system->faults().store_writes_late = 1;
  const JobId job = SubmitTo(slow_node);
  system->Run(Duration(600));
  system->faults().store_writes_late = 0;
  CancelAsUnknown(job);
  CheckNeverStarts(job);
}

// Guards against a cancel that relies on a tombstone whose write is only
// carried out later.
TEST(EarlyCancel, CancelIsNotAcknowledgedBeforeItsTombstoneIsStored) {
  system->FreezeNode(slow_node, Duration(4000));
  const JobId job = SubmitTo(slow_node);
  system->faults().store_writes_late = 1;
  const std::optional<CallResult> result = system->CancelAt(other_node, job);
  CHECK_TRUE(!result.has_value() || result == CallResult::kUnknown ||
             result == CallResult::kNotAccepted);
}

// Guards against a race between the submit and the cancel: whichever write is
// first, the other one has to see it.
TEST(EarlyCancel, CancelAndSubmitAtTheSameTimeLeaveNoRunningJob) {
  for (int delay = 0; delay < 30; ++delay) {
    const JobId job = SubmitTo(slow_node);
    system->Run(Duration(delay));
    const std::optional<CallResult> result = system->CancelAt(other_node, job);
    CHECK_TRUE(result == CallResult::kUnknownJob ||
               result == CallResult::kDone);
    system->Run(Duration(5000));
    const std::string state = system->StateOf(job);
    CHECK_TRUE(state == (result == CallResult::kDone ? "cancelled" : "gone"));
  }
  LONGS_EQUAL(0, system->violations().size());
}

// Guards against ids that can never be used again after a cancel.
TEST(EarlyCancel, IdCanBeUsedAgainAfterTheTombstoneIsRemoved) {
  system->FreezeNode(slow_node, Duration(4000));
  const JobId job = SubmitTo(slow_node);
  system->Run(Duration(500));
  CancelAsUnknown(job);
  LONGS_EQUAL(1, Tombstones());
  system->Run(dispatch::kTombstoneRetention + Duration(3000));
  LONGS_EQUAL(0, Tombstones());
  system->ForgetCancellation(job);
  system->SubmitAgain(other_node, job);
  system->Run(kWork + Duration(5000));
  LONGS_EQUAL(1, Starts(job));
  STRCMP_EQUAL("done", system->StateOf(job).c_str());
}

// Guards against a tombstone that goes too early for the second of two cancels.
TEST(EarlyCancel, SecondCancelExtendsTheTombstone) {
  const JobId job = SubmitTo(slow_node);
  system->KillNode(slow_node, Duration(1000));
  system->Run(Duration(100));
  CancelAsUnknown(job);
  system->Run(dispatch::kTombstoneRetention - Duration(3000));
  CancelAsUnknown(job);
  system->Run(Duration(6000));
  LONGS_EQUAL(1, Tombstones());
  system->Run(dispatch::kTombstoneRetention);
  LONGS_EQUAL(0, Tombstones());
}

// Guards against a tombstone that outlives the scheduler that knew its age, and
// against one that goes with it.
TEST(EarlyCancel, TombstoneIsRemovedByALaterScheduler) {
  const JobId job = SubmitTo(slow_node);
  system->KillNode(slow_node, Duration(1000));
  system->Run(Duration(100));
  CancelAsUnknown(job);
  system->KillNode(system->leader(), Duration(20000));
  system->Run(Duration(20000));
  LONGS_EQUAL(1, Tombstones());
  system->Run(dispatch::kTombstoneRetention);
  LONGS_EQUAL(0, Tombstones());
}

// Guards against a job that a node of a version without tombstones stores after
// its cancel was acknowledged.
TEST(EarlyCancel, JobStoredDespiteItsTombstoneIsCancelled) {
  system->FreezeNode(slow_node, Duration(4000));
  const JobId job = SubmitTo(slow_node);
  system->Run(Duration(500));
  CancelAsUnknown(job);
  dispatch::JobSpec spec = Spec();
  spec.id = job;
  spec.queue = dispatch::QueueId("ordinary");
  dispatch::RowTransaction unconditional;
  unconditional.partition = dispatch::JobPartition(job.value());
  unconditional.puts.push_back(
      {{dispatch::kJobTable, job.value()}, dispatch::EncodeJobSpec(spec)});
  system->store().Commit(unconditional);
  system->Run(Duration(10000));
  LONGS_EQUAL(0, Starts(job));
  STRCMP_EQUAL("cancelled", system->StateOf(job).c_str());
}

// Guards against a submit that waits for longer than tombstones are kept.
TEST(EarlyCancel, SubmitThatWaitedLongerThanTombstonesIsRefused) {
  const Duration pause = dispatch::kTombstoneRetention + Duration(10000);
  system->FreezeNode(slow_node, pause);
  const JobId job = SubmitTo(slow_node);
  system->Run(Duration(500));
  CancelAsUnknown(job);
  system->Run(pause);
  LONGS_EQUAL(0, Tombstones());
  CheckNeverStarts(job);
}

// Guards against refusals of submits whose job nobody cancelled.
TEST(EarlyCancel, SubmitAtPausedNodeIsAcceptedWithoutACancel) {
  system->FreezeNode(slow_node, Duration(2000));
  const JobId job = SubmitTo(slow_node);
  system->Run(Duration(10000));
  CHECK_TRUE(system->jobs().at(job).accepted);
  STRCMP_EQUAL("done", system->StateOf(job).c_str());
}

// Guards against a workspace whose cancels of unknown jobs take the store's
// writes from all others.
TEST(EarlyCancel, CancelsOfUnknownJobsAreLimited) {
  system->KillNode(slow_node, Duration(60000));
  int acknowledged = 0;
  int refused = 0;
  constexpr int kCancels = 500;
  for (int i = 0; i < kCancels; ++i) {
    const JobId job = SubmitTo(slow_node);
    const std::optional<CallResult> result = system->CancelAt(other_node, job);
    if (result == CallResult::kUnknownJob) ++acknowledged;
    if (result == CallResult::kNotAccepted) ++refused;
  }
  LONGS_EQUAL(kCancels, acknowledged + refused);
  CHECK_TRUE(refused > 0);
  const dispatch::WriteQuotaOptions quota;
  const double seconds = static_cast<double>(system->now().ms()) / 1000;
  CHECK_TRUE(acknowledged <= quota.burst + quota.writes_per_second * seconds);
}

}  // namespace limeledge::emulator
