/// @file
/// Holding and planning of one hall.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/hall_planner.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/row_codec.h"
#include "limeledge/rendezvous.h"

namespace limeledge {

namespace {

OwnershipOptions OptionsFrom(const SystemSettings& system) {
  return {system.hall_lease, system.hall_lease_margin};
}

/// True when a live peer says that it reaches the table service.
bool PeerReachesStore(const Context& ctx) {
  return std::any_of(
      ctx.shared.heard.begin(), ctx.shared.heard.end(), [&ctx](const auto& it) {
        const bool live =
            ctx.shared.members.StateOf(ctx.now, it.first) == MemberState::kLive;
        return live && it.second.store_reachable;
      });
}

/// Live members that could plan: they say that they reach the table service.
std::vector<InstanceId> Candidates(const Context& ctx) {
  std::vector<InstanceId> candidates;
  for (const InstanceId& id : ctx.shared.members.Live(ctx.now)) {
    const auto heard = ctx.shared.heard.find(id);
    const bool able =
        id == ctx.shared.self.id ||
        (heard != ctx.shared.heard.end() && heard->second.store_reachable);
    if (able) candidates.push_back(id);
  }
  return candidates;
}

/// The member that should plan the hall; halls are spread evenly.
InstanceId OwnerOf(const Context& ctx, const HallId& hall) {
  const std::vector<HallId>& halls = ctx.shared.planned_halls;
  std::vector<std::string> keys;
  keys.reserve(halls.size());
  for (const HallId& planned : halls) keys.push_back(HallKey(planned));
  const std::vector<InstanceId> owners = BalancedOwners(keys, Candidates(ctx));
  for (std::size_t i = 0; i < halls.size(); ++i) {
    if (halls[i] == hall) return owners[i];
  }
  return InstanceId();
}

}  // namespace

HallPlanner::HallPlanner(const HallId& hall, const Identity& self,
                         const SystemSettings& system)
    : hall_(hall),
      ownership_(self.id, self.incarnation, OptionsFrom(system)),
      keeper_(hall, self.notify_address),
      scheduler_(hall) {}

void HallPlanner::AdvanceOwnership(Context& ctx) {
  const bool preferred = IsPreferred(ctx);
  if (write_in_flight_) return;
  const OwnershipAction action =
      ownership_.Decide(ctx.now, preferred, ctx.shared.stopping);
  if (action != OwnershipAction::kNone) PushOwnership(ctx, action);
}

void HallPlanner::OnHallRow(Context& ctx) {
  const bool was_named = ownership_.named();
  ownership_.OnRead(ctx.now, ctx.shared.mirror.HallRecord(hall_));
  // The answer to a claim may be lost: the row tells all the same.
  MaybeBeginEpoch(ctx);
  if (!was_named || ownership_.named()) return;
  writer_.Reset();
  // An empty holder is this instance's own release.
  if (ownership_.record().holder.empty()) return;
  ctx.Log(LogId::kHallLost,
          {{"hall", hall_.value()},
           {"holder", ownership_.record().holder.value()},
           {"epoch", absl::StrCat(ownership_.record().epoch.value())}});
}

void HallPlanner::OnOwnershipWritten(Context& ctx, const OwnershipWrite& write,
                                     IntentOutcome outcome, Revision revision) {
  write_in_flight_ = false;
  if (outcome != IntentOutcome::kCommitted) return;
  OwnershipRecord record = write.record;
  if (write.action == OwnershipAction::kRenew) {
    record.renewal = revision;
  } else {
    record.version = revision;
  }
  ownership_.OnWritten(write.proposed_at, record);
  MaybeBeginEpoch(ctx);
  if (write.action != OwnershipAction::kRelease) return;
  ctx.Log(
      LogId::kHallReleased,
      {{"hall", hall_.value()}, {"epoch", absl::StrCat(record.epoch.value())}});
}

void HallPlanner::MaybeBeginEpoch(Context& ctx) {
  const Epoch epoch = ownership_.record().epoch;
  if (!named() || epoch == begun_) return;
  begun_ = epoch;
  writer_.Reset();
  keeper_.BeginEpoch(ctx);
  scheduler_.BeginEpoch();
  ctx.Log(LogId::kHallClaimed,
          {{"hall", hall_.value()}, {"epoch", absl::StrCat(epoch.value())}});
}

void HallPlanner::OnTransitionFinished(Context& ctx,
                                       const JobTransition& transition,
                                       IntentOutcome outcome) {
  writer_.OnFinished(transition.job.spec.id);
  keeper_.OnTransitionFinished(ctx, transition.job, outcome);
  scheduler_.SetDue();
}

void HallPlanner::OnJobChanged(Context& ctx, const MirrorChange& change) {
  keeper_.OnJobChanged(ctx, change);
  scheduler_.SetDue();
}

void HallPlanner::OnWorkerReply(Context& ctx, const WorkerReplied& reply) {
  if (!named() || reply.epoch != ownership_.record().epoch) return;
  const auto link = keeper_.links().find(reply.worker);
  const bool was_unknown =
      link == keeper_.links().end() || !link->second.has_stamp();
  keeper_.OnWorkerReply(ctx, reply);
  if (was_unknown) scheduler_.SetDue();
}

void HallPlanner::OnWorkerChanged(const WorkerId& worker) {
  keeper_.OnWorkerChanged(worker);
}

void HallPlanner::OnSettingsChanged(const SystemSettings& system) {
  ownership_.SetOptions(OptionsFrom(system));
  scheduler_.OnSettingsChanged();
}

void HallPlanner::Advance(Context& ctx, bool all) {
  if (!named() || ctx.shared.settings == nullptr) return;
  const HallRight right = Right(ctx);
  keeper_.Step(ctx, right, &writer_, all);
  if (right.may_start) scheduler_.Run(ctx, right, &keeper_, &writer_);
  if (right.may_renew) keeper_.Exchange(ctx, right);
}

HallDigest HallPlanner::Digest() const {
  const HallRoom& room = scheduler_.room();
  return {hall_, ownership_.record().epoch, room.free_accelerators,
          room.largest_free, room.waiting_jobs};
}

HallRight HallPlanner::Right(const Context& ctx) const {
  HallRight right;
  right.hall = hall_;
  right.record = ownership_.record();
  right.since = ownership_.since();
  const bool holds = ownership_.HoldsAt(ctx.now);
  right.may_start = holds && ctx.shared.store_reachable &&
                    !ctx.shared.stopping && ctx.ListIsFresh();
  // While nobody reaches the store, nobody can have taken the hall over.
  right.may_renew =
      holds || (!ctx.shared.store_reachable && !PeerReachesStore(ctx));
  return right;
}

bool HallPlanner::IsPreferred(const Context& ctx) {
  const bool first = OwnerOf(ctx, hall_) == ctx.shared.self.id;
  if (first) {
    unpreferred_since_.reset();
    return true;
  }
  if (!unpreferred_since_.has_value()) unpreferred_since_ = ctx.now;
  // A holder keeps the hall until the other member has been there for a while.
  return named() && ctx.now - *unpreferred_since_ < ctx.shared.system.suspect;
}

void HallPlanner::PushOwnership(Context& ctx, OwnershipAction action) {
  const OwnershipRecord record = ownership_.Proposal(action);
  WriteRequest request;
  request.priority = WritePriority::kJobs;
  request.conditions = {{HallKey(hall_), ownership_.record().version}};
  if (action == OwnershipAction::kRenew) {
    request.writes = {{RenewalKey(hall_), EncodeOwnership(record), false}};
  } else {
    request.writes = {{HallKey(hall_), EncodeOwnership(record), false}};
  }
  if (action == OwnershipAction::kClaim) {
    request.conditions.push_back(
        {RenewalKey(hall_), ownership_.record().renewal});
  }
  request.give_up = ctx.now + ctx.shared.system.hall_lease;
  request.purpose = OwnershipWrite{hall_, action, record, ctx.now};
  write_in_flight_ = true;
  ctx.store.Push(std::move(request));
}

}  // namespace limeledge
