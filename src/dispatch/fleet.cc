/// @file
/// Polls runners and keeps the runner list up to date.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/fleet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace limeledge::dispatch {

Runner* Fleet::Find(const IncarnationId& id) {
  const auto it = runners_.find(id.runner);
  if (it == runners_.end() || it->second->incarnation() != id) return nullptr;
  MarkForReschedule(it->second.get());
  return it->second.get();
}

Runner* Fleet::FindPresent(const RunnerId& id) {
  const auto found = runners_.find(id);
  return found == runners_.end() ? nullptr : Find(found->second->incarnation());
}

Runner* Fleet::StartIncarnation(Runner* before, StartTime start_time,
                                TimePoint now) {
  DropReferences(before);
  std::unique_ptr<Runner>& place = runners_.at(before->id());
  place = before->Next(start_time, now);
  RaiseFenceGeneration();
  place->fence_generation = fence_generation_;
  MarkForReschedule(place.get());
  return place.get();
}

void Fleet::RaiseFenceGeneration() {
  if (fence_generation_ < FencingToken::kMaxGeneration) {
    fence_generation_ = fence_generation_.Next();
  }
}

Runner* Fleet::FindOrInherit(const IncarnationId& incarnation,
                             const std::string& address, TimePoint now) {
  Runner* runner = FindPresent(incarnation.runner);
  if (runner == nullptr) {
    RunnerInfo info;
    info.id = incarnation.runner;
    info.start_time = incarnation.start_time;
    info.address = address;
    runner = Add(info);
    runner->Unlist(now);
  }
  if (!runner->heard()) {
    runner->AssumeForeignLeaseUntil(now + options_.previous_scheduler_lease,
                                    LeaseBasis::kPreviousScheduler);
    // Where another incarnation was called says nothing about this one.
    const bool is_present = incarnation == runner->incarnation();
    if (is_present && !address.empty()) runner->RecordAddress(address);
  }
  return runner;
}

Runner* Fleet::Add(const RunnerInfo& info) {
  auto added = std::make_unique<Runner>(info);
  Runner* runner = added.get();
  runner->fence_generation = fence_generation_;
  runners_[info.id] = std::move(added);
  MarkForReschedule(runner);
  return runner;
}

Duration Fleet::LongestForeignLease(const Runner& runner) const {
  const bool keeps_id = IsReported(runner.incarnation().start_time);
  return keeps_id ? options_.longest_lease : options_.run_lease;
}

void Fleet::HandleForeignCallsRejected(Runner* runner, TimePoint now) const {
  // The first incarnation that is known here has received no calls of this
  // scheduler to an earlier one, except to a runner that was removed since.
  std::optional<TimePoint> latest = now;
  if (runner->incarnations() == 1) {
    latest = foreign_calls_until_;
    if (latest.has_value()) latest = std::min(*latest, now);
  }
  runner->RecordForeignCallsRejected(now, latest, LongestForeignLease(*runner));
}

void Fleet::List(Context& ctx, const StoreTimeout& store_timeout) {
  if (list_in_flight_ || ctx.now() < next_list_at_) return;
  list_in_flight_ = true;
  list_sent_at_ = ctx.now();
  if (ctx.now() >= next_whole_list_at_) list_revision_ = Revision();
  ListRunners list;
  list.after = list_revision_;
  const bool snapshot = list_revision_ == Revision();
  if (!snapshot) list.wait = options_.list_interval;
  list.timeout = store_timeout.For(failed_list_reads_) + list.wait;
  ctx.Emit(list);
}

void Fleet::HandleFailedListRead(TimePoint now) {
  ++failed_list_reads_;
  // A read that was lost with its connection is repeated at once.
  if (failed_list_reads_ == 1) {
    next_list_at_ = now;
    return;
  }
  next_list_at_ =
      now + (listed_once_ ? options_.list_interval : options_.first_list_pause);
}

