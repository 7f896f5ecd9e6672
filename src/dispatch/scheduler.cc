/// @file
/// Job state, planning and store access of the scheduler. Answers from runners
/// are handled in scheduler_runs.cc.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

namespace {

// How often runs are checked for silent runners, stalls and draining runners.
constexpr Duration kCheckInterval{100};
// Number of steps that `pass_interval_per_hundred_steps` refers to.
constexpr int kStepsPerDelay = 100;

Scheduler::LeaseStatus ToLeaseStatus(StateWriter::LeaseStatus verdict) {
  switch (verdict) {
    case StateWriter::LeaseStatus::kDeposed:
      return Scheduler::LeaseStatus::kDeposed;
    case StateWriter::LeaseStatus::kReleased:
      return Scheduler::LeaseStatus::kReleased;
    default:
      return Scheduler::LeaseStatus::kHeld;
  }
}

}  // namespace

Scheduler::Scheduler(SchedulerOptions options,
                     const Leadership::Claimed& claimed,
                     const StoreTimeout* store_timeout, TimePoint now)
    : options_(options),
      store_timeout_(store_timeout),
      writer_(options.writer, claimed, store_timeout, now),
      jobs_(store_timeout, options.job_registry),
      cleaner_(options.cleaner),
      tombstone_cleaner_(options.tombstone_cleaner),
      fleet_(options.fleet),
      losses_(options.loss),
      speed_keeper_(store_timeout, now, options.speed_keeper),
      forecast_(options.forecast),
      planner_(options.planner) {
  constexpr Epoch kFirstEpoch(1);
  if (kFirstEpoch < writer_.epoch()) fleet_.AssumePreviousScheduler(now);
}

bool Scheduler::Owns(Ticket ticket) const {
  return writer_.Owns(ticket) || jobs_.Owns(ticket) || cleaner_.Owns(ticket) ||
         tombstone_cleaner_.Owns(ticket) || speed_keeper_.Owns(ticket);
}

void Scheduler::Release() {
  releasing_ = true;
  DropForecast();
  for (const auto& [id, runner] : fleet_.runners()) orders_due_.insert(id);
  writer_.Release();
}

Scheduler::LeaseStatus Scheduler::Handle(Context& ctx,
                                         const CommitCompleted& answer) {
  if (cleaner_.Owns(answer.ticket)) {
    cleaner_.Handle(ctx, answer, &jobs_, &writer_);
    return LeaseStatus::kHeld;
  }
  if (tombstone_cleaner_.Owns(answer.ticket)) {
    tombstone_cleaner_.Handle(ctx, answer, &jobs_.tombstones());
    return LeaseStatus::kHeld;
  }
  return ToLeaseStatus(writer_.Handle(ctx, answer));
}

void Scheduler::Handle(Context& ctx, const ReadCompleted& answer) {
  if (speed_keeper_.Owns(answer.ticket)) {
    speed_keeper_.Handle(ctx, answer);
    speed_keeper_.Restore(ctx, fleet_, &speeds_);
    return;
  }
  HandleChanges(ctx, jobs_.Handle(ctx, answer));
}

void Scheduler::Handle(Context& ctx, const ChangesReceived& answer) {
  HandleChanges(ctx, jobs_.Handle(ctx, answer));
}

void Scheduler::Handle(Context& ctx, const RunnersListed& answer) {
  fleet_.Handle(ctx, answer);
  speed_keeper_.Restore(ctx, fleet_, &speeds_);
  // A runner's capacity may have shrunk below what its queued starts need.
  for (const RunnerInfo& info : answer.runners) {
    const Runner& runner = *fleet_.runners().at(info.id);
    if (!runner.waiting_starts.empty()) orders_due_.insert(info.id);
  }
  plan_due_ = true;
}

