/// @file
/// Decides which tasks run where next, and which make way.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PLANNER_H_
#define LIMELEDGE_SRC_DISPATCH_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/catalog.h"
#include "dispatch/fleet.h"
#include "dispatch/job_registry.h"
#include "dispatch/placement.h"
#include "dispatch/planning_policy.h"
#include "dispatch/run_time_estimator.h"
#include "dispatch/ticket_cache.h"

namespace limeledge::dispatch {

/// Weights and patience of the planner.
struct PlannerOptions {
  /// Order of what waits; never null.
  const PlanningPolicy* policy = &DefaultPlanningPolicy();
  /// How long urgent work waits for a good place (one rack, near its data)
  /// before it takes any. With a reservation that comes to nothing and the stop
  /// after it, less than the 2.9 to 3.4 s in which a workspace has its
  /// guarantee.
  Duration urgent_locality_wait{900};
  /// The same for other work. Below the 3 s after which a waiting task beside
  /// idle runners counts as forgotten.
  Duration locality_wait{1500};
  /// Gangs do not wait longer than this for a good place while there is room
  /// for them twice over elsewhere; below the same 3 s.
  Duration max_locality_wait_with_free_capacity{2500};
  /// A task whose next failure is final waits for a runner on which no run
  /// failed lately; while most are idle, no longer than this. Below the same
  /// 3 s.
  Duration last_attempt_wait{2500};
  /// Gangs wait this long before room is kept free for them.
  Duration gang_reservation_delay{300};
  /// Gangs that room is kept free for at once.
  int max_reserved_gangs = 4;
  /// Other work displaces lower priorities, and uses more of the urgent racks,
  /// once it must start within this time to be done by its objective, or missed
  /// it: room for a stop, twice over.
  Duration deadline_margin{2500};
  /// Room that was made for a step is kept for it this long: the longest stop
  /// (0.4 to 0.9 s), and some for the news of it.
  Duration reservation_time{1300};
  /// Work that can not be done within this many times its objective earns
  /// nothing and goes last.
  int worthless_after = 3;
  /// Work that can not be done within this many times its objective goes before
  /// all else of its priority, so that none waits until it is worthless.
  int overdue_after = 2;
  /// Share of the runners, in whole racks, that only urgent work is placed on:
  /// about what it needs on an ordinary day, so that it need not wait for
  /// others to be stopped.
  double urgent_share = 0.3;
  /// Other work goes there too, once its patience is over, while less than
  /// this share of all accelerators is in use.
  double idle_share = 0.5;
  /// Other work also goes there, once its patience is over and there is no
  /// room elsewhere, while this share of those racks' accelerators, and of
  /// their cores, stays idle: bursts of urgent work still find room at once.
  /// Less kept idle served urgent work worse, and the whole with it.
  double urgent_headroom = 0.75;
  /// The same for work that runs out of time, or has run out of it. Of fourteen
  /// days, the worst for the least urgent queue gave it 0.44 of what it could
  /// earn, 0.17 with all racks closed to it; with none kept idle, a fortieth
  /// less of the urgent work's worth was earned.
  double late_headroom = 0.25;
  /// Work lost by displacing urgent work counts so many times: such work is
  /// taken last.
  std::int64_t urgent_victim_weight = 1000;
  /// Gangs that are tried in each pass; those behind them in order are tried in
  /// every so many-th pass, so that a pass stays short under a backlog.
  int gangs_per_pass = 24;
  int remaining_gangs_interval = 5;
  /// An accelerator counts as this many cores.
  int cores_per_accelerator = 8;
};

/// A task and the runner that it is to be started on. All tasks of a gang
/// appear together.
struct Assignment {
  TaskName task;
  int run = 0;
  Runner* runner = nullptr;
  Duration expected;
  /// The same on a runner near its data, and with its gang in one rack.
  Duration expected_near;

