/// @file
/// The planner's places: which runners take the tasks of a step.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstddef>
#include <utility>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

Duration Planner::Pass::PatienceOf(const Unit& unit) const {
  return unit.policy.priority == 0 ? options_.urgent_locality_wait
                                   : options_.locality_wait;
}

PlacementRequest Planner::Pass::RequestFor(const Unit& unit) {
  PlacementRequest request;
  request.step = unit.spec;
  request.service = unit.policy.service;
  request.count = static_cast<int>(unit.waiting.size());
  const TimePoint end = unit.step->ready_since + PatienceOf(unit);
  request.anywhere = now_ >= end;
  WakeAt(end);
  request.avoided = &unit.step->failed_on;
  for (const Task& task : unit.step->tasks) {
    if (task.phase == TaskPhase::kAssigned)
      ++request.used[task.incarnation.runner];
  }
  if (unit.policy.priority == 0) {
    request.urgent_racks = UrgentRacks::kPreferred;
    request.prefers_fast = true;
  } else if (!idle_ || !request.anywhere) {
    request.urgent_racks = UrgentRacks::kClosed;
  }
  return request;
}

bool Planner::Pass::MustNotFail(const Unit& unit, int failures) {
  if (failures + 1 < unit.policy.max_attempts) return false;
  if (!idle_) return true;
  const TimePoint end = unit.step->ready_since + options_.last_attempt_wait;
  WakeAt(end);
  return now_ < end;
}

bool Planner::Pass::IsDue(const Unit& unit) {
  if (unit.policy.priority == 0 || !unit.spec->gang) return true;
  ++gangs_;
  if (gangs_ <= options_.gangs_in_each_pass) return true;
  return (gangs_ + planner_.passes_) % options_.passes_for_the_rest == 0;
}

bool Planner::Pass::IsBlocked(const Unit& unit) const {
  if (unit.rank.entitled || !options_.policy->LetsNothingOvertake()) {
    return false;
  }
  return misfits_.count(unit.policy.service) != 0;
}

void Planner::Pass::Place(Unit* unit) {
  ++plan_.steps_tried;
  const std::size_t assigned = plan_.assignments.size();
  PlacementRequest request = RequestFor(*unit);
  std::set<IncarnationId> allowed;
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
  const bool fits = plan_.assignments.size() - assigned == unit->waiting.size();
  if (!fits && !unit->rank.entitled) misfits_.insert(unit->policy.service);
}

void Planner::Pass::WishForAdvice(const Unit& unit,
                                  const PlacementRequest& request) {
  AdviceRequest wish;
  wish.step = unit.key;
  std::vector<IncarnationId> full;
  for (const Candidate& seat : seating_.seats()) {
    if (!CandidatePool::Suits(seat, request)) continue;
    const bool fits = unit.spec->room().Fits(seat.room);
    (fits ? wish.runners : full).push_back(seat.runner->incarnation());
  }
  wish.runners.insert(wish.runners.end(), full.begin(), full.end());
  plan_.advice_requests.push_back(std::move(wish));
}

Duration Planner::Pass::NearTimeOf(const Unit& unit) const {
  return times_.Expect(unit.job->spec().queue, unit.spec->estimate);
}

bool Planner::Pass::IsDoneSoonerByWaiting(const Unit& unit,
                                          const PlacementRequest& request) {
  const bool may_be_far = unit.spec->same_rack || !unit.spec->data_rack.empty();
  // Urgent work has to begin within its guarantee.
  if (!request.anywhere || !may_be_far || unit.policy.priority == 0) {
    return false;
  }
  // By the end of this, it would have been done anywhere.
  const TimePoint longest_wait = unit.step->ready_since + PatienceOf(unit) +
                                 NearTimeOf(unit) * (kFarFactor - 1);
  if (now_ >= longest_wait) return false;
  const bool seems_forgotten =
      now_ - unit.step->ready_since >= options_.beside_free_room &&
      seating_.FitsTimes(request, 2);
  if (seems_forgotten) return false;
  PlacementRequest near = request;
  near.anywhere = false;
  const std::optional<ComingRoom> coming = SoonestDone(unit, near);
  return coming.has_value() && coming->until < NearTimeOf(unit) * kFarFactor;
}

void Planner::Pass::SpareOthers(PlacementRequest* request) {
  request->is_suspect = true;
  if (knows_risks_) return;
  knows_risks_ = true;
  for (Candidate& seat : seating_.seats()) {
    for (const auto& [name, run] : seat.runner->runs()) {
      seat.work_at_risk += CostOf(name, run);
    }
  }
}

void Planner::Pass::PlaceGang(Unit* unit, PlacementRequest* request) {
  const bool has_suspect =
      std::any_of(unit->waiting.begin(), unit->waiting.end(),
                  [unit](int index) { return unit->IsSuspectTask(index); });
  if (has_suspect) SpareOthers(request);
  request->is_last_attempt = MustNotFail(*unit, unit->step->gang_failures);
  if (IsDoneSoonerByWaiting(*unit, *request)) request->anywhere = false;
  const std::vector<Candidate*> seats = PlaceAll(*unit, *request);
  if (seats.empty()) {
    MakeRoom(*unit, *request);
    return;
  }
  const int run = unit->job->NextRun({unit->key.job, unit->key.occurrence,
                                      unit->key.step, unit->waiting.front()});
  std::set<std::string> racks;
  for (const Candidate* seat : seats) racks.insert(seat->rack);
  const bool far = unit->spec->same_rack && racks.size() > 1;
  for (std::size_t i = 0; i < seats.size(); ++i) {
    Assign(*unit, unit->waiting[i], run, seats[i], far);
  }
  planner_.claims_.erase(unit->key);
}

