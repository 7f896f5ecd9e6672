/// @file
/// Which troubles were on when, to tell what they excuse.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_FAULT_LOG_H_
#define LIMELEDGE_SOAK_FAULT_LOG_H_

#include <mutex>
#include <string>
#include <vector>

#include "limeledge/clock.h"

namespace limeledge::soak {

/// Subjects of troubles, beside the names of nodes: the store, the link of a
/// node to the store, and a runner by its place.
inline constexpr char kStoreSubject[] = "store";
inline std::string StoreLinkOf(const std::string& node) {
  return node + ".store";
}
inline std::string RunnerSubject(int place) {
  return "runner-" + std::to_string(place);
}

/// What a span was, by what it excuses.
enum class TroubleSort {
  /// Excuses whatever it may explain.
  kFault,
  /// A runner ended that had said that it leaves.
  kRunnerLeft,
  /// A node was asked to stop, or came up: calls at it are to be answered
  /// nevertheless, and scheduling goes on a while later.
  kNodeChange,
  /// Orders that were not answered may be carried out.
  kLateOrders,
};

/// Remembers the spans of all troubles of a run.
///
/// Thread safety: all methods from any thread.
class FaultLog {
 public:
  /// A trouble of `subject` from `from` to `to`.
  void Note(const std::string& subject, TimePoint from, TimePoint to,
            TroubleSort sort = TroubleSort::kFault);
  /// True if no fault or leaving of the subject touches the time from `from`
  /// to `to`.
  bool IsCalm(const std::string& subject, TimePoint from, TimePoint to) const;
  /// The same for all subjects.
  bool AllCalm(TimePoint from, TimePoint to) const;
  /// True if no fault and no change of nodes touches that time; runners may
  /// have left.
  bool IsSteady(TimePoint from, TimePoint to) const;
  /// True if orders may have been carried out late in that time.
  bool MayOrdersComeLate(TimePoint from, TimePoint to) const;

 private:
  struct Span {
    std::string subject;
    TimePoint from;
    TimePoint to;
    TroubleSort sort;

    bool Touches(TimePoint begin, TimePoint end) const {
      return from <= end && to >= begin;
    }
    bool Is(TroubleSort one, TroubleSort other) const {
      return sort == one || sort == other;
    }
  };

  mutable std::mutex mutex_;
  std::vector<Span> spans_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_FAULT_LOG_H_
