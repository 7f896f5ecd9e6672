/// @file
/// Tests of the emulated worker.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "platform/worker_model.h"

namespace limeledge {

TEST_GROUP(WorkerModel) {
  WorkerModel worker{Info(), 5,
                     [](const TaskOrder& order) { return order.declared; }};
  int sequence = 0;

  static WorkerInfo Info() {
    WorkerInfo info;
    info.id = WorkerId("w");
    info.accelerators = 4;
    info.cores = 8;
    info.memory_mb = 100;
    return info;
  }

  WorkerReport Send(std::int64_t now, TaskGoal goal, std::int64_t stamp,
                    int epoch = 1, const char* task = "a/j#1#0",
                    std::uint64_t accelerators = 1) {
    WorkerExchange exchange;
    exchange.epoch = Epoch(epoch);
    exchange.sequence = ++sequence;
    exchange.stamp = {5, stamp};
    exchange.lease = Duration(1000);
    TaskOrder order;
    order.id = TaskId(task);
    order.goal = goal;
    order.accelerators = accelerators;
    order.declared = Duration(500);
    exchange.orders = {order};
    return worker.Handle(TimePoint(now), exchange);
  }
};

TEST(WorkerModel, TaskIsPreparedThenRunsThenEnds) {
  CHECK_TRUE(Send(0, TaskGoal::kPrepare, 0).tasks[0].state ==
             TaskState::kPrepared);
  CHECK_TRUE(Send(10, TaskGoal::kRun, 0).tasks[0].state == TaskState::kRunning);
  CHECK_TRUE(worker.Advance(TimePoint(510)));
  CHECK_TRUE(Send(520, TaskGoal::kRun, 500).tasks[0].state == TaskState::kDone);
}

TEST(WorkerModel, RunOrderNeverCreatesATask) {
  LONGS_EQUAL(0, Send(0, TaskGoal::kRun, 0).tasks.size());
}

TEST(WorkerModel, LeaseCountsFromTheStampHoweverLateTheExchange) {
  Send(0, TaskGoal::kPrepare, 0);
  Send(900, TaskGoal::kRun, 100);
  worker.Advance(TimePoint(1101));
  LONGS_EQUAL(0, worker.Running().size());
  // Held up on its way for longer than its lease: it grants nothing.
  Send(2000, TaskGoal::kPrepare, 500, 1, "a/k#1#0");
  LONGS_EQUAL(0, worker.Running().size());
  CHECK_TRUE(Send(2001, TaskGoal::kRun, 500, 1, "a/k#1#0").tasks.empty());
}

TEST(WorkerModel, OlderEpochIsRefused) {
  Send(0, TaskGoal::kPrepare, 0, 2);
  const WorkerReport report = Send(1, TaskGoal::kRun, 0, 1);
  CHECK_FALSE(report.accepted);
  LONGS_EQUAL(2, report.epoch.value());
  LONGS_EQUAL(0, worker.Running().size());
}

TEST(WorkerModel, UnnamedTaskIsStopped) {
  Send(0, TaskGoal::kPrepare, 0);
  Send(1, TaskGoal::kRun, 0);
  Send(2, TaskGoal::kPrepare, 0, 1, "a/other#1#0", 2);
  LONGS_EQUAL(0, worker.Running().size());
}

TEST(WorkerModel, TakenAcceleratorIsRefused) {
  WorkerExchange exchange;
  exchange.epoch = Epoch(1);
  exchange.sequence = 1;
  exchange.stamp = {5, 0};
  exchange.lease = Duration(1000);
  TaskOrder order;
  order.accelerators = 1;
  order.id = TaskId("a/j#1#0");
  exchange.orders.push_back(order);
  order.id = TaskId("a/k#1#0");
  exchange.orders.push_back(order);
  const WorkerReport report = worker.Handle(TimePoint(0), exchange);
  CHECK_TRUE(report.tasks[0].state == TaskState::kPrepared);
  CHECK_TRUE(report.tasks[1].state == TaskState::kStopped);
}

TEST(WorkerModel, CheckpointKeepsWhatIsLeft) {
  Send(0, TaskGoal::kPrepare, 0);
  Send(0, TaskGoal::kRun, 0);
  Send(200, TaskGoal::kCheckpoint, 0);
  worker.Advance(TimePoint(220));
  const WorkerReport report = Send(230, TaskGoal::kCheckpoint, 200);
  CHECK_TRUE(report.tasks[0].state == TaskState::kCheckpointed);
  STRCMP_EQUAL("remaining_ms=280", report.tasks[0].detail.c_str());
}

TEST(WorkerModel, RestartedWorkerTakesNoLeaseFromAnOldStamp) {
  worker.Restart(TimePoint(0), 6);
  LONGS_EQUAL(0, Send(1, TaskGoal::kPrepare, 0).tasks.size());
}

}  // namespace limeledge
