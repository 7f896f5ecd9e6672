/// @file
/// The planner: places tasks on runners and selects runs to preempt.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PLANNER_H_
#define LIMELEDGE_SRC_DISPATCH_PLANNER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/catalog.h"
#include "dispatch/fleet.h"
#include "dispatch/job_registry.h"
#include "dispatch/on_time_selection.h"
#include "dispatch/pass_budget.h"
#include "dispatch/placement.h"
#include "dispatch/planning_policy.h"
#include "dispatch/run_time_estimator.h"
#include "dispatch/runner_speeds.h"
#include "dispatch/ticket_cache.h"
#include "dispatch/workspace_shares.h"

namespace limeledge::dispatch {

/// Limits and weights of the planner.
struct PlannerOptions {
  /// Orders waiting steps; never null.
  const PlanningPolicy* policy = &DefaultPlanningPolicy();
  /// How long urgent work waits for a place in one rack and near its data
  /// before any place will do. The sum of this wait, a reservation for a
  /// preemption that freed nothing (`reservation_time`) and another stop must
  /// stay below the 2.9 to 3.4 s in which a workspace is guaranteed its
  /// capacity.
  Duration urgent_locality_wait{900};
  /// The same for other work. Must stay below the 3 s after which a task that
  /// waits while runners are idle counts as forgotten.
  Duration locality_wait{1500};
  /// Upper bound on a gang's locality wait while other runners have free
  /// capacity for twice the gang. Below the same 3 s.
  Duration max_locality_wait_with_free_capacity{2500};
  /// A task whose next failure is final waits for a runner without recent
  /// failures, but no longer than this while most accelerators are idle. Below
  /// the same 3 s.
  Duration last_attempt_wait{2500};
  /// How long a gang waits before capacity is reserved for it.
  Duration gang_reservation_delay{300};
  /// Maximum number of gangs that have capacity reserved at the same time.
  int max_reserved_gangs = 4;
  /// While most accelerators are idle, capacity is reserved for a gang no
  /// longer than this, and only if it is expected to fit within this time.
  /// Below the same 3 s.
  Duration idle_reservation_limit{2500};
  /// A step that is not urgent may preempt lower priorities and use more of the
  /// urgent racks once it must start within this time to meet its objective, or
  /// has missed it. Leaves time for two preemptions.
  Duration deadline_margin{2500};
  /// How long capacity stays reserved for a step after others were preempted
  /// for it: the longest stop (0.4 to 0.9 s) plus the time until the stop is
  /// reported.
  Duration reservation_time{1300};
  /// A step that cannot finish within this multiple of its objective earns
  /// nothing and is placed last.
  int worthless_after = 3;
  /// A step that cannot finish within this multiple of its objective is placed
  /// before all others of its priority, so that no step waits until it is
  /// worthless.
  int overdue_after = 2;
  /// Fraction of the runners, rounded to whole racks, where only urgent work is
  /// placed. About what urgent work needs on an ordinary day, so that it can
  /// start without preempting others.
  double urgent_share = 0.3;
  /// Other work may use the urgent racks, after its locality wait, while less
  /// than this fraction of all accelerators is in use.
  double idle_share = 0.5;
  /// Other work may also use the urgent racks, after its locality wait and if
  /// it fits nowhere else, as long as this fraction of their accelerators and
  /// of their cores stays idle, so that bursts of urgent work fit at once.
  /// Lower values served urgent work worse and reduced the overall result.
  double urgent_headroom = 0.75;
  /// The same for work that is near or past its deadline. Closing the urgent
  /// racks to such work starves the least urgent queue; requiring no idle
  /// capacity costs urgent work a little.
  double late_headroom = 0.25;
  /// Factor on the cost of preempting urgent work, so that it is preempted
  /// last.
  std::int64_t urgent_victim_weight = 1000;
  /// Gangs beyond the first `gangs_per_pass` in order are tried only once in
  /// `remaining_gangs_interval` passes, which keeps passes short under a
  /// backlog.
  int gangs_per_pass = 24;
  int remaining_gangs_interval = 5;
  /// How long a stop takes if none was seen, and the time within which a
  /// workspace must get its guaranteed capacity at every site. Used to decide
  /// whether a step waits for capacity that becomes free by itself.
  Duration default_stop_time{900};
  Duration guarantee_time{2700};
  /// Weight of an accelerator, in cores, in the cost of a preemption.
  int cores_per_accelerator = 8;
  /// Time constant of the average use of a workspace. A few of the longest runs
  /// of urgent work, so that a workspace that was served before waits for the
  /// others, but not for use long past.
  Duration share_window{8000};
  /// How often the runs of all runners are counted for the use of workspaces
  /// and the capacity that becomes available. Counting them in each pass would
  /// take most of a pass on thousands of runners.
  Duration use_count_interval{100};
};

/// A task and the runner to start it on. All tasks of a gang are assigned in
/// the same pass.
struct Assignment {
  TaskName task;
  int run = 0;
  Runner* runner = nullptr;
  Duration expected;
  /// Expected run time near the data and with the whole gang in one rack.
  Duration expected_near;
  /// Factor in both for the lasting pace of the task's runner, or of the
  /// slowest runner of its gang.
  double pace = 1;