void Scheduler::HandleChanges(Context& ctx, const std::vector<JobId>& changed) {
  for (const JobId& id : changed) {
    Job* job = jobs_.Find(id);
    if (job == nullptr) continue;
    plan_due_ = true;
    InheritRuns(ctx, job);
    // Inherited runs may put the job into a final state, which deletes its
    // object.
    job = jobs_.Find(id);
    if (job != nullptr && job->blocks() != nullptr) divided_jobs_.insert(id);
    if (job != nullptr) InheritLosses(ctx, *job);
    job = jobs_.Find(id);
    if (job != nullptr && job->cancel_requested()) UpdateJobState(ctx, job);
  }
}

void Scheduler::InheritRuns(Context& ctx, Job* job) {
  job->LimitInheritedReports(ctx.now() +
                             options_.fleet.previous_scheduler_lease);
  std::set<Runner*> ended_runners;
  for (std::size_t k = 0; k < job->occurrences().size(); ++k) {
    std::vector<Step>& steps = job->occurrences()[k].steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      for (std::size_t i = 0; i < steps[s].tasks.size(); ++i) {
        const Task& task = steps[s].tasks[i];
        if (task.phase != TaskPhase::kAssigned) continue;
        const TaskName name{job->spec().id, static_cast<int>(k),
                            static_cast<int>(s), static_cast<int>(i)};
        Runner* runner =
            fleet_.FindOrInherit(task.incarnation, task.address, ctx.now());
        if (runner->runs().count(name) != 0) continue;
        Run run;
        run.number = task.run;
        run.stored_incarnation = task.incarnation.start_time;
        run.need = job->step_spec(name.step).room();
        run.sharing = job->step_spec(name.step).sharing();
        run.lasting = job->step_spec(name.step).long_running;
        run.phase = RunPhase::kInherited;
        run.expected = job->step_spec(name.step).estimate;
        run.assigned_at = ctx.now();
        run.started_at = ctx.now();
        run.progressed_at = ctx.now();
        run.checkpoint = task.checkpoint;
        run.saved_at = ctx.now();
        run.suspect = IsSuspect(task.losses);
        runner->Add(name, run);
        // Rows of versions that did not store start times name no incarnation.
        if (!IsReported(run.stored_incarnation)) {
          job->MoveRun(name, run.number, runner->incarnation());
        }
        if (runner->ended) ended_runners.insert(runner);
      }
    }
  }
  // Some jobs may be read after their runner was found to be lost. That runner
  // is no longer polled, so its runs have to be ended here.
  for (Runner* runner : ended_runners) {
    EndAllRuns(ctx, runner, EndEvidence::kLostBeforeLoaded, "");
  }
}

int Scheduler::MaxAttempts(const Job& job) const {
  return PolicyOf(job, *catalog_).max_attempts;
}

void Scheduler::UpdateJobState(Context& ctx, Job* job) {
  const JobId id = job->spec().id;
  job->Settle();
  MarkProgressDirty(id);
  if (!IsFinal(job->state())) return;
  ctx.Log(LogId::kJobSettled,
          {{"job", id.value()}, {"state", ToString(job->state())}});
  StopJob(ctx, id);
  // The job is forgotten once its final state is stored.
  writer_.Mark({kProgressTable, id.value()},
               [row = EncodeProgress(*job)] { return row; });
  writer_.RunWhenStored(
      {kProgressTable, id.value()},
      [this, id](Context& later) { jobs_.RecordFinalStored(id, later.now()); });
  if (job->blocks() != nullptr) RemoveBlocksWhenStored(*job);
  ticket_cache_.Forget(id);
  speeds_.Forget(id);
  jobs_.MarkFinal(id);
}

void Scheduler::WriteWaitingCounts(Context& ctx) {
  if (ctx.now() - counts_written_at_ < options_.waiting_counts_interval) return;
  counts_written_at_ = ctx.now();
  std::string row = EncodeWaiting(jobs_.CountWaiting());
  if (row == written_waiting_counts_) return;
  written_waiting_counts_ = row;
  writer_.Mark({kLeadershipTable, kWaitingKey},
               [row = std::move(row)] { return row; });
}

