/// @file
/// Preemption in a planning pass.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

#include "dispatch/planner_pass.h"
#include "dispatch/preemption_cost.h"

namespace limeledge::dispatch {

namespace {

constexpr std::int64_t kMillisPerCore = 1000;
// Runs that save their progress do so every second or two, which bounds the
// loss by a stop.
constexpr Duration kUnsavedProgress{1000};
// A lasting task loses no work by a stop, but may be away until there is room
// elsewhere. Runs that lose less make way before it.
constexpr Duration kInterruption{60000};

/// What a preemption of the run at `now` loses, if its progress was saved last
/// at `saved_at`.
RunAtRisk AtRisk(const Run& run, TimePoint saved_at, TimePoint now) {
  if (run.phase != RunPhase::kRunning) return {run.need, Duration(0)};
  // The start of a run that a poll confirmed first is not known.
  const TimePoint from = std::max({saved_at, run.started_at, run.assigned_at});
  return {run.need, now - from};
}

/// Cores that the run takes, with that many for each of its accelerators.
std::int64_t CoresOf(const Run& run, int cores_per_accelerator) {
  return run.need.cpu_millis / kMillisPerCore +
         run.need.accelerators * cores_per_accelerator;
}

}  // namespace

void Planner::Pass::AcquireCapacity(const PendingStep& pending,
                                    const PlacementRequest& request) {
  const auto reservation = planner_.reservations_.find(pending.key);
  if (reservation != planner_.reservations_.end()) {
    const TimePoint end = reservation->second.since + options_.reservation_time;
    if (now_ < end) {
      WakeAt(end);
      ReserveOn(pending, reservation->second.runners);
      RecordWait(pending, WaitReason::kPreempting);
      return;
    }
    planner_.reservations_.erase(reservation);
  }
  RecordWait(pending, PreemptOrReserve(pending, request));
}

WaitReason Planner::Pass::PreemptOrReserve(const PendingStep& pending,
                                           const PlacementRequest& request) {
  if (request.allowed != nullptr && request.allowed->empty()) {
    return WaitReason::kNoTickets;
  }
  if (pending.spec->sharing() == Sharing::kLatencySensitive) {
    return PreemptFillers(pending, request);
  }
  WaitReason reason = WaitReason::kNoCapacity;
  if (MayPreemptAny(pending)) {
    if (WaitsForFreeCapacity(pending, request)) return WaitReason::kNoCapacity;
    reason = Preempt(pending, request);
    // No step has a higher priority, so free capacity needs no reservation.
    if (pending.policy.priority == 0) return reason;
  }
  const bool waits = reason != WaitReason::kPreempting && pending.spec->gang;
  if (waits && ReserveForGang(pending, request)) return WaitReason::kReserved;
  return reason;
}

bool Planner::Pass::MayPreemptAny(const PendingStep& pending) {
  if (!free_capacity_known_) return false;
  if (pending.rank.within_guarantee) return true;
  if (pending.policy.priority == 0) {
    return options_.policy->PreemptsBeyondGuarantee();
  }
  return options_.policy->PreemptsNearDeadline() &&
         MayPreemptForDeadline(pending);
}

bool Planner::Pass::IsNearDeadline(const PendingStep& pending) const {
  return Duration(pending.latest_start_wall_ms - wall_ms_) <=
         options_.deadline_margin;
}

bool Planner::Pass::MayPreemptForDeadline(const PendingStep& pending) {
  if (!IsNearDeadline(pending)) {
    const Duration left(pending.latest_start_wall_ms - wall_ms_);
    WakeAt(now_ + left - options_.deadline_margin);
    return false;
  }
  // Late work still earns something and would starve behind lower priorities
  // that take its place.
  return pending.rank.deadline_status != DeadlineStatus::kWorthless;
}

void Planner::Pass::ReserveOn(const PendingStep& pending,
                              const std::vector<RunnerId>& runners) {
  for (const RunnerId& id : runners) {
    Candidate* candidate = FindCandidate(id);
    if (candidate != nullptr) candidate->room -= pending.spec->room();
  }
}

Candidate* Planner::Pass::FindCandidate(const RunnerId& id) {
  std::vector<Candidate>& candidates = pool_.candidates();
  // The fleet lists them in the order of their ids.
  const auto found =
      std::lower_bound(candidates.begin(), candidates.end(), id,
                       [](const Candidate& candidate, const RunnerId& wanted) {
                         return candidate.runner->id() < wanted;
                       });
  const bool known = found != candidates.end() && found->runner->id() == id;
  return known ? &*found : nullptr;
}

std::int64_t Planner::Pass::PreemptionCost(const TaskName& name,
                                           const Run& run) {
  const Job* job = jobs_.Find(name.job);
  if (job == nullptr) return 0;
  const StepSpec& spec = job->step_spec(name.step);
  const bool urgent = PolicyOf(*job, catalog_).priority == 0;
  const std::int64_t weight = urgent ? options_.urgent_victim_weight : 1;
  if (run.lasting) return InterruptionCost(spec, run, weight);
  if (planner_.preempts_by_loss_) return UnsavedWork(name, run, weight);
  Duration lost =
      run.phase == RunPhase::kRunning ? now_ - run.started_at : Duration(0);
  if (spec.saves_progress) lost = std::min(lost, kUnsavedProgress);
  const int members = spec.gang ? spec.count : 1;
  return CoresOf(run, options_.cores_per_accelerator) * (lost.ms() + 1) *
         members * weight;
}

std::int64_t Planner::Pass::InterruptionCost(const StepSpec& spec,
                                             const Run& run,
                                             std::int64_t weight) const {
  const int members = spec.gang ? spec.count : 1;
  return CoresOf(run, options_.cores_per_accelerator) * kInterruption.ms() *
         members * weight;
}

std::int64_t Planner::Pass::UnsavedWork(const TaskName& name, const Run& run,
                                        std::int64_t weight) {
  const Job* job = jobs_.Find(name.job);
  if (!job->step_spec(name.step).gang) {
    return dispatch::PreemptionCost(AtRisk(run, run.saved_at, now_),
                                    {options_.cores_per_accelerator, weight});
  }
  // All members have the same cost, and each of them may be asked for.
  const StepName gang{name.job, name.occurrence, name.step};
  const auto known = unsaved_gang_work_.find(gang);
  if (known != unsaved_gang_work_.end()) return known->second;
  const Step& step = job->occurrences()[name.occurrence].steps[name.step];
  return unsaved_gang_work_[gang] = UnsavedGangWork(step, name, run, weight);
}

std::int64_t Planner::Pass::UnsavedGangWork(const Step& step,
                                            const TaskName& name,
                                            const Run& run,
                                            std::int64_t weight) {
  std::vector<const Run*> members;
  TaskName member = name;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    member.index = static_cast<int>(i);
    const auto found = fleet_.runners().find(step.tasks[i].incarnation.runner);
    if (found == fleet_.runners().end()) continue;
    const Run* other = found->second->FindRun(member, run.number);
    if (other != nullptr) members.push_back(other);
  }
  // A checkpoint of one member is one of the whole gang.
  TimePoint saved_at;
  for (const Run* other : members) {
    saved_at = std::max(saved_at, other->saved_at);
  }
  std::vector<RunAtRisk> at_risk;
  for (const Run* other : members) {
    at_risk.push_back(AtRisk(*other, saved_at, now_));
  }
  return dispatch::PreemptionCost(at_risk,
                                  {options_.cores_per_accelerator, weight});
}

