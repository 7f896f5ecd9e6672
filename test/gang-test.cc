/// @file
/// Tests of the steps of a gang.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/gang.h"

#include "CppUTest/TestHarness.h"

namespace limeledge {

using State = GangMemberState;

TEST_GROUP(Gang) {
  JobRow job;
  GangView view;

  void setup() override {
    job.spec.members = 3;
    job.spec.repeatable = true;
    job.state = JobState::kRunning;
    job.attempt = 1;
    for (int i = 0; i < 3; ++i) {
      job.placement.members.push_back({WorkerId("w"), 1});
    }
    view.job = &job;
    view.settings.max_attempts = 3;
    view.settings.prepare = Duration(5000);
    view.settings.max_run = Duration(100000);
    view.settings.reclaim = Duration(10000);
  }

  GangStep Decide(State a, State b, State c) {
    view.members = {{a, "", false}, {b, "", false}, {c, "", false}};
    return DecideGang(view);
  }
};

TEST(Gang, StartingWaitsForEveryMember) {
  job.state = JobState::kStarting;
  CHECK_TRUE(
      Decide(State::kPrepared, State::kPrepared, State::kUnheard).action ==
      GangAction::kWait);
  CHECK_TRUE(
      Decide(State::kPrepared, State::kPrepared, State::kPrepared).action ==
      GangAction::kRun);
}

TEST(Gang, StartingThatLosesAMemberStopsAndBlamesItsWorker) {
  job.state = JobState::kStarting;
  job.spec.repeatable = false;
  const GangStep step =
      Decide(State::kPrepared, State::kAbsent, State::kPrepared);
  CHECK_TRUE(step.action == GangAction::kStop);
  CHECK_TRUE(step.next == JobState::kWaiting);
  LONGS_EQUAL(1, step.blamed.front());
}

TEST(Gang, StartingTooLongStops) {
  job.state = JobState::kStarting;
  view.in_state = Duration(5000);
  CHECK_TRUE(
      Decide(State::kPrepared, State::kUnheard, State::kPrepared).action ==
      GangAction::kStop);
}

TEST(Gang, RunningRepeatableThatLosesAMemberWaitsAgain) {
  const GangStep step =
      Decide(State::kRunning, State::kLapsed, State::kRunning);
  CHECK_TRUE(step.action == GangAction::kStop);
  CHECK_TRUE(step.next == JobState::kWaiting);
}

TEST(Gang, RunningNotRepeatableThatLosesAMemberIsUnknown) {
  job.spec.repeatable = false;
  CHECK_TRUE(Decide(State::kRunning, State::kLapsed, State::kRunning).next ==
             JobState::kUnknown);
}

TEST(Gang, RunningNotRepeatableThatFailsIsFailed) {
  job.spec.repeatable = false;
  const GangStep step = Decide(State::kRunning, State::kFailed, State::kDone);
  CHECK_TRUE(step.next == JobState::kFailed);
  CHECK_TRUE(step.job_failure);
}

TEST(Gang, PoisonJobEndsAfterItsAttempts) {
  job.failures = 2;
  CHECK_TRUE(Decide(State::kFailed, State::kRunning, State::kRunning).next ==
             JobState::kFailed);
}

TEST(Gang, RunningFinishesOnlyWhenAllAreDone) {
  CHECK_TRUE(Decide(State::kDone, State::kDone, State::kRunning).action ==
             GangAction::kWait);
  CHECK_TRUE(Decide(State::kDone, State::kDone, State::kDone).action ==
             GangAction::kFinish);
}

TEST(Gang, ReclaimedIsCheckpointedWhereItCan) {
  view.reclaim = true;
  CHECK_TRUE(Decide(State::kRunning, State::kRunning, State::kRunning).action ==
             GangAction::kCheckpoint);
  view.settings.checkpoint = false;
  CHECK_TRUE(Decide(State::kRunning, State::kRunning, State::kRunning).action ==
             GangAction::kStop);
}

TEST(Gang, CheckpointThatTakesTooLongIsStopped) {
  job.state = JobState::kCheckpointing;
  CHECK_TRUE(Decide(State::kCheckpointed, State::kRunning, State::kCheckpointed)
                 .action == GangAction::kWait);
  view.in_state = Duration(5000);
  CHECK_TRUE(Decide(State::kCheckpointed, State::kRunning, State::kCheckpointed)
                 .action == GangAction::kStop);
}

TEST(Gang, CheckpointedWholeIsReleased) {
  job.state = JobState::kCheckpointing;
  const GangStep step =
      Decide(State::kCheckpointed, State::kDone, State::kCheckpointed);
  CHECK_TRUE(step.action == GangAction::kRelease);
  CHECK_TRUE(step.next == JobState::kWaiting);
}

TEST(Gang, StoppingIsReleasedOnlyWhenAllAreGone) {
  job.state = JobState::kStopping;
  job.next = JobState::kUnknown;
  CHECK_TRUE(Decide(State::kAbsent, State::kUnheard, State::kLapsed).action ==
             GangAction::kWait);
  const GangStep step = Decide(State::kAbsent, State::kDone, State::kLapsed);
  CHECK_TRUE(step.action == GangAction::kRelease);
  CHECK_TRUE(step.next == JobState::kUnknown);
}

TEST(Gang, CancelledStopsInEveryState) {
  job.cancel_requested = true;
  for (const JobState state :
       {JobState::kStarting, JobState::kRunning, JobState::kCheckpointing}) {
    job.state = state;
    const GangStep step =
        Decide(State::kPrepared, State::kRunning, State::kRunning);
    CHECK_TRUE(step.next == JobState::kCancelled);
  }
}

}  // namespace limeledge
