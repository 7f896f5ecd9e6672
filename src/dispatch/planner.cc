/// @file
/// The planner's pass.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace limeledge::dispatch {

namespace {

constexpr std::int64_t kPercent = 100;
constexpr std::int64_t kMillisPerCore = 1000;
// A task off its data, or of a gang over several racks, takes so many times as
// long; runners say the same on every site so far.
constexpr int kFarFactor = 3;

std::int64_t Accelerators(const JobSpec& spec) {
  std::int64_t most = 0;
  for (const StepSpec& step : spec.steps) {
    most = std::max(most, step.need.accelerators * step.count);
  }
  return most * spec.occurrences();
}

Duration RemainingOf(const Run& run, TimePoint now) {
  if (run.phase != RunPhase::kRunning) return run.expected;
  const Duration elapsed = now - run.started_at;
  if (run.percent <= 0) {
    return std::max(run.expected - elapsed, run.expected / 4);
  }
  return elapsed * (kPercent - run.percent) / run.percent;
}

}  // namespace

QueuePolicy PolicyOf(const Job& job, const Catalog& catalog) {
  const Queue* queue = catalog.Find(job.spec().queue);
  return queue == nullptr ? job.spec().policy : queue->policy;
}

class Planner::Pass {
 public:
  Pass(Planner* planner, TimePoint now, std::int64_t wall_ms,
       const Catalog& catalog, const RunTimes& times, const AdviceBook& advice,
       JobBook* jobs, Fleet* fleet)
      : planner_(*planner),
        options_(planner->options_),
        now_(now),
        wall_ms_(wall_ms),
        catalog_(catalog),
        times_(times),
        advice_(advice),
        jobs_(*jobs),
        seating_(fleet->Seats(now)) {
    planner_.next_at_ = kNever;
  }

  Plan Run() {
    SetUrgentRacksApart();
    CollectUnits();
    std::sort(units_.begin(), units_.end(), [](const Unit& a, const Unit& b) {
      return std::tie(a.rank, a.hopeless, a.deadline_wall_ms, a.key) <
             std::tie(b.rank, b.hopeless, b.deadline_wall_ms, b.key);
    });
    ++planner_.passes_;
    for (Unit& unit : units_) {
      if (IsDue(unit)) Place(&unit);
    }
    DropOldClaims();
    return std::move(plan_);
  }

 private:
  void WakeAt(TimePoint at) {
    if (at > now_) planner_.next_at_ = std::min(planner_.next_at_, at);
  }

  /// Chooses the racks that only urgent work is placed on: always the same
  /// ones while the fleet stays the same.
  void SetUrgentRacksApart() {
    std::map<std::string, std::int64_t> size_of_rack;
    std::int64_t runners = 0;
    std::int64_t all = 0;
    std::int64_t free = 0;
    for (const Seat& seat : seating_.seats()) {
      ++size_of_rack[seat.rack];
      ++runners;
      all += seat.runner->info().room.accelerators;
      free += seat.room.accelerators;
    }
    const double used = static_cast<double>(all - free);
    idle_ = used < options_.idle_share * static_cast<double>(all);
    double left = options_.urgent_share * static_cast<double>(runners);
    for (const auto& [rack, size] : size_of_rack) {
      left -= static_cast<double>(size);
      // Rounded to the nearest number of racks.
      if (left < -static_cast<double>(size) / 2) return;
      urgent_racks_.insert(rack);
    }
  }

