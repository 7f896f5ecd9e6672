/// @file
/// Placement in a planning pass: which runners get the tasks of a step.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

namespace {

// A runner whose log pace is known less well than this is worth a measurement.
constexpr double kUnmeasuredDeviation = 0.2;
// A step that reaches its objective less probably than this on an average
// runner is placed so that it ends before it is worthless.
constexpr double kMinOnTimeChance = 0.1;

// Number of urgent gangs of the usual size for which a rack keeps fast runners.
constexpr double kGangsPerRack = 2;
// Weight of one pass in the usual size of urgent gangs.
constexpr double kGangSizeWeight = 0.05;

// A reserved runner stays reserved until another one is faster by this log
// pace. A runner that is reserved anew is usually full of other work for
// seconds.
constexpr double kKeptPace = 0.15;

// The middle of the grid of log paces is an average runner.
constexpr std::size_t kAverageBin = kPaceBins / 2;

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
  for (const Task& task : pending.step->tasks) {
    if (task.phase == TaskPhase::kAssigned) {
      ++request.tasks_per_runner[task.incarnation.runner];
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

std::size_t Planner::Pass::ReservedPerRack() {
  double sum = 0;
  int gangs = 0;
  for (const PendingStep& pending : pending_steps_) {
    if (pending.policy.priority != 0 || !pending.spec->gang) continue;
    sum += static_cast<double>(pending.spec->need.accelerators *
                               pending.spec->count);
    ++gangs;
  }
  double& usual = planner_.urgent_gang_accelerators_;
  if (gangs > 0) usual += kGangSizeWeight * (sum / gangs - usual);
  std::int64_t most = 1;
  for (const Candidate& candidate : pool_.candidates()) {
    most = std::max(most, candidate.runner->info().room.accelerators);
  }
  const double runners = kGangsPerRack * usual / static_cast<double>(most);
  return static_cast<std::size_t>(std::max(1.0, std::ceil(runners)));
}

void Planner::Pass::ReserveFastRunners() {
  using RankedRunner = std::pair<double, Candidate*>;
  std::vector<std::vector<RankedRunner>> racks(pool_.rack_count());
  for (Candidate& candidate : pool_.candidates()) {
    candidate.urgent_rack = false;
    // A runner that is probably fast but may be slow is not reserved.
    double pace = candidate.log_pace + DeviationOf(*candidate.pace);
    if (planner_.reserved_runners_.count(candidate.runner->id()) != 0) {
      pace -= kKeptPace;
    }
    racks[candidate.rack_number].emplace_back(pace, &candidate);
  }
  // Ranks racks by the slowest of the runners that are reserved there.
  const std::size_t per_rack = ReservedPerRack();
  std::vector<std::pair<double, std::size_t>> order;
  for (std::size_t rack = 0; rack < racks.size(); ++rack) {
    std::sort(racks[rack].begin(), racks[rack].end());
    if (racks[rack].size() > per_rack) racks[rack].resize(per_rack);
    if (!racks[rack].empty()) {
      order.emplace_back(racks[rack].back().first, rack);
    }
  }
  std::sort(order.begin(), order.end());
  auto left = std::llround(options_.urgent_share *
                           static_cast<double>(pool_.candidates().size()));
  urgent_total_ = Resources();
  planner_.reserved_runners_.clear();
  for (const auto& [pace, rack] : order) {
    for (const auto& [runner_pace, candidate] : racks[rack]) {
      if (left-- <= 0) return;
      candidate->urgent_rack = true;
      planner_.reserved_runners_.insert(candidate->runner->id());
      urgent_total_ += candidate->runner->info().room;
    }
  }
}

void Planner::Pass::SetPaces() {
  if (speeds_ == nullptr) return;
  for (Candidate& candidate : pool_.candidates()) {
    const Runner& runner = *candidate.runner;
    candidate.pace = &speeds_->PaceOf(runner.incarnation());
    candidate.log_pace = MeanOf(*candidate.pace);
    const bool under_way = std::any_of(
        runner.runs().begin(), runner.runs().end(),
        [](const auto& entry) { return entry.second.measures_runner; });
    candidate.unmeasured =
        !under_way && DeviationOf(*candidate.pace) > kUnmeasuredDeviation;
  }
  ReserveFastRunners();
}

PacePreference Planner::Pass::PacePreferenceOf(
    const PendingStep& pending) const {
  const RunnerSpeeds::Prediction prediction =
      speeds_->Predict(pending.job->spec().queue, pending.spec->estimate);
  const std::int64_t left =
      pending.latest_start_wall_ms - wall_ms_ + ExpectedTimeNear(pending).ms();
  const auto slack_of = [&prediction](std::int64_t ms) {
    return std::log(static_cast<double>(std::max<std::int64_t>(1, ms))) -
           prediction.log_ms;
  };
  OnTimeChance on_time(slack_of(left), prediction.deviation);
  if (on_time.AtBin(kAverageBin) < kMinOnTimeChance) {
    const std::int64_t objective =
        pending.rank.deadline_wall_ms - pending.from_wall_ms;
    on_time = OnTimeChance(
        slack_of(left + objective * (options_.worthless_after - 1)),
        prediction.deviation);
  }
  PacePreference preference{on_time};
  const bool urgent = pending.policy.priority == 0;
  preference.has_slack = !urgent;
  preference.measures_runners = !urgent && !pending.spec->gang &&
                                pending.spec->preemptible() &&
                                !pending.IsAnySuspect();
  return preference;
}

double Planner::Pass::PaceOn(const std::vector<Candidate*>& candidates) const {
  if (speeds_ == nullptr) return 1;
  SlowestPace slowest;
  for (const Candidate* candidate : candidates) slowest.Add(*candidate->pace);
  return std::exp(MeanOf(slowest.Distribution()));
}

bool Planner::Pass::NeedsReliableRunner(const PendingStep& pending,
                                        int failures) {
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
  if (pending->policy.needs_advice) {
    RequestAdviceFor(*pending, request);
    allowed = advice_.AllowedRunners(pending->key, now_);
    request.allowed = &allowed;
  }
  if (pending->spec->gang) {
    PlaceGang(pending, &request);
  } else {
    PlaceTasks(pending, &request);
  }
  const bool fits =
      plan_.assignments.size() - assigned == pending->waiting.size();
  if (!fits && !pending->rank.within_guarantee) {
    blocked_services_.insert(pending->policy.service);
  }
}

void Planner::Pass::RequestAdviceFor(const PendingStep& pending,
                                     const PlacementRequest& request) {
  AdviceRequest advice_request;
  advice_request.step = pending.key;
  std::vector<IncarnationId> full;
  for (const Candidate& candidate : pool_.candidates()) {
    if (!CandidatePool::MeetsConstraints(candidate, request)) continue;
    const bool fits = pending.spec->room().Fits(candidate.room);
    (fits ? advice_request.runners : full)
        .push_back(candidate.runner->incarnation());
  }
  advice_request.runners.insert(advice_request.runners.end(), full.begin(),
                                full.end());
  plan_.advice_requests.push_back(std::move(advice_request));
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
      pool_.FitsMultiple(request, 2);
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
  for (const Candidate& candidate : pool_.candidates()) {
    if (candidate.urgent_rack) idle += candidate.room;
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

Candidate* Planner::Pass::PlaceOne(const PendingStep& pending,
                                   const PlacementRequest& request) {
  Candidate* candidate = pool_.PlaceOne(request);
  if (candidate != nullptr) return candidate;
  const std::optional<PlacementRequest> widened =
      WithUrgentRacks(pending, request, 1);
  return widened.has_value() ? pool_.PlaceOne(*widened) : nullptr;
}

std::vector<Candidate*> Planner::Pass::PlaceAll(
    const PendingStep& pending, const PlacementRequest& request) {
  std::vector<Candidate*> candidates = pool_.PlaceAll(request);
  if (!candidates.empty()) return candidates;
  const std::optional<PlacementRequest> widened =
      WithUrgentRacks(pending, request, request.count);
  return widened.has_value() ? pool_.PlaceAll(*widened) : candidates;
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
    ++request->tasks_per_runner[candidate->runner->id()];
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
