/// @file
/// One call after the other.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "net/call_lane.h"

#include <utility>

namespace limeledge {

void CallLane::Run(Begin begin) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (busy_) {
      waiting_.push_back(std::move(begin));
      return;
    }
    busy_ = true;
  }
  begin([this] { Next(); });
}

void CallLane::Next() {
  Begin begin;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (waiting_.empty()) {
      busy_ = false;
      return;
    }
    begin = std::move(waiting_.front());
    waiting_.pop_front();
  }
  begin([this] { Next(); });
}

}  // namespace limeledge
