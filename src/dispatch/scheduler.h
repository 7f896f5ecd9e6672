/// @file
/// The scheduler of all runners: tracks each run from its assignment to its
/// stored end, across take-overs, lost answers and outages.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_SCHEDULER_H_
#define LIMELEDGE_SRC_DISPATCH_SCHEDULER_H_

#include <json/json.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/capacity_forecast.h"
#include "dispatch/catalog.h"
#include "dispatch/catalog_watcher.h"
#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/job_cleaner.h"
#include "dispatch/job_registry.h"
#include "dispatch/loss_tracker.h"
#include "dispatch/planner.h"
#include "dispatch/reducer_load.h"
#include "dispatch/run_move.h"
#include "dispatch/runner_speeds.h"
#include "dispatch/speed_keeper.h"
#include "dispatch/state_writer.h"

namespace limeledge::dispatch {

/// When the lasting speeds of runners influence decisions.
enum class RunnerSpeedUse {
  /// When they differ so much that some runners alone make urgent work miss its
  /// objective.
  kAuto,
  kOn,
  kOff,
};

/// When moves and preemptions are decided by their expected gain.
enum class MovesByGain {
  /// While the lasting speeds of runners influence decisions.
  kAuto,
  kOn,
  kOff,
};

/// What is known of the lasting speeds of runners.
struct SpeedStatus {
  bool in_use = false;
  /// Lower bound on the standard deviation of log paces among runners.
  double spread = 0;
  int measured_runners = 0;
};

/// Options of the scheduler and its parts.
struct SchedulerOptions {
  RunnerSpeedUse runner_speeds = RunnerSpeedUse::kAuto;
  /// Whether capacity is forecast and told to all nodes.
  bool forecasts_capacity = true;
  CapacityForecastOptions forecast;
  MovesByGain moves_by_gain = MovesByGain::kAuto;
  MoveRules move_rules;
  FleetOptions fleet;
  PlannerOptions planner;
  StateWriterOptions writer;
  JobRegistryOptions job_registry;
  /// Starts that wait while a view of the store is outdated are dropped after
  /// this time. Members of their gangs that were started wait for 3 s at least.
  Duration max_start_hold{1000};
  /// The starts of a gang are sent within this time of the first one, or not
  /// at all: on a runner, a member waits for the others for 3 s at least.
  Duration max_gang_start{1500};
  JobCleanerOptions cleaner;
  TombstoneCleanerOptions tombstone_cleaner;
  /// Size of the blocks into which the progress of a large job is divided: they
  /// have a task for each of these bytes of a row. Many times what a task
  /// takes that was never lost.
  std::size_t progress_bytes_per_task = 512;
  SpeedKeeperOptions speed_keeper;
  LossRules loss;
  /// Minimum time between two planning passes, plus an extra delay for each
  /// hundred steps that the last pass tried. The delay is about five times what
  /// such a pass takes on half a core.
  Duration min_pass_interval{20};
  Duration pass_interval_per_hundred_steps{80};
  /// Maximum time between two planning passes while tasks wait.
  Duration max_pass_interval{250};
  /// How long a runner gets no placements after it rejected a start for lack of
  /// capacity, so that it is polled first.
  Duration no_capacity_backoff{400};
  /// How long a runner gets no placements when it is unhealthy or when runs of
  /// two different jobs failed on it in a row. Doubles with each further
  /// failure, up to the maximum.
  Duration unhealthy_backoff{2000};
  Duration max_unhealthy_backoff{16000};
  /// A stop without effect is sent again after this time, which exceeds the
  /// time that a runner takes to stop a run.
  Duration stop_retry_interval{1500};
  /// A failure within this time, or within this part of the run's expected
  /// duration, counts against the runner: broken runners fail runs immediately,
  /// whereas a faulty job fails at any time.
  Duration early_failure_limit{400};
  int early_failure_percent = 5;
  /// How long other runners are preferred after a run failed on a runner.
  /// Exceeds the time for which runners that fail everything usually do so.
  Duration failure_penalty{8000};
  /// A run without progress for this long is stopped and restarted elsewhere.
  Duration stall_timeout{3000};
  /// Added to `stall_timeout`, as a percentage of the run's expected duration:
  /// a slow runner takes six times as long for each percent.
  int stall_timeout_percent = 8;
  /// How long a runner with a stalled run gets no placements.
  Duration stall_backoff{4000};
  /// Minimum time over which a run's pace is measured.
  Duration min_pace_interval{600};
  /// A run is moved off a slow runner if its projected duration is more than
  /// `slow_run_ratio` times the expected one, and its remaining time is at
  /// least `min_move_gain` times the expected duration plus `move_cost`, the
  /// time of a stop.
  double slow_run_ratio = 3.0;
  double min_move_gain = 1.5;
  Duration move_cost{500};
  /// A task is no longer moved after this many runs.
  int max_moves = 2;
  /// Whether to also move runs without checkpoints off a runner that shuts down
  /// before they would end.
  bool move_unsaved_runs = true;
  /// Minimum progress, in percent, at which a run's duration is used as a
  /// sample.
  int min_learn_percent = 20;
  /// Minimum time between two writes of the counts of waiting jobs.
  Duration waiting_counts_interval{300};
  /// How often idle accelerators are logged while steps wait. One line a second
  /// shows why they were idle and costs little.
  Duration idle_accelerators_interval{1000};
};

/// Why a queued start is dropped instead of sent.
enum class StartDropReason {
  kJobFinished,
  /// Another member of its gang ended or was assigned again.
  kGangEnded,
  /// The first member of its gang was started too long ago.
  kGangLate,
  kStopping,
  kReleasing,
  kDraining,
  kHallDraining,
  kRunnerUnreachable,
  kTicketExpired,
  /// The task was found to crash its runners after the start was queued.
  kTaskCrashesRunners,
  /// The runner's capacity shrank after the start was queued.
  kNoCapacity,
  /// The runner does not enforce its capacity, which was not confirmed
  /// recently.
  kCapacityUnconfirmed,
  /// The runner may not be granted a lease until its current one has expired.
  kAwaitingLeaseExpiry,
  /// The store rejects the job's progress.
  kNotStorable,
  /// The jobs or the list of runners have not been current for a while.
  kOutdatedView,
  /// The store has not confirmed the scheduler lease for so long that a
  /// successor may take the runner's lease as expired.
  kSchedulerUnconfirmed,
};

/// Why a runner was lost together with its runs.
enum class RunnerLossCause {
  /// Another incarnation answers at its address, and the runner had not
  /// announced that it would shut down.
  kCrashed,
  /// It was known to be shutting down.
  kLeft,
  /// It does not answer: it may have crashed, or be cut off and still
  /// running.
  kUnknown,
};

const char* ToString(RunnerLossCause cause);

/// Why a run counts as over although its runner did not report its end.
enum class EndEvidence {
  /// The run is not over so far: its late start has to be cancelled first.
  kNone,
  kOtherIncarnationAnswered,
  /// The runner was lost before the row of the run was read.
  kLostBeforeLoaded,
  kLeaseExpired,
  kNextIncarnation,
  /// An answer to a poll lists the run neither as running nor as ended.
  kNotListed,
};

const char* ToString(EndEvidence evidence);

/// A lost runner, as recorded for each of its runs.
struct RunnerLoss {
  RunnerLossCause cause = RunnerLossCause::kUnknown;
  /// Why the runs count as over.
  EndEvidence evidence = EndEvidence::kNone;
  /// The address that was called, if its answer is the evidence.
  std::string called;
  /// When the runner stopped answering; the time of the loss if that was not
  /// observed.
  TimePoint silent_since;
  /// Other runners stopped answering at the same time, and no start explains
  /// it.
  bool correlated = false;
};

/// Schedules jobs while this node holds the scheduler lease.
///
/// Thread safety: none; use it from one thread.
class Scheduler {
 public:
  /// `store_timeout` must outlive this object.
  Scheduler(SchedulerOptions options, const Leadership::Claimed& claimed,
            const StoreTimeout* store_timeout, TimePoint now);

