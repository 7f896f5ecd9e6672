/// @file
/// Tests of the mirror of shared rows.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/mirror.h"

#include "CppUTest/TestHarness.h"

namespace limeledge {

TEST_GROUP(Mirror) {
  Mirror mirror;
  JobRow job;

  void setup() override {
    job.spec.workspace = WorkspaceId("a");
    job.spec.id = FullJobId(job.spec.workspace, "j");
    job.hall = HallId("h");
  }

  Row JobAt(int version, JobState state) {
    job.state = state;
    return {JobKey(job.spec.id), EncodeJobRow(job), Revision(version)};
  }
};

TEST(Mirror, NewerRowReplacesOlder) {
  mirror.Apply(JobAt(1, JobState::kWaiting), false);
  const MirrorChange change = mirror.Apply(JobAt(2, JobState::kDone), false);
  CHECK_TRUE(change.before->state == JobState::kWaiting);
  CHECK_TRUE(change.after->state == JobState::kDone);
  LONGS_EQUAL(0, mirror.ActiveJobs(HallId("h")).size());
}

TEST(Mirror, OlderRowIsIgnored) {
  mirror.Apply(JobAt(5, JobState::kRunning), false);
  const MirrorChange change = mirror.Apply(JobAt(4, JobState::kWaiting), false);
  CHECK_TRUE(change.kind == MirrorChange::Kind::kNothing);
  CHECK_TRUE(mirror.FindJob(job.spec.id)->state == JobState::kRunning);
}

TEST(Mirror, ErasedRowIsNotRevivedByAnOlderReading) {
  mirror.Apply(JobAt(1, JobState::kDone), false);
  mirror.Apply({JobKey(job.spec.id), "", Revision(3)}, true);
  mirror.Apply(JobAt(2, JobState::kDone), false);
  CHECK_TRUE(mirror.FindJob(job.spec.id) == nullptr);
}

TEST(Mirror, UnreadableRowIsNamedAndIgnored) {
  const MirrorChange change =
      mirror.Apply({"job/a/j", "{\"spec\":3}", Revision(1)}, false);
  CHECK_TRUE(change.kind == MirrorChange::Kind::kUnreadable);
  CHECK_FALSE(change.error.empty());
  CHECK_TRUE(mirror.FindJob(job.spec.id) == nullptr);
}

TEST(Mirror, RenewalBelongsToItsHall) {
  mirror.Apply({RenewalKey(HallId("h")), "x", Revision(9)}, false);
  LONGS_EQUAL(9, mirror.HallRecord(HallId("h")).renewal.value());
  LONGS_EQUAL(0, mirror.HallRecord(HallId("other")).renewal.value());
}

}  // namespace limeledge
