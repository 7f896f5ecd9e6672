/// @file
/// A queue that runs asynchronous calls one at a time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_CALL_LANE_H_
#define LIMELEDGE_SRC_NET_CALL_LANE_H_

#include <deque>
#include <functional>
#include <mutex>

namespace limeledge {

/// Runs asynchronous calls one at a time, in the order of `Run`. The queue has
/// no thread of its own: each call starts on the thread that finished the
/// previous one.
///
/// Thread safety: all methods may be called from any thread.
class CallLane {
 public:
  /// Reports that a call has finished. Must be called exactly once per call.
  using Finished = std::function<void()>;
  /// Starts a call. Must not block.
  using StartCall = std::function<void(Finished)>;

  /// Starts a call immediately if the lane is idle, and queues it otherwise.
  /// The lane must outlive all calls.
  void Run(StartCall start);

 private:
  /// Starts the next queued call, or marks the lane idle.
  void StartNext();

  std::mutex mutex_;
  bool busy_ = false;
  std::deque<StartCall> queue_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_CALL_LANE_H_