  /// Whether this node still holds the scheduler lease.
  enum class LeaseStatus { kHeld, kDeposed, kReleased };

  /// True if `ticket` belongs to a call that this scheduler made.
  bool Owns(Ticket ticket) const;
  LeaseStatus Handle(Context& ctx, const CommitCompleted& answer);
  void Handle(Context& ctx, const ReadCompleted& answer);
  void Handle(Context& ctx, const ChangesReceived& answer);
  void Handle(Context& ctx, const RunnersListed& answer);
  LeaseStatus Handle(Context& ctx, const RunnerPolled& answer);
  LeaseStatus Handle(Context& ctx, const StartRunCompleted& answer);
  LeaseStatus Handle(Context& ctx, const StopRunCompleted& answer);
  void Handle(Context& ctx, const AdviceReceived& answer);

  /// Handles a pause of the process for `time`, during which another node may
  /// have become the scheduler. Until the store confirms that this node still
  /// is, nothing is sent to runners and only the lease is written.
  void HandleProcessPause(Context& ctx, Duration time);
  /// Does all work that is due. Call it after every event. Nothing is planned
  /// while the catalog is behind. Precondition: a catalog has been read.
  void Work(Context& ctx, const CatalogWatcher& catalog);
  TimePoint next_at() const;

  /// Sets the number of nodes that the leader row tells; 0 if it is not known.
  void SetNodeCount(std::int64_t nodes) { nodes_ = nodes; }

