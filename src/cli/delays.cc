/// @file
/// Attributes a job's time to causes, from its end back to its first submit.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/delays.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

// Index that stands for any task of a step that has had no run.
constexpr int kNeverStarted = -1;

/// A task and its runs.
using LoggedTask = std::map<TaskKey, std::vector<LoggedRun>>::value_type;

/// Walks from a job's end back to its first submit along its critical path, and
/// collects the causes of the time spent.
class DelayWalk {
 public:
  /// `end_ms`: when the job settled or, for an open job, the time of the last
  /// log line.
  DelayWalk(const JobHistory& job,
            const std::vector<LeadershipTerm>& leadership_terms,
            std::int64_t end_ms)
      : job_(job), leadership_terms_(leadership_terms), at_ms_(end_ms) {}

  std::vector<Delay> Walk();
  std::vector<Delay> WalkOpen();

 private:
  /// Returns the unfinished task that has had no run for the longest time or,
  /// if all unfinished tasks are running, the one whose run began last.
  std::optional<TaskKey> MostDelayedTask() const;
  /// Walks back from the end of the task that finished last.
  std::vector<Delay> WalkFromLastDone();
  /// Walks back from the end of `task` through the earlier steps to the first
  /// submit. `task`: null if no earlier task finished; `key`: the task that was
  /// walked before.
  std::vector<Delay> FollowSteps(const LoggedTask* task, TaskKey key);
  /// Returns the task whose last run ended last, but not after `at_ms_`, or
  /// null if there is none. `before`: only tasks of steps before this one;
  /// null: any task.
  const LoggedTask* LastDone(const TaskKey* before) const;
  /// Walks back to the start of the run, split by cause.
  void WalkRun(const LoggedRun& run);
  /// Walks back along the runs that have ended, and the waits between them.
  void WalkRuns(const TaskKey& key, const std::vector<LoggedRun>& runs);
  /// Attributes the time from `from_ms` to `at_ms_` to a cause, and moves
  /// `at_ms_` back.
  void Attribute(std::int64_t from_ms, const std::string& cause);
  /// The same for time in which the step waited, split by wait reason.
  void AttributeWait(std::int64_t from_ms, const TaskKey& key);
  bool HasScheduler(std::int64_t at_ms) const;
  std::string WaitReasonAt(std::int64_t at_ms, const TaskKey& key) const;

  const JobHistory& job_;
  const std::vector<LeadershipTerm>& leadership_terms_;
  std::int64_t at_ms_;
  std::vector<Delay> delays_;
};

void DelayWalk::Attribute(std::int64_t from_ms, const std::string& cause) {
  if (from_ms >= at_ms_) return;
  delays_.push_back({cause, Duration(at_ms_ - from_ms)});
  at_ms_ = from_ms;
}

bool DelayWalk::HasScheduler(std::int64_t at_ms) const {
  return std::any_of(leadership_terms_.begin(), leadership_terms_.end(),
                     [at_ms](const LeadershipTerm& term) {
                       return term.from_ms <= at_ms && at_ms < term.to_ms;
                     });
}

std::string DelayWalk::WaitReasonAt(std::int64_t at_ms,
                                    const TaskKey& key) const {
  const auto found = job_.waits.find({key.occurrence, key.step});
  std::string reason = kCauseDeciding;
  if (found == job_.waits.end()) return reason;
  for (const LoggedWait& wait : found->second) {
    if (wait.from_ms <= at_ms) reason = absl::StrCat("waits: ", wait.reason);
  }
  return reason;
}

void DelayWalk::AttributeWait(std::int64_t from_ms, const TaskKey& key) {
  // The times at which the cause may change.
  std::set<std::int64_t> edges = {from_ms};
  const auto add = [this, from_ms, &edges](std::int64_t at_ms) {
    if (at_ms > from_ms && at_ms < at_ms_) edges.insert(at_ms);
  };
  for (const LeadershipTerm& term : leadership_terms_) {
    add(term.from_ms);
    add(term.to_ms);
  }
  const auto waits = job_.waits.find({key.occurrence, key.step});
  if (waits != job_.waits.end()) {
    for (const LoggedWait& wait : waits->second) add(wait.from_ms);
  }
  for (auto edge = edges.rbegin(); edge != edges.rend(); ++edge) {
    Attribute(*edge, HasScheduler(*edge) ? WaitReasonAt(*edge, key)
                                         : kCauseNoScheduler);
  }
}

