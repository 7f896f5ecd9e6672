/// @file
/// One pass of the planner over all steps that have tasks to start.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_PLANNER_PASS_H_
#define LIMELEDGE_SRC_DISPATCH_PLANNER_PASS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/planner.h"

namespace limeledge::dispatch {

/// A task off its data, or of a gang over several racks, takes so many times as
/// long; runners say the same on every site so far.
inline constexpr int kRemoteSlowdown = 3;

/// One pass over all pending_steps: collects and orders them, places what fits,
/// and makes room for what does not.
///
/// Thread safety: none; it lives within one call of `Planner::Decide`.
class Planner::Pass {
 public:
  /// All that is given must outlive the pass.
  Pass(Planner* planner, TimePoint now, std::int64_t wall_ms,
       const Catalog& catalog, const RunTimeEstimator& times,
       const TicketCache& advice, JobRegistry* jobs, Fleet* fleet);

  /// Makes the pass. Call it once.
  Plan Decide();

 private:
  /// Seats for all tasks of a step, and how long until the last is free.
  struct CapacityForecast {
    std::vector<Candidate*> candidates;
    Duration until;
  };
  /// Room for one task on a candidate, and what it costs to have it.
  struct PreemptionOption {
    Candidate* candidate = nullptr;
    std::int64_t cost = 0;
    std::vector<TaskName> victims;
  };
  /// Openings on one candidate that are taken from the first on: what a stopped
  /// run leaves for further tasks is only there once that run is stopped.
  struct PreemptionSequence {
    std::vector<PreemptionOption> options;
    std::int64_t cost = 0;

    double mean_cost() const {
      return static_cast<double>(cost) / static_cast<double>(options.size());
    }
  };

  void WakeAt(TimePoint at);
  /// Notes why a step waits; the plan tells it when that is new.
  void RecordWait(const PendingStep& pending, WaitReason reason);
  /// Keeps the reason of a step that is not tried in this pass.
  void KeepWaitReason(const PendingStep& pending);
  /// What is idle after this pass, and for whom.
  IdleAccelerators MeasureIdleAccelerators();

  // Units and their order.
  /// Chooses the racks that only urgent work is placed on: always the same
  /// ones while the fleet stays the same. Adds up their room.
  void SelectUrgentRacks();
  /// Urgent jobs within their workspaces' guarantees, oldest first.
  std::set<JobId> FindJobsWithinGuarantee();
  void CollectPendingSteps();
  /// The most urgent first.
  void SortPendingSteps();
  void CollectOccurrence(Job* job, int number);
  void CollectStep(Job* job, int number, int index);
  /// True while runners may hold runs that are not known yet, or have a smaller
  /// room than is known, and do not refuse by themselves what is too much.
  bool MayOvercommit(const ServiceId& service) const;
  void SetRank(const Occurrence& occurrence, int step, PendingStep* pending);
  /// How the pending stands against its `objective`, in milliseconds.
  DeadlineStatus DeadlineStatusOf(const PendingStep& pending,
                                  std::int64_t objective) const;

  // Places for what fits.
  Duration LocalityWaitOf(const PendingStep& pending) const;
  PlacementRequest RequestFor(const PendingStep& pending);
  /// True if a further failure after so many is final, and the step is not to
  /// be kept from idle runners for long.
  bool NeedsReliableRunner(const PendingStep& pending, int failures);
  /// Under a backlog, gangs of other work take turns.
  bool IsTriedInThisPass(const PendingStep& pending);
  /// True if the policy lets nothing overtake what did not fit before.
  bool IsBlocked(const PendingStep& pending) const;
  void Place(PendingStep* pending);
  /// Wishes for tickets at the runners that suit the step, those with room
  /// first.
  void RequestAdviceFor(const PendingStep& pending,
                        const PlacementRequest& request);
  void PlaceGang(PendingStep* pending, PlacementRequest* request);
  /// True if a gang that could begin far from its data, or spread over racks,
  /// is expected to be done sooner by waiting for a good place.
  bool FinishesSoonerByWaiting(const PendingStep& pending,
                               const PlacementRequest& request);
  /// Has the request look for runners where the least is lost if they crash.
  void MinimizeWorkAtRisk(PlacementRequest* request);
  /// What the step's tasks are expected to take on good places.
  Duration ExpectedTimeNear(const PendingStep& pending) const;
  /// True if a task that takes no more was found to fit nowhere in this pass.
  bool IsKnownNotToFit(const PendingStep& pending) const;
  void PlaceTasks(PendingStep* pending, PlacementRequest* request);
  /// What became of the tasks of a step that is no gang.
  struct TaskPlacementResult {
    int tasks = 0;
    /// Last attempts that no sure runner has room for.
    int deferred = 0;
  };
  /// Places the tasks one by one, up to the first that fits nowhere.
  TaskPlacementResult PlaceFittingTasks(PendingStep* pending,
                                        PlacementRequest* request);
  /// True if the step may run on any runner of its service: what has no room
  /// for it has none for others as large.
  static bool IsUnconstrained(const PendingStep& pending,
                              const PlacementRequest& request);
  /// True if enough of the urgent racks stays idle, in accelerators and in
  /// cores, beside so many further tasks of the step.
  bool LeavesHeadroom(const PendingStep& pending, int tasks) const;
  /// The same request with the urgent racks open to it; nothing if too little
  /// would stay idle there beside so many tasks.
  std::optional<PlacementRequest> WithUrgentRacks(
      const PendingStep& pending, const PlacementRequest& request,
      int tasks) const;
  /// As in `CandidatePool`, and in the urgent racks where there is no other
  /// room.
  Candidate* PlaceOne(const PendingStep& pending,
                      const PlacementRequest& request);
  std::vector<Candidate*> PlaceAll(const PendingStep& pending,
                                   const PlacementRequest& request);
  /// True if the step is about to miss its objective, or has missed it.
  bool IsNearDeadline(const PendingStep& pending) const;
  void Assign(const PendingStep& pending, int index, int run,
              Candidate* candidate, bool spread);

