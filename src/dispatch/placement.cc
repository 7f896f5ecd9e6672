/// @file
/// Best-fit placement of tasks and gangs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace limeledge::dispatch {

namespace {

// Differences in the chance to end in time below these steps do not matter: to
// urgent work, and to work that leaves fast runners to urgent work.
constexpr double kChanceStep = 0.04;
constexpr double kCoarseChanceStep = 0.25;
// Puts a runner whose pace a task would measure before all others.
constexpr int kMeasuringRank = -1;

// Urgent work avoids runners that usually take this many times as long.
constexpr double kSlightlySlowRunner = 1.07;

int MaxTasksOn(const PlacementRequest& request, const Candidate& candidate) {
  const int most =
      candidate.may_fail_immediately ? 1 : std::numeric_limits<int>::max();
  const int limit = request.step->max_per_runner;
  if (limit <= 0) return most;
  const auto tasks_per_runner =
      request.tasks_per_runner.find(candidate.runner->id());
  const int taken = tasks_per_runner == request.tasks_per_runner.end()
                        ? 0
                        : tasks_per_runner->second;
  return std::clamp(limit - taken, 0, most);
}

/// How reliable and fast a runner is, best first.
enum class RunnerTrust { kSound, kSlightlySlow, kSlow, kSuspect, kAvoided };

RunnerTrust TrustIn(const Candidate& candidate,
                    const PlacementRequest& request) {
  const bool avoided =
      request.avoided != nullptr && !request.avoided->empty() &&
      request.avoided->count(candidate.runner->incarnation()) != 0;
  if (avoided) return RunnerTrust::kAvoided;
  if (candidate.suspect) return RunnerTrust::kSuspect;
  if (candidate.runner->IsSlow()) return RunnerTrust::kSlow;
  const bool leisurely = request.prefers_fast && !request.pace.has_value() &&
                         candidate.runner->usual_pace() >= kSlightlySlowRunner;
  return leisurely ? RunnerTrust::kSlightlySlow : RunnerTrust::kSound;
}

/// The worst value among the candidates.
RunnerTrust LowestTrustIn(const std::vector<Candidate*>& candidates,
                          const PlacementRequest& request) {
  RunnerTrust least = RunnerTrust::kSound;
  for (const Candidate* candidate : candidates) {
    least = std::max(least, TrustIn(*candidate, request));
  }
  return least;
}

/// True if the step's data is in another rack.
bool IsFar(const Candidate& candidate, const StepSpec& step) {
  return !step.data_rack.empty() &&
         candidate.runner->info().labels.count(step.data_rack) == 0;
}

/// True if a task of the request would measure the candidate. A run away from
/// its data yields no measurement.
bool Measures(const Candidate& candidate, const PlacementRequest& request) {
  return request.pace.has_value() && request.pace->measures_runners &&
         candidate.unmeasured && !IsFar(candidate, *request.step);
}

/// Ranks a place regardless of its capacity; smaller is better. A run far from
/// its data takes three times as long, which is worse than a slow runner but
/// better than one that may fail the run.
using Fitness = std::tuple<bool, bool, RunnerTrust>;

Fitness FitnessOf(RunnerTrust trust, bool far) {
  return {trust >= RunnerTrust::kSuspect, far, trust};
}

/// Ranks a pace for the request; smaller is better.
int PaceRankOf(const PacePreference& preference, const PaceDistribution& pace) {
  const double step = preference.has_slack ? kCoarseChanceStep : kChanceStep;
  return static_cast<int>(
      std::lround((1 - preference.on_time.Of(pace)) / step));
}

/// Ranks the pace of a candidate for one task; 0 while speeds are not in use.
int PaceRankOf(const Candidate& candidate, const PlacementRequest& request) {
  if (!request.pace.has_value() || candidate.pace == nullptr) return 0;
  if (Measures(candidate, request)) return kMeasuringRank;
  return PaceRankOf(*request.pace, *candidate.pace);
}

/// Ranks the pace of a gang, which is that of its slowest member.
int PaceRankOf(const std::vector<Candidate*>& candidates,
               const PlacementRequest& request) {
  if (!request.pace.has_value() || candidates.front()->pace == nullptr) {
    return 0;
  }
  SlowestPace slowest;
  for (const Candidate* candidate : candidates) slowest.Add(*candidate->pace);
  return PaceRankOf(*request.pace, slowest.Distribution());
}

/// Work at risk if the request's tasks crash their runners.
std::int64_t RiskOf(const Candidate& candidate,
                    const PlacementRequest& request) {
  return request.is_suspect ? candidate.work_at_risk : 0;
}

/// Ranks a place; smaller is better. Orders by the work at risk, the fitness of
/// the runner, its lasting pace, its accelerators left over (best fit), the
/// free accelerators of its rack, so that whole racks stay free for gangs, and
/// its cores left over.
using PlacementCost = std::tuple<std::int64_t, Fitness, int, std::int64_t,
                                 std::int64_t, std::int64_t>;

PlacementCost PlacementCostOf(const Candidate& candidate,
                              const PlacementRequest& request,
                              std::int64_t rack_room) {
  const Resources& need = request.step->need;
  return {
      RiskOf(candidate, request),
      FitnessOf(TrustIn(candidate, request), IsFar(candidate, *request.step)),
      PaceRankOf(candidate, request),
      candidate.room.accelerators - need.accelerators,
      rack_room,
      candidate.room.cpu_millis - need.cpu_millis};
}

/// True if at least one candidate is far from the step's data.
bool AnyIsFar(const std::vector<Candidate*>& candidates, const StepSpec& step) {
  return std::any_of(
      candidates.begin(), candidates.end(),
      [&step](const Candidate* candidate) { return IsFar(*candidate, step); });
}

}  // namespace

