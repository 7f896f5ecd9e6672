/// @file
/// Tests of the thread pool that grows and shrinks with its load.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>
#include <vector>

#include "net/elastic_pool.h"

namespace limeledge {

TEST_GROUP(ElasticPool){
    /// Waits until the pool has `wanted` threads.
    static void AwaitThreads(ElasticPool * pool, std::size_t wanted){
        while (pool->threads() != wanted){
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
}
}
}
;

TEST(ElasticPool, TasksThatBlockOnALaterTaskAllRun) {
  ElasticPool pool(4);
  std::promise<void> opened;
  std::shared_future<void> gate = opened.get_future().share();
  std::atomic<int> done = 0;
  for (int i = 0; i < 3; ++i) {
    pool.enqueue([gate, &done] {
      gate.wait();
      ++done;
    });
  }
  pool.enqueue([&opened] { opened.set_value(); });
  pool.shutdown();
  LONGS_EQUAL(4, done + 1);
}

TEST(ElasticPool, TasksBeyondTheThreadLimitAreQueued) {
  ElasticPool pool(2);
  std::atomic<int> done = 0;
  for (int i = 0; i < 50; ++i) pool.enqueue([&done] { ++done; });
  pool.shutdown();
  LONGS_EQUAL(50, done);
}

// The last thread never ends, so that tasks still run when the system refuses
// to start new threads.
TEST(ElasticPool, ThreadsComeWithWorkAndAllButOneEndWithoutIt) {
  ElasticPool pool(8, Duration(20));
  LONGS_EQUAL(1, pool.threads());
  std::promise<void> opened;
  std::shared_future<void> gate = opened.get_future().share();
  for (int i = 0; i < 3; ++i) pool.enqueue([gate] { gate.wait(); });
  // The pool may start a fourth thread if the first one was not waiting yet.
  CHECK_TRUE(pool.threads() >= 3);
  opened.set_value();
  AwaitThreads(&pool, 1);
  std::atomic<int> done = 0;
  pool.enqueue([&done] { ++done; });
  pool.shutdown();
  LONGS_EQUAL(1, done);
}

}  // namespace limeledge
