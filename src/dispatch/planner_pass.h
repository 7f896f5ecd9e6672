/// @file
/// One planning pass over all steps that have tasks to start.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PLANNER_PASS_H_
#define LIMELEDGE_SRC_DISPATCH_PLANNER_PASS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/planner.h"

namespace limeledge::dispatch {

/// Factor by which a task takes longer away from its data, or in a gang spread
/// over several racks. The same at every site so far, as reported by the
/// runners.
inline constexpr int kRemoteSlowdown = 3;

/// One planning pass: collects and sorts the pending steps, places those that
/// fit, and preempts runs or reserves capacity for those that do not.
///
/// Thread safety: none; lives within one call of `Planner::Decide`.
class Planner::Pass {
 public:
  /// All arguments must outlive the pass.
  Pass(Planner* planner, TimePoint now, std::int64_t wall_ms,
       const Catalog& catalog, const RunTimeEstimator& times,
       const RunnerSpeeds* speeds, const TicketCache& advice, JobRegistry* jobs,
       Fleet* fleet);

  /// Runs the pass. Call it once.
  Plan Decide();

 private:
  /// Candidates for all tasks of a step, and the time until the last one has
  /// free capacity.
  struct CapacityForecast {
    std::vector<Candidate*> candidates;
    Duration until;
    /// The same; `until` may be extended to the completion of the step.
    Duration free_in;
  };
  /// Candidates on which the tasks of a step may run together.
  struct CandidateGroup {
    /// They are in several racks although the tasks belong in one.
    bool spread = false;
    std::vector<Candidate*> candidates;
  };
  /// A run that steps of a higher rank may preempt.
  struct Victim {
    /// Work lost by stopping it, in weighted core-milliseconds.
    std::int64_t cost = 0;
    const TaskName* name = nullptr;
    const Run* run = nullptr;
    int priority = 0;
    bool within_guarantee = false;
    /// Makes way only for steps within their guarantee.
    bool only_for_guarantee = false;
    /// The step whose unavailability is limited; nothing if there is no limit.
    std::optional<StepName> limited_step;
  };
  /// Capacity that a run takes, and the time until it ends.
  struct RunEndForecast {
    Duration until;
    Resources need;
  };
  /// What is known of a candidate's runs, once it was asked for in this pass.
  struct CandidateRuns {
    /// Cheapest first.
    std::optional<std::vector<Victim>> victims;
    /// Earliest first.
    std::optional<std::vector<RunEndForecast>> ends;
  };
  /// Tasks for which too few runs can be preempted, on any runner.
  struct UnmetDemand {
    ServiceId service;
    bool within_guarantee = false;
    int priority = 0;
    Resources need;
    int count = 0;
  };
  /// Keeps the earliest of the places that are added to it.
  class EarliestPlaces;
  /// A placement for one task, and the runs that must be preempted for it.
  struct PreemptionOption {
    Candidate* candidate = nullptr;
    std::int64_t cost = 0;
    std::vector<TaskName> victims;
  };
  /// Options on one candidate that must be taken in order: capacity that a
  /// preempted run leaves for further tasks exists only once that run is
  /// preempted.
  struct PreemptionSequence {
    std::vector<PreemptionOption> options;
    std::int64_t cost = 0;

    double mean_cost() const {
      return static_cast<double>(cost) / static_cast<double>(options.size());
    }
  };

  void WakeAt(TimePoint at);
  /// Counts looks at that many candidates or runs.
  void CountLooks(std::size_t count) const {
    looks_ += static_cast<std::int64_t>(count);
  }
  /// Counts a look at each candidate.
  void CountLooksAtAll() const { CountLooks(pool_.candidates().size()); }
  /// Records why a step waits and adds it to the plan if the reason is new.
  void RecordWait(const PendingStep& pending, WaitReason reason);
  /// Keeps the previous reason of a step that is not tried in this pass.
  void KeepWaitReason(const PendingStep& pending);
  /// Counts the accelerators that stay idle after this pass.
  IdleAccelerators MeasureIdleAccelerators();

  // Pending steps and their order.
  /// Selects the racks where only urgent work is placed and adds up their
  /// capacity. The selection is the same as long as the fleet is the same.
  void SelectUrgentRacks();
  /// Urgent jobs that fit in their workspaces' guarantees, oldest first.
  std::set<JobId> FindJobsWithinGuarantee();
  void CollectPendingSteps();
  /// Sorts the steps by the policy, first to place first.
  void SortPendingSteps();
  /// True if the pass tries the step in its order, whatever follows: there is
  /// time, or capacity must be kept for it.
  bool IsTriedInOrder(const PendingStep& pending) const;
  /// Tries the sorted steps as far as time allows. Returns the others.
  std::vector<PendingStep*> TryStepsInOrder();
  /// Tries the steps that are left, from where the previous pass stopped, as
  /// far as time allows: they may fit where those before them do not.
  void TryLeftSteps(std::vector<PendingStep*> left);
  /// Tries to place a step, unless it skips this pass.
  void Try(PendingStep* pending);

