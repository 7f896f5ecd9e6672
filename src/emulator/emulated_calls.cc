/// @file
/// Performs the effects of nodes that concern the store, the catalog, peers,
/// callers and logs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "emulator/emulated_catalog.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {

using dispatch::StoreOutcome;

namespace {

constexpr Duration kWatchInterval{20};
// The store refuses a transaction if its partition has more queued work.
constexpr Duration kMaxPartitionQueue{1000};
// When a late write is carried out.
constexpr Duration kMinLateWrite{1000};
constexpr Duration kMaxLateWrite{6000};

}  // namespace

// Effects that involve neither the store nor runners.

void EmulatedSystem::Perform(int node, const dispatch::WriteLog& log) {
  const bool leadership_changed =
      log.line.id == LogId::kLeaderClaimed || log.line.id == LogId::kLeaderLost;
  if (leadership_changed) leader_changed_at_ = now_;
  if (log.line.id == LogId::kLeaderClaimed) newest_leader_ = node;
  std::string text =
      absl::StrCat("n", node, " ", CatalogueEntry(log.line.id).name.data());
  for (const LogField& field : log.line.fields) {
    absl::StrAppend(&text, " ", field.name, "=", field.value);
  }
  Trace(text);
}

void EmulatedSystem::Perform(int node, const dispatch::SetReady& effect) {
  processes_[node].ready = effect.ready;
}

void EmulatedSystem::Perform(int node, const dispatch::Exit&) {
  KillNode(node, Duration(200));
}

void EmulatedSystem::Perform(int node, const dispatch::QueryPeer& request) {
  const int incarnation = processes_[node].incarnation;
  last_peer_call_ = last_peer_call_.Next();
  const CallId call = last_peer_call_;
  peer_calls_[call] = {node, incarnation, request.address};
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    const Process& peer = processes_[i];
    const bool responds = peer.node != nullptr && peer.frozen_until <= now_ &&
                          request.address == absl::StrCat("n", i);
    if (!responds) continue;
    const dispatch::PeerQueried query{call, request.request, request.epoch};
    RunAt(now_ + options_.network,
          [this, peer_node = static_cast<int>(i),
           peer_incarnation = peer.incarnation,
           query] { Deliver(peer_node, peer_incarnation, query); });
  }
  RunAt(now_ + request.timeout,
        [this, call] { FinishPeerCall(call, dispatch::PeerReplied()); });
}

void EmulatedSystem::Perform(int node,
                             const dispatch::RespondToPeer& response) {
  dispatch::PeerReplied reply;
  reply.callers_address = AddressOf(node);
  reply.answered = true;
  reply.store_answers = response.store_answers;
  reply.store_answer_age = response.store_answer_age;
  RunAt(now_ + options_.network,
        [this, call = response.call, reply] { FinishPeerCall(call, reply); });
}

void EmulatedSystem::Perform(int node, const dispatch::ForwardCall& effect) {
  const int peer = NodeAt(effect.address);
  dispatch::CallReceived call = effect.call;
  call.forwarded = true;
  forwarded_calls_[call.call] = {node, processes_[node].incarnation, call.path,
                                 effect.address};
  RunAt(now_ + options_.network,
        [this, peer, incarnation = processes_[peer].incarnation, call] {
          Deliver(peer, incarnation, call);
        });
}

void EmulatedSystem::FinishPeerCall(CallId call, dispatch::PeerReplied reply) {
  const auto found = peer_calls_.find(call);
  if (found == peer_calls_.end()) return;
  const PeerCall asked = std::move(found->second);
  peer_calls_.erase(found);
  reply.address = asked.address;
  Deliver(asked.node, asked.incarnation, std::move(reply));
}

void EmulatedSystem::Perform(int node, const dispatch::RespondToCall& answer) {
  const auto found = forwarded_calls_.find(answer.call);
  const bool passed_on =
      found != forwarded_calls_.end() && found->second.node != node;
  if (!passed_on) {
    RunAt(now_ + options_.network, [this, answer] { HandleResponse(answer); });
    return;
  }
  const ForwardedCall forwarded = std::move(found->second);
  forwarded_calls_.erase(found);
  const Process& forwarder = processes_[forwarded.node];
  RunAt(std::max(now_ + options_.network, forwarder.frozen_until),
        [this, forwarded, answer] {
          if (processes_[forwarded.node].incarnation != forwarded.incarnation) {
            return;
          }
          Deliver(forwarded.node, forwarded.incarnation,
                  dispatch::ForwardCompleted{
                      answer.call, forwarded.path, forwarded.address,
                      answer.result, answer.result, false, answer.version});
          HandleResponse(answer);
        });
}

void EmulatedSystem::Perform(int, const dispatch::RespondWithState& answer) {
  state_dump_ = answer.text;
}

// The store.