  /// Records how long the latest batch of events took, all work that was due
  /// included.
  void RecordBatch(Duration taken);

  /// Starts no more runs and releases the lease once all changes are stored.
  void Release();

  /// Returns the current state of jobs and runners as JSON, for debugging.
  Json::Value Dump(TimePoint now);

  Epoch epoch() const { return writer_.epoch(); }
  /// The forecast that the leader row tells; null if there is none, or if this
  /// node may no longer hold the lease.
  const CapacitySummary* forecast() const;
  SpeedStatus speed_status() const {
    return {speeds_in_use_, speeds_.Spread(), speeds_.measured_runners()};
  }
  const PlanningUse& planning_use() const { return planning_use_; }
  /// When the store last confirmed the lease.
  TimePoint confirmed_at() const { return writer_.confirmed_at(); }
  bool store_answers() const { return writer_.store_answers(); }
  /// True if the store refuses this node's writes.
  bool store_refuses() const { return writer_.refused(); }

 private:
  // Jobs.
  void HandleChanges(Context& ctx, const std::vector<JobId>& changed);
  void InheritRuns(Context& ctx, Job* job);
  void UpdateJobState(Context& ctx, Job* job);
  void MarkProgressDirty(const JobId& id);
  /// The row in which the task's progress is stored.
  RowKey ProgressRowOf(const TaskName& name);
  /// The rows whose changes are not stored so far and in which the task's
  /// progress is stored, or that of its gang.
  std::set<RowKey> PendingProgressRowsOf(const TaskName& name);
  /// Divides the progress of jobs that do not fit into one row into blocks.
  void DivideOversizedProgress(Context& ctx);
  /// Removes the rows of a final job's blocks once its final state is stored.
  void RemoveBlocksWhenStored(const Job& job);
  /// Gives up the assignments of jobs whose progress the store rejects, and
  /// makes no others until it accepts it.
  void HandleRejectedProgress(Context& ctx);
  int MaxAttempts(const Job& job) const;
  void WriteWaitingCounts(Context& ctx);

