/// @file
/// Tells bad workers from bad jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_WORKER_HEALTH_H_
#define LIMELEDGE_SRC_CORE_WORKER_HEALTH_H_

#include <map>
#include <set>

#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// Quarantines a worker on which several different jobs failed in a row. A job
/// that fails on several workers counts once on each, so that a poison job
/// does not empty a hall: one job never quarantines a worker by itself.
///
/// Thread safety: none; a plain value.
class WorkerHealth {
 public:
  /// Notes a failure of `job` on `worker`. Returns true when the worker is
  /// quarantined by it. `limit` different jobs quarantine a worker; a probe
  /// that fails does so at once.
  bool OnFailure(TimePoint now, const WorkerId& worker, const JobId& job,
                 int limit, Duration quarantine);
  /// Notes that a job ended well on `worker`.
  void OnSuccess(const WorkerId& worker);
  /// Notes that a job was placed on `worker`; returns true when it is a probe.
  bool OnPlaced(TimePoint now, const WorkerId& worker);

  /// Notes that a job left `worker`. A probe that came to no verdict, as when
  /// it was cancelled, makes room for another.
  void OnReleased(const WorkerId& worker);

  /// The same for all workers, as when a new epoch begins.
  void ReleaseAll();

  /// True when `worker` may get a new job: it is not quarantined, or its time
  /// is over and no probe is out.
  bool MayPlace(TimePoint now, const WorkerId& worker) const;
  bool IsQuarantined(const WorkerId& worker) const;

 private:
  struct Record {
    std::set<JobId> failed_jobs;
    bool quarantined = false;
    bool probing = false;
    TimePoint until;
    int rounds = 0;
  };
  std::map<WorkerId, Record> records_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_WORKER_HEALTH_H_
