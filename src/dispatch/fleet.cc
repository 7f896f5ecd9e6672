/// @file
/// Keeping in touch with runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/fleet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace limeledge::dispatch {

Runner* Fleet::Find(const IncarnationId& incarnation) {
  const auto found = runners_.find(incarnation.runner);
  if (found == runners_.end() || found->second->incarnation() != incarnation)
    return nullptr;
  Touch(found->second.get());
  return found->second.get();
}

Runner* Fleet::FindPresent(const RunnerId& id) {
  const auto found = runners_.find(id);
  return found == runners_.end() ? nullptr : Find(found->second->incarnation());
}

Runner* Fleet::StartIncarnation(Runner* before, StartTime start_time,
                                TimePoint now) {
  ForgetLooks(before);
  std::unique_ptr<Runner>& place = runners_.at(before->id());
  place = before->Next(start_time, now);
  Touch(place.get());
  return place.get();
}

Runner* Fleet::FindOrInherit(const IncarnationId& incarnation, TimePoint now) {
  Runner* runner = FindPresent(incarnation.runner);
  if (runner == nullptr) {
    RunnerInfo info;
    info.id = incarnation.runner;
    info.start_time = incarnation.start_time;
    runner = (runners_[info.id] = std::make_unique<Runner>(info)).get();
    Touch(runner);
    runner->Unlist(now);
  }
  if (runner->heard()) {
    runner->NoteEarlierLease(EarlierLeaseOf(*runner));
  } else {
    runner->LeaseMayLastUntil(now + (runner->listed()
                                         ? options_.inherited_lease
                                         : options_.inherited_lease_unlisted));
  }
  return runner;
}

Duration Fleet::EarlierLeaseOf(const Runner& runner) const {
  const bool keeps_id = IsReported(runner.incarnation().start_time);
  return keeps_id ? options_.longest_lease : options_.run_lease;
}

void Fleet::HandleAnswer(Runner* runner, TimePoint now,
                         std::int64_t clock_ms) const {
  const bool first = !runner->heard();
  runner->Heard(now, clock_ms);
  // Its runs need not wait for what was assumed of an unheard one, should it go
  // soon after a take-over.
  if (first) runner->BoundEarlierLease(EarlierLeaseOf(*runner));
}

void Fleet::List(Context& ctx, const StoreTimeout& patience) {
  if (list_under_way_ || ctx.now() < next_list_at_) return;
  list_under_way_ = true;
  list_sent_at_ = ctx.now();
  if (ctx.now() >= next_whole_list_at_) list_revision_ = Revision();
  ListRunners list;
  list.after = list_revision_;
  const bool snapshot = list_revision_ == Revision();
  if (!snapshot) list.wait = options_.list_interval;
  list.timeout = patience.For(list_misses_) + list.wait;
  ctx.Emit(list);
}

void Fleet::MissList(TimePoint now) {
  ++list_misses_;
  // One that was lost with its connection is sent again at once.
  if (list_misses_ == 1) {
    next_list_at_ = now;
    return;
  }
  next_list_at_ =
      now + (listed_once_ ? options_.list_interval : options_.first_list_pause);
}

void Fleet::Handle(Context& ctx, const RunnersListed& answer) {
  list_under_way_ = false;
  const bool is_old = std::exchange(list_is_old_, false);
  // An unreadable list says nothing of any runner.
  if (!answer.ok) {
    list_revision_ = Revision();
    MissList(ctx.now());
    return;
  }
  NoteListRead(ctx.now(), answer);
  rooms_read_at_ = is_old ? list_sent_at_ : ctx.now();
  const std::set<RunnerId> removed = GoneBy(answer);
  NoteUnreadable(ctx, answer);
  const std::size_t known_before = runners_.size();
  for (const RunnerInfo& info : answer.runners) TakeEntry(ctx, info);
  for (auto& [id, runner] : runners_) {
    const bool missing = !runner->listed() || removed.count(id) != 0;
    if (missing) Unlist(ctx, runner.get());
  }
  FadeSlowness(ctx.now());
  TellList(ctx, known_before);
  listed_once_ = true;
}

void Fleet::NoteListRead(TimePoint now, const RunnersListed& answer) {
  list_misses_ = 0;
  next_list_at_ = now + options_.list_pause;
  list_revision_ = answer.newest;
  if (answer.snapshot) next_whole_list_at_ = now + options_.whole_list_interval;
  const bool was_away = now - last_listed_at_ > options_.longest_list_gap;
  if (was_away) store_back_at_ = now;
  last_listed_at_ = now;
  if (!listed_once_) first_listed_at_ = now;
}

std::set<RunnerId> Fleet::GoneBy(const RunnersListed& answer) const {
  std::set<RunnerId> removed(answer.removed.begin(), answer.removed.end());
  removed.insert(answer.unreadable.begin(), answer.unreadable.end());
  if (answer.snapshot) {
    for (const auto& [id, runner] : runners_) removed.insert(id);
  }
  for (const RunnerInfo& info : answer.runners) removed.erase(info.id);
  return removed;
}