  // Planning and orders.
  /// True if a planning pass is possible now.
  bool MayPlan() const;
  /// Notes whether the jobs and the list of runners are current. When both
  /// become so, waiting starts are due; when one has not been for
  /// `max_start_hold`, they are dropped.
  void CheckViews(Context& ctx);
  /// True if a view has been outdated for `max_start_hold`.
  bool AreViewsLongOutdated(TimePoint now) const;
  /// Makes orders due at the runners for which starts wait.
  void ReviewWaitingStarts();
  /// True if a planning pass is due and possible now.
  bool IsPassDue(TimePoint now) const;
  /// Runs the planner and applies its decisions.
  void RunPlanningPass(Context& ctx);
  void ApplyPlan(Context& ctx, const Plan& plan);
  /// Logs idle accelerators, and what they are reserved for, while steps wait.
  void LogIdleAccelerators(Context& ctx, const Plan& plan);
  /// Stops a run, together with its gang, in favor of an urgent job.
  void Preempt(Context& ctx, const Preemption& preemption);
  /// Records an assignment.
  void Assign(Context& ctx, const Assignment& assignment);
  /// Queues the start of each assignment once it is stored, together with those
  /// of its gang.
  void StartWhenStored(const std::vector<Assignment>& assignments);
  /// Queues the start of a run whose assignment is stored.
  void QueueStart(const TaskName& name, int run,
                  const IncarnationId& incarnation);
  /// Sends the next order to each runner in `orders_due_`.
  void SendOrders(Context& ctx);
  /// Sends the next order to the runner, stops before starts, unless an order
  /// is already in flight. The starts of a gang are sent together. A start is
  /// checked right before it is sent. An adapter that sends it again does so
  /// within the one-second timeout of the order.
  void SendNextOrder(Context& ctx, Runner* runner);
  /// Drops queued starts that must not be sent any more; true if any was
  /// dropped.
  bool DropStaleStarts(Context& ctx, Runner* runner);
  /// Returns why the run must not start now; nothing if it may start.
  std::optional<StartDropReason> FindDropReason(TimePoint now,
                                                const Runner& runner,
                                                const TaskName& name,
                                                const Run& run);
  /// True if the first start of this run of a gang was sent so long ago that
  /// the others must not be sent any more.
  bool IsGangLate(const Job& job, const TaskName& name, int number,
                  TimePoint now) const;
  std::string TicketOf(TimePoint now, const Runner& runner,
                       const TaskName& name) const;
  /// Ends a run whose start was never sent, and stops its gang.
  void DropStart(Context& ctx, Runner* runner, const TaskName& name,
                 StartDropReason reason);
  /// Sends the next requested stop; false if there is none.
  bool SendNextStop(Context& ctx, Runner* runner);
  /// Precondition: `FindDropReason` returns nothing for the run.
  void SendStart(Context& ctx, Runner* runner, const TaskName& name, Run* run);
  void SendStop(Context& ctx, Runner* runner, const TaskName& name, int number,
                StopRequest* stop);
  /// Records that the order in flight was answered or lost.
  void RecordOrderAnswered(Runner* runner);
  /// Records a start that was sent at least once without an answer, and that
  /// may therefore arrive late.
  void RecordLateStart(TimePoint now, Runner* runner,
                       const StartRunCompleted& answer, const Run& run);
  /// Records an answer to a start that may have granted a lease.
  void RecordStartAnswer(TimePoint now, Runner* runner,
                         const StartRunCompleted& answer, const Run& run) const;
  /// Handles a start that was rejected or whose outcome is unknown.
  void HandleFailedStart(Context& ctx, Runner* runner,
                         const StartRunCompleted& answer, Run* run);
  /// Requests the end of a run: stops it, or drops its start if that was not
  /// sent.
  void RequestStop(Context& ctx, Runner* runner, const TaskName& name);
  void StopJob(Context& ctx, const JobId& job);
  /// Ends the runs of a job whose assignments are not stored.
  void DropUnstoredRuns(Context& ctx, const JobId& job);
  /// Stops all members of a gang's run.
  void StopGang(Context& ctx, const TaskName& name);
  void EndRun(Context& ctx, Runner* runner, const TaskName& name, RunEnd end,
              const std::string& checkpoint);
  /// Logs a run that was lost with its runner, and counts the loss. `evidence`:
  /// why the run counts as over.
  void RecordLostRun(Context& ctx, const Runner& runner, const TaskName& name,
                     const RunnerLoss& loss, EndEvidence evidence);