void Fleet::Handle(Context& ctx, const RunnersListed& answer) {
  list_in_flight_ = false;
  const bool is_outdated = std::exchange(list_is_outdated_, false);
  // A failed read says nothing about any runner.
  if (!answer.ok) {
    list_revision_ = Revision();
    // Until now, no runner could announce that it leaves.
    list_current_at_ = ctx.now();
    HandleFailedListRead(ctx.now());
    return;
  }
  RecordListRead(ctx.now(), answer);
  if (!answer.may_have_more) {
    list_current_at_ = list_sent_at_;
    capacities_read_at_ = is_outdated ? list_sent_at_ : ctx.now();
  }
  const std::set<RunnerId> removed = RemovedBy(answer);
  LogUnreadable(ctx, answer);
  const std::size_t known_before = runners_.size();
  for (const RunnerInfo& info : answer.runners) ApplyEntry(ctx, info);
  for (auto& [id, runner] : runners_) {
    const bool missing = !runner->listed() || removed.count(id) != 0;
    if (missing) Unlist(ctx, runner.get());
  }
  FadeSlowness(ctx.now());
  LogListChanges(ctx, known_before);
  listed_once_ = true;
}

void Fleet::RecordListRead(TimePoint now, const RunnersListed& answer) {
  failed_list_reads_ = 0;
  next_list_at_ = answer.may_have_more ? now : now + options_.list_pause;
  list_revision_ = answer.newest;
  changes_behind_ = answer.may_have_more ? changes_behind_ + answer.changes : 0;
  if (changes_behind_ > runners_.size()) {
    // The whole list takes fewer answers than what is left of the changes may.
    changes_behind_ = 0;
    list_revision_ = Revision();
  }
  if (answer.snapshot) next_whole_list_at_ = now + options_.whole_list_interval;
  const bool store_was_unavailable =
      now - last_listed_at_ > options_.max_list_gap;
  if (store_was_unavailable) store_available_since_ = now;
  last_listed_at_ = now;
  if (!listed_once_) first_listed_at_ = now;
}

std::set<RunnerId> Fleet::RemovedBy(const RunnersListed& answer) const {
  std::set<RunnerId> removed(answer.removed.begin(), answer.removed.end());
  removed.insert(answer.unreadable.begin(), answer.unreadable.end());
  if (answer.snapshot) {
    for (const auto& [id, runner] : runners_) removed.insert(id);
  }
  for (const RunnerInfo& info : answer.runners) removed.erase(info.id);
  return removed;
}

void Fleet::LogUnreadable(Context& ctx, const RunnersListed& answer) {
  const std::set<RunnerId> before = unreadable_;
  if (answer.snapshot) unreadable_.clear();
  for (const RunnerInfo& info : answer.runners) unreadable_.erase(info.id);
  for (const RunnerId& id : answer.removed) unreadable_.erase(id);
  for (const RunnerId& id : answer.unreadable) {
    unreadable_.insert(id);
    if (before.count(id) != 0) continue;
    ctx.Log(LogId::kRunnerUnreadable, {{"runner", id.value()}});
  }
}

void Fleet::FadeSlowness(TimePoint now) {
  if (now < next_fade_at_) return;
  next_fade_at_ = now + options_.list_interval;
  for (auto& [id, runner] : runners_) {
    if (runner->listed()) runner->FadeSlowness();
  }
}

void Fleet::LogListChanges(Context& ctx, std::size_t known_before) {
  std::size_t missing = 0;
  for (const auto& [id, runner] : runners_) {
    if (!runner->listed()) ++missing;
  }
  const std::size_t added = runners_.size() - known_before;
  if (added == 0 && missing == missing_) return;
  missing_ = missing;
  const std::size_t listed = runners_.size() - missing;
  ctx.Log(LogId::kListTaken, {{"listed", std::to_string(listed)},
                              {"new", std::to_string(added)},
                              {"missing", std::to_string(missing)}});
}

