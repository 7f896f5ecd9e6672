/// @file
/// Tests of moves and preemptions by expected gain on an emulated system.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>
#include <vector>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

/// A small fleet whose scheduler decides moves as given.
class MovesFixture : public SchedulerFixture {
 public:
  struct Trial {
    explicit Trial(dispatch::MovesByGain use) : system(OptionsOf(use)) {
      system.SetTrace(
          [this](const std::string& line) { lines.push_back(line); });
      system.Run(Duration(3000));
    }
    static SystemOptions OptionsOf(dispatch::MovesByGain use) {
      SystemOptions options;
      options.moves_by_gain = use;
      options.bounds.gangs_in_step = true;
      options.planner.urgent_share = 0;
      return options;
    }
    int CountLines(const std::string& text) const {
      int count = 0;
      for (const std::string& line : lines) {
        if (line.find(text) != std::string::npos) ++count;
      }
      return count;
    }
    const JobWatch& Watch(const JobId& job) { return system.jobs().at(job); }

    std::vector<std::string> lines;
    EmulatedSystem system;
  };

  /// Runs urgent jobs, from which the scheduler learns that the estimates of
  /// their queue are right, and leaves batch tasks on all runners.
  static void Prepare(Trial* trial, Duration urgent) {
    for (int i = 0; i < 8; ++i) {
      SubmitTo(&trial->system, Step(1, 1, urgent), 0);
    }
    trial->system.Run(urgent + Duration(1000));
    dispatch::StepSpec batch = Step(8, 1, Duration(30000));
    batch.max_per_runner = 1;
    for (int i = 0; i < 4; ++i) SubmitTo(&trial->system, batch);
    // A fifth of a run is enough to learn from it.
    trial->system.Run(Duration(7000));
  }

  /// Starts a gang beside batch tasks, and slows down the runner of one member
  /// for good.
  static JobId RunGangOnASlowRunner(Trial* trial) {
    Prepare(trial, Duration(8000));
    dispatch::StepSpec gang = Step(3, 4, Duration(8000));
    gang.gang = true;
    gang.same_rack = true;
    gang.max_per_runner = 1;
    gang.saves_progress = true;
    JobId job = SubmitTo(&trial->system, gang, 0);
    trial->system.Run(Duration(2000));
    for (const RunnerId& id : trial->system.RunnerIds()) {
      EmulatedRunner* runner = trial->system.FindRunner(id);
      bool is_member = false;
      runner->ForEachRun([&](const dispatch::TaskName& name, int) {
        is_member = is_member || name.job == job;
      });
      if (!is_member) continue;
      runner->SetSlowness(6);
      break;
    }
    return job;
  }
};

TEST_GROUP_BASE(Moves, MovesFixture){};

// Load: runners turn slow under gangs. The gang would take 40 s; its members
// advance together, so that only the batch task beside one of them shows which
// runner is slow.
TEST(Moves, GangWithOneSlowMemberIsMovedOnceAndEndsEarlier) {
  Trial trial(dispatch::MovesByGain::kOn);
  const JobId job = RunGangOnASlowRunner(&trial);
  trial.system.Run(Duration(20000));
  STRCMP_EQUAL("done", trial.system.StateOf(job).c_str());
  LONGS_EQUAL(3, trial.Watch(job).starts.size());
  for (const auto& [name, starts] : trial.Watch(job).starts) {
    LONGS_EQUAL(2, starts);
  }
  CHECK_TRUE(trial.CountLines("reason=it ends sooner elsewhere") > 0);
  CHECK_TRUE(trial.system.violations().empty());
}

// Load: tasks that take seven times as long by themselves, beside others that
// take as long as expected.
TEST(Moves, LongTaskIsNotMovedAndTheLogSaysSoOnce) {
  Trial trial(dispatch::MovesByGain::kOn);
  Prepare(&trial, Duration(2000));
  dispatch::JobSpec spec;
  spec.steps = {Step(1, 1, Duration(2000))};
  spec.policy.priority = 0;
  TaskTruth truth;
  truth.work = Duration(14000);
  const JobId job = trial.system.Submit(spec, {truth});
  trial.system.Run(Duration(16000));
  STRCMP_EQUAL("done", trial.system.StateOf(job).c_str());
  LONGS_EQUAL(1, trial.Watch(job).starts.begin()->second);
  LONGS_EQUAL(1, trial.CountLines("move_declined"));
  LONGS_EQUAL(0, trial.CountLines("run_moved"));
}

// A scheduler that should decide as before also stopped gangs on new evidence.
TEST(Moves, OffAndAutoWithoutSpeedsInUseDecideAlikeAndWithoutGain) {
  Trial off(dispatch::MovesByGain::kOff);
  Trial automatic(dispatch::MovesByGain::kAuto);
  for (Trial* trial : {&off, &automatic}) {
    RunGangOnASlowRunner(trial);
    trial->system.Run(Duration(20000));
    LONGS_EQUAL(0, trial->CountLines("speeds_in_use"));
    LONGS_EQUAL(0, trial->CountLines("move_declined"));
    LONGS_EQUAL(0, trial->CountLines("elsewhere_ms"));
  }
  CHECK_TRUE(off.lines == automatic.lines);
}

// A run that resumes, or reports the same checkpoint again, has not just saved,
// and would be preempted or moved first for it.
TEST(Moves, OnlyANewCheckpointCountsAsSaved) {
  dispatch::Run run;
  run.checkpoint = "resumed";
  run.saved_at = TimePoint(1000);
  RecordSave(40, "resumed", TimePoint(2000), &run);
  run.percent = 40;
  LONGS_EQUAL(1000, run.saved_at.ms());
  LONGS_EQUAL(40, run.saved_percent);
  RecordSave(60, "new", TimePoint(3000), &run);
  run.percent = 60;
  RecordSave(70, "new", TimePoint(4000), &run);
  LONGS_EQUAL(3000, run.saved_at.ms());
  LONGS_EQUAL(60, run.saved_percent);
}

// Load: urgent bursts over a full fleet of short tasks.
class BurstFixture : public MovesFixture {
 public:
  /// Fills the fleet with tasks that end soon, and submits an urgent job
  /// `before` that. Returns how many runs were preempted for it.
  static int PreemptionsFor(dispatch::MovesByGain use, Duration before) {
    Trial trial(use);
    SubmitTo(&trial.system, Step(64, 1, Duration(4000)));
    trial.system.Run(Duration(4000) - before);
    const JobId urgent = SubmitTo(&trial.system, Step(1, 8, Duration(500)), 0);
    trial.system.Run(Duration(6000));
    STRCMP_EQUAL("done", trial.system.StateOf(urgent).c_str());
    CHECK_TRUE(trial.system.violations().empty());
    return trial.CountLines("run_displaced");
  }
};

TEST_GROUP_BASE(MovesBursts, BurstFixture){};

TEST(MovesBursts, UrgentStepWaitsForRunsThatEndSoonerThanAStop) {
  LONGS_EQUAL(0, PreemptionsFor(dispatch::MovesByGain::kOn, Duration(500)));
  CHECK_TRUE(PreemptionsFor(dispatch::MovesByGain::kOff, Duration(500)) > 0);
}

TEST(MovesBursts, UrgentStepPreemptsRunsThatEndLaterThanAStop) {
  CHECK_TRUE(PreemptionsFor(dispatch::MovesByGain::kOn, Duration(2500)) > 0);
}

}  // namespace limeledge::emulator