  // Lost runs (scheduler_losses.cc).
  /// Records the loss of the runner and of the runs `names`. Those also in
  /// `later` count as lost but are ended later. `loss` need not say when the
  /// runner fell silent, nor whether others did at the same time.
  void MarkRunsLost(Context& ctx, Runner* runner,
                    const std::vector<TaskName>& names, RunnerLoss loss,
                    const std::vector<TaskName>& later = {});
  /// True if the runner stopped answering at the same time as others, and no
  /// start explains it.
  bool IsCorrelatedLoss(const Runner& runner) const;
  /// Counts a lost run against its task, unless the task can not be the cause.
  void CountLoss(Context& ctx, const Runner& runner, const TaskName& name,
                 const Run& run, const RunnerLoss& loss);
  /// Resolves the open losses of an incarnation whose fate is now known.
  void ResolveLosses(Context& ctx, const IncarnationId& lost,
                     IncarnationFate fate);
  /// Resolves losses whose runner's fate stayed unknown for too long.
  void ResolveOverdueLosses(Context& ctx);
  /// Updates the task according to its losses: it may start, must wait, or
  /// fails.
  void ApplyLossPolicy(Context& ctx, const TaskName& name);
  /// Tracks losses that a previous scheduler stored.
  void InheritLosses(Context& ctx, const Job& job);
  /// Records that this incarnation of the runner answered at `address`.
  void RecordContact(Context& ctx, Runner* runner, std::int64_t clock_ms,
                     const std::string& address);
  /// Like `RecordContact`, for the answer to an order. Such an answer does not
  /// name the incarnation that gave it. Does nothing if the runner may have
  /// ignored the order, or another runner answered at `address`.
  void RecordOrderContact(Context& ctx, Runner* runner, OrderOutcome outcome,
                          std::int64_t clock_ms, const std::string& address);

  // Incarnations (scheduler_incarnations.cc).
  /// What a run of the previous incarnation means for the next one.
  enum class CarriedRunStatus {
    kNeverStarted,
    /// The next incarnation reports the run, or may do so.
    kMayExist,
    /// The run was lost with the previous incarnation.
    kLost,
    /// As `kLost`, but its start got no answer and may still be carried out by
    /// the next incarnation.
    kLostButMayStart,
  };
  static CarriedRunStatus ClassifyRun(TimePoint now, const Runner& previous,
                                      const TaskName& name, const Run& run,
                                      const RunnerPolled& answer);
  /// Handles the first answer of another incarnation: replaces `previous`,
  /// which must not be used afterwards, and returns the new object.
  Runner* BeginIncarnation(Context& ctx, Runner* previous,
                           const RunnerPolled& answer);
  /// Replaces `previous` and transfers the runs that the next incarnation may
  /// hold.
  Runner* CarryOverRuns(Context& ctx, Runner* previous,
                        const std::vector<TaskName>& carried,
                        const std::vector<TaskName>& to_cancel,
                        const RunnerPolled& answer);
  /// Replaces the object of the previous incarnation with a new one without
  /// runs.
  Runner* ReplaceIncarnation(TimePoint now, Runner* previous,
                             StartTime start_time);
  /// Records that another incarnation of the runner was there at `now` than the
  /// one before, and that it carries out calls to earlier ones until it is
  /// polled.
  void AssumeCallsToEarlierIncarnations(TimePoint now, Runner* runner) const;
  /// `lost`: the run was lost with the previous incarnation and is kept only
  /// until its late start is cancelled.
  void AddCarriedRun(Context& ctx, Runner* next, const TaskName& name, Run run,
                     bool lost);
  /// Reserves capacity for starts that the next incarnation may carry out until
  /// it rejects earlier calls.
  static void ReserveForLateStarts(TimePoint now, Runner* next);

