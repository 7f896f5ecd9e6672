/// @file
/// Dispatch of events to the sub-reducers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/reducer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/state_dump.h"

namespace limeledge {

namespace {

/// What depends on time alone is looked at this often.
constexpr Duration kCheckInterval{250};
/// A stop that the table service holds up ends this long after the grace.
constexpr Duration kStopLimit{20000};

/// True for writes that other instances wait for: they are told that there is
/// something to read. Renewals and claims are not among them.
bool IsWorthTelling(const WritePurpose& purpose) {
  return std::holds_alternative<JobCreation>(purpose) ||
         std::holds_alternative<JobTransition>(purpose) ||
         std::holds_alternative<JobCancellation>(purpose) ||
         std::holds_alternative<SettingsWrite>(purpose);
}

}  // namespace

/// Hands one event to the sub-reducer that it is for.
class EventHandler {
 public:
  EventHandler(Reducer& reducer, Context& ctx) : r_(reducer), ctx_(ctx) {}

  void operator()(const Tick&) {
    r_.HandleWrites(ctx_, r_.store_.Expire(ctx_));
    r_.requests_.OnTick(ctx_);
    r_.jobs_.OnTick(ctx_, r_.Explainer());
    r_.settings_.OnTick(ctx_);
    r_.janitor_.OnTick(ctx_);
    std::vector<HallDigest> digests;
    for (auto& [hall, planner] : r_.planners_) {
      planner.AdvanceOwnership(ctx_);
      if (planner.HoldsAt(ctx_.now)) digests.push_back(planner.Digest());
    }
    r_.peers_.OnTick(ctx_, digests, r_.requests_.slots().Leaving());
  }

  void operator()(const RequestArrived& event) {
    r_.requests_.OnArrival(ctx_, event);
  }
  void operator()(const JobSubmitted& event) {
    r_.jobs_.OnSubmitted(ctx_, event);
  }
  void operator()(const JobAsked& event) {
    r_.jobs_.OnAsked(ctx_, event, r_.Explainer());
  }
  void operator()(const JobsAsked& event) {
    r_.jobs_.OnListAsked(ctx_, event, r_.Explainer());
  }
  void operator()(const JobCancelAsked& event) {
    r_.jobs_.OnCancelAsked(ctx_, event);
  }
  void operator()(const SettingsProposed& event) {
    r_.settings_.OnProposed(ctx_, event);
  }
  void operator()(const SettingsAsked& event) {
    r_.settings_.OnAsked(ctx_, event);
  }
  void operator()(const SettingsHistoryAsked& event) {
    r_.settings_.OnHistoryAsked(ctx_, event);
  }
  void operator()(const StateAsked& event) {
    ctx_.Reply(event.call, StateDump{DumpState(r_, ctx_.now)});
  }
  void operator()(const MetricsAsked& event) {
    ctx_.Reply(event.call, TakeMetrics(r_, ctx_.now));
  }
  void operator()(const TransactionReplied& event) {
    r_.HandleWrites(ctx_, r_.store_.OnTransactionReply(ctx_, event.reply));
  }
  void operator()(const RowsRead& event) {
    r_.store_.OnRowsRead(ctx_, event);
    if (!event.changes.has_value()) return;
    for (const ChangedRow& change : event.changes->rows) {
      r_.ApplyRow(ctx_, change.row, change.erased);
    }
    r_.shared_.mirror.ReadUpTo(event.changes->revision);
    if (event.changes->more) return;
    r_.shared_.mirror.SetLoaded();
    r_.jobs_.OnRowsRead(ctx_, r_.Explainer());
  }
  void operator()(const ClaimsRead& event) {
    r_.janitor_.OnClaimsRead(ctx_, event);
  }
  void operator()(const RowsFetched& event) {
    SettingsKeeper::OnFetched(ctx_, event);
  }
  void operator()(const InstanceListRead& event) {
    if (r_.peers_.OnList(ctx_, event)) r_.OnTargetsChanged(ctx_);
  }
  void operator()(const HeartbeatArrived& event) {
    r_.peers_.OnHeartbeatArrived(ctx_, event);
  }
  void operator()(const HeartbeatAnswered& event) {
    r_.peers_.OnHeartbeatAnswered(ctx_, event);
  }
  void operator()(const SettingsCopyAsked& event) {
    r_.settings_.OnCopyAsked(ctx_, event);
  }
  void operator()(const SettingsCopyArrived& event) {
    if (r_.settings_.OnCopyArrived(ctx_, event)) r_.OnSettingsChanged(ctx_);
  }
  void operator()(const WorkerReplied& event) {
    const auto it = r_.planners_.find(event.hall);
    if (it != r_.planners_.end()) it->second.OnWorkerReply(ctx_, event);
  }
  void operator()(const WorkerChanged& event) {
    for (auto& [hall, planner] : r_.planners_) {
      planner.OnWorkerChanged(event.worker);
    }
  }
  void operator()(const RunnerReplied& event) {
    r_.requests_.OnRunnerReply(ctx_, event.reply);
  }
  void operator()(const StopAsked&) {
    if (r_.shared_.stopping) return;
    r_.shared_.stopping = true;
    r_.shared_.stop_asked_at = ctx_.now;
    r_.shared_.members.LeaveSelf();
    r_.peers_.SendSoon();
    r_.jobs_.AnswerWaiters(ctx_, r_.Explainer());
    ctx_.Log(LogId::kStopAsked, {});
    r_.OnTargetsChanged(ctx_);
  }