  // Selection and shares (planner_shares.cc).
  /// Excludes a worthless step beyond its guarantee from everything that would
  /// put it before steps that still earn something, whatever their priority.
  void DemoteIfWorthless(PendingStep* pending) const;
  /// Defers urgent steps if not all of them can be in time.
  void SelectUrgentSteps();
  /// Precondition: the steps are sorted.
  void OrderByShares();
  /// True if steps waited in the previous pass, or those pending need more than
  /// is free.
  bool IsRoomShort() const;
  /// Adds the runs that this pass starts to the use of their workspaces.
  void RecordStarts();
  static Resources NeedOf(const PendingStep& pending);

  void CollectOccurrence(Job* job, int number);
  void CollectStep(Job* job, int number, int index);
  /// True if a start could exceed a runner's capacity: some runs or current
  /// capacities are not known, and the service's runners do not enforce their
  /// capacity themselves.
  bool MayOvercommit(const ServiceId& service) const;
  void SetRank(const Occurrence& occurrence, int step, PendingStep* pending);
  /// Compares the step's latest start with the current time; `objective` is in
  /// milliseconds.
  DeadlineStatus DeadlineStatusOf(const PendingStep& pending,
                                  std::int64_t objective) const;

  // Placement of steps that fit.
  Duration LocalityWaitOf(const PendingStep& pending) const;
  PlacementRequest RequestFor(const PendingStep& pending);
  /// How the step ranks runners by their pace. Precondition: speeds are in use.
  PacePreference PacePreferenceOf(const PendingStep& pending) const;
  /// Tells the candidates their paces, if speeds are in use.
  void SetPaces();
  /// Number of runners that a rack keeps for urgent gangs, by their usual size.
  /// Precondition: the pending steps are collected.
  std::size_t ReservedPerRack();
  /// Reserves the fastest runners of each rack for urgent work, in place of
  /// whole racks. Precondition: the paces are set.
  void ReserveFastRunners();
  /// Expected run time on these runners over that on an average runner.
  double PaceOn(const std::vector<Candidate*>& candidates) const;
  /// True if one more failure after `failures` is final, and the step can still
  /// wait for a runner without recent failures.
  bool NeedsReliableRunner(const PendingStep& pending, int failures);
  /// Returns false for gangs that skip this pass under a backlog.
  bool IsTriedInThisPass(const PendingStep& pending);
  /// True if an earlier step does not fit and the policy forbids backfill.
  bool IsBlocked(const PendingStep& pending) const;
  void Place(PendingStep* pending);
  /// The runners that are worth asking about: those on which the step fits now
  /// or, if it does not fit, all that are large enough for it. None if the step
  /// can never fit.
  AdviceRequest AdviceRequestFor(const PendingStep& pending,
                                 const PlacementRequest& request);
  void PlaceGang(PendingStep* pending, PlacementRequest* request);
  /// True if a gang that could start away from its data or spread over racks is
  /// expected to finish sooner by waiting for a better place.
  bool FinishesSoonerByWaiting(const PendingStep& pending,
                               const PlacementRequest& request);
  /// Makes the request prefer runners where a crash would lose the least work.
  void MinimizeWorkAtRisk(PlacementRequest* request);
  /// Expected run time of a task near its data and with its gang in one rack.
  Duration ExpectedTimeNear(const PendingStep& pending) const;
  /// True if this pass found no place for a task that needs no more than this
  /// one.
  bool IsKnownNotToFit(const PendingStep& pending) const;
  void PlaceTasks(PendingStep* pending, PlacementRequest* request);
  /// Result of placing the tasks of a step that is not a gang.
  struct TaskPlacementResult {
    int tasks = 0;
    /// Final attempts that found no runner without recent failures.
    int deferred = 0;
  };
  /// Places tasks one by one until one does not fit.
  TaskPlacementResult PlaceFittingTasks(PendingStep* pending,
                                        PlacementRequest* request);
  /// True if the step may run on any runner of its service. If it does not fit,
  /// no step that needs at least as much fits either.
  static bool IsUnconstrained(const PendingStep& pending,
                              const PlacementRequest& request);
  /// True if enough accelerators and cores of the urgent racks stay idle after
  /// placing `tasks` more tasks of the step there.
  bool LeavesHeadroom(const PendingStep& pending, int tasks) const;
  /// Returns the request with the urgent racks allowed, or nothing if the step
  /// may not use them for that many tasks.
  std::optional<PlacementRequest> WithUrgentRacks(
      const PendingStep& pending, const PlacementRequest& request,
      int tasks) const;
  /// Like `CandidatePool`.
  bool FitsMultiple(const PlacementRequest& request, int times) const;
  /// Like `CandidatePool`, but falls back to the urgent racks.
  Candidate* PlaceOne(const PendingStep& pending,
                      const PlacementRequest& request);
  std::vector<Candidate*> PlaceAll(const PendingStep& pending,
                                   const PlacementRequest& request);
  /// True if the step must start soon to meet its objective, or has missed it.
  bool IsNearDeadline(const PendingStep& pending) const;
  /// `pace` is the expected run time over that on an average runner.
  void Assign(const PendingStep& pending, int index, int run,
              Candidate* candidate, bool spread, double pace);

