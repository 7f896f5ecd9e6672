/// @file
/// Focused tests of the promises about settings, each with its faults.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "promise-fixture.h"

namespace limeledge {

TEST_GROUP_BASE(SettingsPromise, PromiseFixture){};

TEST(SettingsPromise, RacingOperatorsGetOneVersionAndOneClearConflict) {
  const std::size_t first =
      cluster->Propose(0, SettingsVersion(1), CourseSettings() + "\n# a\n");
  const std::size_t second =
      cluster->Propose(1, SettingsVersion(1), CourseSettings() + "\n# b\n");
  cluster->RunFor(Duration(1000));
  int accepted = 0;
  for (const std::size_t call : {first, second}) {
    const AnswerBody& answer = *cluster->call(call).answer;
    if (std::holds_alternative<SettingsView>(answer)) {
      ++accepted;
      continue;
    }
    CHECK_TRUE(std::get<Failure>(answer).status.code() ==
               absl::StatusCode::kAborted);
  }
  LONGS_EQUAL(1, accepted);
  for (int i = 0; i < kInstances; ++i) {
    LONGS_EQUAL(2, cluster->reducer(i).shared().follower.version().value());
  }
}

TEST(SettingsPromise, InstanceStartedInAnOutageTakesSettingsFromAPeer) {
  cluster->Propose(0, SettingsVersion(1), CourseSettings() + "\n# a\n");
  cluster->RunFor(Duration(1000));
  cluster->Kill(2);
  cluster->faults().store_down = true;
  cluster->Start(2);
  cluster->RunFor(Duration(5000));
  LONGS_EQUAL(2, cluster->reducer(2).shared().follower.version().value());
}

TEST(SettingsPromise, JobThatSettingsMakeImpossibleEndsWithTheReason) {
  FillHall(600000);
  const JobSpec job = Job("w3", 4, 4, 1000);
  cluster->Submit(0, job);
  cluster->RunFor(Duration(1000));
  CHECK_TRUE(IsIn(job.id, JobState::kWaiting));
  std::string smaller = CourseSettings();
  const std::string racks = "a: {region: r1, racks: 2";
  smaller.replace(smaller.find(racks), racks.size(),
                  "a: {region: r1, racks: 1");
  const std::string big = "big: {hall: a, members: 2";
  smaller.replace(smaller.find(big), big.size(), "big: {hall: a, members: 1");
  cluster->Propose(0, SettingsVersion(1), smaller);
  CHECK_TRUE(RunUntil(job.id, JobState::kImpossible, Duration(3000)));
  CHECK_TRUE(Row(job.id)->reason.find("no hall can ever hold") == 0);
}

TEST(SettingsPromise, ShadowPolicyIsRecordedAndNotCarriedOut) {
  std::string shadowed = CourseSettings();
  const std::string queue = "max_queue: 50";
  shadowed.replace(shadowed.find(queue), queue.size(),
                   "max_queue: 50\n  shadow_placement: fifo");
  cluster->Propose(0, SettingsVersion(1), shadowed);
  cluster->RunFor(Duration(1000));
  FillHall(600000);
  cluster->Submit(0, Job("w3", 4, 4, 1000));
  cluster->RunFor(Duration(500));
  // fifo lets this one wait behind the large one.
  const JobSpec small = Job("w3", 1, 1, 300);
  cluster->Submit(0, small);
  cluster->RunFor(Duration(2000));
  std::int64_t agreed = 0;
  for (int i = 0; i < kInstances; ++i) {
    agreed += cluster->reducer(i).shared().counters.shadow_agreed;
  }
  CHECK_TRUE(agreed > 0);
}

TEST(SettingsPromise, PausedInstanceCatchesUpAndNeverGoesBack) {
  cluster->Pause(2);
  cluster->Propose(0, SettingsVersion(1), CourseSettings() + "\n# a\n");
  cluster->RunFor(Duration(3000));
  cluster->Propose(0, SettingsVersion(2), CourseSettings() + "\n# b\n");
  cluster->RunFor(Duration(3000));
  cluster->Wake(2);
  cluster->RunFor(Duration(2000));
  LONGS_EQUAL(3, cluster->reducer(2).shared().follower.version().value());
}

}  // namespace limeledge