void Fleet::NoteUnreadable(Context& ctx, const RunnersListed& answer) {
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

void Fleet::TellList(Context& ctx, std::size_t known_before) {
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
  auto added = std::make_unique<Runner>(info);
  Runner* runner = added.get();
  runners_[info.id] = std::move(added);
  Touch(runner);
  // A new scheduler lists them all in one line.
  if (listed_once_) {
    ctx.Log(LogId::kRunnerListed, {{"runner", info.id.value()},
                                   {"born", ToString(info.start_time)},
                                   {"address", info.address}});
  }
  return runner;
}

void Fleet::TakeEntry(Context& ctx, const RunnerInfo& info) {
  Runner* runner = FindOrAdd(ctx, info);
  // It lives after all.
  const bool came_back = !runner->listed() && !runner->heard();
  if (came_back) {
    runner->LeaseMayLastUntil(ctx.now() + options_.inherited_lease);
  }
  if (info.start_time != runner->incarnation().start_time)
    TakeHint(ctx, runner, info.start_time);
  const bool drained = runner->draining_since().has_value();
  runner->Update(info, ctx.now());
  if (drained || !runner->draining_since().has_value()) return;
  ctx.Log(LogId::kRunnerDrains,
          {{"runner", info.id.value()},
           {"leaves_in_ms", std::to_string(info.leaves_in.ms())}});
}

void Fleet::TakeHint(Context& ctx, Runner* runner, StartTime start_time) {
  if (!IsReported(start_time) || runner->hinted == start_time) return;
  runner->hinted = start_time;
  ctx.Log(LogId::kRunnerHinted,
          {{"runner", runner->id().value()},
           {"born", ToString(start_time)},
           {"known", ToString(runner->incarnation().start_time)}});
  // One that is under way may wait on a connection that is dead.
  runner->poll_in_flight = false;
  runner->ended = false;
  runner->next_poll_at = ctx.now();
}

bool Fleet::MayHaveLapsed(TimePoint now) const {
  return now - store_back_at_ < options_.unlisted_grace;
}

void Fleet::Unlist(Context& ctx, Runner* runner) {
  const bool lapsed = MayHaveLapsed(ctx.now());
  if (runner->listed()) {
    runner->Unlist(ctx.now());
    ctx.Log(LogId::kRunnerUnlisted,
            {{"runner", runner->id().value()},
             {"taken_for", lapsed ? "lapsed" : "leaving"}});
  }
  if (!lapsed) runner->MarkLeaving(ctx.now(), options_.unannounced_stay);
}

Duration Fleet::WaitFor(const Runner& runner) const {
  if (runner.runs().empty()) return options_.idle_wait;
  Duration wait =
      runner.AllEndsAreAcknowledged() ? options_.busy_wait : Duration(0);
  for (const auto& [name, run] : runner.runs()) {
    const bool open = run.phase == RunPhase::kUnconfirmed ||
                      run.phase == RunPhase::kInherited;
    if (!open) continue;
    wait = std::min(wait, run.stop.open() ? options_.doubt_wait : Duration(0));
  }
  return wait;
}

TimePoint Fleet::LookDueAt(const Runner& runner) const {
  const bool quiet =
      runner.poll_in_flight || runner.ended || runner.info().address.empty();
  if (quiet) return kNever;
  if (runner.AllEndsAreAcknowledged()) return runner.next_poll_at;
  // A look that does not tell newer ends as known would be answered at once.
  return std::max(runner.next_poll_at,
                  runner.poll_sent_at + options_.unstored_end_wait);
}

void Fleet::Touch(Runner* runner) {
  if (runner->filed_look.touched) return;
  runner->filed_look.touched = true;
  touched_.push_back(runner);
}

void Fleet::ScheduleTouched() {
  for (Runner* runner : touched_) {
    runner->filed_look.touched = false;
    Schedule(runner);
  }
  touched_.clear();
}

void Fleet::Schedule(Runner* runner) {
  Unschedule(runner);
  FiledLook& filed = runner->filed_look;
  filed.first = !runner->heard();
  filed.under_way_as_first = filed.first && runner->poll_in_flight;
  if (filed.under_way_as_first) ++first_looks_;
  const TimePoint at = LookDueAt(*runner);
  if (at == kNever) return;
  filed.at = at;
  (filed.first ? first_look_times_ : polls_).insert({at, runner});
}

void Fleet::Unschedule(Runner* runner) {
  FiledLook& filed = runner->filed_look;
  if (filed.under_way_as_first) --first_looks_;
  filed.under_way_as_first = false;
  if (!filed.at.has_value()) return;
  (filed.first ? first_look_times_ : polls_).erase({*filed.at, runner});
  filed.at.reset();
}

void Fleet::ForgetLooks(Runner* runner) {
  Unschedule(runner);
  touched_.erase(std::remove(touched_.begin(), touched_.end(), runner),
                 touched_.end());
}

std::vector<Runner*> Fleet::DueRunners(TimePoint now) const {
  std::vector<Runner*> due;
  for (const LookTimes* times : {&polls_, &first_look_times_}) {
    for (const auto& [at, runner] : *times) {
      if (at > now) break;
      due.push_back(runner);
    }
  }
  // Many that stay silent would otherwise take all places of first looks, and
  // runs at runners that answer would lapse unseen.
  std::stable_partition(due.begin(), due.end(), [](const Runner* runner) {
    return runner->heard() || runner->misses() == 0;
  });
  return due;
}

void Fleet::Poll(Context& ctx, Epoch epoch, bool may_renew,
                 bool all_runs_known) {
  ScheduleTouched();
  for (Runner* runner : DueRunners(ctx.now())) {
    // The answer to another first look makes room for this one.
    if (!runner->heard() && !MayLookForTheFirstTime()) continue;
    LookAt(ctx, runner, epoch, may_renew, all_runs_known);
    Schedule(runner);
  }
}

void Fleet::LookAt(Context& ctx, Runner* runner, Epoch epoch, bool may_renew,
                   bool all_runs_known) {
  PollRunner poll;
  poll.target = TargetOf(*runner, epoch);
  poll.number = newest_look_ = newest_look_.Next();
  // A look that is lost may be carried out late, by a next life that counts its
  // ends anew. So ends are told as known once, to a life that was heard just
  // now.
  const bool tells =
      runner->reachable() &&
      runner->AcknowledgedEnd() > runner->delivered_acknowledgement &&
      ctx.now() - runner->heard_at() <= options_.tell_ends_within;
  poll.acknowledged_end = tells ? runner->AcknowledgedEnd() : 0;
  // A look at a silent runner may arrive unheard: renewing by it would put off
  // for ever the moment at which its runs are surely over.
  // An end that is told as known after the lease ran out is not taken as told.
  // A runner may hold runs that are not known yet: they must not lapse.
  const bool leased = !runner->runs().empty() ||
                      !runner->AllEndsAreAcknowledged() || !all_runs_known;
  const bool renew = may_renew && runner->reachable() && leased &&
                     runner->MayGrantLease(ctx.now());
  if (renew) {
    poll.until_ms = runner->GrantLease(ctx.now(), options_.run_lease);
  }
  // The first look tells the runner's clock, which a renewal needs.
  poll.wait = runner->reachable() ? WaitFor(*runner) : Duration(0);
  runner->poll_in_flight = true;
  runner->poll_number = poll.number;
  runner->poll_grants_lease = renew;
  runner->poll_acknowledges = poll.acknowledged_end;
  runner->poll_sent_at = ctx.now();
  ctx.Emit(std::move(poll));
}

TimePoint Fleet::next_at() const {
  TimePoint next = next_list_at();
  if (!polls_.empty()) next = std::min(next, polls_.begin()->first);
  if (!first_look_times_.empty() && MayLookForTheFirstTime()) {
    next = std::min(next, first_look_times_.begin()->first);
  }
  for (const Runner* runner : touched_) {
    next = std::min(next, LookDueAt(*runner));
  }
  return next;
}

OrderTarget Fleet::TargetOf(const Runner& runner, Epoch epoch) {
  return {runner.incarnation(), runner.info().address, epoch};
}

bool Fleet::MayWork(const Runner& runner, TimePoint now) const {
  if (runner.ended || !runner.reachable()) return false;
  if (runner.draining_since().has_value()) return false;
  if (now < runner.backoff_until) return false;
  return runner.listed() || MayHaveLapsed(now);
}

std::vector<Candidate> Fleet::Candidates(
    TimePoint now, const std::set<HallId>& drained_halls) const {
  std::vector<Candidate> seats;
  for (const auto& [id, runner] : runners_) {
    if (!MayWork(*runner, now)) continue;
    if (drained_halls.count(runner->info().hall) != 0) continue;
    Candidate seat;
    seat.runner = runner.get();
    seat.rack = runner->rack();
    seat.room = runner->free_capacity();
    seat.suspect = now < runner->suspect_until;
    seat.may_fail_immediately = runner->MayFailImmediately(now);
    seat.tried = runner->HasProbeRun();
    seat.best_effort_runs = runner->CountSharing(Sharing::kBestEffort);
    seat.latency_sensitive_runs =
        runner->CountSharing(Sharing::kLatencySensitive);
    for (const auto& [name, run] : runner->runs()) {
      if (run.stopping) seat.releasing += run.need;
      if (IsOnProbation(run, options_.probation, now)) seat.on_probation = true;
    }
    seats.push_back(std::move(seat));
  }
  return seats;
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
        !runner.order_in_flight &&
        ctx.now() - runner.unlisted_at() >= options_.unlisted_grace;
    if (!removed) {
      ++it;
      continue;
    }
    ctx.Log(LogId::kRunnerGone, {{"runner", runner.id().value()}});
    ForgetLooks(it->second.get());
    it = runners_.erase(it);
  }
}

}  // namespace limeledge::dispatch
