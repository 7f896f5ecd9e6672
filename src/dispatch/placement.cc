/// @file
/// Best-fit placement of tasks and gangs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/placement.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace limeledge::dispatch {

namespace {

// Urgent work passes over runners that usually take this much longer.
constexpr double kLeisurelyRunner = 1.07;

int LimitPerSeat(const PlacementRequest& request, const Candidate& seat) {
  const int most =
      seat.may_fail_immediately ? 1 : std::numeric_limits<int>::max();
  const int limit = request.step->max_per_runner;
  if (limit <= 0) return most;
  const auto used = request.used.find(seat.runner->id());
  const int taken = used == request.used.end() ? 0 : used->second;
  return std::clamp(limit - taken, 0, most);
}

/// How far a runner is trusted; those named first are taken first.
enum class Trust { kSound, kLeisurely, kSlow, kSuspect, kAvoided };

Trust TrustOf(const Candidate& seat, const PlacementRequest& request) {
  const bool avoided = request.avoided != nullptr &&
                       !request.avoided->empty() &&
                       request.avoided->count(seat.runner->incarnation()) != 0;
  if (avoided) return Trust::kAvoided;
  if (seat.suspect) return Trust::kSuspect;
  if (seat.runner->IsSlow()) return Trust::kSlow;
  const bool leisurely =
      request.prefers_fast && seat.runner->usual_pace() >= kLeisurelyRunner;
  return leisurely ? Trust::kLeisurely : Trust::kSound;
}

/// The least trusted of the seats.
Trust LeastTrustOf(const std::vector<Candidate*>& seats,
                   const PlacementRequest& request) {
  Trust least = Trust::kSound;
  for (const Candidate* seat : seats) {
    least = std::max(least, TrustOf(*seat, request));
  }
  return least;
}

/// True if the step's data lies elsewhere.
bool IsFar(const Candidate& seat, const StepSpec& step) {
  return !step.data_rack.empty() &&
         seat.runner->info().labels.count(step.data_rack) == 0;
}

/// How well a place suits, whatever its room; smaller is better. A run far from
/// its data takes three times as long: that is worse than a runner that is
/// somewhat slow, but better than one that may fail it.
using Fitness = std::tuple<bool, bool, Trust>;

Fitness FitnessOf(Trust trust, bool far) {
  return {trust >= Trust::kSuspect, far, trust};
}

/// What is at risk if the request's tasks crash their runners.
std::int64_t RiskOf(const Candidate& seat, const PlacementRequest& request) {
  return request.is_suspect ? seat.work_at_risk : 0;
}

/// Smaller is better: the least work at risk, a fit runner, then the one that
/// is left with the least room, in the fullest rack, so that gangs find whole
/// runners of one rack.
using Waste =
    std::tuple<std::int64_t, Fitness, std::int64_t, std::int64_t, std::int64_t>;

Waste WasteOf(const Candidate& seat, const PlacementRequest& request,
              std::int64_t rack_room) {
  const Resources& need = request.step->need;
  return {RiskOf(seat, request),
          FitnessOf(TrustOf(seat, request), IsFar(seat, *request.step)),
          seat.room.accelerators - need.accelerators, rack_room,
          seat.room.cpu_millis - need.cpu_millis};
}

/// True if any of the seats is.
bool AnyIsFar(const std::vector<Candidate*>& seats, const StepSpec& step) {
  return std::any_of(
      seats.begin(), seats.end(),
      [&step](const Candidate* seat) { return IsFar(*seat, step); });
}

}  // namespace

int CountFitting(const Resources& need, const Resources& room, int limit) {
  std::int64_t count = limit;
  const auto narrow = [&count](std::int64_t want, std::int64_t have) {
    if (want <= 0) return;
    count = std::min(count, std::max<std::int64_t>(0, have / want));
  };
  narrow(need.cpu_millis, room.cpu_millis);
  narrow(need.memory_mb, room.memory_mb);
  narrow(need.accelerators, room.accelerators);
  return static_cast<int>(count);
}

bool CandidatePool::Suits(const Candidate& seat,
                          const PlacementRequest& request) {
  const RunnerInfo& info = seat.runner->info();
  const StepSpec& step = *request.step;
  if (seat.on_probation || (seat.may_fail_immediately && seat.tried))
    return false;
  if (request.is_last_attempt && seat.suspect) return false;
  const bool closed =
      seat.urgent_rack && request.urgent_racks == UrgentRacks::kClosed;
  if (closed || info.service != request.service) return false;
  if (request.allowed != nullptr &&
      request.allowed->count(seat.runner->incarnation()) == 0) {
    return false;
  }
  if (!step.required_label.empty() &&
      info.labels.count(step.required_label) == 0) {
    return false;
  }
  if (!request.anywhere && !step.data_rack.empty() &&
      info.labels.count(step.data_rack) == 0) {
    return false;
  }
  if (seat.CountSharing(ConflictingSharing(step.sharing())) > 0) return false;
  return LimitPerSeat(request, seat) > 0;
}

