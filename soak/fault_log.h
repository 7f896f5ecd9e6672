/// @file
/// Records when faults were active, to tell which violations they excuse.
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

/// Subjects of faults other than nodes: the store, the link from a node to the
/// store, and a runner by its index.
inline constexpr char kStoreSubject[] = "store";
inline std::string StoreLinkOf(const std::string& node) {
  return node + ".store";
}
inline std::string RunnerSubject(int place) {
  return "runner-" + std::to_string(place);
}

/// Kind of a span, which determines what it excuses.
enum class TroubleSort {
  /// An injected fault; excuses every failure that it may explain.
  kFault,
  /// A runner ended after it had announced that it leaves.
  kRunnerLeft,
  /// A node was asked to stop, or started. Calls to the node must still be
  /// answered, and scheduling resumes after a while.
  kNodeChange,
  /// Unanswered orders may still be carried out.
  kLateOrders,
};

/// Records the time spans of all faults of a run.
///
/// Thread safety: all methods from any thread.
class FaultLog {
 public:
  /// Records a fault of `subject` from `from` to `to`.
  void Note(const std::string& subject, TimePoint from, TimePoint to,
            TroubleSort sort = TroubleSort::kFault);
  /// Returns true if no fault and no announced leave of the subject overlaps
  /// the time from `from` to `to`.
  bool IsCalm(const std::string& subject, TimePoint from, TimePoint to) const;
  /// Like `IsCalm`, for all subjects.
  bool AllCalm(TimePoint from, TimePoint to) const;
  /// Returns true if no fault and no node change overlaps the time; runners may
  /// have left.
  bool IsSteady(TimePoint from, TimePoint to) const;
  /// Returns true if orders may have been carried out late in that time.
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
