/// @file
/// Placement in a planning pass: which runners get the tasks of a step.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

namespace {

/// More than a request for advice names.
constexpr std::size_t kMaxAdviceCandidates = 200;

}  // namespace

Duration Planner::Pass::LocalityWaitOf(const PendingStep& pending) const {
  return pending.policy.priority == 0 ? options_.urgent_locality_wait
                                      : options_.locality_wait;
}

PlacementRequest Planner::Pass::RequestFor(const PendingStep& pending) {
  PlacementRequest request;
  request.step = pending.spec;
  request.service = pending.policy.service;
  request.count = static_cast<int>(pending.waiting.size());
  const TimePoint end = pending.step->ready_since + LocalityWaitOf(pending);
  request.ignore_locality = now_ >= end;
  WakeAt(end);
  request.avoided = &pending.step->failed_on;
  if (pending.spec->max_per_runner > 0) {
    for (const Task& task : pending.step->tasks) {
      if (task.phase == TaskPhase::kAssigned) {
        ++request.tasks_per_runner[task.incarnation.runner];
      }
    }
  }
  if (pending.policy.priority == 0) {
    request.urgent_racks = UrgentRacks::kPreferred;
    request.prefers_fast = true;
  } else if (!mostly_idle_ || !request.ignore_locality) {
    request.urgent_racks = UrgentRacks::kClosed;
  }
  if (speeds_ != nullptr) request.pace.emplace(PacePreferenceOf(pending));
  return request;
}

bool Planner::Pass::NeedsReliableRunner(const PendingStep& pending,
                                        int failures) {
  if (pending.spec->long_running) return false;
  if (failures + 1 < pending.policy.max_attempts) return false;
  if (!mostly_idle_) return true;
  const TimePoint end = pending.step->ready_since + options_.last_attempt_wait;
  WakeAt(end);
  return now_ < end;
}

bool Planner::Pass::IsTriedInThisPass(const PendingStep& pending) {
  if (pending.policy.priority == 0 || !pending.spec->gang) return true;
  ++gangs_seen_;
  if (gangs_seen_ <= options_.gangs_per_pass) return true;
  return (gangs_seen_ + planner_.passes_) % options_.remaining_gangs_interval ==
         0;
}

bool Planner::Pass::IsBlocked(const PendingStep& pending) const {
  if (pending.rank.within_guarantee || !options_.policy->ForbidsBackfill()) {
    return false;
  }
  return blocked_services_.count(pending.policy.service) != 0;
}

void Planner::Pass::Place(PendingStep* pending) {
  ++plan_.steps_tried;
  const std::size_t assigned = plan_.assignments.size();
  PlacementRequest request = RequestFor(*pending);
  std::set<IncarnationId> allowed;
  AdviceRequest advice_request;
  if (pending->policy.needs_advice) {
    advice_request = AdviceRequestFor(*pending, request);
    allowed = advice_.AllowedRunners(pending->key, now_);
    request.allowed = &allowed;
  }
  if (pending->spec->gang) {
    PlaceGang(pending, &request);
  } else {
    PlaceTasks(pending, &request);
  }
  const auto left = static_cast<int>(pending->waiting.size() -
                                     (plan_.assignments.size() - assigned));
  if (left > 0 && !pending->rank.within_guarantee) {
    blocked_services_.insert(pending->policy.service);
  }
  if (left > 0 && !advice_request.runners.empty()) {
    advice_request.tasks = left;
    plan_.advice_requests.push_back(std::move(advice_request));
  }
}

AdviceRequest Planner::Pass::AdviceRequestFor(const PendingStep& pending,
                                              const PlacementRequest& request) {
  AdviceRequest advice_request;
  advice_request.step = pending.key;
  advice_request.gang = pending.spec->gang;
  advice_request.same_rack = pending.spec->gang && pending.spec->same_rack;
  advice_request.service_time = pending.policy.advice_time;
  advice_request.service_time_per_runner =
      pending.policy.advice_time_per_runner;
  const std::set<IncarnationId>& denied = advice_.DeniedRunners(pending.key);
  std::vector<const Candidate*> fitting;
  std::vector<AdviceCandidate> large_enough;
  int fit_now = 0;
  int fit_ever = 0;
  CountLooksAtAll();
  for (const Candidate& candidate : pool_.candidates()) {
    const Runner& runner = *candidate.runner;
    if (!CandidatePool::MeetsConstraints(candidate, request)) continue;
    if (denied.count(runner.incarnation()) != 0) continue;
    const int now =
        CandidatePool::CountTasks(candidate, request, candidate.room);
    const int ever =
        CandidatePool::CountTasks(candidate, request, runner.info().room);
    fit_now += now;
    fit_ever += ever;
    if (now > 0) fitting.push_back(&candidate);
    if (ever > 0) large_enough.push_back({runner.incarnation(), ever});
  }
  const int needed = pending.spec->gang ? request.count : 1;
  if (fit_now >= needed) {
    advice_request.can_start = true;
    pool_.KeepBest(request, kMaxAdviceCandidates, &fitting);
    for (const Candidate* candidate : fitting) {
      advice_request.runners.push_back(
          {candidate->runner->incarnation(),
           CandidatePool::CountTasks(*candidate, request, candidate->room)});
    }
  } else if (fit_ever >= needed) {
    advice_request.can_start = MayPreemptAny(pending);
    advice_request.runners = std::move(large_enough);
  }
  return advice_request;
}