int CountFitting(const Resources& need, const Resources& room, int limit) {
  std::int64_t count = limit;
  const auto narrow = [&count](std::int64_t needed, std::int64_t available) {
    if (needed <= 0) return;
    count = std::min(count, std::max<std::int64_t>(0, available / needed));
  };
  narrow(need.cpu_millis, room.cpu_millis);
  narrow(need.memory_mb, room.memory_mb);
  narrow(need.accelerators, room.accelerators);
  return static_cast<int>(count);
}

bool CandidatePool::MeetsConstraints(const Candidate& candidate,
                                     const PlacementRequest& request) {
  const RunnerInfo& info = candidate.runner->info();
  const StepSpec& step = *request.step;
  if (candidate.on_probation ||
      (candidate.may_fail_immediately && candidate.tried)) {
    return false;
  }
  if (request.is_last_attempt && candidate.suspect) return false;
  const bool closed = candidate.reserved &&
                      request.urgent_racks == UrgentRacks::kClosed &&
                      !Measures(candidate, request);
  if (closed || info.service != request.service) return false;
  if (request.allowed != nullptr &&
      request.allowed->count(candidate.runner->incarnation()) == 0) {
    return false;
  }
  if (!step.required_label.empty() &&
      info.labels.count(step.required_label) == 0) {
    return false;
  }
  if (!request.ignore_locality && !step.data_rack.empty() &&
      info.labels.count(step.data_rack) == 0) {
    return false;
  }
  if (candidate.CountSharing(ConflictingSharing(step.sharing())) > 0) {
    return false;
  }
  return MaxTasksOn(request, candidate) > 0;
}

int CandidatePool::CountTasks(const Candidate& candidate,
                              const PlacementRequest& request,
                              const Resources& room) {
  const int limit = std::min(request.count, MaxTasksOn(request, candidate));
  return CountFitting(request.step->room(), room, limit);
}

void CandidatePool::KeepBest(const PlacementRequest& request, std::size_t limit,
                             std::vector<const Candidate*>* candidates) const {
  std::vector<std::pair<PlacementCost, const Candidate*>> order;
  order.reserve(candidates->size());
  for (const Candidate* candidate : *candidates) {
    order.emplace_back(
        PlacementCostOf(*candidate, request,
                        free_accelerators_[candidate->rack_number]),
        candidate);
  }
  const std::size_t kept = std::min(limit, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<std::ptrdiff_t>(kept),
                    order.end());
  candidates->clear();
  for (std::size_t i = 0; i < kept; ++i) {
    candidates->push_back(order[i].second);
  }
}

CandidatePool::CandidatePool(std::vector<Candidate> candidates)
    : candidates_(std::move(candidates)) {
  std::unordered_map<std::string_view, std::size_t> numbers;
  for (Candidate& candidate : candidates_) {
    candidate.rack_number =
        numbers.emplace(candidate.rack, numbers.size()).first->second;
    free_accelerators_.resize(numbers.size());
    free_accelerators_[candidate.rack_number] += candidate.room.accelerators;
  }
}

bool CandidatePool::FitsMultiple(const PlacementRequest& request,
                                 int times) const {
  int left = request.count * times;
  for (const Candidate& candidate : candidates_) {
    if (left <= 0) break;
    if (!MeetsConstraints(candidate, request)) continue;
    const int limit = std::min(left, MaxTasksOn(request, candidate));
    left -= CountFitting(request.step->room(),
                         candidate.runner->free_capacity(), limit);
  }
  return left <= 0;
}

void CandidatePool::Take(Candidate* candidate, const StepSpec& step,
                         bool is_suspect) {
  candidate->room -= step.room();
  candidate->tried = true;
  candidate->unmeasured = false;
  if (is_suspect) candidate->on_probation = true;
  free_accelerators_[candidate->rack_number] -= step.need.accelerators;
  if (step.sharing() == Sharing::kBestEffort) ++candidate->best_effort_runs;
  if (step.sharing() == Sharing::kLatencySensitive) {
    ++candidate->latency_sensitive_runs;
  }
}

