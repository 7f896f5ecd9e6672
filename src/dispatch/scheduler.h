/// @file
/// The one scheduler of all runners: the life of each run from its decision to
/// its stored end, also across take-overs, lost answers and outages.
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

#include "dispatch/catalog.h"
#include "dispatch/context.h"
#include "dispatch/fleet.h"
#include "dispatch/job_cleaner.h"
#include "dispatch/job_registry.h"
#include "dispatch/loss_tracker.h"
#include "dispatch/planner.h"
#include "dispatch/state_writer.h"

namespace limeledge::dispatch {

/// Timing of the scheduler beyond that of its parts.
struct SchedulerOptions {
  FleetOptions fleet;
  PlannerOptions planner;
  StateWriterOptions writer;
  JobRegistryOptions job_registry;
  JobCleanerOptions cleaner;
  LossRules loss;
  /// Shortest time between two passes of the planner, and what is added for
  /// each hundred steps that the last one tried: some five times what such a
  /// pass takes on half a core.
  Duration min_pass_interval{20};
  Duration pass_interval_per_hundred_steps{80};
  /// Longest time between two passes while tasks wait.
  Duration max_pass_interval{250};
  /// A runner that rejected a start for want of room is asked anew first.
  Duration no_capacity_backoff{400};
  /// Rest of a runner that is not well, or failed runs of two jobs in a row;
  /// doubles with each further failure up to the second.
  Duration unhealthy_backoff{2000};
  Duration max_unhealthy_backoff{16000};
  /// A stop that showed no effect is sent again after this; longer than a
  /// runner takes to stop.
  Duration stop_retry_interval{1500};
  /// An order without an answer may be carried out for so long, whatever end
  /// of the lease it names: twelve seconds at most, and some for the clocks.
  Duration late_order_window{12500};
  /// A run that fails within this, or within such a part of its time, tells of
  /// its runner: jobs that can not be done fail at any time of their run,
  /// broken runners at once.
  Duration early_failure_limit{400};
  int early_failure_percent = 5;
  /// Others are used first for so long after a run failed on a runner: longer
  /// than runners that fail all they start usually do so.
  Duration failure_penalty{8000};
  /// A run whose progress stands still for this long is moved elsewhere.
  Duration stall_timeout{3000};
  /// More patience for long runs: the expected time of so many percent, since
  /// a slow runner takes six times as long for each.
  int stall_timeout_percent = 8;
  /// Rest of a runner on which a run stands still.
  Duration stall_backoff{4000};
  /// Progress over at least this time tells a run's pace.
  Duration min_pace_interval{600};
  /// A run that is this much slower than expected, on a runner that counts as
  /// slow, is moved if it would go on for this many times its whole expected
  /// time, and a stop more.
  double slow_run_ratio = 3.0;
  double min_move_gain = 1.5;
  Duration move_cost{500};
  /// Runs of a task after which it is not moved any more.
  int max_moves = 2;
  /// Runs that save nothing are moved, too, off a runner that leaves before
  /// they would end.
  bool move_unsaved_runs = true;
  /// A run's length is learnt once it has done this much, in percent.
  int min_learn_percent = 20;
  /// Shortest time between two writes of the numbers of waiting jobs.
  Duration waiting_counts_interval{300};
  /// How often idle accelerators are told of while steps wait: a line a second
  /// tells for whom they were idle, and costs little.
  Duration idle_accelerators_interval{1000};
};

/// Why a start that waited for its turn is not sent.
enum class StartDropReason {
  kJobFinished,
  /// Another member of its gang ended, or was assigned anew.
  kGangEnded,
  kStopping,
  kReleasing,
  kRunnerDraining,
  kHallDraining,
  kRunnerUnreachable,
  kTicketExpired,
  /// It became known meanwhile that its runners crash.
  kTaskCrashesRunners,
  /// The room shrank meanwhile.
  kNoCapacity,
  /// The runner would not refuse what is too much for it, and its room was not
  /// confirmed lately.
  kCapacityUnconfirmed,
  /// Its lease has to run out first.
  kAwaitingLeaseExpiry,
};

/// How a runner ended under the runs that went with it.
enum class RunnerLossCause {
  /// Another life answers at its address, and it had not said that it leaves.
  kCrashed,
  /// It was known to leave.
  kLeft,
  /// It does not answer; it may have crashed, or be cut off and run on.
  kUnknown,
};

const char* ToString(RunnerLossCause end);

/// What is known of a runner that is lost, for all runs that went with it.
struct RunnerLoss {
  RunnerLossCause how = RunnerLossCause::kUnknown;
  /// When it fell silent; when it was taken for lost, if it was not seen to.
  TimePoint silent_since;
  /// Others fell silent with it for which no start can be to blame.
  bool correlated = false;
};

/// Schedules while this node holds the lease.
///
/// Thread safety: none; use it from one thread.
class Scheduler {
 public:
  /// `patience` outlives this object.
  Scheduler(SchedulerOptions options, const Leadership::Claimed& claimed,
            const StoreTimeout* patience, TimePoint now);