  // Room for what does not fit.
  /// For what did not fit: keeps room that was made, displaces others, or
  /// keeps room for a gang that waits long.
  void AcquireCapacity(const PendingStep& pending,
                       const PlacementRequest& request);
  /// The same for what has no reservation to room that was made; returns why it
  /// waits.
  WaitReason PreemptOrReserve(const PendingStep& pending,
                              const PlacementRequest& request);
  /// Entitled work may displace others; other work where the policy says so.
  bool MayPreemptAny(const PendingStep& pending);
  /// True from shortly before the last moment at which the objective can be met
  /// until the step is worth nothing.
  bool MayPreemptForDeadline(const PendingStep& pending);
  void ReserveOn(const PendingStep& pending,
                 const std::vector<RunnerId>& runners);
  /// Core-milliseconds that are lost when the run is stopped.
  std::int64_t PreemptionCost(const TaskName& name, const Run& run);
  /// Urgent work displaces other work; within its guarantee also urgent work
  /// of workspaces that are beyond theirs.
  bool MayPreempt(const PendingStep& pending, const TaskName& name,
                  const Run& run);
  /// Openings on one candidate in rising cost, at most `limit`.
  std::vector<PreemptionOption> PreemptionOptionsOn(const PendingStep& pending,
                                                    Candidate* candidate,
                                                    int limit);
  /// The same in sequences, so that no sequence costs less for each task than
  /// the one before it.
  std::vector<PreemptionSequence> PreemptionSequencesOn(
      const PendingStep& pending, Candidate* candidate, int limit);
  /// The cheapest options among `candidates`; empty if there are not enough.
  std::vector<PreemptionOption> CheapestOptions(
      const PendingStep& pending, const std::vector<Candidate*>& candidates,
      const PlacementRequest& request);
  /// The suitable candidates that the step's tasks may share: by rack, and all.
  std::map<std::string, std::vector<Candidate*>> GroupCandidates(
      const PendingStep& pending, const PlacementRequest& request);
  /// Displaces what costs least, if that makes room for the whole step.
  WaitReason Preempt(const PendingStep& pending,
                     const PlacementRequest& request);
  /// The fillers on a candidate that still go on; false if one of them may not
  /// be stopped.
  bool ListPreemptibleFillers(const Candidate& candidate,
                              std::vector<TaskName>* fillers);
  /// Stops the fillers on runners that a serving step needs.
  WaitReason PreemptFillers(const PendingStep& pending,
                            const PlacementRequest& request);
  /// Stops the victims, and claims their room for the step.
  void CommitPreemptions(const PendingStep& pending,
                         const std::vector<PreemptionOption>& options);
  /// Keeps the runners free on which the gang is expected to be done soonest;
  /// false if none are kept.
  bool ReserveForGang(const PendingStep& pending,
                      const PlacementRequest& request);
  /// Where among `candidates` there is room for the whole gang soonest; nothing
  /// if it never fits.
  std::optional<CapacityForecast> EarliestCapacity(
      const std::vector<Candidate*>& candidates,
      const PlacementRequest& request);
  /// The same among the groups of candidates that the gang's tasks may share:
  /// where it is done soonest, `until` being when it is.
  std::optional<CapacityForecast> EarliestCompletion(
      const PendingStep& pending, const PlacementRequest& request);
  /// When the candidate will have room for each further task.
  void AddFuturePlaces(Candidate* candidate, const PlacementRequest& request,
                       std::vector<std::pair<Duration, Candidate*>>* places);
  void DropExpiredReservations();

  Planner& planner_;
  const PlannerOptions& options_;
  TimePoint now_;
  std::int64_t wall_ms_;
  const Catalog& catalog_;
  const RunTimeEstimator& times_;
  const TicketCache& advice_;
  JobRegistry& jobs_;
  CandidatePool pool_;
  std::set<JobId> jobs_within_guarantee_;
  /// All room of the urgent racks, whatever is taken of it.
  Resources urgent_rack_capacity_;
  bool idle_ = false;
  bool work_at_risk_known_ = false;
  /// All room is known; what seems short may only not be seen yet otherwise.
  bool free_capacity_known_ = false;
  /// The list of runners was read lately enough to tell how large rooms are.
  bool capacities_known_ = false;
  std::set<TaskName> preempted_;
  std::vector<PendingStep> pending_steps_;
  int reserved_gangs_ = 0;
  int gangs_ = 0;
  /// What was found to fit nowhere any more, by service.
  std::map<ServiceId, std::vector<Resources>> unplaceable_;
  /// Services of which something did not fit.
  std::set<ServiceId> blocked_services_;
  /// Why steps wait in this pass.
  std::map<StepName, WaitReason> waits_;
  Plan plan_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PLANNER_PASS_H_
