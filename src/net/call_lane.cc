/// @file
/// Implementation of `CallLane`.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "net/call_lane.h"

#include <utility>

namespace limeledge {

void CallLane::Run(StartCall start) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (busy_) {
      queue_.push_back(std::move(start));
      return;
    }
    busy_ = true;
  }
  start([this] { StartNext(); });
}

void CallLane::StartNext() {
  StartCall start;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (queue_.empty()) {
      busy_ = false;
      return;
    }
    start = std::move(queue_.front());
    queue_.pop_front();
  }
  start([this] { StartNext(); });
}

}  // namespace limeledge
