/// @file
/// Identifiers of runner incarnations.
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

/// When an incarnation of a runner started, in Unix milliseconds on the
/// runner's wall clock; 0 if it was not reported. Wall clocks may be set back,
/// so a later incarnation may report an earlier time: start times distinguish
/// incarnations but do not order them.
using StartTime = Number<struct StartTimeTag>;

inline constexpr bool IsReported(StartTime start_time) {
  return start_time != StartTime();
}

/// Identifies one incarnation of a runner: one run of its process. A runner may
/// restart under its id; the next incarnation keeps none of the runs and none
/// of the state of the previous one. A `RunnerId` alone identifies the machine,
/// whatever its incarnation.
///
/// Thread safety: a plain value; distinct objects may be used concurrently.
struct IncarnationId {
  RunnerId runner;
  StartTime start_time;

  IncarnationId() = default;
  IncarnationId(RunnerId id, StartTime started)
      : runner(std::move(id)), start_time(started) {}

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

/// For logs: the start time as text; empty if it was not reported. Thread-safe.
std::string ToString(StartTime start_time);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_INCARNATION_H_
