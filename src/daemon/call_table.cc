/// @file
/// Open calls.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/call_table.h"

#include <chrono>
#include <utility>

namespace limeledge {

CallTable::Opened CallTable::Open() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const CallId call = next_;
  next_ = next_.Next();
  return {call, open_[call].get_future()};
}

void CallTable::Deliver(CallId call, AnswerBody body) {
  std::promise<AnswerBody> promise;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = open_.find(call);
    if (it == open_.end()) return;
    promise = std::move(it->second);
    open_.erase(it);
  }
  promise.set_value(std::move(body));
}

std::optional<AnswerBody> CallTable::Wait(Opened opened, Duration limit) {
  const auto status =
      opened.answer.wait_for(std::chrono::milliseconds(limit.ms()));
  if (status == std::future_status::ready) return opened.answer.get();
  const std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(opened.call);
  return std::nullopt;
}

}  // namespace limeledge
