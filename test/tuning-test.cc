/// @file
/// Tests of setting tunable options by name.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/tuning.h"

#include <CppUTest/TestHarness.h>

namespace limeledge::dispatch {

TEST_GROUP(Tuning) {
  NodeOptions options;
  Findings findings{"--tune"};
};

TEST(Tuning, SetsOptionsOfEachType) {
  Tune("patience=900", &options, &findings);
  Tune("urgent-share=0.5", &options, &findings);
  Tune("kept-gangs=2", &options, &findings);
  Tune("moves-by-gain=off", &options, &findings);
  CHECK_TRUE(options.scheduler.moves_by_gain == MovesByGain::kOff);
  CHECK_TRUE(findings.empty());
  LONGS_EQUAL(900, options.scheduler.planner.locality_wait.ms());
  DOUBLES_EQUAL(0.5, options.scheduler.planner.urgent_share, 1e-9);
  LONGS_EQUAL(2, options.scheduler.planner.max_reserved_gangs);
}

TEST(Tuning, SetsTheSwitchOfAdmission) {
  CHECK_TRUE(options.admission.use == AdmissionUse::kOff);
  Tune("admission=auto", &options, &findings);
  CHECK_TRUE(options.admission.use == AdmissionUse::kAuto);
  Tune("admission=off", &options, &findings);
  CHECK_TRUE(options.admission.use == AdmissionUse::kOff);
  Tune("admission=on", &options, &findings);
  CHECK_TRUE(options.admission.use == AdmissionUse::kOn);
  CHECK_TRUE(findings.empty());
  Tune("admission=maybe", &options, &findings);
  LONGS_EQUAL(1, findings.all().size());
}

TEST(Tuning, ReportsInvalidSettingsAndChangesNothing) {
  const std::vector<std::string> before = ListTuning(options);
  Tune("patience=soon", &options, &findings);
  Tune("moves-by-gain=sometimes", &options, &findings);
  Tune("no-such-thing=1", &options, &findings);
  Tune("patience", &options, &findings);
  LONGS_EQUAL(4, findings.all().size());
  CHECK_TRUE(before == ListTuning(options));
}

TEST(Tuning, AcceptsAllListedSettings) {
  for (const std::string& setting : ListTuning(options)) {
    Tune(setting, &options, &findings);
  }
  CHECK_TRUE(findings.empty());
}

}  // namespace limeledge::dispatch