  /// Urgent jobs within their workspaces' guarantees, oldest first.
  std::set<JobId> FindEntitled() {
    std::map<std::string, std::vector<const Job*>> urgent;
    for (const JobId& id : jobs_.active()) {
      const Job* job = jobs_.Find(id);
      if (PolicyOf(*job, catalog_).priority != 0) continue;
      urgent[job->spec().workspace.value()].push_back(job);
    }
    std::set<JobId> entitled;
    for (auto& [name, jobs] : urgent) {
      const auto found = catalog_.workspaces.find(WorkspaceId(name));
      if (found == catalog_.workspaces.end()) continue;
      std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
        return a->spec().accepted_wall_ms < b->spec().accepted_wall_ms;
      });
      std::int64_t left = found->second.guaranteed_accelerators;
      for (const Job* job : jobs) {
        const std::int64_t need = Accelerators(job->spec());
        if (need > left) continue;
        left -= need;
        entitled.insert(job->spec().id);
      }
    }
    return entitled;
  }

  void CollectUnits() {
    entitled_ = FindEntitled();
    for (const JobId& id : jobs_.active()) {
      Job* job = jobs_.Find(id);
      if (IsFinal(job->state()) || job->cancel_asked()) continue;
      for (std::size_t k = 0; k < job->occurrences().size(); ++k) {
        CollectOccurrence(job, static_cast<int>(k));
      }
    }
  }

  void CollectOccurrence(Job* job, int number) {
    Occurrence& occurrence = job->occurrences()[number];
    if (occurrence.due_wall_ms > wall_ms_) {
      WakeAt(now_ + Duration(occurrence.due_wall_ms - wall_ms_));
      return;
    }
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const int step = static_cast<int>(s);
      if (!job->StepIsReady(occurrence, step)) continue;
      CollectStep(job, number, step);
    }
  }

  void CollectStep(Job* job, int number, int s) {
    Occurrence& occurrence = job->occurrences()[number];
    Step& step = occurrence.steps[s];
    Unit unit;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      const bool waits = step.tasks[i].phase == TaskPhase::kWaiting;
      if (waits) unit.waiting.push_back(static_cast<int>(i));
    }
    if (unit.waiting.empty()) {
      step.ready = false;
      return;
    }
    if (!step.ready) {
      step.ready = true;
      step.ready_since = now_;
    }
    unit.key = {job->spec().id, number, s};
    unit.job = job;
    unit.step = &step;
    unit.spec = &job->step_spec(s);
    // A gang starts anew only when the last of its old runs is over.
    if (unit.spec->gang && unit.waiting.size() != step.tasks.size()) return;
    unit.policy = PolicyOf(*job, catalog_);
    SetOrder(occurrence, s, &unit);
    units_.push_back(std::move(unit));
  }

  void SetOrder(const Occurrence& occurrence, int step, Unit* unit) {
    const JobSpec& spec = unit->job->spec();
    unit->entitled = entitled_.count(spec.id) != 0;
    unit->rank = unit->entitled ? 0 : unit->policy.priority + 1;
    const std::int64_t from =
        std::max(spec.accepted_wall_ms, occurrence.due_wall_ms);
    const std::int64_t chain =
        times_.Expect(spec.queue, unit->job->longest_chain()).ms();
    const double stretched = unit->policy.stretch * static_cast<double>(chain);
    const std::int64_t objective =
        static_cast<std::int64_t>(stretched) + unit->policy.slack.ms();
    unit->deadline_wall_ms = from + objective;
    const Duration left = times_.Expect(spec.queue, unit->job->ChainFrom(step));
    unit->latest_start_wall_ms = unit->deadline_wall_ms - left.ms();
    unit->hopeless =
        wall_ms_ + left.ms() > from + objective * options_.worthless_after;
  }

  Duration PatienceOf(const Unit& unit) const {
    return unit.policy.priority == 0 ? options_.urgent_patience
                                     : options_.patience;
  }

  PlacementRequest RequestFor(const Unit& unit) {
    PlacementRequest request;
    request.step = unit.spec;
    request.service = unit.policy.service;
    request.count = static_cast<int>(unit.waiting.size());
    const TimePoint end = unit.step->ready_since + PatienceOf(unit);
    request.anywhere = now_ >= end;
    WakeAt(end);
    for (const Task& task : unit.step->tasks) {
      if (task.phase == TaskPhase::kAssigned) ++request.used[task.runner];
    }
    if (unit.policy.priority == 0) {
      request.preferred_racks = &urgent_racks_;
      request.prefers_fast = true;
    } else if (!idle_ || !request.anywhere) {
      request.closed_racks = &urgent_racks_;
    }
    return request;
  }

  /// Under a backlog, gangs of other work take turns.
  bool IsDue(const Unit& unit) {
    if (unit.policy.priority == 0 || !unit.spec->gang) return true;
    ++gangs_;
    if (gangs_ <= options_.gangs_in_each_pass) return true;
    return (gangs_ + planner_.passes_) % options_.passes_for_the_rest == 0;
  }

  void Place(Unit* unit) {
    ++plan_.steps_tried;
    PlacementRequest request = RequestFor(*unit);
    std::set<RunnerId> allowed;
    if (unit->policy.needs_advice) {
      WishForAdvice(*unit, request);
      allowed = advice_.Allowed(unit->key, now_);
      request.allowed = &allowed;
    }
    if (unit->spec->gang) {
      PlaceGang(unit, &request);
    } else {
      PlaceSingles(unit, &request);
    }
  }

  /// Wishes for tickets at the runners that suit the step, those with room
  /// first.
  void WishForAdvice(const Unit& unit, const PlacementRequest& request) {
    AdviceWish wish;
    wish.step = unit.key;
    std::vector<RunnerId> full;
    for (const Seat& seat : seating_.seats()) {
      if (!Seating::Suits(seat, request)) continue;
      const bool fits = unit.spec->need.Fits(seat.room);
      (fits ? wish.runners : full).push_back(seat.runner->id());
    }
    wish.runners.insert(wish.runners.end(), full.begin(), full.end());
    plan_.advice_wishes.push_back(std::move(wish));
  }

  void PlaceGang(Unit* unit, PlacementRequest* request) {
    const std::vector<Seat*> seats = seating_.PlaceAll(*request);
    if (seats.empty()) {
      MakeRoom(*unit, *request);
      return;
    }
    const int run = unit->job->NextRun({unit->key.job, unit->key.occurrence,
                                        unit->key.step, unit->waiting.front()});
    std::set<std::string> racks;
    for (const Seat* seat : seats) racks.insert(seat->rack);
    const bool far = unit->spec->same_rack && racks.size() > 1;
    for (std::size_t i = 0; i < seats.size(); ++i) {
      Assign(*unit, unit->waiting[i], run, seats[i], far);
    }
    planner_.claims_.erase(unit->key);
  }

  /// True if a task that takes no more was found to fit nowhere in this pass.
  bool FitsNowhere(const Unit& unit) const {
    const auto found = fit_nowhere_.find(unit.policy.service);
    if (found == fit_nowhere_.end()) return false;
    for (const Resources& need : found->second) {
      if (need.Fits(unit.spec->need)) return true;
    }
    return false;
  }

  void PlaceSingles(Unit* unit, PlacementRequest* request) {
    if (FitsNowhere(*unit)) {
      MakeRoom(*unit, *request);
      return;
    }
    std::size_t placed = 0;
    for (const int index : unit->waiting) {
      request->avoid = unit->step->tasks[index].failed_on;
      Seat* seat = seating_.PlaceOne(*request);
      if (seat == nullptr) break;
      ++request->used[seat->runner->id()];
      const int run = unit->step->tasks[index].run + 1;
      Assign(*unit, index, run, seat, false);
      ++placed;
    }
    request->count -= static_cast<int>(placed);
    const bool plain = request->allowed == nullptr && request->anywhere &&
                       request->closed_racks == nullptr &&
                       unit->spec->required_label.empty() &&
                       unit->spec->max_per_runner == 0;
    if (placed == 0 && plain) {
      fit_nowhere_[unit->policy.service].push_back(unit->spec->need);
    }
    if (request->count == 0) {
      planner_.claims_.erase(unit->key);
    } else {
      MakeRoom(*unit, *request);
    }
  }

  void Assign(const Unit& unit, int index, int run, Seat* seat, bool spread) {
    const StepSpec& spec = *unit.spec;
    const bool off_data =
        !spec.data_rack.empty() &&
        seat->runner->info().labels.count(spec.data_rack) == 0;
    const bool far = spread || off_data;
    const Duration near_time =
        times_.Expect(unit.job->spec().queue, spec.estimate);
    const Duration expected = far ? near_time * kFarFactor : near_time;
    plan_.assignments.push_back(
        {{unit.key.job, unit.key.occurrence, unit.key.step, index},
         run,
         seat->runner,
         expected,
         !far});
  }

  /// For what did not fit: keeps room that was made, displaces others, or
  /// keeps room for a gang that waits long.
  void MakeRoom(const Unit& unit, const PlacementRequest& request) {
    const auto claim = planner_.claims_.find(unit.key);
    if (claim != planner_.claims_.end()) {
      const TimePoint end = claim->second.since + options_.claim_time;
      if (now_ < end) {
        WakeAt(end);
        Keep(unit, claim->second.runners);
        return;
      }
      planner_.claims_.erase(claim);
    }
    if (unit.policy.priority == 0 || IsPressed(unit)) {
      Displace(unit, request);
    } else if (unit.spec->gang) {
      KeepForGang(unit, request);
    }
  }

  /// True shortly before the last moment at which the objective can be met.
  bool IsPressed(const Unit& unit) {
    const Duration left(unit.latest_start_wall_ms - wall_ms_);
    if (left > options_.press_margin) {
      WakeAt(now_ + left - options_.press_margin);
      return false;
    }
    return left >= Duration(0);
  }

  void Keep(const Unit& unit, const std::vector<RunnerId>& runners) {
    for (const RunnerId& id : runners) {
      for (Seat& seat : seating_.seats()) {
        if (seat.runner->id() == id) seat.room -= unit.spec->need;
      }
    }
  }

  /// One place for a task: the seat, and what it costs to have it.
  struct Opening {
    Seat* seat = nullptr;
    std::int64_t cost = 0;
    std::vector<TaskName> victims;
  };

  /// Core-milliseconds that are lost when the run is stopped.
  std::int64_t CostOf(const TaskName& name, const dispatch::Run& run) {
    const Job* job = jobs_.Find(name.job);
    if (job == nullptr) return 0;
    const StepSpec& spec = job->step_spec(name.step);
    const std::int64_t cores =
        run.need.cpu_millis +
        run.need.accelerators * options_.cores_per_accelerator * kMillisPerCore;
    Duration lost =
        run.phase == RunPhase::kRunning ? now_ - run.started_at : Duration(0);
    if (spec.saves_progress) lost = std::min(lost, Duration(kMillisPerCore));
    const int members = spec.gang ? spec.count : 1;
    const bool urgent = PolicyOf(*job, catalog_).priority == 0;
    const std::int64_t weight = urgent ? options_.urgent_victim_weight : 1;
    return cores / kMillisPerCore * (lost.ms() + 1) * members * weight;
  }

  /// Urgent work displaces other work; within its guarantee also urgent work
  /// of workspaces that are beyond theirs.
  bool MayDisplace(const Unit& unit, const TaskName& name,
                   const dispatch::Run& run) {
    if (run.stopping || displaced_.count(name) != 0) return false;
    Job* job = jobs_.Find(name.job);
    if (job == nullptr) return false;
    if (job->step_spec(name.step).long_running) return false;
    if (unit.entitled) return entitled_.count(name.job) == 0;
    return PolicyOf(*job, catalog_).priority > unit.policy.priority;
  }

  /// Places on one seat in rising cost, at most `limit`.
  std::vector<Opening> PlacesOn(const Unit& unit, Seat* seat, int limit) {
    const Resources& need = unit.spec->need;
    std::vector<std::pair<std::int64_t, TaskName>> victims;
    for (const auto& [name, run] : seat->runner->runs()) {
      if (!MayDisplace(unit, name, run)) continue;
      victims.emplace_back(CostOf(name, run), name);
    }
    std::sort(victims.begin(), victims.end());
    Resources room = seat->room;
    room += seat->coming;
    std::vector<Opening> places;
    std::size_t next = 0;
    while (static_cast<int>(places.size()) < limit) {
      Opening place;
      place.seat = seat;
      while (!need.Fits(room) && next < victims.size()) {
        place.cost += victims[next].first;
        place.victims.push_back(victims[next].second);
        room += seat->runner->runs().at(victims[next].second).need;
        ++next;
      }
      if (!need.Fits(room)) break;
      room -= need;
      places.push_back(std::move(place));
    }
    return places;
  }

  /// The cheapest places among `seats`; empty if there are not enough.
  std::vector<Opening> CheapestPlaces(const Unit& unit,
                                      const std::vector<Seat*>& seats,
                                      const PlacementRequest& request) {
    const int per_seat =
        request.step->max_per_runner > 0
            ? std::min(request.step->max_per_runner, request.count)
            : request.count;
    std::vector<Opening> places;
    for (Seat* seat : seats) {
      std::vector<Opening> own = PlacesOn(unit, seat, per_seat);
      places.insert(places.end(), std::make_move_iterator(own.begin()),
                    std::make_move_iterator(own.end()));
    }
    if (static_cast<int>(places.size()) < request.count) return {};
    std::stable_sort(
        places.begin(), places.end(),
        [](const Opening& a, const Opening& b) { return a.cost < b.cost; });
    places.resize(request.count);
    return places;
  }

  void Displace(const Unit& unit, const PlacementRequest& request) {
    std::map<std::string, std::vector<Seat*>> groups;
    for (Seat& seat : seating_.seats()) {
      if (!Seating::Suits(seat, request)) continue;
      const bool one_rack = unit.spec->gang && unit.spec->same_rack;
      if (one_rack) groups[seat.rack].push_back(&seat);
      // The key of no rack: all of them.
      if (!one_rack || request.anywhere) groups[""].push_back(&seat);
    }
    std::vector<Opening> best;
    std::int64_t best_cost = std::numeric_limits<std::int64_t>::max();
    for (const auto& [rack, seats] : groups) {
      std::vector<Opening> places = CheapestPlaces(unit, seats, request);
      if (places.empty()) continue;
      std::int64_t cost = 0;
      for (const Opening& place : places) cost += place.cost;
      if (cost >= best_cost) continue;
      best_cost = cost;
      best = std::move(places);
    }
    if (best.empty()) return;
    Claim claim;
    claim.since = now_;
    for (const Opening& place : best) {
      claim.runners.push_back(place.seat->runner->id());
      for (const TaskName& victim : place.victims) {
        displaced_.insert(victim);
        plan_.displacements.push_back(
            {victim, place.seat->runner->id(), unit.key.job});
      }
    }
    WakeAt(now_ + options_.claim_time);
    Keep(unit, claim.runners);
    planner_.claims_[unit.key] = std::move(claim);
  }

  /// Keeps the runners free that have room for the gang soonest.
  void KeepForGang(const Unit& unit, const PlacementRequest& request) {
    const TimePoint from = unit.step->ready_since + options_.gang_patience;
    if (now_ < from) {
      WakeAt(from);
      return;
    }
    if (unit.hopeless || kept_ >= options_.kept_gangs) return;
    std::vector<std::pair<Duration, Seat*>> places;
    for (Seat& seat : seating_.seats()) {
      if (Seating::Suits(seat, request)) {
        AddComingPlaces(&seat, request, &places);
      }
    }
    if (static_cast<int>(places.size()) < request.count) return;
    std::stable_sort(
        places.begin(), places.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    ++kept_;
    for (int i = 0; i < request.count; ++i) {
      places[i].second->room -= unit.spec->need;
    }
  }

  /// When the seat will have room for each further task.
  void AddComingPlaces(Seat* seat, const PlacementRequest& request,
                       std::vector<std::pair<Duration, Seat*>>* places) {
    std::vector<std::pair<Duration, Resources>> ends;
    for (const auto& [name, run] : seat->runner->runs()) {
      ends.emplace_back(RemainingOf(run, now_), run.need);
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    Resources room = seat->room;
    Duration at;
    std::size_t next = 0;
    for (int found = 0; found < request.count;) {
      if (request.step->need.Fits(room)) {
        room -= request.step->need;
        places->emplace_back(at, seat);
        ++found;
      } else if (next < ends.size()) {
        at = ends[next].first;
        room += ends[next].second;
        ++next;
      } else {
        return;
      }
    }
  }

  void DropOldClaims() {
    for (auto it = planner_.claims_.begin(); it != planner_.claims_.end();) {
      const bool old = now_ - it->second.since > options_.claim_time * 2;
      it = old ? planner_.claims_.erase(it) : std::next(it);
    }
  }

  Planner& planner_;
  const PlannerOptions& options_;
  TimePoint now_;
  std::int64_t wall_ms_;
  const Catalog& catalog_;
  const RunTimes& times_;
  const AdviceBook& advice_;
  JobBook& jobs_;
  Seating seating_;
  std::set<JobId> entitled_;
  std::set<std::string> urgent_racks_;
  bool idle_ = false;
  std::set<TaskName> displaced_;
  std::vector<Unit> units_;
  int kept_ = 0;
  int gangs_ = 0;
  /// What was found to fit nowhere any more, by service.
  std::map<ServiceId, std::vector<Resources>> fit_nowhere_;
  Plan plan_;
};

Plan Planner::Decide(TimePoint now, std::int64_t wall_ms,
                     const Catalog& catalog, const RunTimes& times,
                     const AdviceBook& advice, JobBook* jobs, Fleet* fleet) {
  return Pass(this, now, wall_ms, catalog, times, advice, jobs, fleet).Run();
}

}  // namespace limeledge::dispatch
