/// @file
/// Heartbeats and the instance list.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/peers.h"

#include <algorithm>
#include <utility>

#include "core/store_client.h"

namespace limeledge {

namespace {

/// A heartbeat is sent by the smaller id; the larger one waits this many
/// intervals before it sends by itself.
constexpr int kPatience = 2;

}  // namespace

void Peers::OnTick(Context& ctx, const std::vector<HallDigest>& digests,
                   const std::vector<RunnerId>& leaving_runners) {
  digests_ = digests;
  leaving_runners_ = leaving_runners;
  for (const HallDigest& digest : digests) {
    ctx.shared.halls[digest.hall] = digest;
  }
  const bool list_due =
      !list_asked_ || ctx.now - list_asked_at_ >= ctx.shared.system.list_poll;
  if (!list_in_flight_ && list_due) {
    list_in_flight_ = true;
    list_asked_ = true;
    list_asked_at_ = ctx.now;
    ctx.Emit(ReadInstanceList{});
  }
  WatchSuspects(ctx);
  for (const auto& [id, entry] : ctx.shared.entries) {
    if (id == ctx.shared.self.id) continue;
    Link& link = links_[id];
    const Duration interval = ctx.shared.system.heartbeat;
    const bool first_speaker = ctx.shared.self.id < id;
    const Duration patience = first_speaker ? interval : interval * kPatience;
    const bool due = send_now_ || ctx.now - link.sent_at >= patience;
    if (link.in_flight || !due) continue;
    link.in_flight = true;
    link.sent_at = ctx.now;
    ++ctx.shared.counters.heartbeats;
    ctx.Emit(SendHeartbeat{id, entry.peer_address, Compose(ctx)});
  }
  send_now_ = false;
}

void Peers::OnHeartbeatArrived(Context& ctx, const HeartbeatArrived& arrived) {
  Hear(ctx, arrived.heartbeat);
  // The answer is a heartbeat too, so there is no need to send one soon.
  links_[arrived.heartbeat.from].sent_at = ctx.now;
  ctx.Reply(arrived.call, Compose(ctx));
}

void Peers::OnHeartbeatAnswered(Context& ctx,
                                const HeartbeatAnswered& answered) {
  links_[answered.peer].in_flight = false;
  if (answered.heartbeat.has_value()) Hear(ctx, *answered.heartbeat);
}

bool Peers::OnList(Context& ctx, const InstanceListRead& read) {
  list_in_flight_ = false;
  ctx.shared.list_checked_at = ctx.now;
  if (!read.list.has_value()) {
    if (!list_failed_) ctx.Log(LogId::kListUnavailable, {});
    list_failed_ = true;
    return false;
  }
  list_failed_ = false;
  Shared& shared = ctx.shared;
  const bool same = list_ == *read.list;
  list_ = *read.list;
  std::vector<ListedMember> members;
  shared.entries.clear();
  for (const EntryInfo& entry : read.list->entries) {
    shared.entries[entry.id] = entry;
    members.push_back({entry.id, entry.leaving});
  }
  const std::vector<InstanceId> before = shared.members.Live(ctx.now);
  shared.members.OnList(ctx.now, members);
  if (same) return before != shared.members.Live(ctx.now);
  shared.workers.clear();
  for (const WorkerInfo& worker : read.list->workers) {
    shared.workers[worker.id] = worker;
  }
  for (auto it = heard_leaving_.begin(); it != heard_leaving_.end();) {
    const auto worker = shared.workers.find(it->first);
    if (worker == shared.workers.end()) {
      it = heard_leaving_.erase(it);
      continue;
    }
    worker->second.leaving = true;
    ++it;
  }
  shared.runners.clear();
  for (const RunnerInfo& runner : read.list->runners) {
    shared.runners[runner.id] = runner;
  }
  return true;
}

bool Peers::TakeChanged() { return std::exchange(changed_, false); }

Heartbeat Peers::Compose(const Context& ctx) const {
  const Shared& shared = ctx.shared;
  Heartbeat heartbeat;
  heartbeat.from = shared.self.id;
  heartbeat.incarnation = shared.self.incarnation;
  heartbeat.leaving = shared.members.self_leaving();
  heartbeat.settings = shared.follower.version();
  heartbeat.revision = shared.newest_commit;
  heartbeat.store_reachable = shared.store_reachable;
  heartbeat.halls = digests_;
  heartbeat.leaving_runners = leaving_runners_;
  for (const auto& [id, worker] : shared.workers) {
    if (worker.leaving) heartbeat.leaving_workers.push_back(id);
  }
  return heartbeat;
}

void Peers::Hear(Context& ctx, const Heartbeat& heartbeat) {
  Shared& shared = ctx.shared;
  const auto former = shared.heard.find(heartbeat.from);
  const bool older = former != shared.heard.end() &&
                     heartbeat.incarnation < former->second.incarnation;
  if (older) return;
  const std::vector<InstanceId> before = shared.members.Live(ctx.now);
  shared.members.OnHeartbeat(ctx.now, heartbeat.from, heartbeat.incarnation,
                             heartbeat.leaving);
  shared.follower.Heard(heartbeat.settings);
  if (heartbeat.revision > shared.mirror.read_up_to()) ctx.store.ReadSoon();
  for (const HallDigest& digest : heartbeat.halls) {
    const auto known = shared.halls.find(digest.hall);
    const bool stale =
        known != shared.halls.end() && digest.epoch < known->second.epoch;
    if (!stale) shared.halls[digest.hall] = digest;
  }
  for (const WorkerId& id : heartbeat.leaving_workers) {
    const auto worker = shared.workers.find(id);
    if (worker == shared.workers.end() || worker->second.leaving) continue;
    worker->second.leaving = true;
    heard_leaving_[id] = ctx.now;
    changed_ = true;
  }
  shared.heard[heartbeat.from] = heartbeat;
  if (!heartbeat.leaving_runners.empty()) changed_ = true;
  if (before != shared.members.Live(ctx.now)) changed_ = true;
}

void Peers::WatchSuspects(Context& ctx) {
  for (auto& [id, link] : links_) {
    const MemberState state = ctx.shared.members.StateOf(ctx.now, id);
    const bool suspect = state == MemberState::kSuspect;
    if (suspect == link.suspect) continue;
    link.suspect = suspect;
    changed_ = true;
    ctx.Log(suspect ? LogId::kPeerSuspect : LogId::kPeerBack,
            {{"peer", id.value()}});
  }
}

}  // namespace limeledge
