/// @file
/// What the emulated system tells its oracle.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "absl/strings/str_cat.h"
#include "emulator/emulated_catalog.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {

using dispatch::TaskName;

void EmulatedSystem::Trace(const std::string& what) {
  if (trace_) trace_(absl::StrCat(now_.ms(), " ", what));
}

void EmulatedSystem::CheckStart(const EmulatedRunner& runner,
                                const dispatch::StartRun& order) {
  Trace(absl::StrCat("start ", ToString(order.task), " run ", order.run, " at ",
                     runner.info().id.value(), " by epoch ",
                     order.target.epoch.value()));
  oracle_.NoteStart(order);
  JobWatch* watch = oracle_.Find(order.task.job);
  if (watch == nullptr) return;
  // The answer may be on its way; a refusal must not follow.
  watch->may_be_taken = true;
  const dispatch::StepName step{order.task.job, order.task.occurrence,
                                order.task.step};
  if (watch->spec.policy.priority == kAdvisedPriority &&
      order.ticket != ToString(step)) {
    oracle_.Violate(
        absl::StrCat("start of ", ToString(order.task), " without its ticket"));
  }
  std::vector<TaskName> running;
  for (auto& [id, other] : runners_) {
    other->AdvanceTo(now_);
    other->ForEachRun(
        [&running](const TaskName& name, int) { running.push_back(name); });
  }
  oracle_.CheckRunning(running);
}

}  // namespace limeledge::emulator