  enum class LeaseStatus { kHeld, kDeposed, kReleased };

  /// True if the answer belongs to a call of this scheduler.
  bool Owns(Ticket ticket) const;
  LeaseStatus Handle(Context& ctx, const CommitCompleted& answer);
  void Handle(Context& ctx, const ReadCompleted& answer);
  void Handle(Context& ctx, const ChangesReceived& answer);
  void Handle(Context& ctx, const RunnersListed& answer);
  LeaseStatus Handle(Context& ctx, const RunnerPolled& answer);
  LeaseStatus Handle(Context& ctx, const StartRunCompleted& answer);
  LeaseStatus Handle(Context& ctx, const StopRunCompleted& answer);
  void Handle(Context& ctx, const AdviceReceived& answer);

  /// The process stood still for `time`: another may schedule since. Nothing is
  /// sent to runners, and nothing else written, until the store has confirmed
  /// that this one still does.
  void HandleProcessPause(Context& ctx, Duration time);
  /// Does all that is due. Call it after every event.
  void Work(Context& ctx, const Catalog& catalog);
  TimePoint next_at() const;

  /// Starts nothing more and gives the lease up once all is stored.
  void Release();

  /// Jobs and runners as they are seen now, for people.
  Json::Value Dump(TimePoint now);

  Epoch epoch() const { return writer_.epoch(); }
  bool store_answers() const { return writer_.store_answers(); }

 private:
  // Jobs.
  void HandleChanges(Context& ctx, const std::vector<JobId>& changed);
  void InheritRuns(Context& ctx, Job* job);
  void UpdateJobState(Context& ctx, Job* job);
  void MarkProgressChanged(const JobId& id);
  int MaxAttempts(const Job& job) const;
  void WriteWaitingCounts(Context& ctx);

  // Runs.
  /// True if a planning pass is due and can be made now.
  bool IsPassDue(TimePoint now) const;
  /// Plans, and applies what was decided.
  void RunPlanningPass(Context& ctx);
  void ApplyPlan(Context& ctx, const Plan& plan);
  /// Logs what is idle while steps wait, and for whom.
  void LogIdleAccelerators(Context& ctx, const Plan& plan);
  /// Stops a run, with its gang, in favour of an urgent job.
  void Preempt(Context& ctx, const Preemption& displaced);
  /// Takes an assignment in; the start is sent once it is stored.
  void Assign(Context& ctx, const Assignment& assignment);
  /// Lets a stored run's start wait for its turn.
  void QueueStart(const TaskName& name, int run,
                  const IncarnationId& incarnation);
  /// Sends orders to runners for which something changed.
  void SendOrders(Context& ctx);
  /// Sends what is due first, stops before starts, unless an order is under
  /// way. A start leaves right after it was checked; an adapter that sends it
  /// again does so within the second after which it counts as lost.
  void SendNextOrder(Context& ctx, Runner* runner);
  /// Gives up waiting starts that must not be sent any more; true if any was.
  bool DropStaleStarts(Context& ctx, Runner* runner);
  /// What is against starting the run now; nothing if it may start.
  std::optional<StartDropReason> FindDropReason(TimePoint now,
                                                const Runner& runner,
                                                const TaskName& name,
                                                const Run& run);
  std::string TicketOf(TimePoint now, const Runner& runner,
                       const TaskName& name) const;
  /// Ends a run whose start was never sent, with its gang.
  void DropStart(Context& ctx, Runner* runner, const TaskName& name,
                 StartDropReason obstacle);
  /// Sends a stop that waits; false if there is none.
  bool SendNextStop(Context& ctx, Runner* runner);
  /// Precondition: nothing is against starting the run now.
  void SendStart(Context& ctx, Runner* runner, const TaskName& name, Run* run);
  void SendStop(Context& ctx, Runner* runner, const TaskName& name, int number,
                StopRequest* stop);
  /// The runner's order under way was answered or lost.
  void NoteOrderAnswered(Runner* runner);
  /// Notes a start of which a sending got no answer: it may come late.
  void NoteLateStart(TimePoint now, Runner* runner,
                     const StartRunCompleted& answer, const Run& run);
  /// A start that was refused, or whose outcome is not known.
  void HandleFailedStart(Context& ctx, Runner* runner,
                         const StartRunCompleted& answer, Run* run);
  /// Has a run end: it is stopped, or dropped if its start was never sent.
  void RequestStop(Context& ctx, Runner* runner, const TaskName& name);
  void StopJob(Context& ctx, const JobId& job);
  /// Stops the other members of a gang's run.
  void StopGang(Context& ctx, const TaskName& name);
  void EndRun(Context& ctx, Runner* runner, const TaskName& name, RunEnd end,
              const std::string& checkpoint);
  /// Logs and counts a run that went with its runner.
  void RecordLostRun(Context& ctx, const Runner& runner, const TaskName& name,
                     const RunnerLoss& loss);

