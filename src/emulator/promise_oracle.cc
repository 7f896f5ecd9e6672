/// @file
/// Implementation of the oracle's checks.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "emulator/promise_oracle.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge::emulator {

using dispatch::ReportedEnd;
using dispatch::RunEnd;
using dispatch::TaskName;

namespace {

/// Once a task has crashed `kMaxCrashes` runners, its start number
/// `kFirstForbiddenStart` from then on is a violation.
constexpr int kMaxCrashes = 3;
constexpr int kFirstForbiddenStart = 3;
/// Once a run has been listed to a scheduler for this long, the scheduler knows
/// of it: enough for a poll that supersedes the one whose answer listed it.
constexpr Duration kListedBound{1500};

/// True if the task starts again however its runs end.
bool Lasts(const JobWatch& watch, const TaskName& name) {
  return watch.spec.steps[name.step].long_running;
}

/// True if the task, or its gang, is one of those that take more work.
bool HasTail(const TaskName& name, const TaskTruth& truth) {
  if (truth.tail_share <= 0) return false;
  std::seed_seq seed{
      static_cast<std::size_t>(name.occurrence),
      static_cast<std::size_t>(name.step),
      static_cast<std::size_t>(truth.gang_size > 0 ? 0 : name.index),
      std::hash<std::string>()(name.job.value())};
  std::mt19937 random(seed);
  return std::bernoulli_distribution(truth.tail_share)(random);
}

}  // namespace

JobWatch& PromiseOracle::Watch(const dispatch::JobSpec& spec,
                               std::vector<TaskTruth> truths) {
  JobWatch watch;
  watch.spec = spec;
  watch.truths = std::move(truths);
  return jobs_[spec.id] = std::move(watch);
}

void PromiseOracle::Violate(const std::string& what) {
  Trace(absl::StrCat("violation: ", what));
  violations_.push_back(what);
}

