/// @file
/// Quarantine and probing of workers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/worker_health.h"

#include <algorithm>

namespace limeledge {

namespace {

/// A worker that fails its probes is left alone up to this many times longer.
constexpr int kMostRounds = 8;

}  // namespace

bool WorkerHealth::OnFailure(TimePoint now, const WorkerId& worker,
                             const JobId& job, int limit, Duration quarantine) {
  Record& record = records_[worker];
  record.failed_jobs.insert(job);
  const bool failed_probe = record.quarantined && record.probing;
  const bool many = static_cast<int>(record.failed_jobs.size()) >= limit;
  if (!failed_probe && (record.quarantined || !many)) return false;
  record.rounds = std::min(kMostRounds, record.rounds + 1);
  record.quarantined = true;
  record.probing = false;
  record.until = now + quarantine * record.rounds;
  return true;
}

void WorkerHealth::OnSuccess(const WorkerId& worker) { records_.erase(worker); }

bool WorkerHealth::OnPlaced(TimePoint now, const WorkerId& worker) {
  const auto it = records_.find(worker);
  if (it == records_.end() || !it->second.quarantined) return false;
  if (now < it->second.until) return false;
  it->second.probing = true;
  return true;
}

void WorkerHealth::OnReleased(const WorkerId& worker) {
  const auto it = records_.find(worker);
  if (it != records_.end()) it->second.probing = false;
}

void WorkerHealth::ReleaseAll() {
  for (auto& [worker, record] : records_) record.probing = false;
}

bool WorkerHealth::MayPlace(TimePoint now, const WorkerId& worker) const {
  const auto it = records_.find(worker);
  if (it == records_.end() || !it->second.quarantined) return true;
  return !it->second.probing && now >= it->second.until;
}

bool WorkerHealth::IsQuarantined(const WorkerId& worker) const {
  const auto it = records_.find(worker);
  return it != records_.end() && it->second.quarantined;
}

}  // namespace limeledge