CandidatePool::CandidatePool(std::vector<Candidate> seats)
    : seats_(std::move(seats)) {
  std::unordered_map<std::string_view, std::size_t> numbers;
  for (Candidate& seat : seats_) {
    seat.rack_number = numbers.emplace(seat.rack, numbers.size()).first->second;
    rack_room_.resize(numbers.size());
    rack_room_[seat.rack_number] += seat.room.accelerators;
  }
}

bool CandidatePool::FitsTimes(const PlacementRequest& request,
                              int times) const {
  int left = request.count * times;
  for (const Candidate& seat : seats_) {
    if (left <= 0) break;
    if (!Suits(seat, request)) continue;
    const int limit = std::min(left, LimitPerSeat(request, seat));
    left -=
        CountFitting(request.step->room(), seat.runner->free_capacity(), limit);
  }
  return left <= 0;
}

void CandidatePool::Take(Candidate* seat, const StepSpec& step,
                         bool is_suspect) {
  seat->room -= step.room();
  seat->tried = true;
  if (is_suspect) seat->on_probation = true;
  rack_room_[seat->rack_number] -= step.need.accelerators;
  if (step.sharing() == Sharing::kBestEffort) ++seat->best_effort_runs;
  if (step.sharing() == Sharing::kLatencySensitive)
    ++seat->latency_sensitive_runs;
}

Candidate* CandidatePool::PlaceOne(const PlacementRequest& request) {
  Candidate* best = nullptr;
  Waste best_waste;
  const Resources need = request.step->room();
  for (Candidate& seat : seats_) {
    if (!need.Fits(seat.room) || !Suits(seat, request)) continue;
    const Waste waste = WasteOf(seat, request, rack_room_[seat.rack_number]);
    if (best != nullptr && !(waste < best_waste)) continue;
    best = &seat;
    best_waste = waste;
  }
  if (best != nullptr) Take(best, *request.step, request.is_suspect);
  return best;
}

std::vector<Candidate*> CandidatePool::PlaceAmong(
    const PlacementRequest& request, const std::vector<Candidate*>& seats) {
  const Resources need = request.step->room();
  if (seats.empty()) return {};
  // A seat's place in the order is worked out once, which is most of the cost.
  std::vector<std::pair<Waste, Candidate*>> order;
  for (Candidate* seat : seats) {
    if (!need.Fits(seat->room)) continue;
    order.emplace_back(WasteOf(*seat, request, rack_room_[seat->rack_number]),
                       seat);
  }
  std::sort(order.begin(), order.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Candidate*> chosen;
  for (const auto& [waste, seat] : order) {
    const int left = request.count - static_cast<int>(chosen.size());
    const int limit = std::min(left, LimitPerSeat(request, *seat));
    const int fitting = CountFitting(need, seat->room, limit);
    chosen.insert(chosen.end(), fitting, seat);
    if (static_cast<int>(chosen.size()) == request.count) return chosen;
  }
  return {};
}

std::vector<Candidate*> CandidatePool::PlaceAll(
    const PlacementRequest& request) {
  const Resources need = request.step->room();
  std::vector<std::vector<Candidate*>> racks(rack_room_.size());
  std::vector<Candidate*> all;
  for (Candidate& seat : seats_) {
    if (!need.Fits(seat.room) || !Suits(seat, request)) continue;
    racks[seat.rack_number].push_back(&seat);
    all.push_back(&seat);
  }
  std::vector<Candidate*> best;
  // The fittest runners, then the fullest rack that fits, so that emptier ones
  // stay whole.
  std::tuple<std::int64_t, Fitness, bool, std::int64_t> best_cost;
  for (const std::vector<Candidate*>& seats : racks) {
    std::vector<Candidate*> chosen = PlaceAmong(request, seats);
    if (chosen.empty()) continue;
    // A gang is as slow as its slowest member, and fails with any of them.
    const Fitness fitness = FitnessOf(LeastTrustOf(chosen, request),
                                      AnyIsFar(chosen, *request.step));
    const Candidate& first = *seats.front();
    const bool preferred =
        first.urgent_rack && request.urgent_racks == UrgentRacks::kPreferred;
    std::int64_t risk = 0;
    for (const Candidate* seat : chosen) risk += RiskOf(*seat, request);
    const std::tuple<std::int64_t, Fitness, bool, std::int64_t> cost = {
        risk, fitness, !preferred, rack_room_[first.rack_number]};
    if (!best.empty() && cost >= best_cost) continue;
    best = std::move(chosen);
    best_cost = cost;
  }
  const bool one_rack_only = request.step->same_rack && !request.anywhere;
  if (best.empty() && !one_rack_only) best = PlaceAmong(request, all);
  for (Candidate* seat : best) Take(seat, *request.step, request.is_suspect);
  return best;
}

}  // namespace limeledge::dispatch