Runner* Fleet::FindOrAdd(Context& ctx, const RunnerInfo& info) {
  Runner* known = FindPresent(info.id);
  if (known != nullptr) return known;
  Runner* runner = Add(info);
  // A new scheduler logs one line for the whole list.
  if (listed_once_) {
    ctx.Log(LogId::kRunnerListed, {{"runner", info.id.value()},
                                   {"born", ToString(info.start_time)},
                                   {"address", info.address}});
  }
  return runner;
}

void Fleet::ApplyEntry(Context& ctx, const RunnerInfo& info) {
  Runner* runner = FindOrAdd(ctx, info);
  if (info.start_time != runner->incarnation().start_time) {
    PollForNewIncarnation(ctx, runner, info.start_time);
  }
  const bool drained = runner->draining_since().has_value();
  runner->Update(info, ctx.now());
  if (drained || !runner->draining_since().has_value()) return;
  ctx.Log(LogId::kRunnerDrains,
          {{"runner", info.id.value()},
           {"leaves_in_ms", std::to_string(info.leaves_in.ms())}});
}

void Fleet::PollForNewIncarnation(Context& ctx, Runner* runner,
                                  StartTime started) {
  if (!IsReported(started) || runner->hinted_start_time == started) return;
  runner->hinted_start_time = started;
  ctx.Log(LogId::kRunnerHinted,
          {{"runner", runner->id().value()},
           {"born", ToString(started)},
           {"known", ToString(runner->incarnation().start_time)}});
  runner->ended = false;
  PollForRestart(ctx.now(), runner);
}

void Fleet::HandleOtherIncarnation(TimePoint now, Runner* runner) {
  if (runner->may_have_restarted) return;
  PollForRestart(now, runner);
  MarkForReschedule(runner);
}

void Fleet::PollForRestart(TimePoint now, Runner* runner) {
  // A poll in flight may wait on a dead connection.
  const bool grants = runner->poll_in_flight && runner->poll_grants_lease;
  if (grants) runner->RecordUnansweredPoll(now);
  runner->poll_in_flight = false;
  runner->may_have_restarted = true;
  runner->next_poll_at = now;
}

bool Fleet::MayHaveExpired(TimePoint now) const {
  return now - store_available_since_ < options_.unlisted_grace;
}

void Fleet::Unlist(Context& ctx, Runner* runner) {
  const bool expired = MayHaveExpired(ctx.now());
  if (runner->listed()) {
    runner->Unlist(ctx.now());
    ctx.Log(LogId::kRunnerUnlisted,
            {{"runner", runner->id().value()},
             {"taken_for", expired ? "lapsed" : "leaving"}});
  }
  if (!expired) runner->MarkLeaving(ctx.now(), options_.unannounced_drain_time);
}

Duration Fleet::PollWaitFor(const Runner& runner) const {
  // Until the answer shows which incarnation is present, it may carry out late
  // calls to the previous one.
  if (runner.may_have_restarted || !runner.rejects_foreign_calls()) {
    return Duration(0);
  }
  if (runner.runs().empty()) return options_.idle_wait;
  Duration wait =
      runner.AllEndsAreAcknowledged() ? options_.busy_wait : Duration(0);
  for (const auto& [name, run] : runner.runs()) {
    const bool open = run.phase == RunPhase::kUnconfirmed ||
                      run.phase == RunPhase::kInherited;
    if (!open) continue;
    wait = std::min(
        wait, run.stop.open() ? options_.unconfirmed_run_wait : Duration(0));
  }
  return wait;
}

TimePoint Fleet::PollDueAt(const Runner& runner) const {
  const bool quiet =
      runner.poll_in_flight || runner.ended || runner.address().empty();
  if (quiet) return kNever;
  if (runner.AllEndsAreAcknowledged()) return runner.next_poll_at;
  // A poll that does not acknowledge the latest ends would be answered at
  // once.
  return std::max(runner.next_poll_at,
                  runner.poll_sent_at + options_.unstored_end_wait);
}