  // Preemption and reservation for steps that do not fit.
  /// Keeps the step's reservation if it has one. Otherwise preempts runs for
  /// the step or, for a gang that has waited long enough, reserves capacity.
  void AcquireCapacity(const PendingStep& pending,
                       const PlacementRequest& request);
  /// The same for a step without a reservation. Returns why it waits.
  WaitReason PreemptOrReserve(const PendingStep& pending,
                              const PlacementRequest& request);
  /// True if the step may preempt other runs at all: it is within its
  /// guarantee, or the policy allows it.
  bool MayPreemptAny(const PendingStep& pending);
  /// True from shortly before the step's latest start until it is worthless.
  bool MayPreemptForDeadline(const PendingStep& pending);
  void ReserveOn(const PendingStep& pending,
                 const std::vector<RunnerId>& runners);
  /// The candidate of a runner; null if it gets no work in this pass.
  Candidate* FindCandidate(const RunnerId& id);
  /// Work lost by stopping the run, in weighted core-milliseconds.
  std::int64_t PreemptionCost(const TaskName& name, const Run& run);
  /// The cost of stopping a lasting run, which is missed until it is placed
  /// again.
  std::int64_t InterruptionCost(const StepSpec& spec, const Run& run,
                                std::int64_t weight) const;
  /// The same from the progress that the run and all members of its gang have
  /// not saved.
  std::int64_t UnsavedWork(const TaskName& name, const Run& run,
                           std::int64_t weight);
  std::int64_t UnsavedGangWork(const Step& step, const TaskName& name,
                               const Run& run, std::int64_t weight);
  /// True if the step waits for capacity that becomes free by itself sooner
  /// than a stop would free it. Reserves that capacity.
  bool WaitsForFreeCapacity(const PendingStep& pending,
                            const PlacementRequest& request);
  /// The candidate's runs that may be preempted at all.
  const std::vector<Victim>& VictimsOn(const Candidate& candidate);
  /// The candidate's runs by the times of their ends.
  const std::vector<RunEndForecast>& EndsOn(const Candidate& candidate);
  CandidateRuns& RunsOf(const Candidate& candidate) {
    return runs_[&candidate - pool_.candidates().data()];
  }
  /// True if the step may preempt this run. A step preempts lower priorities;
  /// within its guarantee it also preempts urgent work beyond its own
  /// guarantee, and lasting tasks.
  bool MayPreempt(const PendingStep& pending, const Victim& victim);
  /// Number of tasks at work that may be made unavailable, besides those that
  /// are not at work. Precondition: the step limits its unavailability.
  int UnavailabilityLeft(const StepName& step);
  /// True if the task is at work on a runner that can be reached.
  bool IsAtWork(const TaskName& name, const Task& task) const;
  /// The first victim beyond what its step's limit allows; null if there is
  /// none.
  const TaskName* FindVictimBeyondLimit(
      const std::vector<PreemptionOption>& options);
  /// Returns at most `limit` options on one candidate, cheapest first.
  std::vector<PreemptionOption> PreemptionOptionsOn(const PendingStep& pending,
                                                    Candidate* candidate,
                                                    int limit);
  /// The mean cost of the candidate's first sequence; nothing if there is none.
  std::optional<double> LowestMeanCost(const PendingStep& pending,
                                       const Candidate& candidate, int limit);
  /// The candidates that the cheapest options of the request are on, in order.
  std::vector<Candidate*> CheapestCandidates(
      const PendingStep& pending, const std::vector<Candidate*>& candidates,
      int limit, int count);
  /// Groups the options into sequences whose mean cost does not decrease.
  std::vector<PreemptionSequence> PreemptionSequencesOn(
      const PendingStep& pending, Candidate* candidate, int limit);
  /// The cheapest options on `candidates` for all tasks of the request; empty
  /// if there are too few.
  std::vector<PreemptionOption> CheapestOptions(
      const PendingStep& pending, const std::vector<Candidate*>& candidates,
      const PlacementRequest& request);
  /// The same within the limits on the unavailability of steps.
  std::vector<PreemptionOption> CheapestAllowedOptions(
      const PendingStep& pending, const std::vector<Candidate*>& candidates,
      const PlacementRequest& request);
  /// Eligible candidates grouped by where the step's tasks may run together:
  /// all of them first, then those of each rack.
  std::vector<CandidateGroup> GroupCandidates(const PendingStep& pending,
                                              const PlacementRequest& request);
  /// True if this pass found too few runs to preempt for a step that needs no
  /// more than this one.
  bool IsKnownUnmet(const PendingStep& pending,
                    const PlacementRequest& request) const;
  /// Preempts the cheapest runs that free capacity for the whole step.
  WaitReason Preempt(const PendingStep& pending,
                     const PlacementRequest& request);
  /// Adds the best-effort runs on a candidate that are not being stopped to
  /// `fillers`. Returns false if one of them must not be stopped.
  bool ListPreemptibleFillers(const Candidate& candidate,
                              std::vector<TaskName>* fillers);
  /// Preempts best-effort runs on runners that a latency-sensitive step needs.
  WaitReason PreemptFillers(const PendingStep& pending,
                            const PlacementRequest& request);
  /// Adds the preemptions to the plan and reserves the capacity for the step.
  void CommitPreemptions(const PendingStep& pending,
                         const std::vector<PreemptionOption>& options);
  /// Reserves capacity where the gang is expected to finish first. Returns
  /// false if none is reserved.
  bool ReserveForGang(const PendingStep& pending,
                      const PlacementRequest& request);
  /// True if capacity reserved for a gang that is expected to fit in `free_in`
  /// would stay idle for too long while most of the other capacity is idle too.
  bool WouldIdleTooLong(const PendingStep& pending, Duration free_in);
  /// The candidates among which the whole gang fits earliest; nothing if it
  /// never fits.
  std::optional<CapacityForecast> EarliestCapacity(
      const std::vector<Candidate*>& candidates,
      const PlacementRequest& request);
  /// The same over all groups of candidates that the gang may use, by the
  /// earliest completion. `until` is the time until completion.
  std::optional<CapacityForecast> EarliestCompletion(
      const PendingStep& pending, const PlacementRequest& request);
  /// Adds the times at which the candidate has capacity for one more task.
  void AddFuturePlaces(Candidate* candidate, const PlacementRequest& request,
                       EarliestPlaces* places);
  void DropExpiredReservations();