  // Losses: runs that went with their runners (scheduler_losses.cc).
  /// Notes that the runner is lost, and takes all of `names` for lost with it.
  /// Those of `held` count as lost, and are ended later.
  void MarkRunsLost(Context& ctx, Runner* runner,
                    const std::vector<TaskName>& names, RunnerLossCause how,
                    const std::vector<TaskName>& held = {});
  /// True if the runner fell silent together with others for which no start can
  /// be to blame.
  bool IsCorrelatedLoss(const Runner& runner) const;
  /// Counts a lost run against its task, unless nothing can be held against it.
  void CountLoss(Context& ctx, const Runner& runner, const TaskName& name,
                 const Run& run, const RunnerLoss& loss);
  /// It is known now what became of a life.
  void ResolveLosses(Context& ctx, const IncarnationId& incarnation,
                     IncarnationFate fate);
  /// Settles the losses of runners whose addresses others have taken.
  void ResolveReplacedIncarnations(Context& ctx, const RunnersListed& answer);
  /// Settles what was in doubt for too long.
  void ResolveOverdueLosses(Context& ctx);
  /// Takes in what the task's losses say about its next start.
  void ApplyLossPolicy(Context& ctx, const TaskName& name);
  /// Notes losses that an earlier scheduler stored.
  void InheritLosses(Context& ctx, const Job& job);
  /// Notes that this life of the runner answers.
  void RecordContact(Context& ctx, Runner* runner, std::int64_t clock_ms);
  /// The same for an order's answer, which does not tell the life that gave it.
  void RecordOrderContact(Context& ctx, Runner* runner, std::int64_t clock_ms);
  /// The birth that the entry of a life's runner tells now.
  StartTime ListedStartTime(const IncarnationId& incarnation) const;

  // Lives (scheduler_lives.cc).
  /// What a run of the life before is to the next one.
  enum class CarriedRunStatus {
    kNeverStarted,
    /// The next life lists it, or may.
    kMayExist,
    /// It went with the life before.
    kLost,
    /// The same, and a start of it got no answer: the next life may still carry
    /// that out.
    kLostButMayStart,
  };
  static CarriedRunStatus ClassifyRun(TimePoint now, const Runner& before,
                                      const TaskName& name, const Run& run,
                                      const RunnerPolled& answer);
  /// Another life of the runner answered: ends the one before, which must not
  /// be used any more, and returns the next.
  Runner* BeginIncarnation(Context& ctx, Runner* before,
                           const RunnerPolled& answer);
  /// Puts the next life in its place, with the runs that it may hold.
  Runner* CarryOverRuns(Context& ctx, Runner* before,
                        const std::vector<TaskName>& moved,
                        const std::vector<TaskName>& to_cancel,
                        const RunnerPolled& answer);
  /// Ends the object of the life before; returns that of the next, which no run
  /// is on yet.
  Runner* ReplaceIncarnation(TimePoint now, Runner* before,
                             StartTime start_time);
  /// `lost`: the run went with the life before, and is only to be ruled out.
  void AddCarriedRun(Context& ctx, Runner* next, const TaskName& name, Run run,
                     bool lost);
  /// Has the next life told not to begin what may come late.
  void CancelLateStarts(Context& ctx, Runner* next);

  /// All that ran on a silent runner is over, but for starts that may still
  /// be carried out there.
  void EndExpiredRuns(Context& ctx, Runner* runner);
  /// All that ran on the runner is over.
  void EndAllRuns(Context& ctx, Runner* runner, const char* reason);