JobWatch* PromiseOracle::Find(const JobId& job) {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

TaskTruth PromiseOracle::TruthOf(const TaskName& name) const {
  const auto found = jobs_.find(name.job);
  if (found == jobs_.end()) return TaskTruth();
  const JobWatch& watch = found->second;
  TaskTruth truth = watch.truths[name.step];
  const dispatch::StepSpec& step = watch.spec.steps[name.step];
  truth.need = step.need;
  truth.saves_progress = step.saves_progress;
  truth.gang_size = step.gang ? step.count : 0;
  truth.lasting = step.long_running;
  if (HasTail(name, truth)) {
    truth.work = Duration(
        std::llround(static_cast<double>(truth.work.ms()) * truth.tail_factor));
  }
  const bool unaffected =
      truth.crashing_index >= 0 && truth.crashing_index != name.index;
  if (unaffected) truth.crashes_after.reset();
  return truth;
}

void PromiseOracle::RecordStart(const dispatch::StartRun& order) {
  const std::string task = ToString(order.task);
  JobWatch* watch = Find(order.task.job);
  if (watch == nullptr) {
    Violate(absl::StrCat("start of ", task, " of a job that nobody submitted"));
    return;
  }
  ++watch->starts[order.task];
  if (watch->cancelled_before_stored) {
    Violate(absl::StrCat("start of ", task,
                         " although its job was cancelled before it was "
                         "stored"));
  }
  if (misdelivered_.count({order.task, order.run}) != 0) return;
  int& highest_run = watch->highest_run[order.task];
  highest_run = std::max(highest_run, order.run);
  CheckStepOrder(*watch, order.task);
  if (Lasts(*watch, order.task)) return;
  if (watch->done.count(order.task) != 0) {
    Violate(
        absl::StrCat("start of ", task, " after it was acknowledged as done"));
  }
  if (watch->failures[order.task] >= max_attempts_) {
    Violate(
        absl::StrCat("start of ", task, " after all of its attempts failed"));
  }
  CheckCrashes(watch, order.task);
}

void PromiseOracle::RecordCrashCause(const TaskName& task, TimePoint now) {
  JobWatch* watch = Find(task.job);
  if (watch == nullptr) return;
  ++watch->crashes[task];
  if (!watch->first_crash.has_value()) watch->first_crash = now;
}

void PromiseOracle::RecordRunnerCrash(const std::vector<TaskName>& tasks) {
  for (const TaskName& task : tasks) {
    JobWatch* watch = Find(task.job);
    if (watch != nullptr) ++watch->observed_crashes[task];
  }
}

void PromiseOracle::CheckCrashes(JobWatch* watch, const TaskName& task) {
  if (watch->crashes[task] < kMaxCrashes) return;
  if (++watch->starts_after_crashes[task] < kFirstForbiddenStart) return;
  Violate(absl::StrCat("start of ", ToString(task), " after ",
                       watch->crashes[task], " runners crashed because of it"));
}

void PromiseOracle::CheckStepOrder(const JobWatch& watch,
                                   const TaskName& task) {
  for (const int before : watch.spec.steps[task.step].after) {
    const dispatch::StepSpec& step = watch.spec.steps[before];
    for (int i = 0; i < step.count; ++i) {
      const TaskName earlier{task.job, task.occurrence, before, i};
      if (watch.reported_done.count(earlier) == 0) {
        Violate(absl::StrCat("start of ", ToString(task),
                             " before the preceding steps are done"));
      }
    }
  }
}

void PromiseOracle::RecordCancellation(const JobId& job, TimePoint now) {
  JobWatch* watch = Find(job);
  if (watch == nullptr || watch->cancelled_at.has_value()) return;
  watch->cancelled_at = now;
}

std::optional<Duration> PromiseOracle::UndisturbedTimeSinceCancel(
    const RunName& run, TimePoint now) const {
  const auto job = jobs_.find(run.task.job);
  if (job == jobs_.end()) return std::nullopt;
  if (!job->second.cancelled_at.has_value()) return std::nullopt;
  TimePoint from = *job->second.cancelled_at;
  if (last_fault_.has_value()) {
    from = std::max(from, *last_fault_ + cancel_.recovery);
  }
  const auto late = late_starts_.find(run);
  if (late != late_starts_.end()) {
    from = std::max(from, late->second + cancel_.recovery);
  }
  return now - from;
}

void PromiseOracle::CheckStartAfterCancel(const RunName& run, TimePoint now) {
  const std::optional<Duration> undisturbed =
      UndisturbedTimeSinceCancel(run, now);
  if (!undisturbed.has_value() || *undisturbed <= cancel_.notice) return;
  Violate(absl::StrCat("start of ", ToString(run.task), " run ", run.number,
                       " after its job was cancelled"));
}

void PromiseOracle::CheckCancelledRuns(const std::vector<RunName>& runs,
                                       TimePoint now) {
  const Duration excused_time =
      cancel_.recovery + cancel_.notice + cancel_.stop;
  const bool excused =
      last_mute_runner_.has_value() && now - *last_mute_runner_ <= excused_time;
  if (excused) return;
  for (const RunName& run : runs) {
    const std::optional<Duration> undisturbed =
        UndisturbedTimeSinceCancel(run, now);
    const Duration bound = cancel_.notice + cancel_.stop;
    if (!undisturbed.has_value() || *undisturbed <= bound) continue;
    if (!reported_overdue_.insert(run).second) continue;
    Violate(absl::StrCat(ToString(run.task), " run ", run.number,
                         " is still active although its job was cancelled"));
  }
}

void PromiseOracle::CheckRunning(const std::vector<RunName>& running) {
  std::set<TaskName> seen;
  for (const RunName& run : running) {
    const bool allowed =
        misdelivered_.count(run) != 0 || seen.insert(run.task).second;
    if (allowed) continue;
    Violate(absl::StrCat("two runs of ", ToString(run.task), " at a time"));
  }
}

void PromiseOracle::RecordListedRuns(
    const std::vector<dispatch::ReportedRun>& running, Epoch epoch,
    TimePoint now) {
  for (const dispatch::ReportedRun& run : running) {
    const RunName name{run.task, run.run};
    if (misdelivered_.count(name) == 0) continue;
    listed_at_.emplace(std::make_pair(name, epoch), now);
  }
}

void PromiseOracle::CheckStartBesideListed(
    const dispatch::StartRun& order, TimePoint sent_at,
    const std::vector<RunName>& running) {
  for (const RunName& run : running) {
    if (!(run.task == order.task) || run.number >= order.run) continue;
    const auto listed = listed_at_.find({run, order.target.fence.epoch});
    if (listed == listed_at_.end()) continue;
    if (sent_at - listed->second <= kListedBound) continue;
    Violate(absl::StrCat("two runs of ", ToString(run.task),
                         " at a time, one by a misdelivered start"));
  }
}

void PromiseOracle::RecordPoll(
    const dispatch::PollRunner& poll, const dispatch::RunnerPolled& answer,
    const std::function<bool(std::int64_t)>& lease_held) {
  // A runner does nothing for a call that it rejects, so that it reports the
  // same ends again.
  if (answer.outcome == dispatch::OrderOutcome::kFenced) return;
  auto& reported =
      reported_ends_[{poll.target.incarnation.runner, answer.start_time}];
  // Record the ends that the poll acknowledges.
  while (!reported.empty() &&
         reported.begin()->first <= poll.acknowledged_end) {
    const ReportedEnd end = reported.begin()->second;
    reported.erase(reported.begin());
    // If the lease has expired since the end, the task may run elsewhere, and
    // the acknowledgement does not count.
    const bool counts = lease_held(end.number);
    Trace(absl::StrCat(
        "end ", end.number, " of ", ToString(end.task), " run ", end.run,
        " as ", ToString(end.end), " acknowledged to ",
        poll.target.incarnation.runner.value(), " born ",
        ToString(answer.start_time),
        counts ? "" : ", ignored because the lease has expired since"));
    if (counts) RecordEnd(end);
  }
  for (const ReportedEnd& end : answer.ended) {
    if (reported.emplace(end.number, end).second) RecordReportedEnd(end);
  }
}

void PromiseOracle::RecordUnreportedEnds(const std::vector<ReportedEnd>& ends) {
  for (const ReportedEnd& end : ends) {
    Violate(absl::StrCat("end of ", ToString(end.task), " run ", end.run,
                         " as ", ToString(end.end),
                         " was acknowledged before any scheduler read it"));
    RecordEnd(end);
  }
}

void PromiseOracle::RecordEnd(const ReportedEnd& end) {
  JobWatch* watch = Find(end.task.job);
  if (watch == nullptr || misdelivered_.count({end.task, end.run}) != 0) return;
  if (Lasts(*watch, end.task)) return;
  if (end.end == RunEnd::kDone) RecordDone(watch, end);
  if (end.end == RunEnd::kFailed) RecordFailure(watch, end);
}

void PromiseOracle::RecordDone(JobWatch* watch, const ReportedEnd& end) {
  watch->done.insert(end.task);
  if (watch->highest_run[end.task] <= end.run) return;
  Violate(absl::StrCat(ToString(end.task), " was started again before run ",
                       end.run, " was acknowledged as done"));
}

void PromiseOracle::RecordFailure(JobWatch* watch, const ReportedEnd& end) {
  int& highest_failed = watch->highest_failed_run[end.task];
  highest_failed = std::max(highest_failed, end.run);
  if (++watch->failures[end.task] != max_attempts_) return;
  if (watch->highest_run[end.task] <= highest_failed) return;
  Violate(absl::StrCat(ToString(end.task), " was started again before its ",
                       max_attempts_, " failed runs were acknowledged"));
}

void PromiseOracle::RecordReportedEnd(const ReportedEnd& end) {
  JobWatch* watch = Find(end.task.job);
  if (watch == nullptr) return;
  if (end.end == RunEnd::kFailed) ++watch->reported_failures;
  if (end.end != RunEnd::kDone) return;
  const dispatch::StepSpec& step = watch->spec.steps[end.task.step];
  TaskName member = end.task;
  watch->reported_done.insert(member);
  for (int i = 0; step.gang && i < step.count; ++i) {
    member.index = i;
    watch->reported_done.insert(member);
  }
}

}  // namespace limeledge::emulator