  /// Ends all runs of a silent runner whose lease expired, except those whose
  /// start may still be carried out.
  void EndExpiredRuns(Context& ctx, Runner* runner);
  /// True while calls to runners may renew their leases: a successor relies on
  /// that no earlier scheduler does so any longer.
  bool MayRenewLeases(TimePoint now) const {
    return now - writer_.confirmed_at() < options_.fleet.longest_unconfirmed;
  }
  /// Handles an answer of another runner to a call of this one. It ends all
  /// runs, and the result is true, if the runner itself has answered at that
  /// address before. Otherwise the address may be wrong, and the call counts as
  /// unanswered.
  bool EndedByOtherIncarnation(Context& ctx, Runner* runner,
                               const std::string& address);
  /// Ends all runs of a lost runner. `called` is the address that was called.
  /// Precondition: an answer shows that the runner's process has ended.
  void EndAllRuns(Context& ctx, Runner* runner, EndEvidence evidence,
                  const std::string& called);

  // Runners.
  /// Handles a call that a runner rejected for its token: whether another
  /// scheduler holds the lease, or this one has sent a newer token itself.
  LeaseStatus HandleFenced(const IncarnationId& asked,
                           const FencingToken& fence) const;
  /// Handles reported ends up to the first one of a job that is not loaded yet;
  /// the runner reports the others again. True if all were handled.
  bool HandleEnds(Context& ctx, Runner* runner,
                  const std::vector<ReportedEnd>& ends);
  void HandleEnd(Context& ctx, Runner* runner, const ReportedEnd& end);
  /// Records that a runner has begun a run of the job.
  void RecordBegun(const JobId& id);
  /// True if the end of a superseded run must not be acknowledged yet, because
  /// the platform would then count it against the later runs of its task.
  /// `presumed_over`: the run was already ended here without a reported end.
  bool MustDeferAcknowledgement(const Runner& runner, const ReportedEnd& end,
                                bool presumed_over);
  /// Lets a task start whose earlier run has ended.
  void Unblock(const TaskName& name);
  /// Counts the failure of a run that was presumed over.
  void CountLateFailure(Context& ctx, const ReportedEnd& end);
  /// Records that the end of a run was reported, if its gang waits for that.
  void RecordReport(const ReportedEnd& end);
  /// Handles the end of a run that is no longer tracked.
  void HandleLateEnd(Context& ctx, const Runner& runner,
                     const ReportedEnd& end);
  void HandleRunning(Context& ctx, Runner* runner, const ReportedRun& reported);
  /// Resources that an orphaned run takes, as far as they are known.
  Resources NeedOfOrphan(const Runner& runner, const TaskName& name);
  /// True if the runner itself rejects starts that exceed its capacity.
  bool EnforcesCapacity(const Runner& runner) const;
  /// Forgets orphaned runs that the runner no longer reports.
  static void ForgetOrphans(Runner* runner,
                            const std::vector<ReportedRun>& running);
  /// Measures a run's pace by its progress and updates the estimates.
  void MeasurePace(Context& ctx, Runner* runner, Job* job, const TaskName& name,
                   Run* run);
  /// Compares a run's projected duration `duration_ms`, in milliseconds, with
  /// that of its step's runs on other runners and with the expected one.
  /// `progress`: how many percent were measured.
  void EvaluatePace(Context& ctx, Runner* runner, Job* job,
                    const TaskName& name, Run* run, double duration_ms,
                    int progress);
  /// Adds the run's duration to the estimates, once for each step, when enough
  /// of the run is done.
  void LearnRunTime(Context& ctx, Job* job, const TaskName& name, Run* run);

  // Forecast of capacity (scheduler_forecast.cc).
  /// Makes and announces a new forecast if that is due.
  void UpdateForecast(Context& ctx);
  /// Discards the forecast and its history.
  void DropForecast();
  /// Adds up the capacity of the listed runners, their runs and what waits.
  CapacitySnapshot TakeSnapshot(const Context& ctx);
  /// Adds the remaining work of a runner's runs, and what they take to `used`.
  void AddRuns(TimePoint now, const Runner& runner, CapacitySnapshot* snapshot,
               CapacitySnapshot::UsedByPriority* used);
  /// Adds the ready tasks of a job that wait, unless it is past all use and is
  /// placed last. Returns whether any were added.
  bool AddWaitingSteps(std::int64_t wall_ms, const Job& job,
                       CapacitySnapshot* snapshot);
  /// Standard deviation of the logarithm of a run time of the queue.
  double EstimateDeviation(const QueueId& queue) const;
  std::vector<CapacityForecast::QueueInput> ForecastQueues() const;
  /// Logs which services and queues the forecast describes, if that changed.
  void LogForecast(Context& ctx);