  // Runners.
  /// Takes ends in up to the first of a job that is not known yet; the runner
  /// lists the others again. Returns true if all were taken in.
  bool HandleEnds(Context& ctx, Runner* runner,
                  const std::vector<ReportedEnd>& ends);
  void HandleEnd(Context& ctx, Runner* runner, const ReportedEnd& end);
  /// True if the end of a run that nobody waits for must not be told as known
  /// yet: the platform would hold it against the runs that its task had since.
  /// `presumed_over`: the run was taken for over without an end.
  bool MustDeferAcknowledgment(const Runner& runner, const ReportedEnd& end,
                               bool presumed_over);
  /// Takes in an end of a run that nobody waited for any more.
  void HandleLateEnd(Context& ctx, const Runner& runner,
                     const ReportedEnd& end);
  void HandleRunningRun(Context& ctx, Runner* runner,
                        const ReportedRun& listed);
  /// What a run that nobody waits for takes, as far as that is known.
  Resources NeedOfUnwantedRun(const Runner& runner, const TaskName& name);
  /// True if the runner refuses by itself what is too much for it.
  bool EnforcesCapacity(const Runner& runner) const;
  /// Forgets the stops of unwanted runs that are not there any more.
  static void ForgetUnwantedRuns(Runner* runner,
                                 const std::vector<ReportedRun>& running);
  /// Measures a run's pace by its progress, and learns from it.
  void MeasurePace(Context& ctx, Runner* runner, Job* job, const TaskName& name,
                   Run* run);
  /// Compares a run's `length`, in milliseconds, with those of its step's runs
  /// elsewhere and with what was expected.
  void EvaluatePace(Context& ctx, Runner* runner, Job* job,
                    const TaskName& name, const Run& run, double length);
  /// Learns a run's length once enough of it is done: one of each step.
  void LearnRunTime(Context& ctx, Job* job, const TaskName& name, Run* run);
  /// Moves a run off a runner that turned slow, if that gains time.
  void MoveOffSlowRunner(Context& ctx, Runner* runner, const TaskName& name,
                         const Run& run, Duration left, Duration expected);
  void HandleUnlistedRuns(Context& ctx, Runner* runner,
                          const RunnerPolled& answer);
  /// Ends a run that its runner neither runs nor ended.
  void EndUnlistedRun(Context& ctx, Runner* runner, const TaskName& name);
  /// Takes in what a run's end tells of its runner.
  void UpdateRunnerHealth(Context& ctx, Runner* runner, const ReportedEnd& end,
                          const Run& run);
  /// Takes in a run that is done.
  void RecordSuccess(Runner* runner, const Run& run);
  /// Takes in a run of `job` that failed, perhaps as soon as it had begun.
  void RecordFailure(Context& ctx, Runner* runner, const JobId& job,
                     bool at_once);
  /// Rests a runner for its failures in a row.
  void BackOffAfterFailures(Context& ctx, Runner* runner, const char* reason);
  void BackOff(Context& ctx, Runner* runner, Duration pause,
               const char* reason);
  void HandleMissedAnswer(Context& ctx, Runner* runner);
  /// The same for a look, which may be carried out late.
  void HandleMissedPoll(Context& ctx, Runner* runner, OrderOutcome outcome);
  /// Checks runs and removes what is over, every `kCheckInterval`.
  void RunPeriodicChecks(Context& ctx);
  void CheckRuns(Context& ctx);
  void CheckStall(Context& ctx, Runner* runner, const TaskName& name, Run* run);
  void CheckDraining(Context& ctx, Runner* runner, const TaskName& name,
                     const Run& run);

  SchedulerOptions options_;
  const StoreTimeout* store_patience_;
  StateWriter writer_;
  JobRegistry book_;
  JobCleaner cleaner_;
  Fleet fleet_;
  LossTracker losses_;
  RunTimeEstimator times_;
  TicketCache advice_;
  Planner planner_;
  const Catalog* catalog_ = nullptr;
  /// Runners for which something changed that may have an order sent, or a
  /// waiting start given up.
  std::set<RunnerId> orders_due_;
  bool plan_due_ = true;
  bool releasing_ = false;
  TimePoint last_pass_at_;
  /// The next pass is not made sooner.
  TimePoint next_pass_at_;
  TimePoint waiting_counts_written_at_;
  TimePoint next_check_at_;
  TimePoint next_idle_accelerators_at_;
  std::string written_waiting_counts_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_SCHEDULER_H_
