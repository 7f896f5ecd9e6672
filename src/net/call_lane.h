/// @file
/// Calls that wait for each other.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_CALL_LANE_H_
#define LIMELEDGE_SRC_NET_CALL_LANE_H_

#include <deque>
#include <functional>
#include <mutex>

namespace limeledge {

/// Begins one call at a time, in the order in which they were given. Needs no
/// thread: the next call begins on the thread that finishes the last one.
///
/// Thread safety: all methods from any thread.
class CallLane {
 public:
  /// Tells the lane that a call is over; to be called once for each call.
  using Finished = std::function<void()>;
  /// Begins a call; must not block.
  using Begin = std::function<void(Finished)>;

  /// Begins a call, now or after those that were given before. The lane must
  /// outlive all calls.
  void Run(Begin begin);

 private:
  /// Begins the next call, if there is one.
  void Next();

  std::mutex mutex_;
  bool busy_ = false;
  std::deque<Begin> waiting_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_CALL_LANE_H_
