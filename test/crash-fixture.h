/// @file
/// Fixture for tests with tasks that crash their runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_CRASH_FIXTURE_H_
#define LIMELEDGE_TEST_CRASH_FIXTURE_H_

#include <utility>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

/// The task crashes its runner as soon as it starts.
inline constexpr Duration kCrashImmediately{10};
/// Maximum number of starts of a task that crashes its runners: at most two of
/// them may follow the third crash.
inline constexpr int kMaxStarts = 5;

/// An emulated system with jobs whose first task crashes its runners.
class CrashFixture : public SchedulerFixture {
 public:
  /// Submits a job whose first task crashes its runner after this much work.
  JobId SubmitCrashing(dispatch::StepSpec step, Duration after) {
    dispatch::JobSpec spec;
    spec.steps = {std::move(step)};
    spec.policy.priority = 1;
    TaskTruth truth;
    truth.work = spec.steps[0].estimate;
    truth.crashes_after = after;
    truth.crashing_index = 0;
    return system.Submit(spec, {truth});
  }

  int StartsOfFirst(const JobId& job) {
    return Watch(job).starts.at({job, 0, 0, 0});
  }
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_TEST_CRASH_FIXTURE_H_
