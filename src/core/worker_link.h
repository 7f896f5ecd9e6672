/// @file
/// The planner's side of the exchanges with one worker.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_WORKER_LINK_H_
#define LIMELEDGE_SRC_CORE_WORKER_LINK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/worker_protocol.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// Knows when the next exchange is due and what the last one told. Belongs to
/// one epoch of one planner. The first exchange is a query: it names no task,
/// fences older epochs and brings the stamp that leases count from.
///
/// Thread safety: none; a plain value.
class WorkerLink {
 public:
  /// Asks for an exchange as soon as none is in flight.
  void Touch() { dirty_ = true; }
  bool DueAt(TimePoint now, Duration interval) const;

  /// Notes that an exchange with these tasks is sent now; returns its number.
  std::int64_t OnSent(TimePoint now, const std::vector<TaskOrder>& orders);
  /// Notes the reply to exchange `sequence`; others are ignored. Returns true
  /// when it was taken.
  bool OnReport(TimePoint now, std::int64_t sequence,
                const WorkerReport& report);
  void OnNoReply(TimePoint now, std::int64_t sequence);

  /// The task as the worker last reported it, or null.
  const TaskReport* Find(const TaskId& task) const;
  /// True when the worker answered an exchange that named the task.
  bool WasTold(const TaskId& task) const { return told_.count(task) != 0; }
  /// True when the worker answered an exchange, sent at or after `moment`,
  /// that did not name the task.
  bool WasToldToStop(const TaskId& task, TimePoint moment) const;

  /// The moment from which the last lease on the task that this planner sent
  /// counts at the latest; nothing when it sent none.
  std::optional<TimePoint> LastGrant(const TaskId& task) const;
  /// What the next exchange echoes.
  const WorkerStamp& stamp() const { return stamp_; }
  bool has_stamp() const { return stamp_.incarnation != 0; }
  /// Sending time of the last exchange that was answered.
  TimePoint last_answered() const { return last_answered_; }
  bool ever_answered() const { return ever_answered_; }
  bool in_flight() const { return in_flight_; }
  int failures_in_a_row() const { return failures_; }
  bool leaving() const { return leaving_; }

 private:
  std::int64_t sequence_ = 0;
  bool in_flight_ = false;
  bool dirty_ = true;
  bool leaving_ = false;
  bool ever_answered_ = false;
  int failures_ = 0;
  TimePoint sent_at_;
  TimePoint last_answered_;
  TimePoint retry_at_;
  WorkerStamp stamp_;
  TimePoint stamp_received_;
  std::map<TaskId, TaskReport> reported_;
  /// Tasks of the exchange in flight, and of the last answered one.
  std::set<TaskId> naming_;
  std::set<TaskId> told_;
  std::map<TaskId, TimePoint> grants_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_WORKER_LINK_H_