 private:
  Reducer& r_;
  Context& ctx_;
};

/// Hands one finished write to the sub-reducer that asked for it.
class WriteHandler {
 public:
  WriteHandler(Context& ctx, const FinishedWrite& write, JobDesk& jobs,
               SettingsKeeper& settings, RequestRouter& requests,
               std::map<HallId, HallPlanner>& planners)
      : ctx_(ctx),
        write_(write),
        jobs_(jobs),
        settings_(settings),
        requests_(requests),
        planners_(planners) {}

  void operator()(const JobCreation& purpose) {
    jobs_.OnCreationFinished(ctx_, purpose, write_);
  }
  void operator()(const JobTransition& purpose) {
    const auto it = planners_.find(purpose.hall);
    if (it == planners_.end()) return;
    it->second.OnTransitionFinished(ctx_, purpose, write_.outcome);
  }
  void operator()(const JobCancellation& purpose) {
    jobs_.OnCancellationFinished(ctx_, purpose, write_);
  }
  void operator()(const OwnershipWrite& purpose) {
    const auto it = planners_.find(purpose.hall);
    if (it == planners_.end()) return;
    it->second.OnOwnershipWritten(ctx_, purpose, write_.outcome,
                                  write_.revision);
  }
  void operator()(const SettingsWrite& purpose) {
    settings_.OnWritten(ctx_, purpose, write_);
  }
  void operator()(const ClaimCreation& purpose) {
    requests_.OnClaimCreated(ctx_, purpose, write_);
  }
  void operator()(const ClaimAnswer&) {}
  void operator()(const ClaimRelease&) {}
  void operator()(const Cleanup&) {}

