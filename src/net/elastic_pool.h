/// @file
/// A thread pool that grows and shrinks with its load.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_ELASTIC_POOL_H_
#define LIMELEDGE_SRC_NET_ELASTIC_POOL_H_

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

#include "limeledge/clock.h"

namespace limeledge {

/// A thread pool that adds threads on demand, up to a maximum, and ends threads
/// that stay idle, except the last one. It suits servers whose calls block for
/// a long time while few of them are usually in progress. If the system refuses
/// another thread, tasks wait for the existing ones.
///
/// Thread safety: all methods may be called from any thread; `shutdown` only
/// once.
class ElasticPool : public httplib::TaskQueue {
 public:
  /// Starts the first thread; throws `std::system_error` if that fails. Threads
  /// that are idle for `idle_timeout` end. Precondition: `max_threads` > 0.
  explicit ElasticPool(std::size_t max_threads,
                       Duration idle_timeout = Duration(10000));
  ~ElasticPool() override;
  ElasticPool(const ElasticPool&) = delete;
  ElasticPool& operator=(const ElasticPool&) = delete;

  /// Runs `task` on an idle or a new thread, or queues it until a thread is
  /// idle.
  void enqueue(std::function<void()> task) override;
  /// Runs all queued tasks and joins all threads. `enqueue` must not be called
  /// afterwards.
  void shutdown() override;

  /// The current number of threads.
  std::size_t threads();

 private:
  using Threads = std::list<std::thread>;

  /// Precondition: `mutex_` is held.
  void AddThread();
  /// The main function of a thread.
  void RunTasks(Threads::iterator self);
  /// Waits for a task and removes it from the queue. Returns an empty function
  /// if the calling thread has to end.
  std::function<void()> NextTask(std::unique_lock<std::mutex>* lock);
  /// Joins the threads that have ended. Precondition: `mutex_` is held.
  void JoinEndedThreads();

  const std::size_t max_threads_;
  const Duration idle_timeout_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  Threads threads_;
  Threads ended_threads_;
  std::size_t idle_threads_ = 0;
  bool stopping_ = false;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_ELASTIC_POOL_H_
