/// @file
/// A refusal that is known to be wrong; the test fails until it is mended.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "scheduler-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(AdmissionOpen, SchedulerFixture){};

// Load: a backlog of long tasks of one queue, of which one ends every four
// seconds, and a short job of the same queue. The planner places it before the
// backlog, because its deadline is earlier, so it must not be refused for the
// work behind it.
TEST(AdmissionOpen, ShortJobThatGoesFirstByItsDeadlineIsAccepted) {
  SystemOptions options;
  options.admission.use = dispatch::AdmissionUse::kAuto;
  options.planner.urgent_share = 0;
  EmulatedSystem own(options);
  // The time until capacity is known.
  own.Run(Duration(11000));
  for (int i = 1; i <= 8; ++i) {
    SubmitTo(&own, Step(1, 8, Duration(4000) * (i + 2)));
  }
  own.Run(Duration(500));
  SubmitTo(&own, Step(150, 8, Duration(30000)));
  own.Run(Duration(9500));
  const JobId job = SubmitTo(&own, Step(3, 8, Duration(1000)));
  own.Run(Duration(400));
  CHECK_TRUE(own.jobs().at(job).accepted);
}

}  // namespace limeledge::emulator