void Scheduler::Handle(Context& ctx, const AdviceReceived& answer) {
  ticket_cache_.Handle(ctx, answer);
  plan_due_ = true;
}

void Scheduler::ApplyPlan(Context& ctx, const Plan& plan) {
  for (const StepWait& wait : plan.waits) {
    ctx.Log(LogId::kStepWaits, {{"job", wait.step.job.value()},
                                {"step", ToString(wait.step)},
                                {"tasks", std::to_string(wait.tasks)},
                                {"reason", ToString(wait.reason)}});
  }
  for (const Deferral& deferral : plan.deferrals) {
    ctx.Log(LogId::kStepDeferred, {{"job", deferral.step.job.value()},
                                   {"step", ToString(deferral.step)},
                                   {"reason", ToString(deferral.reason)}});
  }
  ticket_cache_.RequestTickets(ctx, plan.advice_requests);
  for (const PreemptionDelay& delay : plan.delays) {
    ctx.Log(LogId::kPreemptionDelayed,
            {{"job", delay.step.job.value()},
             {"step", ToString(delay.step)},
             {"free_in_ms", std::to_string(delay.free_in.ms())},
             {"stop_ms", std::to_string(delay.stop_time.ms())}});
  }
  for (const Preemption& preemption : plan.preemptions) {
    Preempt(ctx, preemption);
  }
  for (const Assignment& assignment : plan.assignments) {
    Assign(ctx, assignment);
  }
  StartWhenStored(plan.assignments);
}

void Scheduler::Preempt(Context& ctx, const Preemption& preemption) {
  Runner* runner = fleet_.Find(preemption.incarnation);
  if (runner == nullptr) return;
  ctx.Log(LogId::kRunDisplaced,
          {{"task", ToString(preemption.task)},
           {"runner", preemption.incarnation.runner.value()},
           {"for", preemption.preemptor.value()}});
  RequestStop(ctx, runner, preemption.task);
  StopGang(ctx, preemption.task);
}

void Scheduler::Assign(Context& ctx, const Assignment& assignment) {
  const TaskName& name = assignment.task;
  Job* job = jobs_.Find(name.job);
  const IncarnationId incarnation = assignment.runner->incarnation();
  const std::optional<EndedRun> before = job->FindEndedRun(name);
  job->Assign(name, assignment.run, incarnation, assignment.runner->address(),
              ctx.now());
  Run run;
  run.number = assignment.run;
  run.need = job->step_spec(name.step).room();
  run.sharing = job->step_spec(name.step).sharing();
  run.lasting = job->step_spec(name.step).long_running;
  run.assigned_at = ctx.now();
  run.expected = assignment.expected;
  run.expected_pace = assignment.pace;
  run.began_near_data =
      assignment.near() && job->Find(name)->checkpoint.empty();
  run.checkpoint = job->Find(name)->checkpoint;
  run.usable_for_estimates = run.began_near_data;
  const StepSpec& step = job->step_spec(name.step);
  run.measures_runner = run.began_near_data && !step.gang && !step.long_running;
  run.suspect = IsSuspect(job->Find(name)->losses);
  assignment.runner->Add(name, run);
  const std::string near_ms =
      assignment.near() ? "" : std::to_string(assignment.expected_near.ms());
  std::vector<LogField> fields = {
      {"task", ToString(name)},
      {"run", std::to_string(run.number)},
      {"runner", incarnation.runner.value()},
      {"born", ToString(incarnation.start_time)},
      {"expected_ms", std::to_string(run.expected.ms())},
      {"near_ms", near_ms},
      {"accelerators", std::to_string(run.need.accelerators)},
      {"cpu_millis", std::to_string(run.need.cpu_millis)}};
  if (before.has_value()) {
    fields.push_back({"before_run", std::to_string(before->number)});
    fields.push_back({"before_runner", before->runner.value()});
    fields.push_back({"before_end", ToString(before->end)});
  }
  ctx.Log(LogId::kRunAssigned, std::move(fields));
  MarkProgressDirty(name.job);
}