bool Planner::Pass::LeavesHeadroom(const Unit& unit, int tasks) const {
  Resources idle;
  for (const Candidate& seat : seating_.seats()) {
    if (seat.urgent_rack) idle += seat.room;
  }
  const double share =
      IsShortOfTime(unit) ? options_.late_headroom : options_.urgent_headroom;
  const auto leaves = [share, tasks](std::int64_t need, std::int64_t free,
                                     std::int64_t all) {
    const auto left = static_cast<double>(free - need * tasks);
    return need == 0 || left >= share * static_cast<double>(all);
  };
  const Resources& need = unit.spec->need;
  return leaves(need.accelerators, idle.accelerators,
                urgent_room_.accelerators) &&
         leaves(need.cpu_millis, idle.cpu_millis, urgent_room_.cpu_millis);
}

std::optional<PlacementRequest> Planner::Pass::WithUrgentRacks(
    const Unit& unit, const PlacementRequest& request, int tasks) const {
  const bool closed = request.urgent_racks == UrgentRacks::kClosed;
  if (!closed || !request.anywhere) return std::nullopt;
  // What can not make way again would take the racks for good.
  if (!unit.spec->preemptible()) return std::nullopt;
  if (!LeavesHeadroom(unit, tasks)) return std::nullopt;
  PlacementRequest wider = request;
  wider.urgent_racks = UrgentRacks::kOpen;
  return wider;
}

Candidate* Planner::Pass::PlaceOne(const Unit& unit,
                                   const PlacementRequest& request) {
  Candidate* seat = seating_.PlaceOne(request);
  if (seat != nullptr) return seat;
  const std::optional<PlacementRequest> wider =
      WithUrgentRacks(unit, request, 1);
  return wider.has_value() ? seating_.PlaceOne(*wider) : nullptr;
}

std::vector<Candidate*> Planner::Pass::PlaceAll(
    const Unit& unit, const PlacementRequest& request) {
  std::vector<Candidate*> seats = seating_.PlaceAll(request);
  if (!seats.empty()) return seats;
  const std::optional<PlacementRequest> wider =
      WithUrgentRacks(unit, request, request.count);
  return wider.has_value() ? seating_.PlaceAll(*wider) : seats;
}

bool Planner::Pass::FitsNowhere(const Unit& unit) const {
  const auto found = fit_nowhere_.find(unit.policy.service);
  if (found == fit_nowhere_.end()) return false;
  for (const Resources& need : found->second) {
    if (need.Fits(unit.spec->room())) return true;
  }
  return false;
}

void Planner::Pass::PlaceSingles(Unit* unit, PlacementRequest* request) {
  if (FitsNowhere(*unit)) {
    MakeRoom(*unit, *request);
    return;
  }
  const SinglesPlaced placed = PlaceWhatFits(unit, request);
  request->count -= placed.tasks;
  request->is_last_attempt = placed.held == request->count;
  const bool nothing_fits = placed.tasks == 0 && placed.held == 0;
  if (nothing_fits && IsPlain(*unit, *request)) {
    fit_nowhere_[unit->policy.service].push_back(unit->spec->room());
  }
  if (request->count == 0) {
    planner_.claims_.erase(unit->key);
  } else {
    MakeRoom(*unit, *request);
  }
}

Planner::Pass::SinglesPlaced Planner::Pass::PlaceWhatFits(
    Unit* unit, PlacementRequest* request) {
  SinglesPlaced placed;
  for (const int index : unit->waiting) {
    request->is_suspect = false;
    if (unit->IsSuspectTask(index)) SpareOthers(request);
    request->is_last_attempt =
        MustNotFail(*unit, unit->step->tasks[index].failures);
    // Others of the step may fit where last attempts must not go.
    const bool held_too = request->is_last_attempt && placed.held > 0;
    Candidate* seat = held_too ? nullptr : PlaceOne(*unit, *request);
    if (seat == nullptr && request->is_last_attempt) {
      ++placed.held;
      continue;
    }
    if (seat == nullptr) break;
    ++request->used[seat->runner->id()];
    const int run = unit->step->tasks[index].run + 1;
    Assign(*unit, index, run, seat, false);
    ++placed.tasks;
  }
  return placed;
}

bool Planner::Pass::IsPlain(const Unit& unit, const PlacementRequest& request) {
  return request.allowed == nullptr && request.anywhere &&
         request.urgent_racks != UrgentRacks::kClosed &&
         unit.spec->required_label.empty() &&
         unit.spec->sharing() == Sharing::kNone &&
         unit.spec->max_per_runner == 0;
}

void Planner::Pass::Assign(const Unit& unit, int index, int run,
                           Candidate* seat, bool spread) {
  const StepSpec& spec = *unit.spec;
  const bool off_data = !spec.data_rack.empty() &&
                        seat->runner->info().labels.count(spec.data_rack) == 0;
  const bool far = spread || off_data;
  const Duration near_time = NearTimeOf(unit);
  const Duration expected = far ? near_time * kFarFactor : near_time;
  plan_.assignments.push_back(
      {{unit.key.job, unit.key.occurrence, unit.key.step, index},
       run,
       seat->runner,
       expected,
       near_time});
}

}  // namespace limeledge::dispatch