bool EmulatedSystem::IsCutOffFromStore(int node) const {
  return faults_.store_down || faults_.nodes_without_store.count(node) != 0;
}

template <typename Answer>
void EmulatedSystem::CallStore(int node, Duration timeout,
                               std::function<Answer()> execute, Answer lost,
                               Duration queued) {
  const int incarnation = processes_[node].incarnation;
  const TimePoint sent = now_;
  const auto deliver_lost = [this, node, incarnation, lost](TimePoint at) {
    RunAt(at, [this, node, incarnation, lost] {
      Deliver(node, incarnation, lost);
    });
  };
  const Duration work = options_.store_time * faults_.store_slowness + queued;
  RunAt(now_ + options_.network + work, [=] {
    const bool unavailable = IsCutOffFromStore(node);
    if (unavailable) {
      deliver_lost(sent + timeout);
      return;
    }
    const Answer answer = execute();
    const bool late = now_ + options_.network >= sent + timeout;
    if (late || Happens(faults_.store_answers_lost)) {
      deliver_lost(std::max(sent + timeout, now_));
      return;
    }
    RunAt(now_ + options_.network, [this, node, incarnation, answer] {
      Deliver(node, incarnation, answer);
    });
  });
}

void EmulatedSystem::Perform(int node, const dispatch::CommitRows& commit) {
  dispatch::CommitCompleted lost;
  lost.ticket = commit.ticket;
  ++commits_;
  if (commit.lane == dispatch::StoreLane::kLeader) {
    processes_[node].lease_writes[commit.ticket] = now_;
  }
  // Each partition applies its transactions one at a time.
  TimePoint& free_at = partition_free_at_[commit.transaction.partition];
  free_at = std::max(free_at, now_);
  const bool refused = faults_.refused_nodes.count(node) != 0 ||
                       IsPartitionDown(commit.transaction.partition) ||
                       free_at - now_ > kMaxPartitionQueue;
  if (refused) {
    lost.outcome = StoreOutcome::kNotApplied;
    RunAt(now_ + options_.network * 2,
          [this, node, incarnation = processes_[node].incarnation, lost] {
            Deliver(node, incarnation, lost);
          });
    return;
  }
  free_at = free_at + options_.transaction_time * faults_.store_slowness;
  const Duration queued = free_at - now_;
  if (Happens(faults_.store_writes_late)) {
    CommitLate(node, commit, lost);
    return;
  }
  CallStore<dispatch::CommitCompleted>(
      node, commit.timeout,
      [this, commit] {
        dispatch::CommitCompleted answer = store_.Commit(commit.transaction);
        answer.ticket = commit.ticket;
        return answer;
      },
      lost, queued);
}

void EmulatedSystem::CommitLate(int node, const dispatch::CommitRows& commit,
                                const dispatch::CommitCompleted& lost) {
  const double fraction = RandomFraction();
  const auto span = static_cast<double>((kMaxLateWrite - kMinLateWrite).ms());
  const Duration late =
      kMinLateWrite + Duration(static_cast<std::int64_t>(fraction * span));
  RunAt(now_ + late, [this, commit] { store_.Commit(commit.transaction); });
  RunAt(now_ + commit.timeout,
        [this, node, incarnation = processes_[node].incarnation, lost] {
          Deliver(node, incarnation, lost);
        });
}

void EmulatedSystem::Perform(int node, const dispatch::ReadRows& read) {
  ++reads_[read.lane].calls;
  dispatch::ReadCompleted lost;
  lost.ticket = read.ticket;
  lost.outcome = StoreOutcome::kUnknown;
  CallStore<dispatch::ReadCompleted>(
      node, read.timeout,
      [this, node, read] {
        dispatch::ReadCompleted answer;
        answer.outcome = StoreOutcome::kNotApplied;
        const bool refused = faults_.refused_nodes.count(node) != 0 ||
                             IsPartitionDown(read.partition);
        if (!refused) {
          answer = store_.Read(read.table, read.partition, read.from, read.to,
                               read.limit);
        }
        answer.ticket = read.ticket;
        reads_[read.lane].rows += static_cast<std::int64_t>(answer.rows.size());
        return answer;
      },
      lost);
}

void EmulatedSystem::Perform(int node, const dispatch::AwaitChanges& request) {
  WatchChanges(node, processes_[node].incarnation, request,
               now_ + request.wait);
}

void EmulatedSystem::WatchChanges(int node, int incarnation,
                                  const dispatch::AwaitChanges& effect,
                                  TimePoint until) {
  const bool unavailable = IsCutOffFromStore(node);
  dispatch::ChangesReceived answer;
  answer.outcome = StoreOutcome::kNotApplied;
  if (!unavailable) answer = store_.Changes(effect.table, effect.after);
  answer.ticket = effect.ticket;
  const bool waits =
      now_ < until && (unavailable || (answer.rows.empty() &&
                                       answer.outcome == StoreOutcome::kDone));
  if (waits) {
    RunAt(now_ + kWatchInterval, [this, node, incarnation, effect, until] {
      WatchChanges(node, incarnation, effect, until);
    });
    return;
  }
  RunAt(now_ + options_.network + faults_.watch_delay,
        [this, node, incarnation, answer] {
          Deliver(node, incarnation, answer);
        });
}