void Scheduler::RunPeriodicChecks(Context& ctx) {
  if (ctx.now() < next_check_at_) return;
  next_check_at_ = ctx.now() + kCheckInterval;
  CheckRuns(ctx);
  ResolveOverdueLosses(ctx);
  fleet_.RemoveGone(ctx);
  DropSpeedsOfGoneRunners(ctx);
  if (releasing_) return;
  // No planning pass writes them.
  if (jobs_.loaded() && !MayPlan()) WriteWaitingCounts(ctx);
  cleaner_.Work(ctx, &jobs_, &writer_);
  tombstone_cleaner_.Work(ctx, jobs_.tombstones());
  if (options_.runner_speeds == RunnerSpeedUse::kOff) return;
  speed_keeper_.Write(ctx, fleet_, speeds_in_use_, &speeds_, &writer_);
}

bool Scheduler::MayPlan() const {
  return jobs_are_current_ && list_is_current_ && !releasing_ &&
         !catalog_is_behind_ && writer_.store_answers();
}

void Scheduler::CheckViews(Context& ctx) {
  if (!writer_.store_answers()) store_available_since_ = ctx.now();
  const bool were_current = jobs_are_current_ && list_is_current_;
  const auto note = [&](bool current, TimePoint current_at, LogId id,
                        bool* known) {
    const bool was_read = current_at > TimePoint();
    if (*known && !current && was_read) {
      ctx.Log(id, {{"age_ms", std::to_string((ctx.now() - current_at).ms())},
                   {"epoch", std::to_string(epoch().value())}});
    }
    *known = current;
  };
  note(jobs_.IsCurrent(ctx.now(), store_available_since_), jobs_.current_at(),
       LogId::kJobsOutdated, &jobs_are_current_);
  note(fleet_.IsListCurrent(ctx.now(), store_available_since_),
       fleet_.list_current_at(), LogId::kRunnersOutdated, &list_is_current_);
  if (jobs_are_current_ && list_is_current_) {
    views_outdated_since_.reset();
    held_starts_dropped_ = false;
    if (!were_current) ReviewWaitingStarts();
    return;
  }
  if (!views_outdated_since_.has_value()) views_outdated_since_ = ctx.now();
  if (held_starts_dropped_ || !AreViewsLongOutdated(ctx.now())) return;
  held_starts_dropped_ = true;
  ReviewWaitingStarts();
}

bool Scheduler::AreViewsLongOutdated(TimePoint now) const {
  return views_outdated_since_.has_value() &&
         now - *views_outdated_since_ > options_.max_start_hold;
}

void Scheduler::ReviewWaitingStarts() {
  for (const auto& [id, runner] : fleet_.runners()) {
    if (!runner->waiting_starts.empty()) orders_due_.insert(id);
  }
}

bool Scheduler::IsPassDue(TimePoint now) const {
  if (!MayPlan() || now < next_pass_at_) return false;
  return plan_due_ || now >= planner_.next_at() ||
         now - last_pass_at_ >= options_.max_pass_interval;
}

void Scheduler::RunPlanningPass(Context& ctx) {
  plan_due_ = false;
  last_pass_at_ = ctx.now();
  UpdateSpeedUse(ctx);
  planner_.CountUse(ctx.now(), *catalog_, &jobs_, fleet_);
  planner_.SetPreemptionByLoss(DecidesByGain(), longest_stop_);
  planner_.SetMaxLooks(pass_budget_.max_looks());
  const Plan plan = planner_.Decide(
      ctx.now(), ctx.wall_ms(), *catalog_, run_time_estimator_,
      speeds_in_use_ ? &speeds_ : nullptr, ticket_cache_, &jobs_, &fleet_);
  next_pass_at_ = ctx.now() + options_.min_pass_interval +
                  options_.pass_interval_per_hundred_steps * plan.steps_tried /
                      kStepsPerDelay;
  ++planning_use_.passes;
  planning_use_.steps += plan.steps_tried;
  planning_use_.looks += plan.looks;
  looks_in_batch_ = plan.looks;
  idle_accelerators_ = plan.idle_accelerators;
  steps_waiting_ = plan.steps_waiting;
  ApplyPlan(ctx, plan);
  LogIdleAccelerators(ctx, plan);
  WriteWaitingCounts(ctx);
}