Duration Planner::Pass::ExpectedTimeNear(const PendingStep& pending) const {
  return times_.ExpectedTime(pending.job->spec().queue, pending.spec->estimate);
}

bool Planner::Pass::FinishesSoonerByWaiting(const PendingStep& pending,
                                            const PlacementRequest& request) {
  const bool may_be_far =
      pending.spec->same_rack || !pending.spec->data_rack.empty();
  // Urgent work must start within its guarantee.
  if (!request.ignore_locality || !may_be_far || pending.policy.priority == 0) {
    return false;
  }
  // Waiting any longer than this cannot pay off: started anywhere, the gang
  // would be done by then.
  const TimePoint longest_wait =
      pending.step->ready_since + LocalityWaitOf(pending) +
      ExpectedTimeNear(pending) * (kRemoteSlowdown - 1);
  if (now_ >= longest_wait) return false;
  const bool has_waited_long =
      now_ - pending.step->ready_since >=
          options_.max_locality_wait_with_free_capacity &&
      FitsMultiple(request, 2);
  if (has_waited_long) return false;
  PlacementRequest near = request;
  near.ignore_locality = false;
  const std::optional<CapacityForecast> forecast =
      EarliestCompletion(pending, near);
  return forecast.has_value() &&
         forecast->until < ExpectedTimeNear(pending) * kRemoteSlowdown;
}

void Planner::Pass::MinimizeWorkAtRisk(PlacementRequest* request) {
  request->is_suspect = true;
  if (work_at_risk_known_) return;
  work_at_risk_known_ = true;
  for (Candidate& candidate : pool_.candidates()) {
    CountLooks(1 + candidate.runner->runs().size());
    for (const auto& [name, run] : candidate.runner->runs()) {
      candidate.work_at_risk += PreemptionCost(name, run);
    }
  }
}

void Planner::Pass::PlaceGang(PendingStep* pending, PlacementRequest* request) {
  if (pending->IsAnySuspect()) MinimizeWorkAtRisk(request);
  request->is_last_attempt =
      NeedsReliableRunner(*pending, pending->step->gang_failures);
  if (FinishesSoonerByWaiting(*pending, *request)) {
    request->ignore_locality = false;
  }
  const std::vector<Candidate*> candidates = PlaceAll(*pending, *request);
  if (candidates.empty()) {
    AcquireCapacity(*pending, *request);
    return;
  }
  const int run =
      pending->job->NextRun({pending->key.job, pending->key.occurrence,
                             pending->key.step, pending->waiting.front()});
  std::set<std::string> racks;
  for (const Candidate* candidate : candidates) racks.insert(candidate->rack);
  const bool far = pending->spec->same_rack && racks.size() > 1;
  const double pace = PaceOn(candidates);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    Assign(*pending, pending->waiting[i], run, candidates[i], far, pace);
  }
  planner_.reservations_.erase(pending->key);
}

bool Planner::Pass::LeavesHeadroom(const PendingStep& pending,
                                   int tasks) const {
  Resources idle;
  CountLooksAtAll();
  for (const Candidate& candidate : pool_.candidates()) {
    if (candidate.reserved) idle += candidate.room;
  }
  const double share = IsNearDeadline(pending) ? options_.late_headroom
                                               : options_.urgent_headroom;
  const auto leaves = [share, tasks](std::int64_t need, std::int64_t free,
                                     std::int64_t all) {
    const auto left = static_cast<double>(free - need * tasks);
    return need == 0 || left >= share * static_cast<double>(all);
  };
  const Resources& need = pending.spec->need;
  return leaves(need.accelerators, idle.accelerators,
                urgent_total_.accelerators) &&
         leaves(need.cpu_millis, idle.cpu_millis, urgent_total_.cpu_millis);
}

std::optional<PlacementRequest> Planner::Pass::WithUrgentRacks(
    const PendingStep& pending, const PlacementRequest& request,
    int tasks) const {
  const bool closed = request.urgent_racks == UrgentRacks::kClosed;
  if (!closed || !request.ignore_locality) return std::nullopt;
  // Steps that cannot be preempted would block the racks for urgent work.
  if (!pending.spec->preemptible()) return std::nullopt;
  if (!LeavesHeadroom(pending, tasks)) return std::nullopt;
  PlacementRequest widened = request;
  widened.urgent_racks = UrgentRacks::kOpen;
  return widened;
}

