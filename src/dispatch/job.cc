/// @file
/// State transitions of a job.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/job.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "dispatch/context.h"

namespace limeledge::dispatch {

namespace {

/// Lost runs that are kept of a task that lasts.
constexpr std::size_t kKeptLosses = 2;

/// Drops all losses but the latest ones, of which one at most stays suspicious:
/// enough to tell a suspect, and too few for any version to give the task up.
void KeepLatestLosses(std::vector<RunLoss>* losses) {
  while (losses->size() > kKeptLosses) losses->erase(losses->begin());
  if (losses->size() < kKeptLosses || !losses->back().suspicious) return;
  losses->front().suspicious = false;
}

}  // namespace

std::string ToString(const TaskName& name) {
  return absl::StrCat(name.job.value(), ".", name.occurrence, ".", name.step,
                      ".", name.index);
}

std::string ToString(const StepName& name) {
  return absl::StrCat(name.job.value(), ".", name.occurrence, ".", name.step);
}

const char* ToString(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kDone:
      return "done";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "";
}

bool IsFinal(JobState state) {
  return state != JobState::kQueued && state != JobState::kRunning;
}

const char* ToString(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseExpired:
      return "lapsed";
    case RunEnd::kGangBroken:
      return "broken";
    case RunEnd::kGangIncomplete:
      return "alone";
    case RunEnd::kRejected:
      return "rejected";
  }
  return "";
}

std::int64_t PeakAccelerators(const JobSpec& spec) {
  std::int64_t max_needed = 0;
  for (const StepSpec& step : spec.steps) {
    max_needed = std::max(max_needed, step.need.accelerators * step.count);
  }
  return max_needed * spec.occurrences();
}

int Step::CountIn(TaskPhase phase) const {
  return static_cast<int>(
      std::count_if(tasks.begin(), tasks.end(),
                    [phase](const Task& task) { return task.phase == phase; }));
}

Job::Job(JobSpec spec) : spec_(std::move(spec)) {
  ComputeCriticalPaths();
  occurrences_.resize(spec_.occurrences());
  for (std::size_t k = 0; k < occurrences_.size(); ++k) {
    Occurrence& occurrence = occurrences_[k];
    if (spec_.recurrence.times > 0) {
      occurrence.due_wall_ms =
          spec_.recurrence.first_wall_ms +
          spec_.recurrence.interval.ms() * static_cast<std::int64_t>(k);
    }
    for (const StepSpec& step : spec_.steps) {
      occurrence.steps.emplace_back();
      occurrence.steps.back().tasks.resize(step.count);
    }
  }
}

void Job::ComputeCriticalPaths() {
  // A step depends only on earlier ones, so the last step is computed first.
  critical_paths_.resize(spec_.steps.size());
  for (std::size_t s = spec_.steps.size(); s-- > 0;) {
    critical_paths_[s] = critical_paths_[s] + spec_.steps[s].estimate;
    critical_path_ = std::max(critical_path_, critical_paths_[s]);
    for (const int before : spec_.steps[s].after) {
      critical_paths_[before] =
          std::max(critical_paths_[before], critical_paths_[s]);
    }
  }
}

Task* Job::Find(const TaskName& name) {
  const auto in_range = [](int index, std::size_t size) {
    return index >= 0 && static_cast<std::size_t>(index) < size;
  };
  if (!in_range(name.occurrence, occurrences_.size())) return nullptr;
  Occurrence& occurrence = occurrences_[name.occurrence];
  if (!in_range(name.step, occurrence.steps.size())) return nullptr;
  Step& step = occurrence.steps[name.step];
  if (!in_range(name.index, step.tasks.size())) return nullptr;
  return &step.tasks[name.index];
}

bool Job::StepIsReady(const Occurrence& occurrence, int step) const {
  for (const int before : spec_.steps[step].after) {
    const Step& earlier = occurrence.steps[before];
    const int all = static_cast<int>(earlier.tasks.size());
    if (earlier.CountIn(TaskPhase::kDone) != all) return false;
  }
  return true;
}