void Fleet::MarkForReschedule(Runner* runner) {
  if (runner->scheduled_poll.needs_reschedule) return;
  runner->scheduled_poll.needs_reschedule = true;
  to_reschedule_.push_back(runner);
}

void Fleet::RescheduleMarked() {
  for (Runner* runner : to_reschedule_) {
    runner->scheduled_poll.needs_reschedule = false;
    Schedule(runner);
  }
  to_reschedule_.clear();
}

void Fleet::Schedule(Runner* runner) {
  Unschedule(runner);
  ScheduledPoll& scheduled = runner->scheduled_poll;
  scheduled.first = !runner->heard();
  scheduled.in_flight_as_first = scheduled.first && runner->poll_in_flight;
  if (scheduled.in_flight_as_first) ++first_polls_in_flight_;
  const TimePoint due_at = PollDueAt(*runner);
  if (due_at == kNever) return;
  scheduled.due_at = due_at;
  (scheduled.first ? first_poll_times_ : poll_times_).insert({due_at, runner});
}

void Fleet::Unschedule(Runner* runner) {
  ScheduledPoll& scheduled = runner->scheduled_poll;
  if (scheduled.in_flight_as_first) --first_polls_in_flight_;
  scheduled.in_flight_as_first = false;
  if (!scheduled.due_at.has_value()) return;
  (scheduled.first ? first_poll_times_ : poll_times_)
      .erase({*scheduled.due_at, runner});
  scheduled.due_at.reset();
}

void Fleet::DropReferences(Runner* runner) {
  Unschedule(runner);
  to_reschedule_.erase(
      std::remove(to_reschedule_.begin(), to_reschedule_.end(), runner),
      to_reschedule_.end());
}

std::vector<Runner*> Fleet::DueRunners(TimePoint now) const {
  std::vector<Runner*> due;
  for (const PollTimes* times : {&poll_times_, &first_poll_times_}) {
    for (const auto& [due_at, runner] : *times) {
      if (due_at > now) break;
      due.push_back(runner);
    }
  }
  // Otherwise many silent runners would take all slots for first polls, and the
  // leases of runs on responsive runners would expire before they are polled.
  std::stable_partition(due.begin(), due.end(), [](const Runner* runner) {
    return runner->heard() || runner->misses() == 0;
  });
  return due;
}

void Fleet::Poll(Context& ctx, Epoch epoch, bool may_renew,
                 bool all_runs_known) {
  RescheduleMarked();
  for (Runner* runner : DueRunners(ctx.now())) {
    // This runner is polled once the answer to another first poll frees a slot.
    if (!runner->heard() && !HasFreeFirstPollSlot()) continue;
    SendPoll(ctx, runner, epoch, may_renew, all_runs_known);
    Schedule(runner);
  }
}

void Fleet::SendPoll(Context& ctx, Runner* runner, Epoch epoch, bool may_renew,
                     bool all_runs_known) {
  PollRunner poll;
  poll.target = TargetOf(*runner, epoch);
  poll.number = latest_poll_ = latest_poll_.Next();
  // A poll without an answer may be carried out late, by a later incarnation
  // whose end reports are numbered from 1 again. So each acknowledgement is
  // sent once, and only to an incarnation that answered just now.
  const bool acknowledges =
      runner->reachable() && !runner->may_have_restarted &&
      runner->AcknowledgedEnd() > runner->delivered_acknowledgement &&
      ctx.now() - runner->heard_at() <= options_.max_acknowledgement_delay;
  poll.acknowledged_end = acknowledges ? runner->AcknowledgedEnd() : 0;
  // A poll to a silent runner may arrive although no answer comes back. If it
  // renewed the lease, its runs might never count as certainly over. An
  // acknowledgement that arrives after the lease expired is not accepted, so
  // the lease is also renewed while ends are not acknowledged, and while the
  // runner may hold runs that are not recorded here and must not expire.
  const bool leased = !runner->runs().empty() ||
                      !runner->AllEndsAreAcknowledged() || !all_runs_known;
  const bool renew = may_renew && runner->reachable() && leased &&
                     runner->MayGrantLease(ctx.now());
  if (renew) {
    poll.until_ms = runner->GrantLease(ctx.now(), options_.run_lease);
  }
  // The answer to the first poll reports the runner's clock, which a renewal
  // needs.
  poll.wait = runner->reachable() ? PollWaitFor(*runner) : Duration(0);
  runner->poll_in_flight = true;
  runner->poll_number = poll.number;
  runner->poll_grants_lease = renew;
  runner->poll_acknowledges = poll.acknowledged_end;
  runner->poll_sent_at = ctx.now();
  ctx.Emit(std::move(poll));
}

