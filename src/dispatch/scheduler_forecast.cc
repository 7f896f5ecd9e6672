/// @file
/// Adds up capacity and work for the forecast, and announces it.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "dispatch/scheduler.h"

namespace limeledge::dispatch {

namespace {

void AddUse(int priority, const Resources& need,
            CapacitySnapshot::UsedByPriority* used) {
  const auto found = std::find_if(
      used->begin(), used->end(),
      [priority](const auto& entry) { return entry.first == priority; });
  if (found != used->end()) {
    found->second += need;
  } else {
    used->emplace_back(priority, need);
  }
}

}  // namespace

const CapacitySummary* Scheduler::forecast() const {
  const auto& announced = writer_.announced_forecast();
  return announced.has_value() && writer_.MayAct() ? &*announced : nullptr;
}

void Scheduler::DropForecast() {
  forecast_.Reset();
  writer_.AnnounceForecast(std::nullopt);
}

void Scheduler::UpdateForecast(Context& ctx) {
  if (!options_.forecasts_capacity) return;
  const Duration list_age = ctx.now() - fleet_.capacities_read_at();
  writer_.ConfirmForecast(ctx.wall_ms() - list_age.ms());
  if (ctx.now() < next_forecast_at_) return;
  next_forecast_at_ = ctx.now() + options_.forecast.interval;
  // The forecast needs all jobs, since their runs take capacity.
  const bool known =
      fleet_.listed_once() && jobs_.loaded() && jobs_.HasReadAllPartitions();
  if (!known || releasing_) {
    DropForecast();
  } else {
    forecast_.Update(ctx.now(), TakeSnapshot(ctx), list_age, ForecastQueues());
    if (forecast_.summary().services.empty()) {
      writer_.AnnounceForecast(std::nullopt);
    } else {
      writer_.AnnounceForecast(forecast_.summary());
      writer_.ConfirmForecast(ctx.wall_ms() - list_age.ms());
    }
  }
  LogForecast(ctx);
}

CapacitySnapshot Scheduler::TakeSnapshot(const Context& ctx) {
  CapacitySnapshot snapshot;
  bool any_waits = false;
  for (const JobId& id : jobs_.active()) {
    const bool waits =
        AddWaitingSteps(ctx.wall_ms(), *jobs_.Find(id), &snapshot);
    any_waits = any_waits || waits;
  }
  CapacitySnapshot::UsedByPriority used;
  for (const auto& [id, runner] : fleet_.runners()) {
    used.clear();
    // Capacity is not short while nothing waits; there may be 48,000 runs.
    if (any_waits) AddRuns(ctx.now(), *runner, &snapshot, &used);
    if (!runner->listed()) continue;
    const RunnerInfo& info = runner->info();
    snapshot.AddRunner(info.service, info.room, info.labels, used);
  }
  return snapshot;
}

void Scheduler::AddRuns(TimePoint now, const Runner& runner,
                        CapacitySnapshot* snapshot,
                        CapacitySnapshot::UsedByPriority* used) {
  for (const auto& [name, run] : runner.runs()) {
    const Job* job = jobs_.Find(name.job);
    if (job == nullptr || run.stopping) continue;
    const bool displaceable = job->step_spec(name.step).preemptible();
    const QueuePolicy policy = PolicyOf(*job, *catalog_);
    AddUse(displaceable ? policy.priority : CapacitySnapshot::kNeverDisplaced,
           run.need, used);
    // It is unknown when a long-running task ends; it may be cancelled at once.
    const std::optional<Duration> left = TimeLeft(run, now);
    if (!left.has_value()) continue;
    snapshot->AddWork(policy.service, policy.priority, run.need, 1, *left,
                      EstimateDeviation(job->spec().queue));
  }
}

bool Scheduler::AddWaitingSteps(std::int64_t wall_ms, const Job& job,
                                CapacitySnapshot* snapshot) {
  if (IsFinal(job.state()) || job.cancel_requested()) return false;
  bool any_waits = false;
  const JobSpec& spec = job.spec();
  const QueuePolicy policy = PolicyOf(job, *catalog_);
  const auto path = static_cast<double>(
      run_time_estimator_.ExpectedTime(spec.queue, job.critical_path()).ms());
  const Duration objective =
      Duration(std::llround(policy.stretch * path)) + policy.slack;
  for (const Occurrence& occurrence : job.occurrences()) {
    const std::int64_t from =
        std::max(spec.accepted_wall_ms, occurrence.due_wall_ms);
    if (occurrence.due_wall_ms > wall_ms) continue;
    const Duration useful = objective * kUsefulObjectives;
    for (int s = 0; job.HasStep(s); ++s) {
      const StepSpec& step = job.step_spec(s);
      const std::vector<Task>& tasks = occurrence.steps[s].tasks;
      const auto waiting = static_cast<int>(
          std::count_if(tasks.begin(), tasks.end(), [](const Task& task) {
            return task.phase == TaskPhase::kWaiting && !task.held_back;
          }));
      if (waiting == 0 || step.long_running) continue;
      if (!job.StepIsReady(occurrence, s)) continue;
      const Duration left =
          run_time_estimator_.ExpectedTime(spec.queue, job.CriticalPathFrom(s));
      if (wall_ms + left.ms() > from + useful.ms()) continue;
      snapshot->AddWork(
          policy.service, policy.priority, step.room(), waiting,
          run_time_estimator_.ExpectedTime(spec.queue, step.estimate),
          EstimateDeviation(spec.queue));
      any_waits = true;
    }
  }
  return any_waits;
}

double Scheduler::EstimateDeviation(const QueueId& queue) const {
  const auto error = run_time_estimator_.ErrorOf(queue);
  return error.has_value() ? error->deviation
                           : options_.forecast.single_deviation;
}

std::vector<CapacityForecast::QueueInput> Scheduler::ForecastQueues() const {
  std::vector<CapacityForecast::QueueInput> queues;
  for (const Queue& queue : catalog_->queues) {
    const auto error = run_time_estimator_.ErrorOf(queue.id);
    // Estimates that were too long so far may be right for the next job.
    const double mean = error.has_value() ? std::max(0.0, error->mean) : 0;
    const double deviation = std::max(EstimateDeviation(queue.id),
                                      options_.forecast.common_deviation);
    queues.push_back(
        {queue.id, queue.policy,
         std::exp(mean + options_.forecast.deviations * deviation)});
  }
  return queues;
}

void Scheduler::LogForecast(Context& ctx) {
  std::string services;
  std::string waits;
  if (writer_.announced_forecast().has_value()) {
    const CapacitySummary& summary = *writer_.announced_forecast();
    for (const auto& [id, capacity] : summary.services) {
      absl::StrAppend(&services, services.empty() ? "" : " ", id.value(),
                      capacity.has_all_labels ? "" : " (without labels)");
    }
    for (const auto& [id, wait] : summary.waits) {
      absl::StrAppend(&waits, waits.empty() ? "" : " ", id.value());
    }
  }
  const std::string described = absl::StrCat(services, "|", waits);
  const bool unchanged = described == logged_forecast_ ||
                         (logged_forecast_.empty() && services.empty());
  if (unchanged) return;
  logged_forecast_ = described;
  ctx.Log(LogId::kForecastChanged, {{"services", services}, {"waits", waits}});
}

}  // namespace limeledge::dispatch
