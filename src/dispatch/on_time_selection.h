/// @file
/// Selects which waiting urgent steps are placed first when not all of them can
/// be in time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_ON_TIME_SELECTION_H_
#define LIMELEDGE_SRC_DISPATCH_ON_TIME_SELECTION_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "dispatch/job_spec.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// A waiting urgent step as the selection sees it.
struct UrgentStep {
  StepName name;
  ServiceId service;
  /// Needed by all waiting tasks of the step together.
  Resources need;
  /// Expected run time of the step.
  Duration time;
  TimePoint deadline;
  /// Latest start that meets the deadline.
  TimePoint latest_start;
  /// The step is placed before all steps that can be deferred: it is within its
  /// guarantee or overdue.
  bool goes_first = false;
};

/// Capacity that becomes available at a time.
struct RoomRelease {
  TimePoint at;
  Resources room;
};

/// Capacity of the runners of one service, in total. Fragmentation is not
/// looked at, so the selection defers no step that could be in time on whole
/// runners, and may miss some that can not.
struct ServiceRoom {
  Resources all;
  Resources free;
  /// By runs that end or that may be preempted, in any order.
  std::vector<RoomRelease> releases;
};

/// Why a step is deferred.
enum class DeferReason {
  /// Of the steps that cannot all be in time, it takes the most capacity for
  /// the longest time.
  kLargest,
  /// The same, except for a larger step that is not deferred because every
  /// third deferred step is not the largest.
  kLargestSpared,
};

/// Description for logs.
const char* ToString(DeferReason reason);

/// A step that is deferred for the first time.
struct Deferral {
  StepName step;
  DeferReason reason = DeferReason::kLargest;
};

/// Maximizes the number of urgent steps in time by the algorithm of Moore and
/// Hodgson: steps are taken by deadline, and whenever one of them misses its
/// latest start, the one of those so far that takes the most capacity for the
/// longest time is deferred. Every third newly deferred step is the next
/// largest instead, and the largest is then not deferred any more, so that
/// large gangs are not always the ones deferred.
///
/// Thread safety: none; use it from one thread.
class OnTimeSelection {
 public:
  /// Selects among all waiting urgent steps. Steps after the first 64 by
  /// deadline, and steps past their latest start, are not deferred. Forgets
  /// what is known of steps that are not in `steps`. Returns the steps deferred
  /// for the first time; `IsDeferred` knows all of them.
  std::vector<Deferral> Select(TimePoint now,
                               const std::vector<UrgentStep>& steps,
                               const std::map<ServiceId, ServiceRoom>& rooms);

  /// True if the latest selection deferred the step.
  bool IsDeferred(const StepName& step) const {
    return deferred_.count(step) != 0;
  }
  /// Time since the step was first deferred; 0 if it was not.
  Duration DeferredFor(const StepName& step, TimePoint now) const;

 private:
  void ForgetOthers(const std::vector<UrgentStep>& steps);
  /// Selects among steps of one service, in the order of their deadlines.
  void SelectIn(TimePoint now, const ServiceRoom& room,
                std::vector<const UrgentStep*> steps,
                std::vector<Deferral>* deferrals);
  /// The index of the step to defer among the first `count` ones.
  std::size_t ChooseDeferred(TimePoint now, const ServiceRoom& room,
                             const std::vector<const UrgentStep*>& steps,
                             std::size_t count,
                             std::vector<Deferral>* deferrals);

  /// When waiting steps were first deferred.
  std::map<StepName, TimePoint> deferred_since_;
  /// Steps that the latest selection deferred.
  std::set<StepName> deferred_;
  /// Waiting steps that were the largest when another one was deferred.
  std::set<StepName> spared_;
  int deferrals_ = 0;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_ON_TIME_SELECTION_H_