  bool near() const { return expected == expected_near; }
};

/// A run that makes way for urgent work.
struct Preemption {
  TaskName task;
  IncarnationId incarnation;
  /// The job that needs the room.
  JobId preemptor;
};

/// A step that waits for tickets, and the runners that suit it, best first.
struct AdviceRequest {
  StepName step;
  std::vector<IncarnationId> runners;
};

/// Why tasks of a step that is ready do not start.
enum class WaitReason {
  /// The policy lets nothing overtake what did not fit before.
  kBlockedByEarlierStep,
  /// The advice service named no runner on which the step may run, so far.
  kNoTickets,
  /// There is no room, and nothing has to make way yet.
  kNoCapacity,
  /// There is no room, and not enough may make way.
  kNotEnoughPreemptible,
  /// Others make way; their room is not free yet.
  kPreempting,
  /// Runners are kept free until there is room for the whole gang.
  kCapacityReserved,
};

/// For people.
const char* ToString(WaitReason reason);

/// A step that begins to wait, or waits for another reason than before.
struct StepWait {
  StepName step;
  WaitReason reason = WaitReason::kNoCapacity;
  int tasks = 0;
};

/// Accelerators of the runners that may be given work, after a pass.
struct IdleAccelerators {
  std::int64_t all = 0;
  /// Not taken by any run, in racks that only urgent work is placed on.
  std::int64_t urgent_racks = 0;
  /// Not taken by any run, kept for gangs or for what others make way for.
  std::int64_t kept = 0;
  /// Not taken by any run, and free for whatever fits.
  std::int64_t open = 0;
};

struct Plan {
  std::vector<Assignment> assignments;
  std::vector<Preemption> preemptions;
  std::vector<StepWait> waits;
  std::vector<AdviceRequest> advice_requests;
  IdleAccelerators idle_accelerators;
  /// Steps that wait, for whatever reason.
  int steps_waiting = 0;
  /// Steps that were tried, as a measure of the pass's cost.
  int steps_tried = 0;
};

/// Greedy planner: urgent work within its workspace's guarantee first, then in
/// the order of its policy; displaces others for the former, and where the
/// policy says so.
///
/// Thread safety: none; use it from one thread.
class Planner {
 public:
  explicit Planner(PlannerOptions options = {}) : options_(options) {}

  /// Decides on everything that can be decided now. The state of `jobs` and
  /// `fleet` is not changed but for the time since when steps are ready.
  Plan Decide(TimePoint now, std::int64_t wall_ms, const Catalog& catalog,
              const RunTimeEstimator& times, const TicketCache& advice,
              JobRegistry* jobs, Fleet* fleet);
  /// When a step that waits for its due time or its patience comes next.
  TimePoint next_at() const { return next_at_; }

 private:
  /// A step with tasks to start.
  struct PendingStep {
    StepName key;
    Job* job = nullptr;
    Step* step = nullptr;
    const StepSpec* spec = nullptr;
    QueuePolicy policy;
    /// What the planner's policy goes by.
    StepRank rank;
    /// Latest start that still meets the deadline.
    std::int64_t latest_start_wall_ms = 0;
    std::vector<int> waiting;

    /// True if the task of that index may be what crashed its runners.
    bool IsSuspectTask(int index) const {
      return IsSuspect(step->tasks[index].losses);
    }
  };
  /// Room that was made by displacing, until it is free.
  struct Reservation {
    std::vector<RunnerId> runners;
    TimePoint since;
  };
  /// One pass over all pending_steps.
  class Pass;

  PlannerOptions options_;
  std::map<StepName, Reservation> reservations_;
  /// Why steps waited in the last pass.
  std::map<StepName, WaitReason> waits_;
  int passes_ = 0;
  TimePoint next_at_;
};

/// The policy in force for a job: its queue's newest, or the one it was
/// accepted with when the queue is gone.
QueuePolicy PolicyOf(const Job& job, const Catalog& catalog);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PLANNER_H_