void Job::Assign(const TaskName& name, int run,
                 const IncarnationId& incarnation, const std::string& address,
                 TimePoint now) {
  Task* task = Find(name);
  task->phase = TaskPhase::kAssigned;
  task->run = run;
  task->incarnation = incarnation;
  task->address = address;
  task->percent = 0;
  task->assigned_at = now;
  ended_runs_.erase(name);
  MarkChanged(name);
  // Most starts are carried out at once, so that the state is stored only once.
  if (state_ == JobState::kQueued) state_ = JobState::kRunning;
}

bool Job::RecordBegun() {
  has_begun_ = true;
  if (state_ != JobState::kQueued) return false;
  state_ = JobState::kRunning;
  return true;
}

void Job::InferBegun() {
  const auto has_begun = [](const Task& task) {
    return task.phase == TaskPhase::kDone || task.failures > 0 ||
           !task.checkpoint.empty();
  };
  for (const Occurrence& occurrence : occurrences_) {
    for (const Step& step : occurrence.steps) {
      if (has_begun_) return;
      has_begun_ = step.gang_failures > 0 ||
                   std::any_of(step.tasks.begin(), step.tasks.end(), has_begun);
    }
  }
}

void Job::RecordGangStart(const TaskName& name, int run, TimePoint now) {
  std::optional<GangStart>& first =
      occurrences_[name.occurrence].steps[name.step].first_start;
  if (!first.has_value() || first->run != run) first = GangStart{run, now};
}

void Job::MoveRun(const TaskName& name, int run,
                  const IncarnationId& incarnation) {
  Task* task = Find(name);
  if (task == nullptr || task->phase != TaskPhase::kAssigned) return;
  if (task->run != run) return;
  task->incarnation = incarnation;
  MarkChanged(name);
}

int Job::NextRun(const TaskName& name) const {
  const Step& step = occurrences_[name.occurrence].steps[name.step];
  if (!spec_.steps[name.step].gang) return step.tasks[name.index].run + 1;
  int highest = 0;
  for (const Task& member : step.tasks) highest = std::max(highest, member.run);
  return highest + 1;
}

bool Job::EndRun(const TaskName& name, int run, RunEnd end,
                 const std::string& checkpoint, int max_attempts) {
  Task* task = Find(name);
  if (task == nullptr) return false;
  if (task->phase != TaskPhase::kAssigned || task->run != run) return false;
  MarkChanged(name);
  const StepSpec& step = spec_.steps[name.step];
  if (end == RunEnd::kFailed) {
    Step& failed = occurrences_[name.occurrence].steps[name.step];
    failed.failed_on.insert(task->incarnation);
  }
  // A task that is done has no next run.
  if (end != RunEnd::kDone || step.long_running) {
    ended_runs_[name] = {run, task->incarnation.runner, end};
  }
  task->incarnation = IncarnationId();
  task->phase = TaskPhase::kWaiting;
  // A run that was rejected did not begin, and a lost one may not have.
  const bool may_not_have_begun =
      end == RunEnd::kRejected || end == RunEnd::kLeaseExpired;
  if (!may_not_have_begun || !checkpoint.empty()) RecordBegun();
  if (!has_begun_ && state_ == JobState::kRunning) state_ = JobState::kQueued;
  // Its tasks start again however their runs end, members of a gang included.
  if (step.long_running) {
    if (step.gang) MarkStepChanged(name);
    if (!checkpoint.empty()) SaveProgress(name, checkpoint);
    return true;
  }
  if (step.gang) {
    EndGangRun(name, end, checkpoint, max_attempts);
    return true;
  }
  if (!checkpoint.empty()) task->checkpoint = checkpoint;
  if (end == RunEnd::kDone) {
    task->phase = TaskPhase::kDone;
    return true;
  }
  if (end == RunEnd::kFailed) ++task->failures;
  // A late failure may have used up the attempts during this run.
  if (task->failures >= max_attempts) task->phase = TaskPhase::kFailed;
  return true;
}

