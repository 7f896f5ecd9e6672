/// @file
/// Exchange bookkeeping.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/worker_link.h"

#include <algorithm>

namespace limeledge {

namespace {

constexpr Duration kFirstRetry{200};
constexpr int kMostDoublings = 4;
/// Grants older than this are over, whatever the lease's setting is.
constexpr Duration kForgetGrants{3600000};

}  // namespace

bool WorkerLink::DueAt(TimePoint now, Duration interval) const {
  if (in_flight_ || now < retry_at_) return false;
  return dirty_ || failures_ > 0 || now - sent_at_ >= interval;
}

std::int64_t WorkerLink::OnSent(TimePoint now,
                                const std::vector<TaskOrder>& orders) {
  in_flight_ = true;
  dirty_ = false;
  sent_at_ = now;
  naming_.clear();
  for (const TaskOrder& order : orders) {
    naming_.insert(order.id);
    if (has_stamp()) grants_[order.id] = stamp_received_;
  }
  return ++sequence_;
}

bool WorkerLink::OnReport(TimePoint now, std::int64_t sequence,
                          const WorkerReport& report) {
  if (!in_flight_ || sequence != sequence_) return false;
  in_flight_ = false;
  failures_ = 0;
  leaving_ = leaving_ || report.leaving;
  if (!report.accepted) return true;
  const bool was_query = !has_stamp();
  stamp_ = report.stamp;
  stamp_received_ = now;
  reported_.clear();
  for (const TaskReport& task : report.tasks) reported_[task.id] = task;
  if (was_query) {
    dirty_ = true;
    return true;
  }
  ever_answered_ = true;
  last_answered_ = sent_at_;
  told_ = naming_;
  for (auto it = grants_.begin(); it != grants_.end();) {
    const bool over =
        told_.count(it->first) == 0 && sent_at_ - it->second > kForgetGrants;
    it = over ? grants_.erase(it) : std::next(it);
  }
  return true;
}

void WorkerLink::OnNoReply(TimePoint now, std::int64_t sequence) {
  if (!in_flight_ || sequence != sequence_) return;
  in_flight_ = false;
  const int doublings = std::min(failures_, kMostDoublings);
  ++failures_;
  retry_at_ = now + kFirstRetry * (1 << doublings);
}

const TaskReport* WorkerLink::Find(const TaskId& task) const {
  const auto it = reported_.find(task);
  return it == reported_.end() ? nullptr : &it->second;
}

bool WorkerLink::WasToldToStop(const TaskId& task, TimePoint moment) const {
  return ever_answered_ && last_answered_ >= moment && told_.count(task) == 0;
}

std::optional<TimePoint> WorkerLink::LastGrant(const TaskId& task) const {
  const auto it = grants_.find(task);
  if (it == grants_.end()) return std::nullopt;
  return it->second;
}

}  // namespace limeledge
