/// @file
/// Following a job's time back along the runs that decided it.
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

// Stands for the index of any task that had no run yet.
constexpr int kNeverStarted = -1;

/// A task and its runs.
using LoggedTask = std::map<TaskKey, std::vector<LoggedRun>>::value_type;

/// Walks from a job's end to its beginning, along what decided its length.
class DelayWalk {
 public:
  /// From `end_ms` on, when the job settled or was still open.
  DelayWalk(const JobHistory& job,
            const std::vector<LeadershipTerm>& leadership_terms,
            std::int64_t end_ms)
      : job_(job), reigns_(leadership_terms), at_ms_(end_ms) {}

  std::vector<Delay> Walk();
  std::vector<Delay> WalkOpen();

 private:
  /// The task not done that has had no run for longest or, if all have one,
  /// whose run began last.
  std::optional<TaskKey> FurthestBehind() const;
  /// From the end of the task that was done last.
  std::vector<Delay> WalkDone();
  /// From the end of a step's last task, and its causes, to the beginning.
  /// `task`: null if there is none; `key`: what was walked before.
  std::vector<Delay> FollowSteps(const LoggedTask* task, TaskKey key);
  /// The task of an earlier step, or of any, whose done run ended last, but not
  /// after `at_ms_`. Null if there is none.
  const LoggedTask* LastDone(const TaskKey* before) const;
  /// Back to the run's beginning, for what its time went on.
  void WalkRun(const LoggedRun& run);
  /// Back along the runs that are over.
  void WalkRuns(const TaskKey& key, const std::vector<LoggedRun>& runs);
  /// Goes back to `from_ms`, for a cause.
  void Back(std::int64_t from_ms, const std::string& cause);
  /// The same for a time in which the step waited.
  void BackThroughWait(std::int64_t from_ms, const TaskKey& key);
  bool SomebodySchedules(std::int64_t at_ms) const;
  std::string WaitReasonAt(std::int64_t at_ms, const TaskKey& key) const;

  const JobHistory& job_;
  const std::vector<LeadershipTerm>& reigns_;
  std::int64_t at_ms_;
  std::vector<Delay> delays_;
};

void DelayWalk::Back(std::int64_t from_ms, const std::string& cause) {
  if (from_ms >= at_ms_) return;
  delays_.push_back({cause, Duration(at_ms_ - from_ms)});
  at_ms_ = from_ms;
}

bool DelayWalk::SomebodySchedules(std::int64_t at_ms) const {
  return std::any_of(reigns_.begin(), reigns_.end(),
                     [at_ms](const LeadershipTerm& reign) {
                       return reign.from_ms <= at_ms && at_ms < reign.to_ms;
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

void DelayWalk::BackThroughWait(std::int64_t from_ms, const TaskKey& key) {
  // The moments at which the cause may change.
  std::set<std::int64_t> edges = {from_ms};
  const auto add = [this, from_ms, &edges](std::int64_t at_ms) {
    if (at_ms > from_ms && at_ms < at_ms_) edges.insert(at_ms);
  };
  for (const LeadershipTerm& reign : reigns_) {
    add(reign.from_ms);
    add(reign.to_ms);
  }
  const auto waits = job_.waits.find({key.occurrence, key.step});
  if (waits != job_.waits.end()) {
    for (const LoggedWait& wait : waits->second) add(wait.from_ms);
  }
  for (auto edge = edges.rbegin(); edge != edges.rend(); ++edge) {
    Back(*edge, SomebodySchedules(*edge) ? WaitReasonAt(*edge, key)
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
    Back(run.begun_ms, absl::StrCat("lost run: ", ToString(run.fate)));
    return;
  }
  Back(run.begun_ms + run.expected.ms(), kCauseLongRun);
  Back(run.begun_ms + run.expected_near.ms(), kCauseFarRun);
  Back(run.begun_ms, kCauseWork);
}

void DelayWalk::WalkRuns(const TaskKey& key,
                         const std::vector<LoggedRun>& runs) {
  for (auto run = runs.rbegin(); run != runs.rend(); ++run) {
    if (run->ended_ms == 0) continue;
    BackThroughWait(run->ended_ms, key);
    WalkRun(*run);
  }
}

std::vector<Delay> DelayWalk::Walk() {
  if (job_.accepted_ms == 0 || job_.settled_ms == 0) return {};
  return WalkDone();
}

std::vector<Delay> DelayWalk::WalkDone() {
  const LoggedTask* task = LastDone(nullptr);
  if (task != nullptr) Back(task->second.back().ended_ms, kCauseSettling);
  return FollowSteps(task, TaskKey());
}

std::vector<Delay> DelayWalk::FollowSteps(const LoggedTask* task, TaskKey key) {
  while (task != nullptr) {
    key = task->first;
    WalkRuns(key, task->second);
    task = LastDone(&key);
  }
  BackThroughWait(job_.accepted_ms, key);
  Back(job_.first_submit_ms, kCauseNotAccepted);
  return std::move(delays_);
}

std::optional<TaskKey> DelayWalk::FurthestBehind() const {
  for (const auto& [step, tasks] : CountTasks(job_)) {
    if (tasks.known > tasks.started) {
      return TaskKey{step.first, step.second, kNeverStarted};
    }
  }
  std::optional<TaskKey> behind;
  std::int64_t least_ms = 0;
  for (const auto& [key, runs] : job_.tasks) {
    if (runs.empty()) continue;
    const LoggedRun& last = runs.back();
    if (last.fate == RunFate::kDone) continue;
    // Tasks that wait go before those that run, as their runs are over before
    // `at_ms_`.
    const std::int64_t rank_ms =
        last.ended_ms != 0 ? last.ended_ms : at_ms_ + (at_ms_ - last.begun_ms);
    if (behind && rank_ms >= least_ms) continue;
    behind = key;
    least_ms = rank_ms;
  }
  return behind;
}

std::vector<Delay> DelayWalk::WalkOpen() {
  if (job_.accepted_ms == 0) return {};
  const std::optional<TaskKey> behind = FurthestBehind();
  if (!behind) return WalkDone();
  const auto found = job_.tasks.find(*behind);
  if (found != job_.tasks.end()) {
    const std::vector<LoggedRun>& runs = found->second;
    if (runs.back().ended_ms == 0) WalkRun(runs.back());
    WalkRuns(*behind, runs);
  }
  const LoggedTask* before = LastDone(&*behind);
  if (before != nullptr) {
    BackThroughWait(before->second.back().ended_ms, *behind);
  }
  return FollowSteps(before, *behind);
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