bool Planner::Pass::FitsMultiple(const PlacementRequest& request,
                                 int times) const {
  CountLooksAtAll();
  return pool_.FitsMultiple(request, times);
}

Candidate* Planner::Pass::PlaceOne(const PendingStep& pending,
                                   const PlacementRequest& request) {
  CountLooksAtAll();
  Candidate* candidate = pool_.PlaceOne(request);
  if (candidate != nullptr) return candidate;
  const std::optional<PlacementRequest> widened =
      WithUrgentRacks(pending, request, 1);
  if (!widened.has_value()) return nullptr;
  CountLooksAtAll();
  return pool_.PlaceOne(*widened);
}

std::vector<Candidate*> Planner::Pass::PlaceAll(
    const PendingStep& pending, const PlacementRequest& request) {
  CountLooksAtAll();
  std::vector<Candidate*> candidates = pool_.PlaceAll(request);
  if (!candidates.empty()) return candidates;
  const std::optional<PlacementRequest> widened =
      WithUrgentRacks(pending, request, request.count);
  if (!widened.has_value()) return candidates;
  CountLooksAtAll();
  return pool_.PlaceAll(*widened);
}

bool Planner::Pass::IsKnownNotToFit(const PendingStep& pending) const {
  const auto found = unplaceable_.find(pending.policy.service);
  if (found == unplaceable_.end()) return false;
  for (const Resources& need : found->second) {
    if (need.Fits(pending.spec->room())) return true;
  }
  return false;
}

void Planner::Pass::PlaceTasks(PendingStep* pending,
                               PlacementRequest* request) {
  if (IsKnownNotToFit(*pending)) {
    AcquireCapacity(*pending, *request);
    return;
  }
  const TaskPlacementResult placed = PlaceFittingTasks(pending, request);
  request->count -= placed.tasks;
  request->is_last_attempt = placed.deferred == request->count;
  const bool nothing_fits = placed.tasks == 0 && placed.deferred == 0;
  if (nothing_fits && IsUnconstrained(*pending, *request)) {
    unplaceable_[pending->policy.service].push_back(pending->spec->room());
  }
  if (request->count == 0) {
    planner_.reservations_.erase(pending->key);
  } else {
    AcquireCapacity(*pending, *request);
  }
}

Planner::Pass::TaskPlacementResult Planner::Pass::PlaceFittingTasks(
    PendingStep* pending, PlacementRequest* request) {
  TaskPlacementResult placed;
  const bool measures =
      request->pace.has_value() && request->pace->measures_runners;
  for (const int index : pending->waiting) {
    // A run that resumes from a checkpoint yields no measurement.
    if (measures) {
      request->pace->measures_runners =
          pending->step->tasks[index].checkpoint.empty();
    }
    request->is_suspect = false;
    if (pending->IsSuspectTask(index)) MinimizeWorkAtRisk(request);
    request->is_last_attempt =
        NeedsReliableRunner(*pending, pending->step->tasks[index].failures);
    // Other tasks of the step may fit where final attempts must not run.
    const bool also_deferred = request->is_last_attempt && placed.deferred > 0;
    Candidate* candidate =
        also_deferred ? nullptr : PlaceOne(*pending, *request);
    if (candidate == nullptr && request->is_last_attempt) {
      ++placed.deferred;
      continue;
    }
    if (candidate == nullptr) break;
    if (pending->spec->max_per_runner > 0) {
      ++request->tasks_per_runner[candidate->runner->id()];
    }
    const int run = pending->step->tasks[index].run + 1;
    Assign(*pending, index, run, candidate, false, PaceOn({candidate}));
    ++placed.tasks;
  }
  return placed;
}

bool Planner::Pass::IsUnconstrained(const PendingStep& pending,
                                    const PlacementRequest& request) {
  return request.allowed == nullptr && request.ignore_locality &&
         request.urgent_racks != UrgentRacks::kClosed &&
         pending.spec->required_label.empty() &&
         pending.spec->sharing() == Sharing::kNone &&
         pending.spec->max_per_runner == 0;
}

void Planner::Pass::Assign(const PendingStep& pending, int index, int run,
                           Candidate* candidate, bool spread, double pace) {
  const StepSpec& spec = *pending.spec;
  const bool off_data =
      !spec.data_rack.empty() &&
      candidate->runner->info().labels.count(spec.data_rack) == 0;
  const bool far = spread || off_data;
  const Duration near_time(
      std::llround(pace * static_cast<double>(ExpectedTimeNear(pending).ms())));
  const Duration expected = far ? near_time * kRemoteSlowdown : near_time;
  plan_.assignments.push_back(
      {{pending.key.job, pending.key.occurrence, pending.key.step, index},
       run,
       candidate->runner,
       expected,
       near_time,
       pace});
}

}  // namespace limeledge::dispatch