std::optional<EndedRun> Job::FindEndedRun(const TaskName& name) const {
  const auto found = ended_runs_.find(name);
  if (found == ended_runs_.end()) return std::nullopt;
  return found->second;
}

bool Job::RecordReport(const TaskName& name, int run) {
  if (Find(name) == nullptr) return false;
  Step& step = occurrences_[name.occurrence].steps[name.step];
  if (step.unreported_runs.erase(run) == 0) return false;
  MarkStepChanged(name);
  return true;
}

void Job::LimitInheritedReports(TimePoint until) {
  for (Occurrence& occurrence : occurrences_) {
    for (Step& step : occurrence.steps) {
      for (auto& [run, awaited_until] : step.unreported_runs) {
        awaited_until = std::min(awaited_until, until);
      }
    }
  }
}

TimePoint Job::MayHaveFailedUntil(const Occurrence& occurrence, int step,
                                  TimePoint now, int max_attempts) const {
  const Step& gang = occurrence.steps[step];
  int may_have_failed = gang.gang_failures;
  TimePoint first_known_at = kNever;
  for (const auto& [run, until] : gang.unreported_runs) {
    if (until <= now || gang.failed_runs.count(run) != 0) continue;
    ++may_have_failed;
    first_known_at = std::min(first_known_at, until);
  }
  const bool may_start = spec_.steps[step].long_running ||
                         may_have_failed < max_attempts ||
                         first_known_at == kNever;
  return may_start ? now : first_known_at;
}

void Job::EndGangRun(const TaskName& name, RunEnd end,
                     const std::string& checkpoint, int max_attempts) {
  Step& step = occurrences_[name.occurrence].steps[name.step];
  MarkStepChanged(name);
  if (end == RunEnd::kDone) {
    // If one member is done, the gang is done.
    for (Task& member : step.tasks) member.phase = TaskPhase::kDone;
    return;
  }
  // All members must resume from the same checkpoint, so any member's progress
  // applies to the whole gang.
  if (!checkpoint.empty()) SaveProgress(name, checkpoint);
  Task& member = step.tasks[name.index];
  if (end == RunEnd::kFailed) CountGangFailure(&step, member.run);
  // A late failure may have used up the attempts during this run.
  if (step.gang_failures >= max_attempts) member.phase = TaskPhase::kFailed;
}

// Failures of several members in the same run count as one failure.
bool Job::CountGangFailure(Step* step, int run) {
  if (run <= step->failures_counted_until) return false;
  if (!step->failed_runs.insert(run).second) return false;
  ++step->gang_failures;
  return true;
}

bool Job::RecordLateFailure(const TaskName& name, int run, int max_attempts) {
  Task* task = Find(name);
  const bool open = task != nullptr && (task->phase == TaskPhase::kWaiting ||
                                        task->phase == TaskPhase::kAssigned);
  if (!open) return false;
  const StepSpec& spec = spec_.steps[name.step];
  if (spec.long_running) return false;
  Step& step = occurrences_[name.occurrence].steps[name.step];
  if (spec.gang && !CountGangFailure(&step, run)) return false;
  MarkStepChanged(name);
  if (!spec.gang) ++task->failures;
  const int failures = spec.gang ? step.gang_failures : task->failures;
  if (task->phase == TaskPhase::kWaiting && failures >= max_attempts) {
    task->phase = TaskPhase::kFailed;
  }
  return true;
}

bool Job::CompleteLate(const TaskName& name) {
  Task* task = Find(name);
  const bool open = task != nullptr && (task->phase == TaskPhase::kWaiting ||
                                        task->phase == TaskPhase::kAssigned);
  if (!open || spec_.steps[name.step].long_running) return false;
  task->phase = TaskPhase::kDone;
  MarkChanged(name);
  if (!spec_.steps[name.step].gang) return true;
  MarkStepChanged(name);
  Step& step = occurrences_[name.occurrence].steps[name.step];
  for (Task& member : step.tasks) member.phase = TaskPhase::kDone;
  return true;
}