  // Lasting speeds (scheduler_speeds.cc).
  /// Measures the speed of a run's runner, or of the runners of its gang, by
  /// the progress that was reported just now. `ended`: the run is done.
  void MeasureSpeed(Context& ctx, const Runner& runner, const Job& job,
                    const TaskName& name, Run* run, bool ended);
  /// The runners of all members of a gang, and when the last of them started;
  /// nothing if not all of them run.
  struct GangRunners {
    std::vector<IncarnationId> runners;
    TimePoint started_at;
  };
  std::optional<GangRunners> FindGangRunners(const Job& job,
                                             const TaskName& name, int number);
  /// Drops what was measured on incarnations that are gone.
  void DropSpeedsOfGoneRunners(Context& ctx);
  /// Decides whether speeds influence decisions from now on.
  void UpdateSpeedUse(Context& ctx);
  /// True if the measurements show that speeds should be used. Speeds that an
  /// earlier scheduler had in use stay in use until the measurements of this
  /// one suffice to tell.
  bool ShouldUseSpeeds();

  // Moves by expected gain (scheduler_moves.cc).
  bool DecidesByGain() const;
  /// Records the projected duration of a run over the expected one, and since
  /// when its runner is slow. `progress`: how many percent were measured.
  void RecordPaceRatio(Context& ctx, Runner* runner, const Job& job,
                       const TaskName& name, Run* run, double ratio,
                       bool compared, int progress);
  /// Logarithms of the paces that other runs on the runner show at present,
  /// relative to the expected ones.
  std::vector<double> PacesOfOthers(TimePoint now, const Runner& runner,
                                    const TaskName& name);
  /// How slow the runner is at present without what the run `name` on it tells,
  /// except that an independent run became slow itself.
  PaceKnowledge TransientPace(TimePoint now, const Runner& runner,
                              const TaskName& name, const Run& run, bool gang);
  /// The same with the lasting pace, relative to the pace that the run was
  /// placed with.
  PaceKnowledge KnownPace(TimePoint now, const Runner& runner,
                          const TaskName& name, const Run& run, bool gang);
  /// Moves a run, or its gang, if it is expected to end earlier elsewhere.
  /// `duration_ms`: its projected duration in milliseconds.
  void ConsiderMove(Context& ctx, Runner* runner, const Job& job,
                    const TaskName& name, Run* run, double duration_ms);
  /// What is known of a run, or of its gang; nothing if a member does not run.
  /// The place where it would continue is not set.
  std::optional<MoveQuery> MakeMoveQuery(TimePoint now, const Job& job,
                                         const TaskName& name, const Run& run,
                                         double duration_ms);
  /// Sets where the run would continue, `slow` being the runner to leave. False
  /// if nothing is known to become free for it.
  bool FindPlaceElsewhere(TimePoint now, const Runner& slow, const Job& job,
                          const StepSpec& step, const Run& run,
                          MoveQuery* query);
  /// Stops a run and its gang, to continue without the slow runner.
  void MoveByGain(Context& ctx, Runner* runner, const TaskName& name,
                  const Run& run, const MoveDecision& decision,
                  Duration remaining, const Runner& slow);
  /// Stops a run that must leave its runner, together with its gang if
  /// decisions are made by gain.
  void StopToMove(Context& ctx, Runner* runner, const TaskName& name);

