/// @file
/// Keeps placed gangs going: steps, leases, stops.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_GANG_KEEPER_H_
#define LIMELEDGE_SRC_CORE_GANG_KEEPER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/context.h"
#include "core/event.h"
#include "core/gang.h"
#include "core/run_time_model.h"
#include "core/transition_writer.h"
#include "core/worker_health.h"
#include "core/worker_link.h"

namespace limeledge {

/// Moves every placed job of one hall from step to step and exchanges orders
/// and reports with the workers.
///
/// Thread safety: none; belongs to the reducer.
class GangKeeper {
 public:
  GangKeeper(HallId hall, std::string notify_address);

  /// Forgets what belongs to a former epoch and takes up the hall's placed
  /// jobs from the mirror.
  void BeginEpoch(Context& ctx);

  void OnJobChanged(Context& ctx, const MirrorChange& change);
  void OnTransitionFinished(Context& ctx, const JobRow& job,
                            IntentOutcome outcome);
  void OnWorkerReply(Context& ctx, const WorkerReplied& reply);
  void OnWorkerChanged(const WorkerId& worker);

  /// Takes the steps that are due. `all` looks at every placed job, for what
  /// depends on time alone.
  void Step(Context& ctx, const HallRight& right, TransitionWriter* writer,
            bool all);
  /// Sends exchanges that are due. Precondition: `right.may_renew`.
  void Exchange(Context& ctx, const HallRight& right);

  /// Asks a placed job to make way.
  void Reclaim(Context& ctx, const JobId& job);
  bool IsReclaiming(const JobId& job) const;

  /// True when new work may be placed on the worker.
  bool MayPlace(TimePoint now, const WorkerInfo& worker) const;
  void OnPlaced(Context& ctx, const Placement& placement);

  const RunTimeModel& run_times() const { return run_times_; }
  const WorkerHealth& health() const { return health_; }
  const std::map<WorkerId, WorkerLink>& links() const { return links_; }
  std::size_t placed_jobs() const { return watches_.size(); }

 private:
  /// What is known of a placed job beyond its row.
  struct Watch {
    JobState state = JobState::kStarting;
    TimePoint since;
    bool reclaim = false;
    /// Set once the gang must stop: its leases are not renewed any more.
    std::optional<GangStep> doom;
  };

  void TakeUp(Context& ctx, const JobRow& job);
  void Forget(const JobRow& job);
  /// Lets the workers of a job that came to no verdict be probed again.
  void ReleaseProbes(const JobRow& job);
  void StepJob(Context& ctx, const HallRight& right, TransitionWriter* writer,
               const JobRow& job);
  GangView ViewGang(const Context& ctx, const HallRight& right,
                    const JobRow& job) const;
  MemberView ViewMember(const Context& ctx, const HallRight& right,
                        const JobRow& job, std::size_t index) const;
  GangMemberState Unreported(const Context& ctx, const HallRight& right,
                             const JobRow& job, const WorkerLink* link,
                             const TaskId& task) const;
  bool LeaseOver(const Context& ctx, const HallRight& right, const JobRow& job,
                 const WorkerLink* link, const TaskId& task) const;
  void Blame(Context& ctx, const JobRow& job, const GangStep& step);
  JobRow Stopped(const JobRow& job, const GangStep& step) const;
  void TouchMembers(const JobRow& job);
  std::vector<TaskOrder> OrdersFor(Context& ctx, const WorkerId& worker) const;

  HallId hall_;
  std::string notify_address_;
  std::map<JobId, Watch> watches_;
  std::map<WorkerId, std::set<JobId>> jobs_on_;
  std::map<WorkerId, WorkerLink> links_;
  std::set<JobId> changed_;
  RunTimeModel run_times_;
  WorkerHealth health_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_GANG_KEEPER_H_