void Job::SaveProgress(const TaskName& name, const std::string& checkpoint) {
  if (Find(name) == nullptr) return;
  Step& step = occurrences_[name.occurrence].steps[name.step];
  if (!spec_.steps[name.step].gang) {
    step.tasks[name.index].checkpoint = checkpoint;
    return;
  }
  for (Task& member : step.tasks) member.checkpoint = checkpoint;
}

bool Job::RecordLoss(const TaskName& name, const RunLoss& loss) {
  Task* task = Find(name);
  if (task == nullptr || task->phase != TaskPhase::kAssigned) return false;
  if (task->run != loss.run) return false;
  task->losses.push_back(loss);
  if (spec_.steps[name.step].long_running) KeepLatestLosses(&task->losses);
  MarkChanged(name);
  return true;
}

void Job::DropOutlivedLosses(const TaskName& name, Duration lasted,
                             const LossRules& rules) {
  Task* task = Find(name);
  if (task == nullptr || task->losses.empty()) return;
  ForgetOutlived(lasted, rules, &task->losses);
  MarkChanged(name);
}

bool Job::ResolveLosses(const TaskName& name, const IncarnationId& incarnation,
                        IncarnationFate fate) {
  Task* task = Find(name);
  if (task == nullptr) return false;
  bool changed = false;
  for (auto loss = task->losses.begin(); loss != task->losses.end();) {
    const bool open = loss->incarnation == incarnation && !loss->crashed;
    changed = changed || open;
    if (open && fate == IncarnationFate::kAlive) {
      loss = task->losses.erase(loss);
      continue;
    }
    if (open) {
      loss->crashed = true;
      if (fate == IncarnationFate::kPresumedCrashed) loss->suspicious = false;
    }
    ++loss;
  }
  if (changed) MarkChanged(name);
  return changed;
}

bool Job::FailWaitingTask(const TaskName& name) {
  Task* task = Find(name);
  if (task == nullptr || task->phase != TaskPhase::kWaiting) return false;
  task->phase = TaskPhase::kFailed;
  MarkChanged(name);
  return true;
}

void Job::DivideProgress(int tasks_per_block) {
  blocks_.emplace(spec_, tasks_per_block);
}

void Job::ReconcileGangs() {
  for (Occurrence& occurrence : occurrences_) {
    for (std::size_t s = 0; s < spec_.steps.size(); ++s) {
      if (!spec_.steps[s].gang) continue;
      std::vector<Task>& members = occurrence.steps[s].tasks;
      const std::string checkpoint = members.front().checkpoint;
      const bool done = occurrence.steps[s].CountIn(TaskPhase::kDone) > 0;
      for (Task& member : members) {
        // A run starts from the same checkpoint as those of the other members.
        member.checkpoint = checkpoint;
        if (done) member.phase = TaskPhase::kDone;
      }
    }
  }
}

void Job::Settle() {
  if (IsFinal(state_)) return;
  if (cancel_requested_) {
    state_ = JobState::kCancelled;
  } else if (AnyTaskFailed()) {
    state_ = JobState::kFailed;
  } else if (AllTasksDone()) {
    state_ = JobState::kDone;
  }
}

bool Job::AllTasksDone() const {
  for (const Occurrence& occurrence : occurrences_) {
    for (const Step& step : occurrence.steps) {
      const int all = static_cast<int>(step.tasks.size());
      if (step.CountIn(TaskPhase::kDone) != all) return false;
    }
  }
  return true;
}

bool Job::AnyTaskFailed() const {
  for (const Occurrence& occurrence : occurrences_) {
    for (const Step& step : occurrence.steps) {
      if (step.CountIn(TaskPhase::kFailed) > 0) return true;
    }
  }
  return false;
}

}  // namespace limeledge::dispatch