Candidate* CandidatePool::PlaceOne(const PlacementRequest& request) {
  Candidate* best = nullptr;
  PlacementCost best_cost;
  const Resources need = request.step->room();
  for (Candidate& candidate : candidates_) {
    if (!need.Fits(candidate.room) || !MeetsConstraints(candidate, request)) {
      continue;
    }
    const PlacementCost cost = PlacementCostOf(
        candidate, request, free_accelerators_[candidate.rack_number]);
    if (best != nullptr && !(cost < best_cost)) continue;
    best = &candidate;
    best_cost = cost;
  }
  if (best != nullptr) Take(best, *request.step, request.is_suspect);
  return best;
}

std::vector<Candidate*> CandidatePool::PlaceWithin(
    const PlacementRequest& request,
    const std::vector<Candidate*>& candidates) {
  const Resources need = request.step->room();
  if (candidates.empty()) return {};
  // Computes each cost only once, because it dominates the cost of sorting.
  std::vector<std::pair<PlacementCost, Candidate*>> order;
  for (Candidate* candidate : candidates) {
    if (!need.Fits(candidate->room)) continue;
    order.emplace_back(
        PlacementCostOf(*candidate, request,
                        free_accelerators_[candidate->rack_number]),
        candidate);
  }
  std::sort(order.begin(), order.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Candidate*> chosen;
  for (const auto& [cost, candidate] : order) {
    const int left = request.count - static_cast<int>(chosen.size());
    const int fitting = std::min(
        left, CandidatePool::CountTasks(*candidate, request, candidate->room));
    chosen.insert(chosen.end(), fitting, candidate);
    if (static_cast<int>(chosen.size()) == request.count) return chosen;
  }
  return {};
}

std::vector<Candidate*> CandidatePool::PlaceAll(
    const PlacementRequest& request) {
  const Resources need = request.step->room();
  std::vector<std::vector<Candidate*>> racks(free_accelerators_.size());
  std::vector<Candidate*> all;
  for (Candidate& candidate : candidates_) {
    if (!need.Fits(candidate.room) || !MeetsConstraints(candidate, request)) {
      continue;
    }
    racks[candidate.rack_number].push_back(&candidate);
    all.push_back(&candidate);
  }
  std::vector<Candidate*> best;
  // Prefers the fittest runners, then the fullest rack that fits, so that
  // emptier racks stay free for other gangs.
  std::tuple<std::int64_t, Fitness, int, bool, std::int64_t> best_cost;
  for (const std::vector<Candidate*>& candidates : racks) {
    std::vector<Candidate*> chosen = PlaceWithin(request, candidates);
    if (chosen.empty()) continue;
    // A gang is as slow as its slowest member and fails if any member fails.
    const Fitness fitness = FitnessOf(LowestTrustIn(chosen, request),
                                      AnyIsFar(chosen, *request.step));
    // While speeds are in use, only some runners of a rack are reserved.
    const bool preferred = request.urgent_racks == UrgentRacks::kPreferred &&
                           std::all_of(chosen.begin(), chosen.end(),
                                       [](const Candidate* candidate) {
                                         return candidate->reserved;
                                       });
    std::int64_t risk = 0;
    for (const Candidate* candidate : chosen) {
      risk += RiskOf(*candidate, request);
    }
    const std::tuple<std::int64_t, Fitness, int, bool, std::int64_t> cost = {
        risk, fitness, PaceRankOf(chosen, request), !preferred,
        free_accelerators_[candidates.front()->rack_number]};
    if (!best.empty() && cost >= best_cost) continue;
    best = std::move(chosen);
    best_cost = cost;
  }
  const bool one_rack_only =
      request.step->same_rack && !request.ignore_locality;
  if (best.empty() && !one_rack_only) best = PlaceWithin(request, all);
  // Racks do not matter to other gangs, so that they may combine the best
  // runners of several.
  if (request.pace.has_value() && !request.step->same_rack && !best.empty()) {
    std::vector<Candidate*> chosen = PlaceWithin(request, all);
    const auto cost_of = [&request](const std::vector<Candidate*>& gang) {
      return std::make_pair(FitnessOf(LowestTrustIn(gang, request),
                                      AnyIsFar(gang, *request.step)),
                            PaceRankOf(gang, request));
    };
    if (!request.is_suspect && cost_of(chosen) < cost_of(best)) {
      best = std::move(chosen);
    }
  }
  for (Candidate* candidate : best) {
    Take(candidate, *request.step, request.is_suspect);
  }
  return best;
}

}  // namespace limeledge::dispatch
