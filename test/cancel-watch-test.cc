/// @file
/// Tests of the soak test check that cancelled jobs end in time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "soak/cancel_watch.h"

namespace limeledge::soak {

namespace {

constexpr TimePoint kCancelled{100000};
/// Time after the cancel from which a running task is reported.
constexpr Duration kBound = CancelWatch::kCancelBound + CancelWatch::kStopTime +
                            CancelWatch::kSampleSlack;
constexpr Duration kInstant{1};

}  // namespace

// Fixture with one job of one task, cancelled at `kCancelled`.
TEST_GROUP(CancelWatch) {
  FaultLog faults;
  std::vector<std::string> violations;
  CancelWatch watch{
      &faults, [this](const std::string& what) { violations.push_back(what); }};
  const RunPlace place{RunnerId("i-1-1"), {JobId("abc"), 0, 0, 0}};

  void Cancel() { watch.RecordCancellation(JobId("abc"), kCancelled); }
  void StartAt(TimePoint at, int run = 1) { watch.RecordStart(place, run, at); }
  void SeeRunAt(TimePoint at) { watch.NoteRunning({place}, at); }
  void SeeNothingAt(TimePoint at) { watch.NoteRunning({}, at); }
};

TEST(CancelWatch, RunThatEndsWithinTheBoundIsRight) {
  StartAt(kCancelled - Duration(500));
  Cancel();
  SeeRunAt(kCancelled + kBound);
  SeeNothingAt(kCancelled + kBound + Duration(50));
  CHECK_EQUAL(0, violations.size());
  CHECK_EQUAL(kBound.ms(), watch.times().last_run.ms());
  CHECK_EQUAL(kBound.ms(), watch.times().last_run_calm.ms());
  CHECK_EQUAL(1, watch.times().acknowledged);
}

TEST(CancelWatch, RunBeyondTheBoundIsReportedOnce) {
  StartAt(kCancelled - Duration(500));
  Cancel();
  SeeRunAt(kCancelled + kBound + kInstant);
  SeeRunAt(kCancelled + kBound + Duration(50));
  CHECK_EQUAL(1, violations.size());
  CHECK(violations[0].find("abc.0.0.0 (run 1) on i-1-1 still runs") == 0);
}

TEST(CancelWatch, RunOfAJobThatNobodyCancelledIsRight) {
  StartAt(kCancelled);
  SeeRunAt(kCancelled + kBound * 10);
  CHECK_EQUAL(0, violations.size());
}

TEST(CancelWatch, FaultNearbyExcusesARunUntilTheBoundIsCalm) {
  StartAt(kCancelled - Duration(500));
  Cancel();
  const TimePoint fault_end = kCancelled + Duration(700);
  faults.Note("store", kCancelled, fault_end);
  const TimePoint calm = fault_end + CancelWatch::kDisturbed;
  SeeRunAt(calm + kBound);
  CHECK_EQUAL(0, violations.size());
  CHECK_EQUAL(0, watch.times().last_run_calm.ms());
  SeeRunAt(calm + kBound + kInstant);
  CHECK_EQUAL(1, violations.size());
}

TEST(CancelWatch, ChangeOfNodesExcusesARunUntilTheBoundIsCalm) {
  StartAt(kCancelled - Duration(500));
  Cancel();
  faults.Note("node-1", kCancelled, kCancelled, TroubleSort::kNodeChange);
  SeeRunAt(kCancelled + CancelWatch::kDisturbed + kBound);
  CHECK_EQUAL(0, violations.size());
  SeeRunAt(kCancelled + CancelWatch::kDisturbed + kBound + kInstant);
  CHECK_EQUAL(1, violations.size());
}

TEST(CancelWatch, LeavingOfARunnerExcusesNoRun) {
  StartAt(kCancelled - Duration(500));
  Cancel();
  faults.Note("runner-1", kCancelled, kCancelled, TroubleSort::kRunnerLeft);
  SeeRunAt(kCancelled + kBound + kInstant);
  CHECK_EQUAL(1, violations.size());
}

TEST(CancelWatch, RunThatWasStartedLateHasItsBoundFromItsStart) {
  Cancel();
  const TimePoint start = kCancelled + Duration(9000);
  faults.Note("orders", kCancelled - Duration(1000), start,
              TroubleSort::kLateOrders);
  StartAt(start);
  const TimePoint due = start + CancelWatch::kDisturbed + kBound;
  SeeRunAt(due);
  CHECK_EQUAL(0, violations.size());
  CHECK_EQUAL(0, watch.times().last_start_calm.ms());
  CHECK_EQUAL(9000, watch.times().last_start.ms());
  SeeRunAt(due + kInstant);
  CHECK_EQUAL(1, violations.size());
}

TEST(CancelWatch, RunThatWasStartedAtCalmHasItsBoundFromTheCancel) {
  Cancel();
  StartAt(kCancelled + Duration(2000));
  SeeRunAt(kCancelled + kBound);
  CHECK_EQUAL(0, violations.size());
  SeeRunAt(kCancelled + kBound + kInstant);
  CHECK_EQUAL(1, violations.size());
}

TEST(CancelWatch, StartBeyondTheBoundIsReported) {
  Cancel();
  StartAt(kCancelled + CancelWatch::kCancelBound);
  CHECK_EQUAL(0, violations.size());
  StartAt(kCancelled + CancelWatch::kCancelBound + kInstant, 2);
  CHECK_EQUAL(1, violations.size());
  CHECK(violations[0].find("start of abc.0.0.0 (run 2)") == 0);
}

TEST(CancelWatch, OrderThatIsRepeatedIsNoStart) {
  StartAt(kCancelled - Duration(500));
  Cancel();
  StartAt(kCancelled + CancelWatch::kCancelBound + kInstant);
  CHECK_EQUAL(0, violations.size());
}

TEST(CancelWatch, FaultNearbyExcusesAStart) {
  Cancel();
  faults.Note("store", kCancelled, kCancelled + Duration(20000));
  StartAt(kCancelled + Duration(20100));
  CHECK_EQUAL(0, violations.size());
}

TEST(CancelWatch, NothingExcusesAStartAfterAStretchOfCalm) {
  Cancel();
  const TimePoint fault = kCancelled + Duration(20000);
  SeeNothingAt(fault - kInstant);
  faults.Note("store", fault, fault);
  StartAt(fault + Duration(100));
  CHECK_EQUAL(1, violations.size());
}

TEST(CancelWatch, LateOrdersKeepAJobFromBeingSettled) {
  Cancel();
  const TimePoint until = kCancelled + Duration(20000);
  faults.Note("orders", kCancelled, until, TroubleSort::kLateOrders);
  SeeNothingAt(until - Duration(1000));
  StartAt(until - Duration(500));
  CHECK_EQUAL(0, violations.size());
}

}  // namespace limeledge::soak