// The list of runners.

bool EmulatedSystem::HasEntry(const RunnerId& runner) const {
  // An unreachable runner cannot renew its entry either.
  if (RenewsEntry(runner)) return true;
  if (!options_.cut_off_entries_expire) return false;
  const auto renewed_at = entry_renewed_at_.find(runner);
  return renewed_at != entry_renewed_at_.end() &&
         now_ < renewed_at->second + options_.entry_expiry;
}

void EmulatedSystem::RenewEntries() {
  for (const auto& [id, runner] : runners_) {
    if (RenewsEntry(id)) entry_renewed_at_[id] = now_;
  }
}

dispatch::RunnersListed EmulatedSystem::RegisteredRunners() const {
  dispatch::RunnersListed listed;
  listed.ok = true;
  std::set<RunnerId> listed_ids;
  for (const auto& [id, runner] : runners_) {
    const auto at = listed_from_.find(id);
    const bool late = at != listed_from_.end() && now_ < at->second;
    if (!HasEntry(id) || late) continue;
    listed.runners.push_back(runner->info());
    listed_ids.insert(id);
  }
  for (const auto& [id, entry] : expiring_entries_) {
    const bool valid = now_ < entry.second && listed_ids.count(id) == 0;
    if (valid) listed.runners.push_back(entry.first);
  }
  for (dispatch::RunnerInfo& info : listed.runners) {
    const auto found = faults_.overwritten_addresses.find(info.id);
    if (found != faults_.overwritten_addresses.end()) {
      info.address = found->second;
    }
  }
  return listed;
}

void EmulatedSystem::Perform(int node, const dispatch::ListRunners& effect) {
  if (effect.after != Revision()) {
    WatchRunners(node, processes_[node].incarnation, effect,
                 now_ + effect.wait);
    return;
  }
  CallStore<dispatch::RunnersListed>(
      node, effect.timeout,
      [this, node] {
        dispatch::RunnersListed listed = RegisteredRunners();
        RunnerListView& seen = processes_[node].runner_list;
        seen.entries.clear();
        for (const dispatch::RunnerInfo& info : listed.runners) {
          seen.entries[info.id] = RunnerListView::EntryOf(info);
        }
        listed.newest = seen.revision = seen.revision.Next();
        return listed;
      },
      dispatch::RunnersListed());
}

void EmulatedSystem::WatchRunners(int node, int incarnation,
                                  const dispatch::ListRunners& effect,
                                  TimePoint until) {
  Process& process = processes_[node];
  if (process.incarnation != incarnation) return;
  const bool lost =
      IsCutOffFromStore(node) || Happens(faults_.store_answers_lost);
  const dispatch::RunnersListed changes =
      lost ? dispatch::RunnersListed() : RunnerChanges(process.runner_list);
  const bool changed = !changes.runners.empty() || !changes.removed.empty();
  if (now_ < until && !changed) {
    RunAt(now_ + kWatchInterval, [this, node, incarnation, effect, until] {
      WatchRunners(node, incarnation, effect, until);
    });
    return;
  }
  const Duration delay = options_.network + faults_.runner_list_delay;
  RunAt(now_ + delay, [this, node, incarnation, changes] {
    Process& later = processes_[node];
    if (later.incarnation == incarnation && changes.ok) {
      Apply(changes, &later.runner_list);
    }
    Deliver(node, incarnation, changes);
  });
}

dispatch::RunnersListed EmulatedSystem::RunnerChanges(
    const RunnerListView& seen) const {
  dispatch::RunnersListed changes;
  changes.ok = true;
  changes.snapshot = false;
  changes.newest = seen.revision.Next();
  std::map<RunnerId, RunnerListView::Entry> unseen = seen.entries;
  for (const dispatch::RunnerInfo& info : RegisteredRunners().runners) {
    const auto found = unseen.find(info.id);
    const bool same =
        found != unseen.end() && found->second == RunnerListView::EntryOf(info);
    if (!same) changes.runners.push_back(info);
    unseen.erase(info.id);
  }
  for (const auto& [id, entry] : unseen) changes.removed.push_back(id);
  return changes;
}

void EmulatedSystem::Apply(const dispatch::RunnersListed& changes,
                           RunnerListView* seen) {
  seen->revision = changes.newest;
  for (const dispatch::RunnerInfo& info : changes.runners) {
    seen->entries[info.id] = RunnerListView::EntryOf(info);
  }
  for (const RunnerId& id : changes.removed) seen->entries.erase(id);
}

}  // namespace limeledge::emulator
