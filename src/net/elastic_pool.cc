/// @file
/// A pool whose threads come and go.
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

ElasticPool::ElasticPool(std::size_t most_threads, Duration idle)
    : most_threads_(most_threads), idle_(idle) {
  const std::lock_guard<std::mutex> lock(mutex_);
  AddThread();
}

ElasticPool::~ElasticPool() { shutdown(); }

void ElasticPool::AddThread() {
  threads_.emplace_back();
  const auto self = std::prev(threads_.end());
  try {
    *self = std::thread([this, self] { Serve(self); });
  } catch (const std::system_error&) {
    threads_.erase(self);
    throw;
  }
}

void ElasticPool::enqueue(std::function<void()> task) {
  const std::lock_guard<std::mutex> lock(mutex_);
  JoinEnded();
  tasks_.push_back(std::move(task));
  const bool needs_thread = tasks_.size() > waiting_;
  if (needs_thread && threads_.size() < most_threads_) {
    try {
      AddThread();
    } catch (const std::system_error& error) {
      // The task waits for one of the threads that are there.
      std::fprintf(stderr, "no further thread for calls: %s\n", error.what());
    }
  }
  changed_.notify_one();
}

std::function<void()> ElasticPool::Next(std::unique_lock<std::mutex>* lock) {
  const std::chrono::milliseconds idle(idle_.ms());
  while (tasks_.empty()) {
    if (stopping_) return nullptr;
    ++waiting_;
    const std::cv_status status = changed_.wait_for(*lock, idle);
    --waiting_;
    const bool idled = status == std::cv_status::timeout && tasks_.empty();
    if (idled && threads_.size() > 1) return nullptr;
  }
  std::function<void()> task = std::move(tasks_.front());
  tasks_.pop_front();
  return task;
}

void ElasticPool::Serve(Threads::iterator self) {
  std::unique_lock<std::mutex> lock(mutex_);
  while (const std::function<void()> task = Next(&lock)) {
    lock.unlock();
    task();
    lock.lock();
  }
  // The one who joins it waits only for its last instructions.
  ended_.splice(ended_.end(), threads_, self);
  changed_.notify_all();
}

void ElasticPool::JoinEnded() {
  for (std::thread& thread : ended_) thread.join();
  ended_.clear();
}

void ElasticPool::shutdown() {
  std::unique_lock<std::mutex> lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
  changed_.wait(lock, [this] { return threads_.empty(); });
  Threads ended = std::move(ended_);
  ended_.clear();
  lock.unlock();
  for (std::thread& thread : ended) thread.join();
}

std::size_t ElasticPool::threads() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return threads_.size();
}

}  // namespace limeledge
