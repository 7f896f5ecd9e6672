/// @file
/// Tests of telling bad workers from bad jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "core/worker_health.h"

namespace limeledge {

TEST_GROUP(WorkerHealth) {
  WorkerHealth health;
  const WorkerId worker{"w"};

  bool Fail(TimePoint now, const char* job) {
    return health.OnFailure(now, worker, JobId(job), 3, Duration(1000));
  }

  void Quarantine() {
    Fail(TimePoint(0), "a");
    Fail(TimePoint(0), "b");
    Fail(TimePoint(0), "c");
  }
};

TEST(WorkerHealth, PoisonJobAloneQuarantinesNobody) {
  for (int i = 0; i < 20; ++i) CHECK_FALSE(Fail(TimePoint(i), "poison"));
  CHECK_TRUE(health.MayPlace(TimePoint(20), worker));
}

TEST(WorkerHealth, DifferentJobsQuarantine) {
  CHECK_FALSE(Fail(TimePoint(0), "a"));
  CHECK_FALSE(Fail(TimePoint(0), "b"));
  CHECK_TRUE(Fail(TimePoint(0), "c"));
  CHECK_FALSE(health.MayPlace(TimePoint(999), worker));
}

TEST(WorkerHealth, OneProbeAfterTheTime) {
  Quarantine();
  CHECK_TRUE(health.MayPlace(TimePoint(1000), worker));
  CHECK_TRUE(health.OnPlaced(TimePoint(1000), worker));
  CHECK_FALSE(health.MayPlace(TimePoint(1001), worker));
}

TEST(WorkerHealth, GoodProbeEndsTheQuarantine) {
  Quarantine();
  health.OnPlaced(TimePoint(1000), worker);
  health.OnSuccess(worker);
  CHECK_FALSE(health.IsQuarantined(worker));
}

TEST(WorkerHealth, FailedProbeLengthensIt) {
  Quarantine();
  health.OnPlaced(TimePoint(1000), worker);
  CHECK_TRUE(Fail(TimePoint(1100), "d"));
  CHECK_FALSE(health.MayPlace(TimePoint(3099), worker));
  CHECK_TRUE(health.MayPlace(TimePoint(3100), worker));
}

TEST(WorkerHealth, CancelledProbeMakesRoomForAnother) {
  Quarantine();
  health.OnPlaced(TimePoint(1000), worker);
  health.OnReleased(worker);
  CHECK_TRUE(health.MayPlace(TimePoint(1001), worker));
}

TEST(WorkerHealth, NewEpochForgetsProbesUnderWay) {
  Quarantine();
  health.OnPlaced(TimePoint(1000), worker);
  health.ReleaseAll();
  CHECK_TRUE(health.MayPlace(TimePoint(1001), worker));
}

}  // namespace limeledge
