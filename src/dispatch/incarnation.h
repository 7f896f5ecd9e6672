/// @file
/// Names of the lives of runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_INCARNATION_H_
#define LIMELEDGE_SRC_DISPATCH_INCARNATION_H_

#include <string>
#include <tuple>
#include <utility>

#include "limeledge/base.h"

namespace limeledge::dispatch {

/// When a life of a runner began, in Unix milliseconds by the runner's own time
/// of day; 0 if it was not told. Times of day jump, so that a later life may
/// tell an earlier time: births tell lives apart, and say nothing of their
/// order.
using StartTime = Number<struct StartTimeTag>;

inline constexpr bool IsReported(StartTime start_time) {
  return start_time != StartTime();
}

/// Names one life of a runner. A runner may start again under its id; its next
/// life holds and knows nothing of the one before. Where the machine is meant
/// whatever its life, a `RunnerId` names it.
///
/// Thread safety: a plain value; distinct objects may be used concurrently.
struct IncarnationId {
  RunnerId runner;
  StartTime start_time;

  IncarnationId() = default;
  IncarnationId(RunnerId id, StartTime birth)
      : runner(std::move(id)), start_time(birth) {}

  friend bool operator==(const IncarnationId& a, const IncarnationId& b) {
    return a.runner == b.runner && a.start_time == b.start_time;
  }
  friend bool operator!=(const IncarnationId& a, const IncarnationId& b) {
    return !(a == b);
  }
  friend bool operator<(const IncarnationId& a, const IncarnationId& b) {
    return std::tie(a.runner, a.start_time) < std::tie(b.runner, b.start_time);
  }
};

/// For logs: the birth as text; empty if it was not told. Thread-safe.
std::string ToString(StartTime start_time);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_INCARNATION_H_
