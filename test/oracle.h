/// @file
/// Oracles over a trial: what must always hold, checked from outside.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_ORACLE_H_
#define LIMELEDGE_TEST_ORACLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/job.h"
#include "core/request.h"
#include "trial/cluster.h"

namespace limeledge {

/// One request as a caller sent it.
struct SentRequest {
  RequestSpec spec;
  std::size_t call = 0;
};

/// Watches a cluster and names the first promise that it breaks. It knows the
/// promises only, nothing of how they are kept.
class Oracle {
 public:
  /// `task_lease` is the longest lease on a task in the settings.
  Oracle(Cluster* cluster, Duration task_lease);

  /// Notes what callers asked for.
  void OnJob(const JobSpec& spec, std::size_t call);
  void OnRequest(const RequestSpec& spec, std::size_t call);
  /// An instance was paused: its answers may be late.
  void OnPaused(int instance) { paused_.insert(instance); }

  /// Looks at the cluster as it is; call it often.
  void Observe();
  /// Looks at everything that only the end can show, after `Heal` and rest.
  void ObserveEnd();

  const std::string& violation() const { return violation_; }

 private:
  struct Attempt {
    std::set<std::size_t> prepared;
    std::set<std::size_t> ran;
    std::map<std::size_t, TaskState> state;
    TimePoint partial_since;
    bool partial = false;
  };

  void OnCommit(const Transaction& transaction);
  void OnReduce(int instance, const Effects& effects);
  void CheckOverlap(const JobRow& job);
  void FollowTasks();
  void OnTask(const WorkerModel& worker, const TaskEvent& event);
  void CheckSingleRun(const JobId& job, int attempt);
  void CheckGangs();
  void CheckRequests();
  void CheckCalls();
  void CheckJobs();
  void CheckSettings();
  void CheckLeaving();
  /// True when workers that have not left could hold the job.
  bool CanStillRun(const JobSpec& spec) const;
  int Runs(const RequestSpec& spec) const;
  void Fail(const std::string& what);

  Cluster* cluster_;
  Duration task_lease_;
  std::map<JobId, JobSpec> specs_;
  std::map<JobId, std::size_t> job_calls_;
  std::vector<SentRequest> requests_;
  std::set<int> paused_;
  std::map<JobId, JobRow> rows_;
  std::map<WorkerId, std::size_t> followed_;
  std::map<JobId, std::map<int, Attempt>> attempts_;
  std::map<InstanceId, SettingsVersion> in_force_;
  std::map<InstanceId, std::int64_t> in_force_incarnation_;
  std::string violation_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_TEST_ORACLE_H_