  bool near() const { return expected == expected_near; }
};

/// A run to stop so that another job gets its capacity.
struct Preemption {
  TaskName task;
  IncarnationId incarnation;
  /// The job that gets the capacity.
  JobId preemptor;
};

/// Why the tasks of a ready step do not start.
enum class WaitReason {
  /// The policy forbids backfill, and an earlier step does not fit.
  kBlockedByEarlierStep,
  /// The advice service has not allowed the step on any runner.
  kNoTickets,
  /// No free capacity, and preemption is not allowed.
  kNoCapacity,
  /// No free capacity, and too little can be preempted.
  kNotEnoughPreemptible,
  /// Runs were preempted for the step, but their capacity is not free.
  kPreempting,
  /// Capacity is reserved until the whole gang fits.
  kReserved,
};

/// Description for logs.
const char* ToString(WaitReason reason);

/// A step that started to wait or whose reason to wait changed.
struct StepWait {
  StepName step;
  WaitReason reason = WaitReason::kNoCapacity;
  int tasks = 0;
};

/// Accelerators of the schedulable runners after a pass.
struct IdleAccelerators {
  std::int64_t all = 0;
  /// Idle in the racks where only urgent work is placed.
  std::int64_t urgent_racks = 0;
  /// Idle, but reserved for gangs or for steps that preempted others.
  std::int64_t kept = 0;
  /// Idle and available to any step.
  std::int64_t open = 0;
};

/// A step that waits for capacity that becomes free by itself, instead of
/// preempting runs for it.
struct PreemptionDelay {
  StepName step;
  /// The time until the capacity is expected to be free, and the time that a
  /// stop would take.
  Duration free_in;
  Duration stop_time;
};

struct Plan {
  std::vector<Assignment> assignments;
  /// Each step once.
  std::vector<PreemptionDelay> delays;
  std::vector<Preemption> preemptions;
  std::vector<StepWait> waits;
  std::vector<AdviceRequest> advice_requests;
  /// Urgent steps that were deferred for the first time.
  std::vector<Deferral> deferrals;
  IdleAccelerators idle_accelerators;
  /// Steps that wait for any reason.
  int steps_waiting = 0;
  /// Steps that the pass tried to place.
  int steps_tried = 0;
  /// Candidates and runs that it looked at, each as often as it did; a measure
  /// of its cost.
  std::int64_t looks = 0;
};

/// Greedy planner. Places urgent work within its workspace's guarantee first,
/// then everything else in the order of the policy. Preempts runs for work
/// within its guarantee and where the policy allows it.
///
/// Thread safety: none; use it from one thread.
class Planner {
 public:
  explicit Planner(PlannerOptions options = {})
      : options_(options), shares_(options.share_window) {}

