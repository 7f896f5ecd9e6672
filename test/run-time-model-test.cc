/// @file
/// Tests of run time correction.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "core/run_time_model.h"

namespace limeledge {

TEST_GROUP(RunTimeModel) {
  RunTimeModel model;
  JobSpec spec;

  void setup() override {
    spec.workspace = WorkspaceId("a");
    spec.job_class = ClassId("c");
    spec.declared = Duration(1000);
  }
};

TEST(RunTimeModel, UnseenClassIsBelieved) {
  LONGS_EQUAL(1000, model.Expect(spec).ms());
}

TEST(RunTimeModel, WrongDeclarationsAreCorrectedBothWays) {
  for (int i = 0; i < 20; ++i) model.Observe(spec, Duration(4000));
  CHECK_TRUE(model.Expect(spec).ms() > 3500);
  for (int i = 0; i < 60; ++i) model.Observe(spec, Duration(100));
  CHECK_TRUE(model.Expect(spec).ms() < 200);
}

TEST(RunTimeModel, OtherClassesAreNotAffected) {
  model.Observe(spec, Duration(4000));
  spec.job_class = ClassId("other");
  LONGS_EQUAL(1000, model.Expect(spec).ms());
}

}  // namespace limeledge
