/// @file
/// Calls that wait for their one answer.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_CALL_TABLE_H_
#define LIMELEDGE_SRC_DAEMON_CALL_TABLE_H_

#include <future>
#include <map>
#include <mutex>
#include <optional>

#include "core/effect.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// Hands answers from the reducer to the threads that wait for them.
///
/// Thread safety: all methods from any thread.
class CallTable {
 public:
  /// A new call and the future of its answer.
  struct Opened {
    CallId call;
    std::future<AnswerBody> answer;
  };

  Opened Open();
  /// Delivers an answer; one to an unknown or answered call is dropped.
  void Deliver(CallId call, AnswerBody body);
  /// Waits for the answer; nothing when it does not come in time.
  std::optional<AnswerBody> Wait(Opened opened, Duration limit);

 private:
  std::mutex mutex_;
  CallId next_{1};
  std::map<CallId, std::promise<AnswerBody>> open_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_CALL_TABLE_H_