  /// Runs one planning pass. Changes nothing in `jobs` and `fleet` except the
  /// time since when steps are ready. `speeds` is null while the lasting speeds
  /// of runners are not in use.
  Plan Decide(TimePoint now, std::int64_t wall_ms, const Catalog& catalog,
              const RunTimeEstimator& times, const RunnerSpeeds* speeds,
              const TicketCache& advice, JobRegistry* jobs, Fleet* fleet);
  /// Sets whether preemptions are decided by what they lose, and the longest
  /// stop that was seen; 0 if none was.
  void SetPreemptionByLoss(bool by_loss, Duration longest_stop) {
    preempts_by_loss_ = by_loss;
    stop_time_ =
        longest_stop > Duration(0) ? longest_stop : options_.default_stop_time;
  }
  /// Sets after how many looks a pass tries only steps for which capacity must
  /// be kept: those within a guarantee, and those that preempted others.
  void SetMaxLooks(std::int64_t looks) { max_looks_ = looks; }
  /// The next time at which a waiting step becomes due or one of its waits
  /// ends.
  TimePoint next_at() const { return next_at_; }
  /// Counts what the runs of all runners take, for policies that share
  /// capacity. Does nothing under other policies, or if the last count is
  /// recent enough. Call it before `Decide`.
  void CountUse(TimePoint now, const Catalog& catalog, JobRegistry* jobs,
                const Fleet& fleet);
  /// Has no records unless the policy shares capacity.
  const WorkspaceShares& shares() const { return shares_; }

 private:
  /// A step with tasks to start.
  struct PendingStep {
    StepName key;
    Job* job = nullptr;
    Step* step = nullptr;
    const StepSpec* spec = nullptr;
    QueuePolicy policy;
    /// The step's attributes that the policy compares.
    StepRank rank;
    /// Latest start that meets the deadline.
    std::int64_t latest_start_wall_ms = 0;
    /// The time from which the objective counts.
    std::int64_t from_wall_ms = 0;
    std::vector<int> waiting;

    /// True if the task with that index is suspected of crashing its runners.
    bool IsSuspectTask(int index) const {
      return IsSuspect(step->tasks[index].losses);
    }
    /// True if any of the waiting tasks is suspected of that.
    bool IsAnySuspect() const {
      return std::any_of(waiting.begin(), waiting.end(),
                         [this](int index) { return IsSuspectTask(index); });
    }
  };
  /// Capacity reserved for a step until the runs preempted for it have stopped.
  struct Reservation {
    std::vector<RunnerId> runners;
    TimePoint since;
  };
  /// One pass over all pending steps.
  class Pass;

  PlannerOptions options_;
  std::map<StepName, Reservation> reservations_;
  /// Reasons from the previous pass.
  std::map<StepName, WaitReason> waits_;
  /// Since when steps wait for capacity that becomes free by itself.
  std::map<StepName, TimePoint> delayed_since_;
  /// Since when capacity has been reserved for gangs while most accelerators
  /// were idle.
  std::map<StepName, TimePoint> idle_reservations_;
  bool preempts_by_loss_ = false;
  Duration stop_time_;
  std::int64_t max_looks_ = PassBudget::kUnlimited;
  /// The first step that the previous pass left out for lack of time.
  std::optional<StepName> resume_at_;
  int passes_ = 0;
  /// Accelerators of an urgent gang, as an average of those that waited lately.
  double urgent_gang_accelerators_ = 0;
  /// Runners that the previous pass reserved for urgent work by their speed.
  std::set<RunnerId> reserved_runners_;
  TimePoint next_at_;
  WorkspaceShares shares_;
  OnTimeSelection selection_;
  /// Capacity of each service by the latest count, none of it free.
  std::map<ServiceId, ServiceRoom> room_;
  std::optional<TimePoint> use_counted_at_;
};

/// The policy that applies to a job: its queue's current one, or the one it was
/// accepted with if the queue no longer exists. Valid as long as both arguments
/// are.
const QueuePolicy& PolicyOf(const Job& job, const Catalog& catalog);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PLANNER_H_
