/// @file
/// Checks on the emulated system, and the observations that it reports to the
/// oracle.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <variant>

#include "absl/strings/str_cat.h"
#include "emulator/emulated_catalog.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {

using dispatch::TaskName;

namespace {

/// Interval between the checks that no task of a cancelled job still runs. It
/// is much shorter than the time within which the tasks must have stopped, so
/// that several checks fall into that time.
constexpr Duration kCancelCheckInterval{100};
/// Starts in a drained hall are violations once this time has passed since the
/// drain was requested.
constexpr Duration kDrainNotice{5000};
/// A start that is executed this long after it was sent counts as late. Other
/// orders are executed within a round trip.
constexpr Duration kLateStart{1000};
/// Time from the first answer of an incarnation within which it must reject
/// calls to the previous incarnation: enough for another poll, and for a second
/// one if the first gets no response.
constexpr Duration kFenceBound{1500};
/// A runner obeys the previous scheduler until the new one polls it.
/// Misdelivered calls are not violations for this long after a failover.
constexpr Duration kFailoverTime{3000};

}  // namespace

bool Faults::none() const {
  const bool store = store_down || store_answers_lost > 0 ||
                     store_writes_late > 0 || store_slowness > 1 ||
                     !nodes_without_store.empty() || !refused_nodes.empty() ||
                     !partitions_down.empty();
  const bool runners =
      orders_lost > 0 || polls_lost > 0 || starts_repeated > 0 ||
      polls_late > 0 || !unreachable_runners.empty() ||
      !refusing_runners.empty() || !busy_runners.empty() ||
      !rejecting_runners.empty() || !unlisted_runners.empty() ||
      !overwritten_addresses.empty();
  return !store && !runners;
}

bool EmulatedSystem::HasActiveFault() const {
  const bool nodes = std::any_of(
      processes_.begin(), processes_.end(), [this](const Process& process) {
        if (process.removed) return false;
        return process.node == nullptr || process.stopping ||
               now_ < process.frozen_until;
      });
  return nodes || !faults_.none();
}

std::vector<RunName> EmulatedSystem::ActiveRuns() {
  std::vector<RunName> runs;
  for (auto& [id, runner] : runners_) {
    runner->AdvanceTo(now_);
    runner->ForEachRun([&runs](const TaskName& name, int number) {
      runs.push_back({name, number});
    });
  }
  return runs;
}

void EmulatedSystem::ScheduleCancelCheck() {
  RunAt(now_ + kCancelCheckInterval, [this] {
    DropCrashed();
    RenewEntries();
    if (HasActiveFault()) oracle_.RecordFault(now_);
    RecordTroubledProcesses();
    if (!faults_.mute_runners.empty()) oracle_.RecordMuteRunner(now_);
    oracle_.CheckCancelledRuns(ActiveRuns(), now_);
    ScheduleCancelCheck();
  });
}

void EmulatedSystem::Trace(const std::string& what) {
  if (trace_) trace_(absl::StrCat(now_.ms(), " ", what));
}

void EmulatedSystem::RecordConfirmation(Process* process,
                                        const dispatch::EventBody& body) {
  const auto* answer = std::get_if<dispatch::CommitCompleted>(&body);
  if (answer == nullptr) return;
  const auto sent = process->lease_writes.find(answer->ticket);
  if (sent == process->lease_writes.end()) return;
  // A write that was sent before the pause ended confirms nothing about the
  // lease after the pause.
  const bool after_pause = sent->second >= process->paused_until;
  const bool done = answer->outcome == dispatch::StoreOutcome::kDone ||
                    answer->outcome == dispatch::StoreOutcome::kConflict;
  process->leadership_confirmed =
      process->leadership_confirmed || (after_pause && done);
  process->lease_writes.erase(sent);
}

void EmulatedSystem::CheckLeadershipConfirmed(int node, const char* what) {
  if (processes_[node].leadership_confirmed) return;
  oracle_.Violate(absl::StrCat("node ", node, " was paused, and ", what,
                               " before it confirmed its scheduler lease"));
}

void EmulatedSystem::CheckHallNotDrained(const EmulatedRunner& runner,
                                         const dispatch::StartRun& order) {
  const auto drained = drained_halls_.find(runner.info().hall);
  if (drained == drained_halls_.end()) return;
  if (now_ - drained->second <= kDrainNotice) return;
  oracle_.Violate(
      absl::StrCat("start of ", ToString(order.task), " in a drained hall"));
}

void EmulatedSystem::CheckCapacity(const EmulatedRunner& runner,
                                   const dispatch::StartRun& order,
                                   TimePoint sent_at) {
  const bool allowed =
      capacity_history_.Allows(runner.info(), runner.UsedCapacity(), sent_at);
  if (options_.enforces_capacity || allowed) return;
  oracle_.Violate(absl::StrCat("start of ", ToString(order.task), " fills ",
                               runner.info().id.value(),
                               " beyond its capacity"));
}

bool EmulatedSystem::IsUnpreventable(const dispatch::OrderTarget& target,
                                     const EmulatedRunner& runner) const {
  if (target.incarnation == runner.info().incarnation()) return false;
  return !runner.KnownForLongerThan(kFenceBound) ||
         now_ - leader_changed_at_ <= kFailoverTime;
}

void EmulatedSystem::CheckStart(const EmulatedRunner& runner,
                                const dispatch::StartRun& order,
                                TimePoint sent_at) {
  Trace(absl::StrCat("start ", ToString(order.task), " run ", order.run, " at ",
                     runner.info().id.value(), " by epoch ",
                     order.target.fence.epoch.value()));
  if (IsUnpreventable(order.target, runner)) {
    oracle_.RecordMisdeliveredStart({order.task, order.run});
  }
  oracle_.RecordStart(order);
  CheckCapacity(runner, order, sent_at);
  CheckHallNotDrained(runner, order);
  const RunName run{order.task, order.run};
  if (now_ - sent_at >= kLateStart) oracle_.RecordLateStart(run, now_);
  oracle_.CheckStartAfterCancel(run, now_);
  JobWatch* watch = oracle_.Find(order.task.job);
  if (watch == nullptr) return;
  // The response to the submit may still be in flight; after this start it must
  // not be a refusal.
  watch->may_be_accepted = true;
  const dispatch::StepName step{order.task.job, order.task.occurrence,
                                order.task.step};
  if (watch->spec.policy.priority == kAdvisedPriority &&
      !IsTicketValid(order.ticket, step, runner.info().incarnation(),
                     sent_at)) {
    oracle_.Violate(absl::StrCat("start of ", ToString(order.task),
                                 " without a valid ticket"));
  }
  const std::optional<Duration> crash =
      oracle_.TruthOf(order.task).crashes_after;
  if (crash.has_value()) {
    RunAt(now_ + *crash + Duration(1),
          [this, address = order.target.address] { DropIfCrashed(address); });
  }
  const std::vector<RunName> running = ActiveRuns();
  oracle_.CheckRunning(running);
  oracle_.CheckStartBesideListed(order, sent_at, running);
}

}  // namespace limeledge::emulator
