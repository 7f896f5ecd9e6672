/// @file
/// Implementation of `ElasticPool`.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "net/elastic_pool.h"

#include <chrono>
#include <cstdio>
#include <iterator>
#include <system_error>
#include <utility>

namespace limeledge {

ElasticPool::ElasticPool(std::size_t max_threads, Duration idle_timeout)
    : max_threads_(max_threads), idle_timeout_(idle_timeout) {
  const std::lock_guard<std::mutex> lock(mutex_);
  AddThread();
}

ElasticPool::~ElasticPool() { shutdown(); }

void ElasticPool::AddThread() {
  threads_.emplace_back();
  const auto self = std::prev(threads_.end());
  try {
    *self = std::thread([this, self] { RunTasks(self); });
  } catch (const std::system_error&) {
    threads_.erase(self);
    throw;
  }
}

void ElasticPool::enqueue(std::function<void()> task) {
  const std::lock_guard<std::mutex> lock(mutex_);
  JoinEndedThreads();
  tasks_.push_back(std::move(task));
  const bool needs_thread = tasks_.size() > idle_threads_;
  if (needs_thread && threads_.size() < max_threads_) {
    try {
      AddThread();
    } catch (const std::system_error& error) {
      // An existing thread runs the task later.
      std::fprintf(stderr, "cannot start another thread for calls: %s\n",
                   error.what());
    }
  }
  changed_.notify_one();
}

std::function<void()> ElasticPool::NextTask(
    std::unique_lock<std::mutex>* lock) {
  const std::chrono::milliseconds idle_timeout(idle_timeout_.ms());
  while (tasks_.empty()) {
    if (stopping_) return nullptr;
    ++idle_threads_;
    const std::cv_status status = changed_.wait_for(*lock, idle_timeout);
    --idle_threads_;
    const bool timed_out = status == std::cv_status::timeout && tasks_.empty();
    if (timed_out && threads_.size() > 1) return nullptr;
  }
  std::function<void()> task = std::move(tasks_.front());
  tasks_.pop_front();
  return task;
}

void ElasticPool::RunTasks(Threads::iterator self) {
  std::unique_lock<std::mutex> lock(mutex_);
  while (const std::function<void()> task = NextTask(&lock)) {
    lock.unlock();
    task();
    lock.lock();
  }
  // From here on another thread may join this one. Only a few instructions
  // remain, so the join hardly blocks.
  ended_threads_.splice(ended_threads_.end(), threads_, self);
  changed_.notify_all();
}

void ElasticPool::JoinEndedThreads() {
  for (std::thread& thread : ended_threads_) thread.join();
  ended_threads_.clear();
}

void ElasticPool::shutdown() {
  std::unique_lock<std::mutex> lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
  changed_.wait(lock, [this] { return threads_.empty(); });
  Threads ended = std::move(ended_threads_);
  ended_threads_.clear();
  lock.unlock();
  for (std::thread& thread : ended) thread.join();
}

std::size_t ElasticPool::threads() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return threads_.size();
}

}  // namespace limeledge