  Planner& planner_;
  const PlannerOptions& options_;
  TimePoint now_;
  std::int64_t wall_ms_;
  const Catalog& catalog_;
  const RunTimeEstimator& times_;
  /// Null while speeds are not in use.
  const RunnerSpeeds* speeds_;
  const TicketCache& advice_;
  JobRegistry& jobs_;
  CandidatePool pool_;
  /// By the index of the candidate in `pool_`.
  std::vector<CandidateRuns> runs_;
  /// Numbers of the racks, in the order of their names.
  std::vector<std::size_t> racks_by_name_;
  Fleet& fleet_;
  std::set<JobId> jobs_within_guarantee_;
  /// Total capacity of the urgent racks, free or not.
  Resources urgent_total_;
  bool mostly_idle_ = false;
  bool work_at_risk_known_ = false;
  /// False while a new scheduler waits for the first answers of runners: free
  /// capacity may exist that it does not see, so it must not preempt.
  bool free_capacity_known_ = false;
  /// True if the list of runners is recent enough to trust their capacities.
  bool capacities_known_ = false;
  std::set<TaskName> preempted_;
  /// Runs that must not be preempted for the step that is tried, beyond the
  /// limits of their steps.
  std::set<TaskName> spared_;
  /// By steps that limit their unavailability.
  std::map<StepName, int> unavailability_left_;
  /// Unsaved work of gangs that may be preempted.
  std::map<StepName, std::int64_t> unsaved_gang_work_;
  std::vector<PendingStep> pending_steps_;
  int reserved_gangs_ = 0;
  int gangs_seen_ = 0;
  /// Requirements that fit nowhere any more in this pass, by service.
  std::map<ServiceId, std::vector<Resources>> unplaceable_;
  std::vector<UnmetDemand> unmet_demands_;
  /// Services with a step that did not fit.
  std::set<ServiceId> blocked_services_;
  /// Reasons from this pass.
  std::map<StepName, WaitReason> waits_;
  mutable std::int64_t looks_ = 0;
  Plan plan_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PLANNER_PASS_H_
