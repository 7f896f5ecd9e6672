/// @file
/// When capacity becomes free for a step, and its reservation for gangs, in a
/// planning pass.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstddef>
#include <queue>
#include <tuple>
#include <utility>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

class Planner::Pass::EarliestPlaces {
 public:
  /// Keeps `size` places. Precondition: `size` is positive.
  explicit EarliestPlaces(int size) : size_(static_cast<std::size_t>(size)) {}

  bool full() const { return places_.size() == size_; }
  /// True if a place at that time would not be kept.
  bool IsTooLate(Duration at) const {
    return full() && at >= std::get<Duration>(places_.top());
  }
  /// Of places at the same time, those that were added first are kept.
  void Add(Duration at, Candidate* candidate) {
    if (IsTooLate(at)) return;
    if (full()) places_.pop();
    places_.emplace(at, added_++, candidate);
  }
  /// Precondition: `full()`.
  CapacityForecast Forecast() && {
    CapacityForecast forecast;
    forecast.until = std::get<Duration>(places_.top());
    forecast.free_in = forecast.until;
    for (; !places_.empty(); places_.pop()) {
      forecast.candidates.push_back(std::get<Candidate*>(places_.top()));
    }
    return forecast;
  }

 private:
  std::size_t size_;
  std::size_t added_ = 0;
  /// The latest one first.
  std::priority_queue<std::tuple<Duration, std::size_t, Candidate*>> places_;
};

std::vector<Planner::Pass::CandidateGroup> Planner::Pass::GroupCandidates(
    const PendingStep& pending, const PlacementRequest& request) {
  const bool one_rack = pending.spec->gang && pending.spec->same_rack;
  CandidateGroup all;
  all.spread = pending.spec->same_rack;
  std::vector<CandidateGroup> racks(one_rack ? pool_.rack_count() : 0);
  CountLooksAtAll();
  for (Candidate& candidate : pool_.candidates()) {
    if (!CandidatePool::MeetsConstraints(candidate, request)) continue;
    if (one_rack) racks[candidate.rack_number].candidates.push_back(&candidate);
    all.candidates.push_back(&candidate);
  }
  std::vector<CandidateGroup> groups;
  if (!one_rack || request.ignore_locality) groups.push_back(std::move(all));
  if (!one_rack) return groups;
  for (const std::size_t number : racks_by_name_) {
    if (racks[number].candidates.empty()) continue;
    groups.push_back(std::move(racks[number]));
  }
  return groups;
}

const std::vector<Planner::Pass::RunEndForecast>& Planner::Pass::EndsOn(
    const Candidate& candidate) {
  std::optional<std::vector<RunEndForecast>>& known = RunsOf(candidate).ends;
  if (known.has_value()) return *known;
  std::vector<RunEndForecast>& ends = known.emplace();
  CountLooks(candidate.runner->runs().size());
  for (const auto& [name, run] : candidate.runner->runs()) {
    std::optional<Duration> left = TimeLeft(run, now_);
    if (run.lasting && run.stopping) left = planner_.stop_time_;
    if (left.has_value()) ends.push_back({*left, run.need});
  }
  std::sort(ends.begin(), ends.end(),
            [](const RunEndForecast& a, const RunEndForecast& b) {
              return a.until < b.until;
            });
  return ends;
}

bool Planner::Pass::ReserveForGang(const PendingStep& pending,
                                   const PlacementRequest& request) {
  const TimePoint from =
      pending.step->ready_since + options_.gang_reservation_delay;
  if (now_ < from) {
    WakeAt(from);
    return false;
  }
  const int limit =
      options_.policy->MaxReservedGangs(options_.max_reserved_gangs);
  const bool worthless =
      pending.rank.deadline_status == DeadlineStatus::kWorthless;
  if (worthless || reserved_gangs_ >= limit) return false;
  const std::optional<CapacityForecast> forecast =
      EarliestCompletion(pending, request);
  if (!forecast.has_value()) return false;
  if (WouldIdleTooLong(pending, forecast->free_in)) return false;
  ++reserved_gangs_;
  for (Candidate* candidate : forecast->candidates) {
    candidate->room -= pending.spec->room();
  }
  return true;
}

bool Planner::Pass::WouldIdleTooLong(const PendingStep& pending,
                                     Duration free_in) {
  const Duration limit = options_.idle_reservation_limit;
  TimePoint& since =
      planner_.idle_reservations_.emplace(pending.key, now_).first->second;
  if (!mostly_idle_ || free_in > limit) {
    since = now_;
    return mostly_idle_;
  }
  const TimePoint end = since + limit;
  if (now_ < end) {
    WakeAt(end);
    return false;
  }
  // Others get the capacity for as long as it was kept from them.
  const TimePoint next = end + limit;
  if (now_ < next) {
    WakeAt(next);
    return true;
  }
  since = now_;
  return false;
}

std::optional<Planner::Pass::CapacityForecast>
Planner::Pass::EarliestCompletion(const PendingStep& pending,
                                  const PlacementRequest& request) {
  std::optional<CapacityForecast> best;
  for (const CandidateGroup& group : GroupCandidates(pending, request)) {
    std::optional<CapacityForecast> forecast =
        EarliestCapacity(group.candidates, request);
    if (!forecast.has_value()) continue;
    forecast->until =
        forecast->until +
        ExpectedTimeNear(pending) * (group.spread ? kRemoteSlowdown : 1);
    if (best.has_value() && best->until <= forecast->until) continue;
    best = std::move(forecast);
  }
  return best;
}

std::optional<Planner::Pass::CapacityForecast> Planner::Pass::EarliestCapacity(
    const std::vector<Candidate*>& candidates,
    const PlacementRequest& request) {
  EarliestPlaces places(request.count);
  for (Candidate* candidate : candidates) {
    AddFuturePlaces(candidate, request, &places);
  }
  if (!places.full()) return std::nullopt;
  return std::move(places).Forecast();
}

void Planner::Pass::AddFuturePlaces(Candidate* candidate,
                                    const PlacementRequest& request,
                                    EarliestPlaces* places) {
  CountLooks(1);
  const std::vector<RunEndForecast>& ends = EndsOn(*candidate);
  const Resources need = request.step->room();
  Resources room = candidate->room;
  Duration at;
  auto next = ends.begin();
  for (int found = 0; found < request.count;) {
    if (places->IsTooLate(at)) return;
    if (need.Fits(room)) {
      room -= need;
      places->Add(at, candidate);
      ++found;
    } else if (next != ends.end()) {
      at = next->until;
      room += next->need;
      ++next;
    } else {
      return;
    }
  }
}

}  // namespace limeledge::dispatch