TimePoint Fleet::next_at() const {
  TimePoint next = next_list_at();
  if (!poll_times_.empty()) next = std::min(next, poll_times_.begin()->first);
  if (!first_poll_times_.empty() && HasFreeFirstPollSlot()) {
    next = std::min(next, first_poll_times_.begin()->first);
  }
  for (const Runner* runner : to_reschedule_) {
    next = std::min(next, PollDueAt(*runner));
  }
  return next;
}

OrderTarget Fleet::TargetOf(const Runner& runner, Epoch epoch) {
  return {
      runner.incarnation(), runner.address(), {epoch, runner.fence_generation}};
}

bool Fleet::IsOutdated(const RunnerId& id, FenceGeneration generation) const {
  const auto found = runners_.find(id);
  return found == runners_.end() ||
         generation < found->second->fence_generation;
}

bool Fleet::AcceptsWork(const Runner& runner, TimePoint now) const {
  if (runner.ended || !runner.reachable()) return false;
  if (runner.draining_since().has_value()) return false;
  if (now < runner.backoff_until) return false;
  return runner.listed() || MayHaveExpired(now);
}

std::vector<Candidate> Fleet::Candidates(
    TimePoint now, const std::set<HallId>& drained_halls) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, runner] : runners_) {
    if (!AcceptsWork(*runner, now)) continue;
    if (drained_halls.count(runner->info().hall) != 0) continue;
    Candidate item;
    item.runner = runner.get();
    item.rack = runner->rack();
    item.room = runner->free_capacity();
    item.suspect = now < runner->suspect_until;
    item.may_fail_immediately = runner->MayFailImmediately(now);
    item.tried = runner->HasProbeRun();
    item.best_effort_runs = runner->CountSharing(Sharing::kBestEffort);
    item.latency_sensitive_runs =
        runner->CountSharing(Sharing::kLatencySensitive);
    for (const auto& [name, run] : runner->runs()) {
      if (run.stopping) item.releasing += run.need;
      if (IsOnProbation(run, options_.probation, now)) item.on_probation = true;
    }
    candidates.push_back(std::move(item));
  }
  return candidates;
}

bool Fleet::KnowsFreeCapacity(TimePoint now) const {
  if (now - first_listed_at_ >= options_.first_answers) return true;
  return std::none_of(runners_.begin(), runners_.end(), [](const auto& entry) {
    const Runner& runner = *entry.second;
    return runner.listed() && !runner.heard() && runner.misses() == 0;
  });
}

void Fleet::RemoveGone(Context& ctx) {
  for (auto it = runners_.begin(); it != runners_.end();) {
    const Runner& runner = *it->second;
    const bool removed =
        !runner.listed() && runner.runs().empty() && !runner.poll_in_flight &&
        runner.orders_in_flight == 0 &&
        ctx.now() - runner.unlisted_at() >= options_.unlisted_grace;
    if (!removed) {
      ++it;
      continue;
    }
    ctx.Log(LogId::kRunnerGone, {{"runner", runner.id().value()}});
    AssumeForeignCallsUntil(ctx.now() + options_.late_call_window);
    RaiseFenceGeneration();
    DropReferences(it->second.get());
    it = runners_.erase(it);
  }
}

}  // namespace limeledge::dispatch
