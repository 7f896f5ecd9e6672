/// @file
/// Injection of each kind of fault.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/fault_driver.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/json.h"

namespace limeledge::soak {

namespace {

constexpr std::chrono::milliseconds kTick{20};
// Delay before a process that has ended is restarted.
constexpr Duration kRestartPause{500};
// A shutdown takes at most the grace period of the settings (6 s), plus some
// time on a busy machine.
constexpr Duration kLongestStop{8000};
// Strength of the faults: enough to have an effect, and less than the timeouts
// of calls.
constexpr Duration kStoreDelay{400};
constexpr Duration kLinkDelay{300};
// Calls on silenced connections are given up within this time: the timeout of a
// waiting call and its slack.
constexpr Duration kSilenceFelt{3000};
// Late orders lose their responses for one to four times this long. An order is
// sent twice within 1 s, and cancelled by a stop once runners respond again;
// from 3 s on, late starts are carried out before that stop.
constexpr Duration kOrdersLost{1000};
constexpr int kMostTimesLost = 4;
// Share of the store writes whose responses are lost.
constexpr double kAnswersLost = 0.3;
constexpr double kWritesLate = 0.3;
// Factor by which tasks on a slow runner take longer.
constexpr double kSlowness = 5;
// Number of parts of the capacity that remain on a shrunk runner.
constexpr int kShrunkParts = 1;
// A working node responds within some milliseconds.
constexpr Duration kStateTimeout{200};
// HTTP status of a store that is down.
constexpr int kUnavailable = 503;

/// Returns the link fault of a fault kind.
LinkFault LinkFaultOf(FaultKind kind) {
  LinkFault link_fault;
  switch (kind) {
    case FaultKind::kCutStore:
    case FaultKind::kCutRunner:
    case FaultKind::kIsolateRunner:
      link_fault.holds_requests = link_fault.holds_answers = true;
      break;
    case FaultKind::kHoldAnswers:
      link_fault.holds_answers = true;
      break;
    case FaultKind::kResetStore:
      link_fault.refuses = true;
      break;
    case FaultKind::kPartitionRunner:
      link_fault.closed = true;
      break;
    case FaultKind::kDelayCallers:
    case FaultKind::kDelayRunner:
      link_fault.delay = kLinkDelay;
      break;
    default:
      break;
  }
  return link_fault;
}

}  // namespace

FaultDriver::FaultDriver(SoakPlatform* platform, Nodes* nodes, FaultLog* log)
    : platform_(platform), nodes_(nodes), log_(log) {}

void FaultDriver::At(TimePoint at, std::function<void()> run) {
  actions_.emplace(at, std::move(run));
}

void FaultDriver::During(const Fault& fault, TimePoint at,
                         const std::string& subject,
                         std::function<void()> begin,
                         std::function<void()> end) {
  const Duration length = fault.length;
  At(at, [this, subject, begin = std::move(begin), length] {
    // The span is doubled because a busy machine may delay the effects.
    const TimePoint now = clock_.Now();
    log_->Note(subject, now, now + length + length);
    begin();
  });
  At(at + length, std::move(end));
}

void FaultDriver::DuringLink(const Fault& fault, TimePoint at,
                             const std::string& subject, TcpProxy* link) {
  const LinkFault link_fault = LinkFaultOf(fault.kind);
  During(
      fault, at, subject, [link, link_fault] { link->SetFault(link_fault); },
      [link] { link->SetFault({}); });
}

void FaultDriver::Run(const std::vector<Fault>& plan, Duration length) {
  const TimePoint begin = clock_.Now();
  for (const Fault& fault : plan) Schedule(fault, begin);
  const TimePoint end = begin + length;
  while (clock_.Now() < end) {
    while (!actions_.empty() && actions_.begin()->first <= clock_.Now()) {
      const std::function<void()> run = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      run();
    }
    TendNodes();
    std::this_thread::sleep_for(kTick);
  }
}

void FaultDriver::Schedule(const Fault& fault, TimePoint begin) {
  const TimePoint at = begin + fault.at;
  if (fault.target == kLeaderTarget) {
    ScheduleLeader(fault, at);
    return;
  }
  if (fault.kind == FaultKind::kSilenceAll) {
    At(at, [this] { SilenceAll(); });
    return;
  }
  if (fault.kind == FaultKind::kChangeConfig) {
    At(at, [this] { platform_->WriteConfig(); });
    return;
  }
  if (ScheduleNode(fault, at) || ScheduleNodeLink(fault, at)) return;
  if (ScheduleStore(fault, at) || ScheduleRunnerLink(fault, at)) return;
  ScheduleRunner(fault, at);
}

void FaultDriver::ScheduleLeader(const Fault& fault, TimePoint at) {
  At(at, [this, fault] {
    Fault resolved = fault;
    resolved.target = FindLeader();
    resolved.at = Duration(0);
    Schedule(resolved, clock_.Now());
  });
}

int FaultDriver::FindLeader() {
  for (std::size_t i = 0; i < nodes_->size(); ++i) {
    HttpCall call;
    call.address = (*nodes_)[i]->metrics();
    call.method = "GET";
    call.path = "/state";
    call.connect_timeout = call.timeout = kStateTimeout;
    const HttpReply reply = client_.Call(call);
    if (!reply.ok()) continue;
    const absl::StatusOr<Json::Value> state = ParseJson(reply.body);
    const bool leads = state.ok() && (*state)["leads"].asBool();
    if (leads) return static_cast<int>(i);
  }
  return 0;
}

void FaultDriver::SilenceAll() {
  const TimePoint now = clock_.Now();
  for (const auto& node : *nodes_) {
    log_->Note(StoreLinkOf(node->name()), now, now + kSilenceFelt);
    node->store_link().SilenceAll();
  }
  SilenceRunners();
}

void FaultDriver::SilenceRunners() {
  const TimePoint now = clock_.Now();
  for (int i = 0; i < platform_->runners(); ++i) {
    log_->Note(RunnerSubject(i), now, now + kSilenceFelt);
    platform_->runner_link(i).SilenceAll();
  }
}

void FaultDriver::SetRunnerLinks(const LinkFault& fault) {
  for (int i = 0; i < platform_->runners(); ++i) {
    platform_->runner_link(i).SetFault(fault);
  }
}

void FaultDriver::DelayOrders(const Fault& fault) {
  const TimePoint now = clock_.Now();
  const TimePoint end = now + kOrdersLost * (1 + fault.target % kMostTimesLost);
  // Calls with lost responses are given up only after some time.
  const TimePoint felt = end + kSilenceFelt;
  log_->Note("orders", now, felt);
  log_->Note("orders", now, felt + fault.length, TroubleSort::kLateOrders);
  LinkFault lost;
  lost.late_by = fault.length;
  SetRunnerLinks(lost);
  At(end, [this] { SetRunnerLinks({}); });
}

void FaultDriver::HoldCalls(const Fault& fault) {
  const int place = PlaceOf(fault);
  const TimePoint now = clock_.Now();
  const TimePoint end = now + fault.length;
  const TimePoint felt = end + kSilenceFelt;
  log_->Note(RunnerSubject(place), now, felt);
  log_->Note("orders", now, felt, TroubleSort::kLateOrders);
  TcpProxy* link = &platform_->runner_link(place);
  LinkFault held;
  held.late_until = end;
  link->SetFault(held);
  At(end, [link] { link->SetFault({}); });
}

void FaultDriver::StopNode(NodeProcess* node, bool replace) {
  const TimePoint now = clock_.Now();
  log_->Note(node->name(), now, now, TroubleSort::kNodeChange);
  if (replace) node->ReplaceNext();
  node->Signal(SIGTERM);
}

void FaultDriver::SetSuspended(NodeProcess* node, bool suspended) {
  LinkFault held;
  held.holds_requests = held.holds_answers = suspended;
  node->store_link().SetFault(held);
  node->front_link().SetFault(held);
  node->Signal(suspended ? SIGSTOP : SIGCONT);
}

NodeProcess* FaultDriver::NodeOf(const Fault& fault) {
  return (*nodes_)[fault.target % nodes_->size()].get();
}

bool FaultDriver::ScheduleNode(const Fault& fault, TimePoint at) {
  NodeProcess* node = NodeOf(fault);
  switch (fault.kind) {
    case FaultKind::kKillNode:
      During(
          fault, at, node->name(), [node] { node->Kill(); }, [] {});
      return true;
    case FaultKind::kLoseNode:
      During(
          fault, at, node->name(),
          [node] {
            node->ReplaceNext();
            node->Kill();
          },
          [] {});
      return true;
    case FaultKind::kStopNode:
      At(at, [this, node] { StopNode(node, false); });
      return true;
    case FaultKind::kReplaceNode:
      At(at, [this, node] { StopNode(node, true); });
      return true;
    case FaultKind::kPauseNode:
      During(
          fault, at, node->name(), [node] { node->Signal(SIGSTOP); },
          [node] { node->Signal(SIGCONT); });
      return true;
    case FaultKind::kSuspendNode:
      // Unlike a paused process, a suspended machine does not accept data from
      // the network.
      During(
          fault, at, node->name(), [node] { SetSuspended(node, true); },
          [node] { SetSuspended(node, false); });
      return true;
    case FaultKind::kReloadNode:
      At(at, [node] { node->Signal(SIGHUP); });
      return true;
    default:
      return false;
  }
}

bool FaultDriver::ScheduleNodeLink(const Fault& fault, TimePoint at) {
  NodeProcess* node = NodeOf(fault);
  const std::string store_link = StoreLinkOf(node->name());
  switch (fault.kind) {
    case FaultKind::kCutStore:
      DuringLink(fault, at, store_link, &node->store_link());
      return true;
    case FaultKind::kResetStore:
      DuringLink(fault, at, store_link, &node->store_link());
      At(at, [node] { node->store_link().ResetAll(); });
      return true;
    case FaultKind::kSilenceNode:
      At(at, [this, node, store_link] {
        log_->Note(store_link, clock_.Now(), clock_.Now() + kSilenceFelt);
        node->store_link().SilenceAll();
      });
      return true;
    case FaultKind::kDelayCallers:
      DuringLink(fault, at, node->name(), &node->front_link());
      return true;
    case FaultKind::kResetCallers:
      At(at, [this, node] {
        log_->Note(node->name(), clock_.Now(), clock_.Now());
        node->front_link().ResetAll();
      });
      return true;
    default:
      return false;
  }
}

bool FaultDriver::ScheduleStore(const Fault& fault, TimePoint at) {
  standin::StoreFaults store_faults;
  switch (fault.kind) {
    case FaultKind::kStoreDown:
      store_faults.refuse_with = kUnavailable;
      break;
    case FaultKind::kStoreSlow:
      store_faults.delay = kStoreDelay;
      break;
    case FaultKind::kStoreAnswersLost:
      store_faults.answers_lost = kAnswersLost;
      break;
    case FaultKind::kStoreWritesLate:
      store_faults.writes_late = kWritesLate;
      break;
    case FaultKind::kStoreForgets:
      At(at, [this] { platform_->store().ForgetHistory(); });
      return true;
    default:
      return false;
  }
  standin::StoreServer* store = &platform_->store();
  During(
      fault, at, kStoreSubject,
      [store, store_faults] { store->SetFaults(store_faults); },
      [store] { store->SetFaults({}); });
  return true;
}

bool FaultDriver::ScheduleRunnerLink(const Fault& fault, TimePoint at) {
  const int place = PlaceOf(fault);
  switch (fault.kind) {
    case FaultKind::kSilenceRunners:
      At(at, [this] { SilenceRunners(); });
      return true;
    case FaultKind::kLateOrders:
      At(at, [this, fault] { DelayOrders(fault); });
      return true;
    case FaultKind::kHoldCalls:
      At(at, [this, fault] { HoldCalls(fault); });
      return true;
    case FaultKind::kCutRunner:
    case FaultKind::kHoldAnswers:
    case FaultKind::kDelayRunner:
      DuringLink(fault, at, RunnerSubject(place),
                 &platform_->runner_link(place));
      return true;
    default:
      return false;
  }
}

void FaultDriver::ScheduleDrain(const Fault& fault, TimePoint at) {
  SoakPlatform* platform = platform_;
  const int place = PlaceOf(fault);
  const Duration length = fault.length;
  // The runner keeps serving for some time and ends, and a new incarnation
  // starts.
  At(at, [platform, place, length] { platform->DrainRunner(place, length); });
  At(at + length + kRestartPause, [this, platform, place] {
    log_->Note(RunnerSubject(place), clock_.Now(), clock_.Now(),
               TroubleSort::kRunnerLeft);
    platform->KillRunner(place);
  });
  At(at + length + kRestartPause * 2,
     [platform, place] { platform->ReviveRunner(place); });
}

void FaultDriver::SchedulePartition(const Fault& fault, TimePoint at) {
  SoakPlatform* platform = platform_;
  const int place = PlaceOf(fault);
  const std::string subject = RunnerSubject(place);
  During(
      fault, at, subject, [platform, place] { platform->CutOffStore(place); },
      [platform, place] { platform->RejoinStore(place); });
  if (fault.kind == FaultKind::kLapseEntry) return;
  TcpProxy* link = &platform->runner_link(place);
  DuringLink(fault, at, subject, link);
  const bool resets = fault.kind == FaultKind::kPartitionRunner;
  if (resets) At(at, [link] { link->ResetAll(); });
}

int FaultDriver::PlaceOf(const Fault& fault) const {
  return fault.target % platform_->runners();
}

void FaultDriver::ScheduleRunner(const Fault& fault, TimePoint at) {
  SoakPlatform* platform = platform_;
  const int place = PlaceOf(fault);
  const std::string subject = RunnerSubject(place);
  switch (fault.kind) {
    case FaultKind::kDrainRunner:
      ScheduleDrain(fault, at);
      return;
    case FaultKind::kPartitionRunner:
    case FaultKind::kIsolateRunner:
    case FaultKind::kLapseEntry:
      SchedulePartition(fault, at);
      return;
    case FaultKind::kOverwriteEntry:
      During(
          fault, at, subject,
          [platform, place] { platform->OverwriteEntry(place); },
          [platform, place] { platform->RestoreEntry(place); });
      return;
    case FaultKind::kAliasEntry:
      During(
          fault, at, subject, [platform, place] { platform->AddAlias(place); },
          [platform, place] { platform->RemoveAlias(place); });
      return;
    case FaultKind::kKillRunner:
      During(
          fault, at, subject,
          [platform, place] { platform->KillRunner(place); },
          [platform, place] { platform->ReviveRunner(place); });
      return;
    case FaultKind::kRestartRunnerDark:
      During(
          fault, at, subject,
          [platform, place] { platform->KillRunnerSilently(place); },
          [platform, place] { platform->ReviveRunner(place); });
      return;
    case FaultKind::kSlowRunner:
      During(
          fault, at, subject,
          [platform, place] { platform->SetSlowness(place, kSlowness); },
          [platform, place] { platform->SetSlowness(place, 1); });
      return;
    case FaultKind::kShrinkRoom:
      During(
          fault, at, subject,
          [platform, place] { platform->ShareRoom(place, kShrunkParts); },
          [platform, place] { platform->ShareRoom(place, kWholeRoom); });
      return;
    case FaultKind::kFailingRunner:
      During(
          fault, at, subject,
          [platform, place] { platform->SetFailing(place, true); },
          [platform, place] { platform->SetFailing(place, false); });
      return;
    default:
      return;
  }
}

void FaultDriver::TendNodes() {
  for (const auto& node : *nodes_) {
    const bool lives = node->Lives();
    const NodeLife incarnation = node->lives().back();
    if (lives) {
      EndOverdue(node.get(), incarnation);
      continue;
    }
    CheckEnd(node.get());
    const bool due = clock_.Now() > *incarnation.ended_at + kRestartPause;
    if (!due) continue;
    log_->Note(node->name(), clock_.Now(), clock_.Now(),
               TroubleSort::kNodeChange);
    node->Restart();
  }
}

void FaultDriver::EndOverdue(NodeProcess* node, const NodeLife& incarnation) {
  const bool overdue = incarnation.stop_asked_at.has_value() &&
                       clock_.Now() > *incarnation.stop_asked_at + kLongestStop;
  if (!overdue) return;
  if (log_->IsCalm(node->name(), *incarnation.stop_asked_at, clock_.Now())) {
    platform_->Violate(
        absl::StrCat(node->name(), " did not end when it was asked to"));
  }
  node->Kill();
}

void FaultDriver::CheckEnd(NodeProcess* node) {
  const std::vector<NodeLife> lives = node->lives();
  std::size_t& checked = checked_[node->name()];
  if (checked == lives.size()) return;
  checked = lives.size();
  const NodeLife& incarnation = lives.back();
  if (incarnation.killed) return;
  const bool planned =
      incarnation.stop_asked_at.has_value() && node->last_status() == 0;
  if (!planned) {
    platform_->Violate(absl::StrCat(node->name(), " ended by itself with ",
                                    node->last_status()));
  }
}

void FaultDriver::Heal() {
  actions_.clear();
  // The actions that were to end their leaving have been dropped.
  platform_->ReplaceLeaving();
  platform_->store().SetFaults({});
  for (int i = 0; i < platform_->runners(); ++i) {
    platform_->runner_link(i).SetFault({});
    platform_->ReviveRunner(i);
    platform_->RejoinStore(i);
    platform_->RestoreEntry(i);
    platform_->RemoveAlias(i);
    platform_->SetSlowness(i, 1);
    platform_->SetFailing(i, false);
  }
  for (const auto& node : *nodes_) {
    node->store_link().SetFault({});
    node->front_link().SetFault({});
    node->Signal(SIGCONT);
  }
  TendNodes();
}

}  // namespace limeledge::soak