const LoggedTask* DelayWalk::LastDone(const TaskKey* before) const {
  const LoggedTask* last = nullptr;
  for (const LoggedTask& task : job_.tasks) {
    const auto& [key, runs] = task;
    const bool earlier =
        before == nullptr ||
        (key.occurrence == before->occurrence && key.step < before->step);
    if (!earlier || runs.empty()) continue;
    if (runs.back().ended_ms == 0 || runs.back().ended_ms > at_ms_) continue;
    const bool later =
        last == nullptr || runs.back().ended_ms > last->second.back().ended_ms;
    if (later) last = &task;
  }
  return last;
}

void DelayWalk::WalkRun(const LoggedRun& run) {
  const bool lost = run.fate != RunFate::kDone && run.fate != RunFate::kOngoing;
  if (lost) {
    Attribute(run.begun_ms, absl::StrCat("lost run: ", ToString(run.fate)));
    return;
  }
  Attribute(run.begun_ms + run.expected.ms(), kCauseLongRun);
  Attribute(run.begun_ms + run.expected_near.ms(), kCauseFarRun);
  Attribute(run.begun_ms, kCauseWork);
}

void DelayWalk::WalkRuns(const TaskKey& key,
                         const std::vector<LoggedRun>& runs) {
  for (auto run = runs.rbegin(); run != runs.rend(); ++run) {
    if (run->ended_ms == 0) continue;
    AttributeWait(run->ended_ms, key);
    WalkRun(*run);
  }
}

std::vector<Delay> DelayWalk::Walk() {
  if (job_.accepted_ms == 0 || job_.settled_ms == 0) return {};
  return WalkFromLastDone();
}

std::vector<Delay> DelayWalk::WalkFromLastDone() {
  const LoggedTask* task = LastDone(nullptr);
  if (task != nullptr) Attribute(task->second.back().ended_ms, kCauseSettling);
  return FollowSteps(task, TaskKey());
}

std::vector<Delay> DelayWalk::FollowSteps(const LoggedTask* task, TaskKey key) {
  while (task != nullptr) {
    key = task->first;
    WalkRuns(key, task->second);
    task = LastDone(&key);
  }
  AttributeWait(job_.accepted_ms, key);
  Attribute(job_.first_submit_ms, kCauseNotAccepted);
  return std::move(delays_);
}

std::optional<TaskKey> DelayWalk::MostDelayedTask() const {
  for (const auto& [step, tasks] : CountTasks(job_)) {
    if (tasks.known > tasks.started) {
      return TaskKey{step.first, step.second, kNeverStarted};
    }
  }
  std::optional<TaskKey> delayed;
  std::int64_t least_ms = 0;
  for (const auto& [key, runs] : job_.tasks) {
    if (runs.empty()) continue;
    const LoggedRun& last = runs.back();
    if (last.fate == RunFate::kDone) continue;
    // Waiting tasks rank before running ones: their runs ended before `at_ms_`,
    // and running tasks get a rank after it.
    const std::int64_t rank_ms =
        last.ended_ms != 0 ? last.ended_ms : at_ms_ + (at_ms_ - last.begun_ms);
    if (delayed && rank_ms >= least_ms) continue;
    delayed = key;
    least_ms = rank_ms;
  }
  return delayed;
}

std::vector<Delay> DelayWalk::WalkOpen() {
  if (job_.accepted_ms == 0) return {};
  const std::optional<TaskKey> delayed = MostDelayedTask();
  if (!delayed) return WalkFromLastDone();
  const auto found = job_.tasks.find(*delayed);
  if (found != job_.tasks.end()) {
    const std::vector<LoggedRun>& runs = found->second;
    if (runs.back().ended_ms == 0) WalkRun(runs.back());
    WalkRuns(*delayed, runs);
  }
  const LoggedTask* before = LastDone(&*delayed);
  if (before != nullptr) {
    AttributeWait(before->second.back().ended_ms, *delayed);
  }
  return FollowSteps(before, *delayed);
}

}  // namespace

std::vector<Delay> DelaysOf(
    const JobHistory& job,
    const std::vector<LeadershipTerm>& leadership_terms) {
  return DelayWalk(job, leadership_terms, job.settled_ms).Walk();
}

std::vector<Delay> DelaysUntil(
    const JobHistory& job, const std::vector<LeadershipTerm>& leadership_terms,
    std::int64_t until_ms) {
  return DelayWalk(job, leadership_terms, until_ms).WalkOpen();
}

}  // namespace limeledge