bool Planner::Pass::WaitsForFreeCapacity(const PendingStep& pending,
                                         const PlacementRequest& request) {
  if (!planner_.preempts_by_loss_) return false;
  const auto since = planner_.delayed_since_.find(pending.key);
  const bool first = since == planner_.delayed_since_.end();
  PreemptionChoice choice;
  choice.stop_time = planner_.stop_time_;
  choice.waited = now_ - pending.step->ready_since;
  choice.delayed = first ? Duration(0) : now_ - since->second;
  choice.within_guarantee = pending.rank.within_guarantee;
  choice.guarantee_time = options_.guarantee_time;
  // Spares the forecast to steps that wait no more, however soon there is room.
  if (!ShouldWaitForCapacity(choice)) return false;
  std::optional<CapacityForecast> best;
  for (const CandidateGroup& group : GroupCandidates(pending, request)) {
    std::optional<CapacityForecast> forecast =
        EarliestCapacity(group.candidates, request);
    if (!forecast.has_value()) continue;
    if (best.has_value() && best->until <= forecast->until) continue;
    best = std::move(forecast);
  }
  if (!best.has_value()) return false;
  choice.free_in = best->until;
  if (!ShouldWaitForCapacity(choice)) return false;
  if (first) {
    planner_.delayed_since_[pending.key] = now_;
    plan_.delays.push_back({pending.key, choice.free_in, choice.stop_time});
  }
  WakeAt(now_ + choice.stop_time - choice.delayed);
  for (Candidate* candidate : best->candidates) {
    candidate->room -= pending.spec->room();
  }
  return true;
}

