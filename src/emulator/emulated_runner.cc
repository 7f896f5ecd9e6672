/// @file
/// Implementation of simulated runners and of the gang registry.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "emulator/emulated_runner.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "dispatch/context.h"

namespace limeledge::emulator {

using dispatch::OrderOutcome;
using dispatch::RunEnd;
using dispatch::TaskName;

namespace {

constexpr std::size_t kMaxEndsPerPoll = 500;
constexpr int kPercent = 100;
/// A lasting task is at work after this time.
constexpr double kLastingStartMs = 200;

}  // namespace

EmulatedRunner::EmulatedRunner(dispatch::RunnerInfo info, RunnerBounds bounds,
                               Truth truth, GangRegistry* gang_registry,
                               TimePoint created_at)
    : info_(std::move(info)),
      bounds_(bounds),
      truth_(std::move(truth)),
      gang_registry_(gang_registry),
      created_at_(created_at),
      now_(created_at) {}

EmulatedRunner::~EmulatedRunner() {
  // Ends the runs of gang members on other runners.
  std::map<TaskName, ActiveRun> runs = std::move(runs_);
  runs_.clear();
  for (const auto& [name, run] : runs) {
    if (run.truth.gang_size > 0) {
      gang_registry_->Leave(name, run.number, RunEnd::kLeaseExpired);
    }
  }
}

std::int64_t EmulatedRunner::clock_ms() const {
  // An expiry time of 0 stands for a lease that was never granted, so the clock
  // starts after 0.
  constexpr std::int64_t kClockStart = 1;
  return kClockStart + (now_ - created_at_).ms();
}

double EmulatedRunner::PaceOf(const TaskName& name,
                              const ActiveRun& run) const {
  if (!bounds_.gangs_in_step || run.truth.gang_size == 0) return pace();
  return gang_registry_->SlowestPaceOf(name, run.number);
}

dispatch::Resources EmulatedRunner::UsedCapacity() const {
  dispatch::Resources used;
  for (const auto& [name, run] : runs_) used += run.truth.need;
  return used;
}

void EmulatedRunner::AdvanceTo(TimePoint now) {
  while (now_ < now && !crashed_by_.has_value()) {
    const TimePoint until =
        std::min(now, std::max(next_at(), now_ + Duration(1)));
    const Duration step = until - now_;
    now_ = until;
    UpdateLeaseState();
    std::vector<TaskName> names;
    for (const auto& [name, run] : runs_) names.push_back(name);
    if (!names.empty() && clock_ms() >= lease_until_ms_) {
      for (const TaskName& name : names) End(name, RunEnd::kLeaseExpired);
      continue;
    }
    for (const TaskName& name : names) {
      const auto found = runs_.find(name);
      // The end of another gang member may have ended this run in the loop.
      if (found != runs_.end()) AdvanceRun(name, &found->second, step);
      if (crashed_by_.has_value()) return;
    }
  }
}

void EmulatedRunner::UpdateLeaseState() {
  const bool expired = clock_ms() >= lease_until_ms_;
  if (expired && !lease_expired_) ++lease_expirations_;
  lease_expired_ = expired;
}

bool EmulatedRunner::LeaseExpiredSince(std::int64_t end) const {
  const auto found = expirations_at_end_.find(end);
  return found != expirations_at_end_.end() &&
         found->second != lease_expirations_;
}

void EmulatedRunner::AdvanceRun(const TaskName& name, ActiveRun* run,
                                Duration step) {
  if (run->stopping) {
    if (now_ >= run->stops_at) End(name, RunEnd::kStopped);
    return;
  }
  if (run->breaks_at.has_value()) {
    if (now_ >= *run->breaks_at) End(name, RunEnd::kGangBroken);
    return;
  }
  const TaskTruth& truth = run->truth;
  if (truth.gang_size > 0 &&
      gang_registry_->CountMembers(name, run->number) < truth.gang_size) {
    if (now_ - run->started_at >= bounds_.gang_wait) {
      End(name, RunEnd::kGangIncomplete);
    }
    return;
  }
  if (run->broken) {
    End(name, RunEnd::kFailed);
    return;
  }
  run->worked_ms += static_cast<double>(step.ms()) / PaceOf(name, *run);
  const bool crashes =
      truth.crashes_after.has_value() &&
      run->worked_ms >= static_cast<double>(truth.crashes_after->ms());
  if (crashes) {
    crashed_by_ = name;
    return;
  }
  const auto save_ms = static_cast<double>(bounds_.save_interval.ms());
  if (truth.saves_progress && run->worked_ms - run->saved_ms >= save_ms) {
    Save(name, run);
  }
  if (run->worked_ms < static_cast<double>(truth.work.ms())) return;
  const bool fails = failing_ || truth.always_fails;
  End(name, fails ? RunEnd::kFailed : RunEnd::kDone);
}

void EmulatedRunner::Save(const TaskName&, ActiveRun* run) {
  run->saved_ms = run->worked_ms;
  run->checkpoint = absl::StrCat(static_cast<std::int64_t>(run->worked_ms));
}

TimePoint EmulatedRunner::next_at() const {
  TimePoint next = dispatch::kNever;
  if (lease_expired_) return next;
  next =
      now_ + Duration(std::max<std::int64_t>(1, lease_until_ms_ - clock_ms()));
  for (const auto& [name, run] : runs_) {
    if (run.stopping) {
      next = std::min(next, run.stops_at);
      continue;
    }
    if (run.breaks_at.has_value()) {
      next = std::min(next, *run.breaks_at);
      continue;
    }
    const bool waits =
        run.truth.gang_size > 0 &&
        gang_registry_->CountMembers(name, run.number) < run.truth.gang_size;
    if (waits) {
      next = std::min(next, run.started_at + bounds_.gang_wait);
      continue;
    }
    if (run.broken) {
      next = std::min(next, now_ + Duration(1));
      continue;
    }
    const Duration until = run.truth.crashes_after.value_or(run.truth.work);
    const double left =
        (static_cast<double>(std::min(until, run.truth.work).ms()) -
         run.worked_ms) *
        PaceOf(name, run);
    next = std::min(
        next,
        now_ + Duration(1 + static_cast<std::int64_t>(std::max(0.0, left))));
  }
  return next;
}

void EmulatedRunner::End(const TaskName& name, RunEnd end) {
  const auto found = runs_.find(name);
  if (found == runs_.end()) return;
  ActiveRun run = std::move(found->second);
  runs_.erase(found);
  if (run.truth.saves_progress && end == RunEnd::kStopped) Save(name, &run);
  newest_closed_run_[name] = std::max(newest_closed_run_[name], run.number);
  expirations_at_end_[last_end_ + 1] = lease_expirations_;
  ended_.push_back({++last_end_, name, run.number, end, run.checkpoint});
  if (run.truth.gang_size > 0) gang_registry_->Leave(name, run.number, end);
}

double EmulatedRunner::UnsavedWorkExcept(const TaskName& name) const {
  constexpr double kMillisPerCore = 1000;
  double work = 0;
  for (const auto& [other, run] : runs_) {
    if (other == name) continue;
    const auto cores =
        static_cast<double>(run.truth.need.cpu_millis) / kMillisPerCore;
    work += cores * (run.worked_ms - run.saved_ms);
  }
  return work;
}

void EmulatedRunner::EndMember(const TaskName& name, int number, RunEnd end) {
  const auto found = runs_.find(name);
  if (found == runs_.end() || found->second.number != number) return;
  End(name, end);
}

void EmulatedRunner::LoseGang(const TaskName& name, int number,
                              TimePoint until) {
  const auto found = runs_.find(name);
  if (found == runs_.end() || found->second.number != number) return;
  found->second.breaks_at = until;
}

bool EmulatedRunner::AcceptsToken(const dispatch::FencingToken& token) {
  if (token < fence_) return false;
  fence_ = token;
  return true;
}

void EmulatedRunner::ExtendLease(std::int64_t until_ms) {
  const std::int64_t longest = clock_ms() + bounds_.longest_lease.ms();
  if (bounds_.lease_from_arrival > Duration(0)) {
    until_ms = clock_ms() + bounds_.lease_from_arrival.ms();
  }
  UpdateLeaseState();
  lease_until_ms_ = std::max(lease_until_ms_, std::min(until_ms, longest));
  UpdateLeaseState();
}

dispatch::StartRunCompleted EmulatedRunner::Start(
    const dispatch::StartRun& order) {
  dispatch::StartRunCompleted answer;
  answer.asked = order.target.incarnation;
  answer.fence = order.target.fence;
  answer.task = order.task;
  answer.run = order.run;
  answer.clock_ms = clock_ms();
  answer.outcome = ExecuteStart(order);
  return answer;
}

OrderOutcome EmulatedRunner::ExecuteStart(const dispatch::StartRun& order) {
  if (order.target.incarnation.runner != info_.id) {
    return OrderOutcome::kOtherIncarnation;
  }
  if (!AcceptsToken(order.target.fence)) return OrderOutcome::kFenced;
  const bool too_late =
      order.until_ms <= clock_ms() && bounds_.lease_from_arrival == Duration(0);
  ExtendLease(order.until_ms);
  const auto active = runs_.find(order.task);
  if (active != runs_.end()) {
    const bool same = active->second.number == order.run;
    return same ? OrderOutcome::kDone : OrderOutcome::kStaleRun;
  }
  const auto newest_closed = newest_closed_run_.find(order.task);
  if (newest_closed != newest_closed_run_.end() &&
      order.run <= newest_closed->second) {
    return OrderOutcome::kStaleRun;
  }
  if (too_late) return OrderOutcome::kLeaseExpired;
  const TaskTruth truth = truth_(order.task);
  dispatch::Resources used = UsedCapacity();
  used += truth.need;
  if (bounds_.guards_room && !used.Fits(info_.room)) {
    return OrderOutcome::kNoCapacity;
  }
  BeginRun(order, truth);
  return OrderOutcome::kDone;
}

void EmulatedRunner::BeginRun(const dispatch::StartRun& order,
                              const TaskTruth& truth) {
  ActiveRun run;
  run.truth = truth;
  run.number = order.run;
  run.broken = broken_;
  run.started_at = now_;
  run.checkpoint = order.checkpoint;
  std::int64_t saved = 0;
  if (absl::SimpleAtoi(order.checkpoint, &saved)) {
    run.worked_ms = static_cast<double>(saved);
    run.saved_ms = run.worked_ms;
  }
  runs_[order.task] = std::move(run);
  if (truth.gang_size > 0) gang_registry_->Join(order.task, order.run, this);
}

dispatch::StopRunCompleted EmulatedRunner::Stop(
    const dispatch::StopRun& order) {
  dispatch::StopRunCompleted answer;
  answer.asked = order.target.incarnation;
  answer.fence = order.target.fence;
  answer.task = order.task;
  answer.run = order.run;
  answer.clock_ms = clock_ms();
  answer.outcome = OrderOutcome::kDone;
  if (order.target.incarnation.runner != info_.id) {
    answer.outcome = OrderOutcome::kOtherIncarnation;
    return answer;
  }
  if (!AcceptsToken(order.target.fence)) {
    answer.outcome = OrderOutcome::kFenced;
    return answer;
  }
  const auto active = runs_.find(order.task);
  if (active == runs_.end() || active->second.number != order.run) {
    int& newest_closed = newest_closed_run_[order.task];
    newest_closed = std::max(newest_closed, order.run);
    return answer;
  }
  if (!active->second.stopping) {
    active->second.stopping = true;
    active->second.stops_at = now_ + bounds_.stop_time;
  }
  return answer;
}

bool EmulatedRunner::HasNewEnds(std::int64_t acknowledged) const {
  // Ends that a previous scheduler acknowledged are no longer in the list.
  return !ended_.empty() && ended_.back().number > acknowledged;
}

int EmulatedRunner::PercentOf(const ActiveRun& run) {
  if (run.truth.lasting) return run.worked_ms < kLastingStartMs ? 0 : kPercent;
  const double share =
      run.worked_ms /
      static_cast<double>(std::max<std::int64_t>(1, run.truth.work.ms()));
  return std::min(kPercent - 1, static_cast<int>(share * kPercent));
}

dispatch::RunnerPolled EmulatedRunner::Poll(const dispatch::PollRunner& poll) {
  dispatch::RunnerPolled answer;
  answer.asked = poll.target.incarnation;
  answer.number = poll.number;
  answer.start_time = info_.start_time;
  answer.fence = poll.target.fence;
  answer.address = poll.target.address;
  answer.clock_ms = clock_ms();
  answer.outcome = OrderOutcome::kDone;
  if (poll.target.incarnation.runner != info_.id) {
    answer.outcome = OrderOutcome::kOtherIncarnation;
    return answer;
  }
  if (!AcceptsToken(poll.target.fence)) {
    answer.outcome = OrderOutcome::kFenced;
    return answer;
  }
  if (poll.until_ms > 0) ExtendLease(poll.until_ms);
  ForgetEnds(poll.acknowledged_end);
  const std::size_t count = std::min(ended_.size(), kMaxEndsPerPoll);
  answer.ended.assign(ended_.begin(),
                      ended_.begin() + static_cast<std::ptrdiff_t>(count));
  if (count > 0) newest_reported_ = answer.ended.back().number;
  for (const auto& [name, run] : runs_) {
    answer.running.push_back(
        {name, run.number, run.checkpoint, PercentOf(run)});
  }
  return answer;
}

void EmulatedRunner::ForgetEnds(std::int64_t acknowledged) {
  const auto first_kept = std::find_if(
      ended_.begin(), ended_.end(),
      [acknowledged](const auto& end) { return end.number > acknowledged; });
  for (auto end = ended_.begin(); end != first_kept; ++end) {
    if (end->number > newest_reported_) unreported_.push_back(*end);
  }
  ended_.erase(ended_.begin(), first_kept);
}

std::vector<dispatch::ReportedEnd> EmulatedRunner::TakeUnreportedEnds() {
  return std::exchange(unreported_, {});
}

void EmulatedRunner::ForEachRun(
    const std::function<void(const TaskName&, int)>& visit) const {
  for (const auto& [name, run] : runs_) visit(name, run.number);
}

GangRegistry::GangKey GangRegistry::MakeKey(const TaskName& name, int run) {
  return {{name.job, name.occurrence, name.step, 0}, run};
}

void GangRegistry::Join(const TaskName& name, int run, EmulatedRunner* runner) {
  gangs_[MakeKey(name, run)].push_back({name, runner});
}

void GangRegistry::Leave(const TaskName& name, int run, RunEnd end) {
  const auto found = gangs_.find(MakeKey(name, run));
  if (found == gangs_.end()) return;
  std::vector<Member> others = std::move(found->second);
  gangs_.erase(found);
  const RunEnd result =
      end == RunEnd::kDone ? RunEnd::kDone : RunEnd::kGangBroken;
  for (const Member& other : others) {
    if (!(other.name == name)) other.runner->EndMember(other.name, run, result);
  }
}

void GangRegistry::Split(const std::set<RunnerId>& separated,
                         TimePoint noticed_at) {
  const auto is_separated = [&separated](const Member& member) {
    return separated.count(member.runner->info().id) != 0;
  };
  std::map<GangKey, std::vector<Member>> split;
  for (auto it = gangs_.begin(); it != gangs_.end();) {
    const auto count =
        std::count_if(it->second.begin(), it->second.end(), is_separated);
    const bool on_both_sides =
        count > 0 && static_cast<std::size_t>(count) < it->second.size();
    if (on_both_sides) split.insert(*it);
    it = on_both_sides ? gangs_.erase(it) : std::next(it);
  }
  for (const auto& [key, members] : split) {
    for (const Member& member : members) {
      if (is_separated(member)) {
        member.runner->LoseGang(member.name, key.second, noticed_at);
      } else {
        member.runner->EndMember(member.name, key.second, RunEnd::kGangBroken);
      }
    }
  }
}

double GangRegistry::SlowestPaceOf(const TaskName& name, int run) const {
  const auto found = gangs_.find(MakeKey(name, run));
  if (found == gangs_.end()) return 1;
  double slowest = 0;
  for (const Member& member : found->second) {
    slowest = std::max(slowest, member.runner->pace());
  }
  return slowest;
}

int GangRegistry::CountMembers(const TaskName& name, int run) const {
  const auto found = gangs_.find(MakeKey(name, run));
  return found == gangs_.end() ? 0 : static_cast<int>(found->second.size());
}

}  // namespace limeledge::emulator
