/// @file
/// Threads that come with the work and go when there is none.
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

/// Runs tasks on at most so many threads; a thread that finds nothing to do for
/// a while ends, but for one. For servers whose calls wait long, but are few on
/// most days. Where no more threads are to be had, the others do the work.
///
/// Thread safety: all methods from any thread; `shutdown` once.
class ElasticPool : public httplib::TaskQueue {
 public:
  /// Throws `std::system_error` if not even one thread is to be had.
  /// Precondition: `most_threads` is above 0.
  explicit ElasticPool(std::size_t most_threads,
                       Duration idle = Duration(10000));
  ~ElasticPool() override;
  ElasticPool(const ElasticPool&) = delete;
  ElasticPool& operator=(const ElasticPool&) = delete;

  /// Runs `task` on a free thread, on a new one, or once one is free.
  void enqueue(std::function<void()> task) override;
  /// Finishes all tasks and ends all threads. Nothing may be added afterwards.
  void shutdown() override;

  /// Threads that are there now.
  std::size_t threads();

 private:
  using Threads = std::list<std::thread>;

  /// Precondition: the lock is held.
  void AddThread();
  void Serve(Threads::iterator self);
  /// Takes a task out, after a wait; nothing if this thread is to end.
  std::function<void()> Next(std::unique_lock<std::mutex>* lock);
  /// Joins threads that have ended. Precondition: the lock is held.
  void JoinEnded();

  const std::size_t most_threads_;
  const Duration idle_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  Threads threads_;
  Threads ended_;
  std::size_t waiting_ = 0;
  bool stopping_ = false;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_ELASTIC_POOL_H_
