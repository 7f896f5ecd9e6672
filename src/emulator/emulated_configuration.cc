/// @file
/// Versions of the catalog: their delivery to nodes, and probes that check by
/// which version a node answers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "emulator/emulated_catalog.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {

using dispatch::CallResult;
using dispatch::StoreOutcome;

namespace {

constexpr int kOrdinaryPriority = 1;
/// A node that nothing has kept from the store for this long has to know the
/// newest version.
constexpr Duration kContactTime{3000};

std::string PrefixOfQueue(const std::string& name) {
  return absl::StrCat("/", name, "/");
}

}  // namespace

void EmulatedSystem::AddQueue(const std::string& name) {
  dispatch::Queue queue = catalog_.queues.front();
  queue.id = dispatch::QueueId(name);
  queue.path_prefix = PrefixOfQueue(name);
  catalog_.queues.push_back(std::move(queue));
  PublishCatalog();
}

void EmulatedSystem::RemoveQueue(const std::string& name) {
  std::vector<dispatch::Queue>& queues = catalog_.queues;
  queues.erase(std::remove_if(queues.begin(), queues.end(),
                              [&name](const dispatch::Queue& queue) {
                                return queue.id.value() == name;
                              }),
               queues.end());
  PublishCatalog();
}

void EmulatedSystem::AddKey(const std::string& key) {
  catalog_.workspace_by_key[key] = catalog_.workspace_by_key.at(kKey);
  PublishCatalog();
}

void EmulatedSystem::RemoveKey(const std::string& key) {
  catalog_.workspace_by_key.erase(key);
  PublishCatalog();
}

void EmulatedSystem::PublishCatalog() {
  catalog_.version = catalog_.version.Next();
  Trace(absl::StrCat("catalog ", catalog_.version.value()));
  RecordCatalogVersion();
  DeliverCatalogChange();
}

void EmulatedSystem::DeliverCatalogChange() {
  catalog_revision_ = catalog_revision_.Next();
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    Process& process = processes_[i];
    if (!process.catalog_watch.has_value()) continue;
    const int node = static_cast<int>(i);
    if (IsCutOffFromStore(node)) {
      process.catalog_watch->lost = true;
      process.troubled_at = now_;
    } else if (!process.catalog_watch->lost) {
      process.catalog_watch.reset();
      SendCatalog(node, options_.network, true, true);
    }
  }
}

void EmulatedSystem::RecordCatalogVersion() {
  std::set<std::string> entries;
  for (const dispatch::Queue& queue : catalog_.queues) {
    entries.insert(queue.path_prefix);
  }
  for (const auto& [key, workspace] : catalog_.workspace_by_key) {
    entries.insert(key);
  }
  catalog_oracle_.Publish(now_, catalog_.version, std::move(entries));
}

void EmulatedSystem::Perform(int node, const dispatch::ReadCatalog&) {
  SendCatalog(node, options_.network * 2, true, false);
}

void EmulatedSystem::Perform(int node, const dispatch::AwaitCatalog& await) {
  if (await.after < catalog_revision_) {
    SendCatalog(node, options_.network * 2, true, true);
    return;
  }
  Process& process = processes_[node];
  process.catalog_watch = CatalogWatch{++last_catalog_watch_};
  RunAt(now_ + await.wait, [this, node, incarnation = process.incarnation,
                            number = process.catalog_watch->number, await] {
    EndCatalogWatch(node, incarnation, number, await);
  });
}

void EmulatedSystem::EndCatalogWatch(int node, int incarnation,
                                     std::int64_t number,
                                     const dispatch::AwaitCatalog& await) {
  Process& process = processes_[node];
  const bool ended = process.incarnation != incarnation ||
                     !process.catalog_watch.has_value() ||
                     process.catalog_watch->number != number;
  if (ended) return;
  const bool lost = process.catalog_watch->lost;
  process.catalog_watch.reset();
  if (!lost) {
    SendCatalog(node, Duration(0), false, true);
    return;
  }
  RunAt(now_ + (await.timeout - await.wait), [this, node, incarnation] {
    dispatch::CatalogReceived lost_answer;
    lost_answer.from_watch = true;
    Deliver(node, incarnation, lost_answer);
  });
}

void EmulatedSystem::SendCatalog(int node, Duration after, bool has_catalog,
                                 bool from_watch) {
  const int incarnation = processes_[node].incarnation;
  RunAt(now_ + after, [this, node, incarnation, has_catalog, from_watch] {
    const bool unavailable = IsCutOffFromStore(node);
    dispatch::CatalogReceived answer;
    answer.from_watch = from_watch;
    answer.outcome =
        unavailable ? StoreOutcome::kNotApplied : StoreOutcome::kDone;
    if (!unavailable && has_catalog) answer.catalog = catalog_;
    if (!unavailable) {
      answer.newest = catalog_revision_;
      if (has_catalog) answer.changed_at = catalog_revision_;
    }
    answer.lists_all_halls = !unavailable;
    for (const auto& [hall, since] : drained_halls_) answer.halls[hall] = true;
    Deliver(node, incarnation, answer);
  });
}

// Probes.

void EmulatedSystem::ProbeQueue(int node, const std::string& name) {
  dispatch::CallReceived call;
  call.kind = dispatch::CallKind::kQuery;
  call.path = PrefixOfQueue(name);
  Probe(node, call.path, call);
}

void EmulatedSystem::ProbeKey(int node, const std::string& key) {
  dispatch::CallReceived call;
  call.kind = dispatch::CallKind::kQuery;
  call.path = PrefixOf(kOrdinaryPriority);
  call.key = key;
  Probe(node, key, call);
}

void EmulatedSystem::Probe(int node, const std::string& entry,
                           dispatch::CallReceived call) {
  const Process& process = processes_[node];
  CatalogOracle::Answer answer;
  answer.process = {node, process.incarnation};
  answer.entry = entry;
  answer.sent_at = now_;
  const bool in_touch = IsInTouch(process);
  SendCallTo(node, std::move(call),
             [this, answer,
              in_touch](const dispatch::RespondToCall* response) mutable {
               if (response == nullptr) return;
               ++probe_results_[response->result];
               answer.served = response->result == CallResult::kDone;
               const bool refused =
                   response->result == CallResult::kUnknownQueue ||
                   response->result == CallResult::kUnknownKey;
               if (!answer.served && !refused) return;
               const std::optional<std::string> wrong =
                   catalog_oracle_.Check(now_, answer, in_touch);
               if (wrong.has_value()) oracle_.Violate(*wrong);
             });
}

void EmulatedSystem::RecordTroubledProcesses() {
  const bool store_unstable = faults_.store_down ||
                              faults_.store_slowness > 1 ||
                              faults_.store_answers_lost > 0;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    Process& process = processes_[i];
    const bool troubled = store_unstable ||
                          IsCutOffFromStore(static_cast<int>(i)) ||
                          process.node == nullptr || process.stopping ||
                          now_ < process.frozen_until;
    if (troubled) process.troubled_at = now_;
  }
}

bool EmulatedSystem::IsInTouch(const Process& process) const {
  return process.node != nullptr && process.troubled_at + kContactTime <= now_;
}

}  // namespace limeledge::emulator
