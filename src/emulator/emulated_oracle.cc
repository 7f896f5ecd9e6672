/// @file
/// The oracle: checks each start and each noted end against what was promised.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "absl/strings/str_cat.h"
#include "emulator/emulated_catalog.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {

using dispatch::TaskName;

TaskTruth EmulatedSystem::TruthOf(const TaskName& name) const {
  const auto found = jobs_.find(name.job);
  if (found == jobs_.end()) return TaskTruth();
  const JobWatch& watch = found->second;
  TaskTruth truth = watch.truths[name.step];
  const dispatch::StepSpec& step = watch.spec.steps[name.step];
  truth.need = step.need;
  truth.saves_progress = step.saves_progress;
  truth.gang_size = step.gang ? step.count : 0;
  return truth;
}

void EmulatedSystem::Trace(const std::string& what) {
  if (trace_) trace_(absl::StrCat(now_.ms(), " ", what));
}

void EmulatedSystem::Violate(const std::string& what) {
  violations_.push_back(absl::StrCat("at ", now_.ms(), " ms: ", what));
}

void EmulatedSystem::CheckStart(const EmulatedRunner& runner,
                                const dispatch::StartRun& order) {
  const std::string task = ToString(order.task);
  const auto found = jobs_.find(order.task.job);
  if (found == jobs_.end()) {
    Violate(absl::StrCat("start of ", task, ", which nobody handed in"));
    return;
  }
  JobWatch& watch = found->second;
  ++watch.starts[order.task];
  Trace(absl::StrCat("start ", task, " run ", order.run, " at ",
                     runner.info().id.value(), " by epoch ",
                     order.target.epoch.value()));
  if (!watch.may_be_taken) {
    // The answer may be on its way; a refusal must not follow.
    watch.may_be_taken = true;
  }
  if (watch.done.count(order.task) != 0) {
    Violate(
        absl::StrCat("start of ", task, " after its end was noted as done"));
  }
  const dispatch::StepName step_name{order.task.job, order.task.occurrence,
                                     order.task.step};
  if (watch.spec.policy.priority == kAdvisedPriority &&
      order.ticket != ToString(step_name)) {
    Violate(absl::StrCat("start of ", task, " without its ticket"));
  }
  if (watch.failures[order.task] >= kMaxAttempts) {
    Violate(absl::StrCat("start of ", task, " after all of its attempts"));
  }
  CheckOrder(watch, order.task);
  CheckTwice();
}

void EmulatedSystem::CheckOrder(const JobWatch& watch, const TaskName& task) {
  for (const int before : watch.spec.steps[task.step].after) {
    const dispatch::StepSpec& step = watch.spec.steps[before];
    for (int i = 0; i < step.count; ++i) {
      const TaskName earlier{task.job, task.occurrence, before, i};
      if (watch.listed_done.count(earlier) == 0) {
        Violate(absl::StrCat("start of ", ToString(task), " out of order"));
      }
    }
  }
}

void EmulatedSystem::CheckTwice() {
  std::map<TaskName, int> seen;
  for (auto& [id, runner] : runners_) {
    runner->AdvanceTo(now_);
    runner->ForEachRun([this, &seen](const TaskName& name, int run) {
      if (!seen.emplace(name, run).second) {
        Violate(absl::StrCat("two runs of ", ToString(name), " at a time"));
      }
    });
  }
}

void EmulatedSystem::NoteEnds(const dispatch::LookAtRunner& look,
                              const dispatch::RunnerLooked& answer) {
  auto& listed = listed_[look.target.runner];
  // What the look tells as known is taken note of.
  while (!listed.empty() && listed.begin()->first <= look.acknowledged_end) {
    const dispatch::ListedEnd end = listed.begin()->second;
    listed.erase(listed.begin());
    // Its lease was over meanwhile, so that the task may run elsewhere.
    const auto runner = runners_.find(look.target.runner);
    const bool stands =
        runner != runners_.end() && !runner->second->LapsedSince(end.number);
    if (!stands) continue;
    const auto found = jobs_.find(end.task.job);
    if (found == jobs_.end()) continue;
    Trace(absl::StrCat("noted ", ToString(end.task), " run ", end.run, " ",
                       dispatch::ToString(end.end), " at ",
                       look.target.runner.value()));
    if (end.end == dispatch::RunEnd::kDone) found->second.done.insert(end.task);
    if (end.end == dispatch::RunEnd::kFailed) {
      ++found->second.failures[end.task];
    }
  }
  for (const dispatch::ListedEnd& end : answer.ended) {
    listed.emplace(end.number, end);
    const auto found = jobs_.find(end.task.job);
    if (found == jobs_.end() || end.end != dispatch::RunEnd::kDone) continue;
    const dispatch::StepSpec& step = found->second.spec.steps[end.task.step];
    TaskName member = end.task;
    found->second.listed_done.insert(member);
    for (int i = 0; step.gang && i < step.count; ++i) {
      member.index = i;
      found->second.listed_done.insert(member);
    }
  }
}

}  // namespace limeledge::emulator