void Scheduler::RecordBatch(Duration taken) {
  const std::optional<std::int64_t> looks =
      std::exchange(looks_in_batch_, std::nullopt);
  if (!looks.has_value()) return;
  pass_budget_.Record(*looks, taken);
  // Passes take at most half of the time.
  next_pass_at_ = std::max(next_pass_at_, last_pass_at_ + taken * 2);
}

void Scheduler::LogIdleAccelerators(Context& ctx, const Plan& plan) {
  if (plan.steps_waiting == 0 || ctx.now() < next_idle_accelerators_at_) return;
  next_idle_accelerators_at_ = ctx.now() + options_.idle_accelerators_interval;
  const IdleAccelerators& idle = plan.idle_accelerators;
  ctx.Log(LogId::kIdleRoom,
          {{"steps", std::to_string(plan.steps_waiting)},
           {"accelerators", std::to_string(idle.all)},
           {"urgent_racks", std::to_string(idle.urgent_racks)},
           {"kept", std::to_string(idle.kept)},
           {"open", std::to_string(idle.open)}});
}

void Scheduler::HandleProcessPause(Context& ctx, Duration time) {
  writer_.RequireConfirmation(ctx.now());
  fleet_.HandleProcessPause();
  ticket_cache_.HandleProcessPause(time);
  DropForecast();
  ctx.Log(LogId::kStoodStill, {{"ms", std::to_string(time.ms())},
                               {"epoch", std::to_string(epoch().value())}});
}

void Scheduler::Work(Context& ctx, const CatalogWatcher& catalog) {
  catalog_ = catalog.catalog();
  catalog_is_behind_ = catalog.is_behind();
  writer_.Announce(nodes_, catalog.version(), catalog.changed_at());
  // Jobs that have not been read may be divided too.
  if (!divided_jobs_.empty() || jobs_.HasReadAllPartitions()) {
    writer_.AnnounceDividedProgress(!divided_jobs_.empty());
  }
  if (!writer_.MayAct()) {
    writer_.Flush(ctx);
    return;
  }
  fleet_.List(ctx, *store_timeout_);
  // Inherited runs can only be matched with runners once the list of runners
  // was read.
  if (fleet_.listed_once()) jobs_.Work(ctx);
  CheckViews(ctx);
  if (options_.runner_speeds != RunnerSpeedUse::kOff) speed_keeper_.Read(ctx);
  const bool may_renew = MayRenewLeases(ctx.now());
  RunPeriodicChecks(ctx);
  if (IsPassDue(ctx.now())) RunPlanningPass(ctx);
  UpdateForecast(ctx);
  SendOrders(ctx);
  // The runs of a runner are only known completely once all jobs are read.
  if (jobs_.loaded()) {
    fleet_.Poll(ctx, writer_.epoch(), may_renew, jobs_.HasReadAllPartitions());
  }
  writer_.Flush(ctx);
  DivideOversizedProgress(ctx);
  HandleRejectedProgress(ctx);
}

TimePoint Scheduler::next_at() const {
  if (!writer_.MayAct()) return writer_.next_at();
  TimePoint next = std::min(writer_.next_at(), next_check_at_);
  next =
      std::min(next, jobs_.loaded() ? fleet_.next_at() : fleet_.next_list_at());
  if (fleet_.listed_once()) next = std::min(next, jobs_.next_at());
  if (options_.runner_speeds != RunnerSpeedUse::kOff) {
    next = std::min(next, speed_keeper_.next_at());
  }
  // A pass that is not possible now runs with the event that makes it possible.
  if (!MayPlan()) return next;
  if (plan_due_) next = std::min(next, next_pass_at_);
  return std::min(next, std::max(next_pass_at_, planner_.next_at()));
}

}  // namespace limeledge::dispatch
