/// @file
/// Tests of exchange bookkeeping.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "core/worker_link.h"

namespace limeledge {

TEST_GROUP(WorkerLink) {
  WorkerLink link;
  const TaskId task{"j#1#0"};

  static WorkerReport Report(std::vector<TaskReport> tasks = {}) {
    WorkerReport report;
    report.accepted = true;
    report.stamp = {9, 100};
    report.tasks = std::move(tasks);
    return report;
  }

  /// The query that every link begins with.
  void Query(TimePoint at) { link.OnReport(at, link.OnSent(at, {}), Report()); }

  std::int64_t Send(TimePoint at) {
    TaskOrder order;
    order.id = task;
    return link.OnSent(at, {order});
  }
};

TEST(WorkerLink, QueryLeasesNothingAndIsFollowedAtOnce) {
  CHECK_TRUE(link.DueAt(TimePoint(0), Duration(1000)));
  CHECK_FALSE(link.has_stamp());
  Query(TimePoint(0));
  CHECK_TRUE(link.has_stamp());
  CHECK_TRUE(link.DueAt(TimePoint(0), Duration(1000)));
  CHECK_FALSE(link.LastGrant(task).has_value());
}

TEST(WorkerLink, GrantCountsFromTheStampNotFromTheSending) {
  Query(TimePoint(50));
  Send(TimePoint(400));
  LONGS_EQUAL(50, link.LastGrant(task)->ms());
}

TEST(WorkerLink, TaskMissingFromAReportThatNamedItIsKnownToBeGone) {
  Query(TimePoint(0));
  link.OnReport(TimePoint(20), Send(TimePoint(10)), Report());
  CHECK_TRUE(link.WasTold(task));
  CHECK_TRUE(link.Find(task) == nullptr);
}

TEST(WorkerLink, StopIsKnownOnlyFromAnExchangeSentAfterIt) {
  Query(TimePoint(0));
  link.OnReport(TimePoint(20), link.OnSent(TimePoint(10), {}), Report());
  CHECK_TRUE(link.WasToldToStop(task, TimePoint(10)));
  CHECK_FALSE(link.WasToldToStop(task, TimePoint(11)));
}

TEST(WorkerLink, QueryDoesNotCountAsAStop) {
  Query(TimePoint(10));
  CHECK_FALSE(link.WasToldToStop(task, TimePoint(0)));
}

TEST(WorkerLink, ReplyToAnOlderExchangeIsIgnored) {
  Query(TimePoint(0));
  const std::int64_t first = Send(TimePoint(10));
  link.OnNoReply(TimePoint(20), first);
  Send(TimePoint(500));
  CHECK_FALSE(link.OnReport(TimePoint(510), first, Report()));
}

TEST(WorkerLink, SilentWorkerIsAskedAgainWithGrowingPauses) {
  link.OnNoReply(TimePoint(0), link.OnSent(TimePoint(0), {}));
  CHECK_FALSE(link.DueAt(TimePoint(199), Duration(1000)));
  CHECK_TRUE(link.DueAt(TimePoint(200), Duration(1000)));
  link.OnNoReply(TimePoint(200), link.OnSent(TimePoint(200), {}));
  CHECK_FALSE(link.DueAt(TimePoint(599), Duration(1000)));
  LONGS_EQUAL(2, link.failures_in_a_row());
}

}  // namespace limeledge
