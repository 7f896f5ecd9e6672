/// @file
/// The planner's room: which runs make way, and what is kept free for whom.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

namespace {

constexpr std::int64_t kMillisPerCore = 1000;
// Runners save progress every second or two: more is not lost by a stop.
constexpr Duration kUnsavedProgress{1000};

}  // namespace

void Planner::Pass::MakeRoom(const Unit& unit,
                             const PlacementRequest& request) {
  const auto claim = planner_.claims_.find(unit.key);
  if (claim != planner_.claims_.end()) {
    const TimePoint end = claim->second.since + options_.reservation_time;
    if (now_ < end) {
      WakeAt(end);
      Keep(unit, claim->second.runners);
      NoteWait(unit, WaitReason::kRoomIsMade);
      return;
    }
    planner_.claims_.erase(claim);
  }
  NoteWait(unit, SeekRoom(unit, request));
}

WaitReason Planner::Pass::SeekRoom(const Unit& unit,
                                   const PlacementRequest& request) {
  if (request.allowed != nullptr && request.allowed->empty()) {
    return WaitReason::kNoTickets;
  }
  if (unit.spec->sharing() == Sharing::kLatencySensitive) {
    return ClearOfFillers(unit, request);
  }
  WaitReason reason = WaitReason::kNoCapacity;
  if (MayDisplaceOthers(unit)) {
    reason = Displace(unit, request);
    // Nothing is above urgent work, so that it need not keep what is free.
    if (unit.policy.priority == 0) return reason;
  }
  const bool waits = reason != WaitReason::kRoomIsMade && unit.spec->gang;
  if (waits && KeepForGang(unit, request)) return WaitReason::kRoomIsKept;
  return reason;
}

bool Planner::Pass::MayDisplaceOthers(const Unit& unit) {
  if (!knows_free_room_) return false;
  if (unit.rank.entitled) return true;
  if (unit.policy.priority == 0) {
    return options_.policy->DisplacesBeyondGuarantee();
  }
  return options_.policy->DisplacesUnderPressure() && IsPressed(unit);
}

bool Planner::Pass::IsShortOfTime(const Unit& unit) const {
  return Duration(unit.latest_start_wall_ms - wall_ms_) <=
         options_.deadline_margin;
}

bool Planner::Pass::IsPressed(const Unit& unit) {
  if (!IsShortOfTime(unit)) {
    const Duration left(unit.latest_start_wall_ms - wall_ms_);
    WakeAt(now_ + left - options_.deadline_margin);
    return false;
  }
  // Late work is still of worth, and would wait behind lower priorities that
  // took its place: on the most loaded of fourteen days, gangs of a middle
  // queue earned 0.32 of what they could by this, 0.27 without.
  return unit.rank.outlook != Outlook::kHopeless;
}

void Planner::Pass::Keep(const Unit& unit,
                         const std::vector<RunnerId>& runners) {
  for (const RunnerId& id : runners) {
    for (Candidate& seat : seating_.seats()) {
      if (seat.runner->id() == id) seat.room -= unit.spec->room();
    }
  }
}

std::int64_t Planner::Pass::CostOf(const TaskName& name, const Run& run) {
  const Job* job = jobs_.Find(name.job);
  if (job == nullptr) return 0;
  const StepSpec& spec = job->step_spec(name.step);
  const std::int64_t cores =
      run.need.cpu_millis +
      run.need.accelerators * options_.cores_per_accelerator * kMillisPerCore;
  Duration lost =
      run.phase == RunPhase::kRunning ? now_ - run.started_at : Duration(0);
  if (spec.saves_progress) lost = std::min(lost, kUnsavedProgress);
  const int members = spec.gang ? spec.count : 1;
  const bool urgent = PolicyOf(*job, catalog_).priority == 0;
  const std::int64_t weight = urgent ? options_.urgent_victim_weight : 1;
  return cores / kMillisPerCore * (lost.ms() + 1) * members * weight;
}

bool Planner::Pass::MayDisplace(const Unit& unit, const TaskName& name,
                                const Run& run) {
  if (run.stopping || displaced_.count(name) != 0) return false;
  Job* job = jobs_.Find(name.job);
  if (job == nullptr) return false;
  const StepSpec& step = job->step_spec(name.step);
  if (!step.preemptible()) return false;
  if (unit.rank.entitled) return entitled_.count(name.job) == 0;
  return PolicyOf(*job, catalog_).priority > unit.policy.priority;
}