const std::vector<Planner::Pass::Victim>& Planner::Pass::VictimsOn(
    const Candidate& candidate) {
  std::optional<std::vector<Victim>>& known = RunsOf(candidate).victims;
  if (known.has_value()) return *known;
  std::vector<Victim>& victims = known.emplace();
  CountLooks(candidate.runner->runs().size());
  for (const auto& [name, run] : candidate.runner->runs()) {
    if (run.stopping) continue;
    const Job* job = jobs_.Find(name.job);
    if (job == nullptr) continue;
    const StepSpec& spec = job->step_spec(name.step);
    // A stop of one member ends all others.
    if (spec.gang && spec.limits_unavailability()) continue;
    Victim victim;
    victim.cost = PreemptionCost(name, run);
    victim.name = &name;
    victim.run = &run;
    victim.priority = PolicyOf(*job, catalog_).priority;
    victim.within_guarantee = jobs_within_guarantee_.count(name.job) != 0;
    victim.only_for_guarantee = !spec.preemptible();
    if (spec.limits_unavailability()) {
      victim.limited_step = StepName{name.job, name.occurrence, name.step};
    }
    victims.push_back(std::move(victim));
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) {
              return std::tie(a.cost, *a.name) < std::tie(b.cost, *b.name);
            });
  return victims;
}

bool Planner::Pass::MayPreempt(const PendingStep& pending,
                               const Victim& victim) {
  const bool outranked = pending.rank.within_guarantee
                             ? !victim.within_guarantee
                             : !victim.only_for_guarantee &&
                                   victim.priority > pending.policy.priority;
  if (!outranked || preempted_.count(*victim.name) != 0) return false;
  if (!victim.limited_step.has_value()) return true;
  return spared_.count(*victim.name) == 0 &&
         UnavailabilityLeft(*victim.limited_step) > 0;
}

std::vector<Planner::Pass::PreemptionOption> Planner::Pass::PreemptionOptionsOn(
    const PendingStep& pending, Candidate* candidate, int limit) {
  const Resources need = pending.spec->room();
  const std::vector<Victim>& victims = VictimsOn(*candidate);
  Resources room = candidate->room;
  room += candidate->releasing;
  std::vector<PreemptionOption> options;
  auto next = victims.begin();
  while (static_cast<int>(options.size()) < limit) {
    PreemptionOption option;
    option.candidate = candidate;
    for (; !need.Fits(room) && next != victims.end(); ++next) {
      if (!MayPreempt(pending, *next)) continue;
      option.cost += next->cost;
      option.victims.push_back(*next->name);
      room += next->run->need;
    }
    if (!need.Fits(room)) break;
    room -= need;
    options.push_back(std::move(option));
  }
  return options;
}

std::optional<double> Planner::Pass::LowestMeanCost(const PendingStep& pending,
                                                    const Candidate& candidate,
                                                    int limit) {
  CountLooks(1);
  const Resources need = pending.spec->room();
  const std::vector<Victim>& victims = VictimsOn(candidate);
  Resources room = candidate.room;
  room += candidate.releasing;
  std::optional<double> lowest;
  std::int64_t cost = 0;
  auto next = victims.begin();
  // The first sequence ends where the mean over all options so far is lowest.
  for (int options = 1; options <= limit; ++options) {
    for (; !need.Fits(room) && next != victims.end(); ++next) {
      if (!MayPreempt(pending, *next)) continue;
      cost += next->cost;
      room += next->run->need;
    }
    if (!need.Fits(room)) break;
    room -= need;
    const double mean = static_cast<double>(cost) / options;
    lowest = std::min(lowest.value_or(mean), mean);
  }
  return lowest;
}

