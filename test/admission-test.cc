/// @file
/// Tests of the admission of jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/admission.h"

#include "CppUTest/TestHarness.h"

namespace limeledge {

TEST_GROUP(Admission) {
  Settings settings;
  JobSpec spec;

  void setup() override {
    HallSettings hall;
    hall.racks = 1;
    hall.workers_per_rack = 4;
    hall.accelerators_per_worker = 8;
    hall.cores_per_worker = 16;
    hall.memory_mb_per_worker = 100;
    settings.halls[HallId("h")] = hall;
    settings.classes[ClassId("batch")].kind = ClassKind::kJob;
    settings.classes[ClassId("check")].kind = ClassKind::kRequest;
    settings.workspaces[WorkspaceId("a")];
    spec.workspace = WorkspaceId("a");
    spec.job_class = ClassId("batch");
    spec.members = 4;
    spec.accelerators = 8;
    spec.repeatable = true;
  }

  std::size_t Faults() const {
    Findings findings("job");
    CheckAdmission(settings, spec, &findings);
    return findings.all().size();
  }
};

TEST(Admission, ShapeThatFitsIsAdmitted) { LONGS_EQUAL(0, Faults()); }

TEST(Admission, ShapeThatNoHallCanEverHoldIsRefused) {
  spec.members = 5;
  LONGS_EQUAL(1, Faults());
  spec.members = 1;
  spec.cores = 17;
  LONGS_EQUAL(1, Faults());
}

TEST(Admission, UnknownNamesAndWrongKindAreRefusedTogether) {
  spec.workspace = WorkspaceId("x");
  spec.job_class = ClassId("check");
  spec.members = 99;
  LONGS_EQUAL(3, Faults());
}

TEST(Admission, JobThatMayNeverBorrowNeedsAGuarantee) {
  spec.repeatable = false;
  settings.defaults.numbers["checkpoint"] = 0;
  LONGS_EQUAL(1, Faults());
  settings.workspaces[WorkspaceId("a")].guarantees = {{"g", HallId("h"), 4, 8}};
  LONGS_EQUAL(0, Faults());
}

}  // namespace limeledge