std::vector<Planner::Pass::Opening> Planner::Pass::OpeningsOn(const Unit& unit,
                                                              Candidate* seat,
                                                              int limit) {
  const Resources need = unit.spec->room();
  std::vector<std::pair<std::int64_t, TaskName>> victims;
  for (const auto& [name, run] : seat->runner->runs()) {
    if (!MayDisplace(unit, name, run)) continue;
    victims.emplace_back(CostOf(name, run), name);
  }
  std::sort(victims.begin(), victims.end());
  Resources room = seat->room;
  room += seat->releasing;
  std::vector<Opening> openings;
  std::size_t next = 0;
  while (static_cast<int>(openings.size()) < limit) {
    Opening opening;
    opening.seat = seat;
    while (!need.Fits(room) && next < victims.size()) {
      opening.cost += victims[next].first;
      opening.victims.push_back(victims[next].second);
      room += seat->runner->runs().at(victims[next].second).need;
      ++next;
    }
    if (!need.Fits(room)) break;
    room -= need;
    openings.push_back(std::move(opening));
  }
  return openings;
}

std::vector<Planner::Pass::OpeningRow> Planner::Pass::OpeningRowsOn(
    const Unit& unit, Candidate* seat, int limit) {
  std::vector<OpeningRow> rows;
  for (Opening& opening : OpeningsOn(unit, seat, limit)) {
    OpeningRow row;
    row.cost = opening.cost;
    row.openings.push_back(std::move(opening));
    while (!rows.empty() && row.mean_cost() < rows.back().mean_cost()) {
      OpeningRow joined = std::move(rows.back());
      rows.pop_back();
      joined.cost += row.cost;
      joined.openings.insert(joined.openings.end(),
                             std::make_move_iterator(row.openings.begin()),
                             std::make_move_iterator(row.openings.end()));
      row = std::move(joined);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<Planner::Pass::Opening> Planner::Pass::CheapestOpenings(
    const Unit& unit, const std::vector<Candidate*>& seats,
    const PlacementRequest& request) {
  const int per_seat =
      request.step->max_per_runner > 0
          ? std::min(request.step->max_per_runner, request.count)
          : request.count;
  std::vector<OpeningRow> rows;
  for (Candidate* seat : seats) {
    std::vector<OpeningRow> own = OpeningRowsOn(unit, seat, per_seat);
    rows.insert(rows.end(), std::make_move_iterator(own.begin()),
                std::make_move_iterator(own.end()));
  }
  // Rows of one seat stay in their order.
  std::stable_sort(rows.begin(), rows.end(),
                   [](const OpeningRow& a, const OpeningRow& b) {
                     return a.mean_cost() < b.mean_cost();
                   });
  std::vector<Opening> openings;
  for (OpeningRow& row : rows) {
    openings.insert(openings.end(),
                    std::make_move_iterator(row.openings.begin()),
                    std::make_move_iterator(row.openings.end()));
    if (static_cast<int>(openings.size()) < request.count) continue;
    openings.resize(request.count);
    return openings;
  }
  return {};
}

std::map<std::string, std::vector<Candidate*>> Planner::Pass::GroupSeats(
    const Unit& unit, const PlacementRequest& request) {
  std::map<std::string, std::vector<Candidate*>> groups;
  const bool one_rack = unit.spec->gang && unit.spec->same_rack;
  for (Candidate& seat : seating_.seats()) {
    if (!CandidatePool::Suits(seat, request)) continue;
    if (one_rack) groups[seat.rack].push_back(&seat);
    // The key of no rack: all of them.
    if (!one_rack || request.anywhere) groups[""].push_back(&seat);
  }
  return groups;
}

WaitReason Planner::Pass::Displace(const Unit& unit,
                                   const PlacementRequest& request) {
  std::vector<Opening> best;
  std::int64_t best_cost = std::numeric_limits<std::int64_t>::max();
  for (const auto& [rack, seats] : GroupSeats(unit, request)) {
    std::vector<Opening> openings = CheapestOpenings(unit, seats, request);
    if (openings.empty()) continue;
    std::int64_t cost = 0;
    for (const Opening& opening : openings) cost += opening.cost;
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = std::move(openings);
  }
  if (best.empty()) return WaitReason::kNothingMakesWay;
  TakeOpenings(unit, best);
  return WaitReason::kRoomIsMade;
}

bool Planner::Pass::ListFillers(const Candidate& seat,
                                std::vector<TaskName>* best_effort_runs) {
  for (const auto& [name, run] : seat.runner->runs()) {
    if (run.sharing != Sharing::kBestEffort || run.stopping) continue;
    if (displaced_.count(name) != 0) continue;
    const Job* job = jobs_.Find(name.job);
    const bool may_stop =
        job != nullptr && !job->step_spec(name.step).limits_unavailability();
    if (!may_stop) return false;
    best_effort_runs->push_back(name);
  }
  return true;
}

WaitReason Planner::Pass::ClearOfFillers(const Unit& unit,
                                         const PlacementRequest& request) {
  std::vector<Opening> openings;
  for (Candidate& seat : seating_.seats()) {
    if (static_cast<int>(openings.size()) == request.count) break;
    Candidate cleared = seat;
    cleared.best_effort_runs = 0;
    if (seat.best_effort_runs == 0 || !CandidatePool::Suits(cleared, request))
      continue;
    Opening opening;
    opening.seat = &seat;
    if (!ListFillers(seat, &opening.victims)) continue;
    for (const TaskName& name : opening.victims) {
      cleared.room += seat.runner->runs().at(name).need;
    }
    if (unit.spec->room().Fits(cleared.room)) {
      openings.push_back(std::move(opening));
    }
  }
  if (openings.empty()) return WaitReason::kNothingMakesWay;
  TakeOpenings(unit, openings);
  return WaitReason::kRoomIsMade;
}

void Planner::Pass::TakeOpenings(const Unit& unit,
                                 const std::vector<Opening>& openings) {
  Claim claim;
  claim.since = now_;
  for (const Opening& opening : openings) {
    const Runner& runner = *opening.seat->runner;
    claim.runners.push_back(runner.id());
    for (const TaskName& victim : opening.victims) {
      displaced_.insert(victim);
      plan_.preemptions.push_back({victim, runner.incarnation(), unit.key.job});
    }
  }
  WakeAt(now_ + options_.reservation_time);
  Keep(unit, claim.runners);
  planner_.claims_[unit.key] = std::move(claim);
}

bool Planner::Pass::KeepForGang(const Unit& unit,
                                const PlacementRequest& request) {
  const TimePoint from =
      unit.step->ready_since + options_.gang_reservation_delay;
  if (now_ < from) {
    WakeAt(from);
    return false;
  }
  const int most_kept = options_.policy->KeptGangs(options_.max_reserved_gangs);
  const bool worthless = unit.rank.outlook == Outlook::kHopeless;
  if (worthless || kept_ >= most_kept) return false;
  const std::optional<ComingRoom> releasing = SoonestDone(unit, request);
  if (!releasing.has_value()) return false;
  ++kept_;
  for (Candidate* seat : releasing->seats) seat->room -= unit.spec->room();
  return true;
}

std::optional<Planner::Pass::ComingRoom> Planner::Pass::SoonestDone(
    const Unit& unit, const PlacementRequest& request) {
  std::optional<ComingRoom> best;
  for (const auto& [rack, seats] : GroupSeats(unit, request)) {
    std::optional<ComingRoom> releasing = SoonestRoom(seats, request);
    if (!releasing.has_value()) continue;
    const bool spread = unit.spec->same_rack && rack.empty();
    releasing->until =
        releasing->until + NearTimeOf(unit) * (spread ? kFarFactor : 1);
    if (best.has_value() && best->until <= releasing->until) continue;
    best = std::move(releasing);
  }
  return best;
}

std::optional<Planner::Pass::ComingRoom> Planner::Pass::SoonestRoom(
    const std::vector<Candidate*>& seats, const PlacementRequest& request) {
  std::vector<std::pair<Duration, Candidate*>> places;
  for (Candidate* seat : seats) AddComingPlaces(seat, request, &places);
  if (static_cast<int>(places.size()) < request.count) return std::nullopt;
  std::stable_sort(
      places.begin(), places.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  ComingRoom releasing;
  releasing.until = places[request.count - 1].first;
  for (int i = 0; i < request.count; ++i) {
    releasing.seats.push_back(places[i].second);
  }
  return releasing;
}

void Planner::Pass::AddComingPlaces(
    Candidate* seat, const PlacementRequest& request,
    std::vector<std::pair<Duration, Candidate*>>* places) {
  std::vector<std::pair<Duration, Resources>> ends;
  for (const auto& [name, run] : seat->runner->runs()) {
    ends.emplace_back(TimeLeft(run, now_), run.need);
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  Resources room = seat->room;
  Duration at;
  std::size_t next = 0;
  for (int found = 0; found < request.count;) {
    if (request.step->room().Fits(room)) {
      room -= request.step->room();
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

void Planner::Pass::DropOldClaims() {
  for (auto it = planner_.claims_.begin(); it != planner_.claims_.end();) {
    const bool old = now_ - it->second.since > options_.reservation_time * 2;
    it = old ? planner_.claims_.erase(it) : std::next(it);
  }
}

}  // namespace limeledge::dispatch
