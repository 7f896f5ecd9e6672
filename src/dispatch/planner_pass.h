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
inline constexpr int kFarFactor = 3;

/// One pass over all units: collects and orders them, places what fits, and
/// makes room for what does not.
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
  struct ComingRoom {
    std::vector<Candidate*> seats;
    Duration until;
  };
  /// Room for one task on a seat, and what it costs to have it.
  struct Opening {
    Candidate* seat = nullptr;
    std::int64_t cost = 0;
    std::vector<TaskName> victims;
  };
  /// Openings on one seat that are taken from the first on: what a stopped run
  /// leaves for further tasks is only there once that run is stopped.
  struct OpeningRow {
    std::vector<Opening> openings;
    std::int64_t cost = 0;

    double mean_cost() const {
      return static_cast<double>(cost) / static_cast<double>(openings.size());
    }
  };

  void WakeAt(TimePoint at);
  /// Notes why a step waits; the plan tells it when that is new.
  void NoteWait(const Unit& unit, WaitReason reason);
  /// Keeps the reason of a step that is not tried in this pass.
  void KeepWait(const Unit& unit);
  /// What is idle after this pass, and for whom.
  IdleAccelerators MeasureIdleRoom();

  // Units and their order.
  /// Chooses the racks that only urgent work is placed on: always the same
  /// ones while the fleet stays the same. Adds up their room.
  void SetUrgentRacksApart();
  /// Urgent jobs within their workspaces' guarantees, oldest first.
  std::set<JobId> FindEntitled();
  void CollectUnits();
  /// The most urgent first.
  void SortUnits();
  void CollectOccurrence(Job* job, int number);
  void CollectStep(Job* job, int number, int index);
  /// True while runners may hold runs that are not known yet, or have a smaller
  /// room than is known, and do not refuse by themselves what is too much.
  bool MayOverfill(const ServiceId& service) const;
  void SetOrder(const Occurrence& occurrence, int step, Unit* unit);
  /// How the unit stands against its `objective`, in milliseconds.
  Outlook OutlookOf(const Unit& unit, std::int64_t objective) const;

  // Places for what fits.
  Duration PatienceOf(const Unit& unit) const;
  PlacementRequest RequestFor(const Unit& unit);
  /// True if a further failure after so many is final, and the step is not to
  /// be kept from idle runners for long.
  bool MustNotFail(const Unit& unit, int failures);
  /// Under a backlog, gangs of other work take turns.
  bool IsDue(const Unit& unit);
  /// True if the policy lets nothing overtake what did not fit before.
  bool IsBlocked(const Unit& unit) const;
  void Place(Unit* unit);
  /// Wishes for tickets at the runners that suit the step, those with room
  /// first.
  void WishForAdvice(const Unit& unit, const PlacementRequest& request);
  void PlaceGang(Unit* unit, PlacementRequest* request);
  /// True if a gang that could begin far from its data, or spread over racks,
  /// is expected to be done sooner by waiting for a good place.
  bool IsDoneSoonerByWaiting(const Unit& unit, const PlacementRequest& request);
  /// Has the request look for runners where the least is lost if they crash.
  void SpareOthers(PlacementRequest* request);
  /// What the step's tasks are expected to take on good places.
  Duration NearTimeOf(const Unit& unit) const;
  /// True if a task that takes no more was found to fit nowhere in this pass.
  bool FitsNowhere(const Unit& unit) const;
  void PlaceSingles(Unit* unit, PlacementRequest* request);
  /// What became of the tasks of a step that is no gang.
  struct SinglesPlaced {
    int tasks = 0;
    /// Last attempts that no sure runner has room for.
    int held = 0;
  };
  /// Places the tasks one by one, up to the first that fits nowhere.
  SinglesPlaced PlaceWhatFits(Unit* unit, PlacementRequest* request);
  /// True if the step may run on any runner of its service: what has no room
  /// for it has none for others as large.
  static bool IsPlain(const Unit& unit, const PlacementRequest& request);
  /// True if enough of the urgent racks stays idle, in accelerators and in
  /// cores, beside so many further tasks of the step.
  bool LeavesHeadroom(const Unit& unit, int tasks) const;
  /// The same request with the urgent racks open to it; nothing if too little
  /// would stay idle there beside so many tasks.
  std::optional<PlacementRequest> WithUrgentRacks(
      const Unit& unit, const PlacementRequest& request, int tasks) const;
  /// As in `CandidatePool`, and in the urgent racks where there is no other
  /// room.
  Candidate* PlaceOne(const Unit& unit, const PlacementRequest& request);
  std::vector<Candidate*> PlaceAll(const Unit& unit,
                                   const PlacementRequest& request);
  /// True if the step is about to miss its objective, or has missed it.
  bool IsShortOfTime(const Unit& unit) const;
  void Assign(const Unit& unit, int index, int run, Candidate* seat,
              bool spread);

  // Room for what does not fit.
  /// For what did not fit: keeps room that was made, displaces others, or
  /// keeps room for a gang that waits long.
  void MakeRoom(const Unit& unit, const PlacementRequest& request);
  /// The same for what has no claim to room that was made; returns why it
  /// waits.
  WaitReason SeekRoom(const Unit& unit, const PlacementRequest& request);
  /// Entitled work may displace others; other work where the policy says so.
  bool MayDisplaceOthers(const Unit& unit);
  /// True from shortly before the last moment at which the objective can be met
  /// until the step is worth nothing.
  bool IsPressed(const Unit& unit);
  void Keep(const Unit& unit, const std::vector<RunnerId>& runners);
  /// Core-milliseconds that are lost when the run is stopped.
  std::int64_t CostOf(const TaskName& name, const Run& run);
  /// Urgent work displaces other work; within its guarantee also urgent work
  /// of workspaces that are beyond theirs.
  bool MayDisplace(const Unit& unit, const TaskName& name, const Run& run);
  /// Openings on one seat in rising cost, at most `limit`.
  std::vector<Opening> OpeningsOn(const Unit& unit, Candidate* seat, int limit);
  /// The same in rows, so that no row costs less for each task than the one
  /// before it.
  std::vector<OpeningRow> OpeningRowsOn(const Unit& unit, Candidate* seat,
                                        int limit);
  /// The cheapest openings among `seats`; empty if there are not enough.
  std::vector<Opening> CheapestOpenings(const Unit& unit,
                                        const std::vector<Candidate*>& seats,
                                        const PlacementRequest& request);
  /// The suitable seats that the step's tasks may share: by rack, and all.
  std::map<std::string, std::vector<Candidate*>> GroupSeats(
      const Unit& unit, const PlacementRequest& request);
  /// Displaces what costs least, if that makes room for the whole step.
  WaitReason Displace(const Unit& unit, const PlacementRequest& request);
  /// The fillers on a seat that still go on; false if one of them may not be
  /// stopped.
  bool ListFillers(const Candidate& seat, std::vector<TaskName>* fillers);
  /// Stops the fillers on runners that a serving step needs.
  WaitReason ClearOfFillers(const Unit& unit, const PlacementRequest& request);
  /// Stops the victims, and claims their room for the step.
  void TakeOpenings(const Unit& unit, const std::vector<Opening>& openings);
  /// Keeps the runners free on which the gang is expected to be done soonest;
  /// false if none are kept.
  bool KeepForGang(const Unit& unit, const PlacementRequest& request);
  /// Where among `seats` there is room for the whole gang soonest; nothing if
  /// it never fits.
  std::optional<ComingRoom> SoonestRoom(const std::vector<Candidate*>& seats,
                                        const PlacementRequest& request);
  /// The same among the groups of seats that the gang's tasks may share: where
  /// it is done soonest, `until` being when it is.
  std::optional<ComingRoom> SoonestDone(const Unit& unit,
                                        const PlacementRequest& request);
  /// When the seat will have room for each further task.
  void AddComingPlaces(Candidate* seat, const PlacementRequest& request,
                       std::vector<std::pair<Duration, Candidate*>>* places);
  void DropOldClaims();

  Planner& planner_;
  const PlannerOptions& options_;
  TimePoint now_;
  std::int64_t wall_ms_;
  const Catalog& catalog_;
  const RunTimeEstimator& times_;
  const TicketCache& advice_;
  JobRegistry& jobs_;
  CandidatePool seating_;
  std::set<JobId> entitled_;
  /// All room of the urgent racks, whatever is taken of it.
  Resources urgent_room_;
  bool idle_ = false;
  bool knows_risks_ = false;
  /// All room is known; what seems short may only not be seen yet otherwise.
  bool knows_free_room_ = false;
  /// The list of runners was read lately enough to tell how large rooms are.
  bool knows_rooms_ = false;
  std::set<TaskName> displaced_;
  std::vector<Unit> units_;
  int kept_ = 0;
  int gangs_ = 0;
  /// What was found to fit nowhere any more, by service.
  std::map<ServiceId, std::vector<Resources>> fit_nowhere_;
  /// Services of which something did not fit.
  std::set<ServiceId> misfits_;
  /// Why steps wait in this pass.
  std::map<StepName, WaitReason> waits_;
  Plan plan_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_PLANNER_PASS_H_