 private:
  Context& ctx_;
  const FinishedWrite& write_;
  JobDesk& jobs_;
  SettingsKeeper& settings_;
  RequestRouter& requests_;
  std::map<HallId, HallPlanner>& planners_;
};

Reducer::Reducer(ReducerOptions options)
    : shared_(options.self),
      store_(options.self),
      settings_(std::move(options.initial_settings)),
      requests_(options.slot_division) {}

Effects Reducer::Reduce(const Event& event) {
  Effects effects;
  Context ctx{event.at, event.wall_ms, shared_, store_, effects};
  EventHandler handler(*this, ctx);
  std::visit(handler, event.body);
  Advance(ctx, std::holds_alternative<Tick>(event.body));
  return effects;
}

void Reducer::HandleWrites(Context& ctx,
                           const std::vector<FinishedWrite>& writes) {
  for (const FinishedWrite& write : writes) {
    for (const Row& row : write.current) ApplyRow(ctx, row, false);
    if (write.outcome == IntentOutcome::kCommitted) {
      if (IsWorthTelling(write.purpose)) {
        shared_.newest_commit = write.revision;
        peers_.SendSoon();
      }
      for (const Write& row : write.writes) {
        ApplyRow(ctx, {row.key, row.value, write.revision}, row.erase);
      }
    }
    WriteHandler handler(ctx, write, jobs_, settings_, requests_, planners_);
    std::visit(handler, write.purpose);
  }
}

void Reducer::ApplyRow(Context& ctx, const Row& row, bool erased) {
  const MirrorChange change = shared_.mirror.Apply(row, erased);
  switch (change.kind) {
    case MirrorChange::Kind::kNothing:
      return;
    case MirrorChange::Kind::kUnreadable:
      ctx.Log(LogId::kRowUnreadable, {{"error", change.error}});
      return;
    case MirrorChange::Kind::kJob:
      NoteEnd(ctx, change);
      jobs_.OnJobChanged(ctx, change);
      for (auto& [hall, planner] : planners_) {
        planner.OnJobChanged(ctx, change);
      }
      return;
    case MirrorChange::Kind::kHall: {
      const auto it = planners_.find(change.hall);
      if (it != planners_.end()) it->second.OnHallRow(ctx);
      return;
    }
    case MirrorChange::Kind::kSettings:
      if (settings_.Offer(ctx, change.settings.copy)) OnSettingsChanged(ctx);
      return;
  }
}

void Reducer::NoteEnd(Context& ctx, const MirrorChange& change) {
  if (!change.after.has_value() || !IsFinal(change.after->state)) return;
  if (change.before.has_value() && IsFinal(change.before->state)) return;
  const auto planner = planners_.find(change.after->hall);
  const bool mine = planner != planners_.end() && planner->second.named();
  if (!mine) return;
  ++shared_.counters.jobs_ended[change.after->state];
  ctx.Log(LogId::kJobEnded, {{"job", change.after->spec.id.value()},
                             {"state", ToString(change.after->state)},
                             {"why", change.after->reason}});
}

void Reducer::OnSettingsChanged(Context& ctx) {
  shared_.members.SetOptions({shared_.system.suspect, shared_.system.suspect});
  UpdatePlanners(ctx);
  for (auto& [hall, planner] : planners_) {
    planner.OnSettingsChanged(shared_.system);
  }
  requests_.UpdateSlots(ctx);
}

void Reducer::OnTargetsChanged(Context& ctx) {
  UpdatePlanners(ctx);
  requests_.UpdateSlots(ctx);
  for (auto& [hall, planner] : planners_) planner.OnTargetsChanged();
}

void Reducer::UpdatePlanners(Context& ctx) {
  std::set<HallId> halls;
  if (shared_.settings != nullptr) {
    for (const auto& [id, hall] : shared_.settings->halls) halls.insert(id);
  }
  for (const auto& [id, worker] : shared_.workers) halls.insert(worker.hall);
  shared_.planned_halls.assign(halls.begin(), halls.end());
  for (const HallId& hall : halls) {
    const auto [it, is_new] =
        planners_.try_emplace(hall, hall, shared_.self, shared_.system);
    if (is_new) it->second.OnHallRow(ctx);
  }
}

void Reducer::Advance(Context& ctx, bool tick) {
  const bool check = tick && ctx.now - checked_at_ >= kCheckInterval;
  if (check) checked_at_ = ctx.now;
  if (peers_.TakeChanged()) {
    for (const auto& [id, heartbeat] : shared_.heard) {
      for (const RunnerId& runner : heartbeat.leaving_runners) {
        requests_.MarkLeaving(runner);
      }
    }
    OnTargetsChanged(ctx);
  }
  for (auto& [hall, planner] : planners_) planner.Advance(ctx, check);
  requests_.Dispatch(ctx);
  store_.Advance(ctx);
  UpdateReady(ctx);
  if (shared_.stopping) AdvanceStop(ctx);
}

void Reducer::AdvanceStop(Context& ctx) {
  const Duration stopping = ctx.now - shared_.stop_asked_at;
  if (exited_ || stopping < shared_.system.stop_grace) return;
  const bool holds =
      std::any_of(planners_.begin(), planners_.end(),
                  [](const auto& planner) { return planner.second.named(); });
  const bool served = requests_.idle() && jobs_.idle() && settings_.idle();
  const bool settled = store_.idle() && !holds;
  const bool late = stopping >= shared_.system.stop_grace + kStopLimit;
  if (!served || (!settled && !late)) return;
  exited_ = true;
  ctx.Log(LogId::kStopped, {});
  ctx.Emit(Exit{});
}

void Reducer::UpdateReady(Context& ctx) {
  std::string reason;
  if (shared_.stopping) {
    reason = "leaving";
  } else if (shared_.settings == nullptr) {
    reason = "no settings are in force";
  } else if (!shared_.mirror.loaded()) {
    reason = "the table has not been read";
  }
  const bool ready = reason.empty();
  if (ready == ready_ && told_ready_) return;
  ready_ = ready;
  told_ready_ = true;
  ctx.Log(ready ? LogId::kReady : LogId::kNotReady, {{"reason", reason}});
  ctx.Emit(SetReady{ready, reason});
}

std::string Reducer::Explain(const Context& ctx, const JobRow& job) const {
  if (IsFinal(job.state)) return job.reason;
  std::string planner = "nobody yet";
  const OwnershipRecord record = shared_.mirror.HallRecord(job.hall);
  if (!record.holder.empty()) {
    planner = absl::StrCat("instance ", record.holder.value(), " (epoch ",
                           record.epoch.value(), ")");
  }
  const auto it = planners_.find(job.hall);
  std::string why = job.reason;
  if (it != planners_.end() && it->second.named()) {
    const std::string fresh = it->second.scheduler().WhyWaiting(job.spec.id);
    if (!fresh.empty()) why = fresh;
  }
  if (job.state != JobState::kWaiting) {
    return absl::StrCat("in hall ", job.hall.value(), ", planned by ", planner,
                        why.empty() ? "" : ": ", why);
  }
  if (why.empty()) why = "it will be looked at within a second";
  const std::int64_t waited =
      std::max<std::int64_t>(0, ctx.wall_ms - job.waiting_since_ms);
  return absl::StrCat("waits in hall ", job.hall.value(), " for ",
                      waited / 1000, " s, planned by ", planner, ": ", why);
}

JobExplainer Reducer::Explainer() const {
  return [this](const Context& ctx, const JobRow& job) {
    return Explain(ctx, job);
  };
}

}  // namespace limeledge