  /// Moves a run off a runner that became slow, if that saves time.
  void MoveOffSlowRunner(Context& ctx, Runner* runner, const TaskName& name,
                         const Run& run, Duration remaining, Duration expected);
  void HandleUnreportedRuns(Context& ctx, Runner* runner,
                            const RunnerPolled& answer);
  /// Ends a run that its runner's answer to the latest poll lists neither as
  /// running nor as ended.
  void EndUnreportedRun(Context& ctx, Runner* runner, const TaskName& name);
  /// Updates the health of a runner after the end of a run.
  void UpdateRunnerHealth(Context& ctx, Runner* runner, const ReportedEnd& end,
                          const Run& run);
  /// Resets the runner's failures after a successful run.
  void RecordSuccess(Runner* runner, const Run& run);
  /// Records a failed run of `job`. `immediate`: it failed right after its
  /// start.
  void RecordFailure(Context& ctx, Runner* runner, const JobId& job,
                     bool immediate);
  /// Backs off from a runner for its consecutive failures.
  void BackOffAfterFailures(Context& ctx, Runner* runner, const char* reason);
  void BackOff(Context& ctx, Runner* runner, Duration pause,
               const char* reason);
  void HandleMissedAnswer(Context& ctx, Runner* runner);
  /// Like `HandleMissedAnswer`, for a poll, which may still be carried out
  /// late.
  void HandleMissedPoll(Context& ctx, Runner* runner, OrderOutcome outcome);
  /// Checks runs, resolves overdue losses and removes finished jobs and
  /// runners, every `kCheckInterval`.
  void RunPeriodicChecks(Context& ctx);
  void CheckRuns(Context& ctx);
  void CheckStall(Context& ctx, Runner* runner, const TaskName& name, Run* run);
  void CheckDraining(Context& ctx, Runner* runner, const TaskName& name,
                     const Run& run);

  SchedulerOptions options_;
  const StoreTimeout* store_timeout_;
  StateWriter writer_;
  JobRegistry jobs_;
  JobCleaner cleaner_;
  TombstoneCleaner tombstone_cleaner_;
  Fleet fleet_;
  LossTracker losses_;
  RunTimeEstimator run_time_estimator_;
  RunnerSpeeds speeds_;
  SpeedKeeper speed_keeper_;
  bool speeds_in_use_ = false;
  TimePoint next_speed_cleanup_at_;
  /// The measurements of this scheduler suffice to decide on the use of speeds.
  bool speed_use_decided_ = false;
  CapacityForecast forecast_;
  TimePoint next_forecast_at_;
  /// The services and queues that the latest `LL956` named.
  std::string logged_forecast_;
  /// The longest time from sending a stop to the end of the run, bounded by the
  /// time after which a stop is sent again; 0 if none was seen.
  Duration longest_stop_;
  /// Result of the latest planning pass.
  IdleAccelerators idle_accelerators_;
  int steps_waiting_ = 0;
  TicketCache ticket_cache_;
  Planner planner_;
  PlanningUse planning_use_;
  PassBudget pass_budget_;
  /// Looks of the pass in the latest batch; nothing if it had none.
  std::optional<std::int64_t> looks_in_batch_;
  const Catalog* catalog_ = nullptr;
  bool catalog_is_behind_ = false;
  /// When the store was last unavailable to this scheduler.
  TimePoint store_available_since_;
  /// Whether the jobs that have been read are current (`JobRegistry`).
  bool jobs_are_current_ = false;
  /// Whether the list of runners is (`Fleet`).
  bool list_is_current_ = false;
  /// Since when one of them is not; empty while both are.
  std::optional<TimePoint> views_outdated_since_;
  /// Waiting starts have been dropped since then.
  bool held_starts_dropped_ = false;
  /// Runners that may have an order to send or a queued start to drop.
  std::set<RunnerId> orders_due_;
  std::int64_t nodes_ = 0;
  bool plan_due_ = true;
  bool releasing_ = false;
  TimePoint last_pass_at_;
  /// The next planning pass runs no earlier than this.
  TimePoint next_pass_at_;
  TimePoint counts_written_at_;
  TimePoint next_check_at_;
  TimePoint next_idle_accelerators_at_;
  std::string written_waiting_counts_;
  /// Jobs that are not final, or not stored as final, and have blocks.
  std::set<JobId> divided_jobs_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_SCHEDULER_H_
