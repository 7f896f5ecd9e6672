/// @file
/// Tests of the order of waiting requests.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <map>

#include "CppUTest/TestHarness.h"
#include "core/request_queue.h"

namespace limeledge {

TEST_GROUP(RequestQueue) {
  RequestQueue queue;
  const WorkspaceId a{"a"};
  const WorkspaceId b{"b"};
  int next = 1;

  RequestHandle Push(const WorkspaceId& workspace, int priority,
                     int weight = 100) {
    const RequestHandle handle(next++);
    queue.Push(handle, priority, workspace, weight);
    return handle;
  }
};

TEST(RequestQueue, UrgentGoesFirst) {
  Push(a, 5);
  const RequestHandle urgent = Push(a, 1);
  CHECK_TRUE(*queue.Pop() == urgent);
}

TEST(RequestQueue, WorkspaceWithManyDoesNotStarveOneWithFew) {
  for (int i = 0; i < 100; ++i) Push(a, 5);
  const RequestHandle one = Push(b, 5);
  queue.Pop();
  CHECK_TRUE(*queue.Pop() == one);
}

TEST(RequestQueue, TurnsFollowWeights) {
  std::map<RequestHandle, char> owner;
  for (int i = 0; i < 60; ++i) owner[Push(a, 5, 200)] = 'a';
  for (int i = 0; i < 60; ++i) owner[Push(b, 5, 100)] = 'b';
  int of_a = 0;
  for (int i = 0; i < 60; ++i) of_a += owner[*queue.Pop()] == 'a' ? 1 : 0;
  CHECK_TRUE(of_a >= 38 && of_a <= 42);
}

TEST(RequestQueue, PutBackGoesFirst) {
  Push(a, 5);
  const RequestHandle back(99);
  queue.PushFront(back, 5, a, 100);
  CHECK_TRUE(*queue.Pop() == back);
}

TEST(RequestQueue, RemovedIsNotCounted) {
  const RequestHandle first = Push(a, 5);
  Push(b, 3);
  queue.Remove(first, 5, a);
  LONGS_EQUAL(1, queue.size());
  LONGS_EQUAL(0, queue.SizeOf(a));
  LONGS_EQUAL(1, queue.AheadOf(5));
  LONGS_EQUAL(0, queue.AheadOf(2));
}

TEST(RequestQueue, EmptyGivesNothing) {
  CHECK_FALSE(queue.Pop().has_value());
  CHECK_TRUE(queue.empty());
}

}  // namespace limeledge