std::vector<Planner::Pass::PreemptionSequence>
Planner::Pass::PreemptionSequencesOn(const PendingStep& pending,
                                     Candidate* candidate, int limit) {
  std::vector<PreemptionSequence> sequences;
  for (PreemptionOption& option :
       PreemptionOptionsOn(pending, candidate, limit)) {
    PreemptionSequence sequence;
    sequence.cost = option.cost;
    sequence.options.push_back(std::move(option));
    while (!sequences.empty() &&
           sequence.mean_cost() < sequences.back().mean_cost()) {
      PreemptionSequence joined = std::move(sequences.back());
      sequences.pop_back();
      joined.cost += sequence.cost;
      joined.options.insert(joined.options.end(),
                            std::make_move_iterator(sequence.options.begin()),
                            std::make_move_iterator(sequence.options.end()));
      sequence = std::move(joined);
    }
    sequences.push_back(std::move(sequence));
  }
  return sequences;
}

std::vector<Candidate*> Planner::Pass::CheapestCandidates(
    const PendingStep& pending, const std::vector<Candidate*>& candidates,
    int limit, int count) {
  struct Offer {
    double cost = 0;
    std::size_t position = 0;
  };
  std::vector<Offer> offers;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::optional<double> cost =
        LowestMeanCost(pending, *candidates[i], limit);
    if (cost.has_value()) offers.push_back({*cost, i});
  }
  // Sequences are taken in the order of their mean costs. Each has an option at
  // least, so that those of further candidates are not reached.
  const auto most = static_cast<std::size_t>(count);
  if (offers.size() > most) {
    const auto end = offers.begin() + count;
    std::nth_element(
        offers.begin(), end, offers.end(), [](const Offer& a, const Offer& b) {
          return std::tie(a.cost, a.position) < std::tie(b.cost, b.position);
        });
    offers.erase(end, offers.end());
    std::sort(offers.begin(), offers.end(), [](const Offer& a, const Offer& b) {
      return a.position < b.position;
    });
  }
  std::vector<Candidate*> cheapest;
  for (const Offer& offer : offers) {
    cheapest.push_back(candidates[offer.position]);
  }
  return cheapest;
}

std::vector<Planner::Pass::PreemptionOption> Planner::Pass::CheapestOptions(
    const PendingStep& pending, const std::vector<Candidate*>& candidates,
    const PlacementRequest& request) {
  const int per_seat =
      request.step->max_per_runner > 0
          ? std::min(request.step->max_per_runner, request.count)
          : request.count;
  std::vector<PreemptionSequence> sequences;
  for (Candidate* candidate :
       CheapestCandidates(pending, candidates, per_seat, request.count)) {
    std::vector<PreemptionSequence> own =
        PreemptionSequencesOn(pending, candidate, per_seat);
    sequences.insert(sequences.end(), std::make_move_iterator(own.begin()),
                     std::make_move_iterator(own.end()));
  }
  // A stable sort keeps the sequences of one candidate in order.
  std::stable_sort(
      sequences.begin(), sequences.end(),
      [](const PreemptionSequence& a, const PreemptionSequence& b) {
        return a.mean_cost() < b.mean_cost();
      });
  std::vector<PreemptionOption> options;
  for (PreemptionSequence& sequence : sequences) {
    options.insert(options.end(),
                   std::make_move_iterator(sequence.options.begin()),
                   std::make_move_iterator(sequence.options.end()));
    if (static_cast<int>(options.size()) < request.count) continue;
    options.resize(request.count);
    return options;
  }
  return {};
}

bool Planner::Pass::IsKnownUnmet(const PendingStep& pending,
                                 const PlacementRequest& request) const {
  const auto needs_no_more = [&](const UnmetDemand& unmet) {
    return unmet.service == pending.policy.service &&
           unmet.within_guarantee == pending.rank.within_guarantee &&
           unmet.priority == pending.policy.priority &&
           unmet.count <= request.count &&
           unmet.need.Fits(pending.spec->room());
  };
  return std::any_of(unmet_demands_.begin(), unmet_demands_.end(),
                     needs_no_more);
}

