/// @file
/// Random simulations with restarting runners that once broke a promise.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "dispatch-simulation.h"

namespace limeledge::emulator {

namespace {

/// Plays each seed in both modes, like the random simulations.
void CheckSeeds(const std::vector<int>& seeds) {
  for (const int seed : seeds) {
    for (const RestartMode mode :
         {RestartMode::kSameIds, RestartMode::kNewIds}) {
      Simulation simulation(seed, dispatch::DefaultPlanningPolicy(), mode);
      for (const std::string& error : simulation.Run()) FAIL(error.c_str());
    }
  }
}

}  // namespace

TEST_GROUP(RebornSeeds){};

// A late call to an earlier incarnation was carried out by a later one. Late
// starts began a task that was done or that ran elsewhere, and late polls
// acknowledged ends that nobody had read.
TEST(RebornSeeds, LateCallsAreNotCarriedOutByALaterIncarnation) {
  CheckSeeds({30622, 30992, 31120, 32142, 32962, 33105, 34712, 35785});
}

// A poll that was sent because of a new list entry acknowledged ends of the
// previous incarnation to the next one.
TEST(RebornSeeds, PollThatChecksForARestartAcknowledgesNoEnd) {
  CheckSeeds({33653});
}

// A rejected poll of a previous scheduler was taken for an acknowledgement.
TEST(RebornSeeds, FailuresAreCountedOnce) { CheckSeeds({35038}); }

// The second attempt of a start was rejected for lack of capacity, and the
// first one was carried out late, while the task ran elsewhere.
TEST(RebornSeeds, StartWithAPendingAttemptIsNotMadeElsewhere) {
  CheckSeeds({34072});
}

// A run whose start got no answer seemed to run since the scheduler's start and
// so to have outlived all earlier runs, whose crashes were forgotten.
TEST(RebornSeeds, RunOfUnknownStartTimeDoesNotOutliveEarlierOnes) {
  CheckSeeds({33059});
}

// A run that the next incarnation began late seemed to run since its start was
// sent to the previous one, and so to have outlived the task's crashed runs.
TEST(RebornSeeds, RunBegunByTheNextIncarnationDoesNotOutliveEarlierOnes) {
  CheckSeeds({200940});
}

// The poll that checks for a restart waited for ends, and a late start was
// carried out meanwhile.
TEST(RebornSeeds, PollThatChecksForARestartDoesNotWait) {
  CheckSeeds({400622});
}

// A task was started although a runner that answered again still listed a run
// of it, which was being stopped.
TEST(RebornSeeds, TaskWaitsForAStrayRunToEnd) { CheckSeeds({205387}); }

// A run that crashed its runner during a pause of the scheduler seemed to have
// lasted until the end of the pause and so to have outlived earlier crashes.
TEST(RebornSeeds,
     RunWhoseRunnerFellSilentDuringAPauseDoesNotOutliveEarlierOnes) {
  CheckSeeds({63272});
}

}  // namespace limeledge::emulator