WaitReason Planner::Pass::Preempt(const PendingStep& pending,
                                  const PlacementRequest& request) {
  if (IsKnownUnmet(pending, request)) return WaitReason::kNotEnoughPreemptible;
  std::vector<PreemptionOption> best;
  std::int64_t best_cost = std::numeric_limits<std::int64_t>::max();
  for (const CandidateGroup& group : GroupCandidates(pending, request)) {
    std::vector<PreemptionOption> options =
        CheapestAllowedOptions(pending, group.candidates, request);
    if (options.empty()) continue;
    std::int64_t cost = 0;
    for (const PreemptionOption& option : options) cost += option.cost;
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = std::move(options);
  }
  if (best.empty()) {
    // Later in the pass there is even less to preempt.
    if (IsUnconstrained(pending, request) && !request.is_last_attempt) {
      unmet_demands_.push_back(
          {pending.policy.service, pending.rank.within_guarantee,
           pending.policy.priority, pending.spec->room(), request.count});
    }
    return WaitReason::kNotEnoughPreemptible;
  }
  CommitPreemptions(pending, best);
  return WaitReason::kPreempting;
}

bool Planner::Pass::ListPreemptibleFillers(
    const Candidate& candidate, std::vector<TaskName>* best_effort_runs) {
  for (const auto& [name, run] : candidate.runner->runs()) {
    if (run.sharing != Sharing::kBestEffort || run.stopping) continue;
    if (preempted_.count(name) != 0) continue;
    const Job* job = jobs_.Find(name.job);
    const bool may_stop =
        job != nullptr && !job->step_spec(name.step).limits_unavailability();
    if (!may_stop) return false;
    best_effort_runs->push_back(name);
  }
  return true;
}

WaitReason Planner::Pass::PreemptFillers(const PendingStep& pending,
                                         const PlacementRequest& request) {
  std::vector<PreemptionOption> options;
  CountLooksAtAll();
  for (Candidate& candidate : pool_.candidates()) {
    if (static_cast<int>(options.size()) == request.count) break;
    Candidate cleared = candidate;
    cleared.best_effort_runs = 0;
    if (candidate.best_effort_runs == 0 ||
        !CandidatePool::MeetsConstraints(cleared, request)) {
      continue;
    }
    PreemptionOption option;
    option.candidate = &candidate;
    if (!ListPreemptibleFillers(candidate, &option.victims)) continue;
    for (const TaskName& name : option.victims) {
      cleared.room += candidate.runner->runs().at(name).need;
    }
    if (pending.spec->room().Fits(cleared.room)) {
      options.push_back(std::move(option));
    }
  }
  if (options.empty()) return WaitReason::kNotEnoughPreemptible;
  CommitPreemptions(pending, options);
  return WaitReason::kPreempting;
}

void Planner::Pass::CommitPreemptions(
    const PendingStep& pending, const std::vector<PreemptionOption>& options) {
  Reservation reservation;
  reservation.since = now_;
  for (const PreemptionOption& option : options) {
    const Runner& runner = *option.candidate->runner;
    reservation.runners.push_back(runner.id());
    for (const TaskName& victim : option.victims) {
      preempted_.insert(victim);
      unavailability_left_.erase({victim.job, victim.occurrence, victim.step});
      plan_.preemptions.push_back(
          {victim, runner.incarnation(), pending.key.job});
    }
  }
  WakeAt(now_ + options_.reservation_time);
  ReserveOn(pending, reservation.runners);
  planner_.reservations_[pending.key] = std::move(reservation);
}

void Planner::Pass::DropExpiredReservations() {
  for (auto it = planner_.reservations_.begin();
       it != planner_.reservations_.end();) {
    const bool old = now_ - it->second.since > options_.reservation_time * 2;
    it = old ? planner_.reservations_.erase(it) : std::next(it);
  }
  // A step that no longer waits may wait again later, with another run.
  const auto drop_steps_that_started = [this](auto* steps) {
    for (auto it = steps->begin(); it != steps->end();) {
      it = waits_.count(it->first) == 0 ? steps->erase(it) : std::next(it);
    }
  };
  drop_steps_that_started(&planner_.delayed_since_);
  drop_steps_that_started(&planner_.idle_reservations_);
}

}  // namespace limeledge::dispatch
