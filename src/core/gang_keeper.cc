/// @file
/// Gang steps and worker exchanges.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/gang_keeper.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/json.h"

namespace limeledge {

namespace {

/// Added to every lease before it counts as over, for differing clock rates.
constexpr Duration kLeaseSlack{500};
/// A worker that missed this many exchanges in a row gets nothing new.
constexpr int kUnreachableAfter = 3;
constexpr std::size_t kMostAvoided = 8;

GangMemberState FromTask(TaskState state) {
  switch (state) {
    case TaskState::kPrepared:
      return GangMemberState::kPrepared;
    case TaskState::kRunning:
      return GangMemberState::kRunning;
    case TaskState::kDone:
      return GangMemberState::kDone;
    case TaskState::kFailed:
      return GangMemberState::kFailed;
    case TaskState::kCheckpointed:
      return GangMemberState::kCheckpointed;
    case TaskState::kStopped:
      return GangMemberState::kAbsent;
  }
  return GangMemberState::kAbsent;
}

std::string JoinDetails(const GangView& view) {
  Json::Value details(Json::arrayValue);
  for (const MemberView& member : view.members) details.append(member.detail);
  return WriteJson(details);
}

JobRow Running(const Context& ctx, const JobRow& job) {
  JobRow next = job;
  next.state = JobState::kRunning;
  next.started_ms = ctx.wall_ms;
  next.reason.clear();
  return next;
}

JobRow Checkpointing(const JobRow& job, const GangStep& step) {
  JobRow next = job;
  next.state = JobState::kCheckpointing;
  next.reason = step.reason;
  return next;
}

JobRow Ended(const Context& ctx, const JobRow& job, const GangStep& step,
             const GangView& view) {
  JobRow next = job;
  next.state = step.next;
  next.reason = step.reason;
  if (step.next == JobState::kDone) {
    for (const MemberView& member : view.members) {
      next.results.push_back(member.detail);
    }
  }
  if (step.next == JobState::kWaiting) {
    if (job.state == JobState::kCheckpointing) {
      next.checkpoint = JoinDetails(view);
    }
    next.placement = Placement();
    next.waiting_since_ms = ctx.wall_ms;
  } else {
    next.ended_ms = ctx.wall_ms;
  }
  return next;
}

/// The part of a saved progress that belongs to one member.
std::string MemberCheckpoint(const std::string& checkpoint, std::size_t index) {
  if (checkpoint.empty()) return "";
  const auto json = ParseJson(checkpoint);
  const auto position = static_cast<Json::ArrayIndex>(index);
  if (!json.ok() || !json->isArray() || position >= json->size()) return "";
  return (*json)[position].asString();
}

}  // namespace

GangKeeper::GangKeeper(HallId hall, std::string notify_address)
    : hall_(std::move(hall)), notify_address_(std::move(notify_address)) {}

void GangKeeper::BeginEpoch(Context& ctx) {
  watches_.clear();
  jobs_on_.clear();
  links_.clear();
  changed_.clear();
  health_.ReleaseAll();
  for (const JobId& id : ctx.shared.mirror.ActiveJobs(hall_)) {
    const JobRow* job = ctx.shared.mirror.FindJob(id);
    if (HoldsPlacement(job->state)) TakeUp(ctx, *job);
  }
}

void GangKeeper::OnJobChanged(Context& ctx, const MirrorChange& change) {
  if (change.before.has_value() && change.before->hall == hall_) {
    const bool stays = change.after.has_value() &&
                       change.after->hall == hall_ &&
                       HoldsPlacement(change.after->state) &&
                       change.after->attempt == change.before->attempt;
    if (HoldsPlacement(change.before->state) && !stays) {
      Forget(*change.before);
    }
  }
  if (!change.after.has_value() || change.after->hall != hall_) return;
  if (HoldsPlacement(change.after->state)) TakeUp(ctx, *change.after);
}

void GangKeeper::OnTransitionFinished(Context& ctx, const JobRow& job,
                                      IntentOutcome outcome) {
  changed_.insert(job.spec.id);
  const bool never_placed =
      job.state == JobState::kStarting && outcome != IntentOutcome::kCommitted;
  if (never_placed) ReleaseProbes(job);
  if (outcome != IntentOutcome::kCommitted || job.state != JobState::kDone) {
    return;
  }
  run_times_.Observe(job.spec, Duration(job.ended_ms - job.started_ms));
  for (const Member& member : job.placement.members) {
    health_.OnSuccess(member.worker);
  }
  static_cast<void>(ctx);
}

void GangKeeper::ReleaseProbes(const JobRow& job) {
  for (const Member& member : job.placement.members) {
    health_.OnReleased(member.worker);
  }
}

void GangKeeper::OnWorkerReply(Context& ctx, const WorkerReplied& reply) {
  const auto it = links_.find(reply.worker);
  if (it == links_.end()) return;
  WorkerLink& link = it->second;
  const bool was_unreachable = link.failures_in_a_row() >= kUnreachableAfter;
  if (!reply.report.has_value()) {
    ++ctx.shared.counters.exchanges_failed;
    link.OnNoReply(ctx.now, reply.sequence);
    if (!was_unreachable && link.failures_in_a_row() >= kUnreachableAfter) {
      ctx.Log(LogId::kWorkerUnreachable, {{"worker", reply.worker.value()}});
    }
    return;
  }
  if (!link.OnReport(ctx.now, reply.sequence, *reply.report)) return;
  if (was_unreachable) {
    ctx.Log(LogId::kWorkerBack, {{"worker", reply.worker.value()}});
  }
  if (!reply.report->accepted) {
    ++ctx.shared.counters.stale_epochs;
    ctx.Log(LogId::kWorkerRejectedEpoch,
            {{"worker", reply.worker.value()},
             {"epoch", absl::StrCat(reply.epoch.value())},
             {"seen", absl::StrCat(reply.report->epoch.value())}});
    ctx.store.ReadSoon();
    return;
  }
  const auto jobs = jobs_on_.find(reply.worker);
  if (jobs == jobs_on_.end()) return;
  changed_.insert(jobs->second.begin(), jobs->second.end());
}

void GangKeeper::OnWorkerChanged(const WorkerId& worker) {
  const auto it = links_.find(worker);
  if (it != links_.end()) it->second.Touch();
}

void GangKeeper::Step(Context& ctx, const HallRight& right,
                      TransitionWriter* writer, bool all) {
  std::set<JobId> due = std::move(changed_);
  changed_.clear();
  if (all) {
    for (const auto& [id, watch] : watches_) due.insert(id);
  }
  for (const JobId& id : due) {
    const JobRow* job = ctx.shared.mirror.FindJob(id);
    if (job == nullptr || watches_.count(id) == 0) continue;
    StepJob(ctx, right, writer, *job);
  }
}

void GangKeeper::Exchange(Context& ctx, const HallRight& right) {
  for (const auto& [id, worker] : ctx.shared.workers) {
    if (worker.hall != hall_) continue;
    WorkerLink& link = links_[id];
    if (!link.DueAt(ctx.now, ctx.shared.system.exchange)) continue;
    WorkerExchange exchange;
    exchange.worker = id;
    exchange.hall = hall_;
    exchange.epoch = right.record.epoch;
    exchange.stamp = link.stamp();
    exchange.lease = ctx.shared.system.task_lease;
    exchange.notify_address = notify_address_;
    if (link.has_stamp()) exchange.orders = OrdersFor(ctx, id);
    exchange.sequence = link.OnSent(ctx.now, exchange.orders);
    ++ctx.shared.counters.exchanges;
    ctx.Emit(SendExchange{worker.address, std::move(exchange)});
  }
}

void GangKeeper::Reclaim(Context& ctx, const JobId& job) {
  const auto it = watches_.find(job);
  if (it == watches_.end() || it->second.reclaim) return;
  it->second.reclaim = true;
  changed_.insert(job);
  ++ctx.shared.counters.preemptions;
  ctx.Log(LogId::kJobPreempted, {{"job", job.value()}});
}

bool GangKeeper::IsReclaiming(const JobId& job) const {
  const auto it = watches_.find(job);
  return it != watches_.end() && (it->second.reclaim || it->second.doom);
}

bool GangKeeper::MayPlace(TimePoint now, const WorkerInfo& worker) const {
  if (worker.leaving || !health_.MayPlace(now, worker.id)) return false;
  const auto it = links_.find(worker.id);
  if (it == links_.end()) return false;
  return !it->second.leaving() && it->second.has_stamp() &&
         it->second.failures_in_a_row() < kUnreachableAfter;
}

void GangKeeper::OnPlaced(Context& ctx, const Placement& placement) {
  for (const Member& member : placement.members) {
    if (!health_.OnPlaced(ctx.now, member.worker)) continue;
    ctx.Log(LogId::kWorkerProbed, {{"worker", member.worker.value()}});
  }
}

void GangKeeper::TakeUp(Context& ctx, const JobRow& job) {
  const auto [it, is_new] = watches_.try_emplace(job.spec.id);
  Watch& watch = it->second;
  if (is_new || watch.state != job.state) {
    watch.state = job.state;
    watch.since = ctx.now;
    // What was decided of the former state need not hold of this one.
    watch.doom.reset();
  }
  for (const Member& member : job.placement.members) {
    jobs_on_[member.worker].insert(job.spec.id);
  }
  changed_.insert(job.spec.id);
  TouchMembers(job);
}

void GangKeeper::Forget(const JobRow& job) {
  watches_.erase(job.spec.id);
  ReleaseProbes(job);
  for (const Member& member : job.placement.members) {
    const auto it = jobs_on_.find(member.worker);
    if (it == jobs_on_.end()) continue;
    it->second.erase(job.spec.id);
    if (it->second.empty()) jobs_on_.erase(it);
  }
  TouchMembers(job);
}

void GangKeeper::StepJob(Context& ctx, const HallRight& right,
                         TransitionWriter* writer, const JobRow& job) {
  Watch& watch = watches_[job.spec.id];
  const GangView view = ViewGang(ctx, right, job);
  const GangStep step = watch.doom.has_value() ? *watch.doom : DecideGang(view);
  const bool first_stop = step.action == GangAction::kStop && !watch.doom;
  if (first_stop) {
    // Leases stop being renewed at once, also while a write is on its way.
    Blame(ctx, job, step);
    watch.doom = step;
    TouchMembers(job);
    ctx.Log(LogId::kJobStopping,
            {{"job", job.spec.id.value()}, {"why", step.reason}});
  }
  if (writer->Busy(job.spec.id)) return;
  switch (step.action) {
    case GangAction::kWait:
      return;
    case GangAction::kRun:
      if (!right.may_start) return;
      writer->Push(ctx, right, Running(ctx, job), WritePriority::kJobs);
      return;
    case GangAction::kCheckpoint:
      writer->Push(ctx, right, Checkpointing(job, step), WritePriority::kJobs);
      return;
    case GangAction::kFinish:
    case GangAction::kRelease:
      writer->Push(ctx, right, Ended(ctx, job, step, view),
                   WritePriority::kJobs);
      return;
    case GangAction::kStop:
      writer->Push(ctx, right, Stopped(job, step), WritePriority::kJobs);
      return;
  }
}

GangView GangKeeper::ViewGang(const Context& ctx, const HallRight& right,
                              const JobRow& job) const {
  GangView view;
  view.job = &job;
  view.settings =
      ctx.shared.settings->Effective(job.spec.workspace, job.spec.job_class);
  const Watch& watch = watches_.at(job.spec.id);
  view.in_state = ctx.now - watch.since;
  view.running = Duration(ctx.wall_ms - job.started_ms);
  view.reclaim = watch.reclaim;
  view.members.reserve(job.placement.members.size());
  for (std::size_t i = 0; i < job.placement.members.size(); ++i) {
    view.members.push_back(ViewMember(ctx, right, job, i));
  }
  return view;
}

MemberView GangKeeper::ViewMember(const Context& ctx, const HallRight& right,
                                  const JobRow& job, std::size_t index) const {
  const WorkerId& worker = job.placement.members[index].worker;
  const TaskId task = MemberTask(job.spec.id, job.attempt, index);
  const auto link_it = links_.find(worker);
  const WorkerLink* link = link_it == links_.end() ? nullptr : &link_it->second;
  const auto info = ctx.shared.workers.find(worker);
  MemberView view;
  view.leaving = (info != ctx.shared.workers.end() && info->second.leaving) ||
                 (link != nullptr && link->leaving());
  const TaskReport* report = link == nullptr ? nullptr : link->Find(task);
  if (report == nullptr) {
    view.state = Unreported(ctx, right, job, link, task);
    return view;
  }
  view.state = FromTask(report->state);
  view.detail = report->detail;
  const bool ended = view.state != GangMemberState::kPrepared &&
                     view.state != GangMemberState::kRunning;
  if (!ended && LeaseOver(ctx, right, job, link, task)) {
    view.state = GangMemberState::kLapsed;
  }
  return view;
}

GangMemberState GangKeeper::Unreported(const Context& ctx,
                                       const HallRight& right,
                                       const JobRow& job,
                                       const WorkerLink* link,
                                       const TaskId& task) const {
  if (link != nullptr) {
    const TimePoint since = watches_.at(job.spec.id).since;
    const bool stopping = job.state == JobState::kStopping;
    const bool gone =
        stopping ? link->WasToldToStop(task, since) : link->WasTold(task);
    if (gone) return GangMemberState::kAbsent;
  }
  return LeaseOver(ctx, right, job, link, task) ? GangMemberState::kLapsed
                                                : GangMemberState::kUnheard;
}

bool GangKeeper::LeaseOver(const Context& ctx, const HallRight& right,
                           const JobRow& job, const WorkerLink* link,
                           const TaskId& task) const {
  const SystemSettings& system = ctx.shared.system;
  std::optional<TimePoint> granted;
  if (link != nullptr) granted = link->LastGrant(task);
  const bool placed_here = job.epoch == right.record.epoch;
  if (!granted.has_value() && placed_here) {
    // Nothing was ever sent: there is no lease, and only a stop may rely on it.
    return job.state == JobState::kStopping;
  }
  TimePoint start = granted.value_or(right.since);
  if (!placed_here) {
    // The planner before this one may have granted until its own lease ended.
    start = std::max(start, right.since + system.hall_lease);
  }
  return ctx.now - start >= system.task_lease + kLeaseSlack;
}

void GangKeeper::Blame(Context& ctx, const JobRow& job, const GangStep& step) {
  for (const std::size_t index : step.blamed) {
    const WorkerId& worker = job.placement.members[index].worker;
    const bool quarantined = health_.OnFailure(
        ctx.now, worker, job.spec.id, ctx.shared.system.quarantine_failures,
        ctx.shared.system.quarantine);
    if (!quarantined) continue;
    ctx.Log(LogId::kWorkerQuarantined, {{"worker", worker.value()}});
  }
}

JobRow GangKeeper::Stopped(const JobRow& job, const GangStep& step) const {
  JobRow next = job;
  next.state = JobState::kStopping;
  next.next = step.next;
  next.reason = step.reason;
  for (const std::size_t index : step.blamed) {
    const WorkerId& worker = job.placement.members[index].worker;
    const bool known = std::find(next.avoid.begin(), next.avoid.end(),
                                 worker) != next.avoid.end();
    if (known) continue;
    next.avoid.push_back(worker);
    if (step.job_failure && !health_.IsQuarantined(worker)) ++next.failures;
  }
  if (next.avoid.size() > kMostAvoided) {
    next.avoid.erase(next.avoid.begin());
  }
  return next;
}

void GangKeeper::TouchMembers(const JobRow& job) {
  for (const Member& member : job.placement.members) {
    const auto it = links_.find(member.worker);
    if (it != links_.end()) it->second.Touch();
  }
}

std::vector<TaskOrder> GangKeeper::OrdersFor(Context& ctx,
                                             const WorkerId& worker) const {
  std::vector<TaskOrder> orders;
  const auto jobs = jobs_on_.find(worker);
  if (jobs == jobs_on_.end()) return orders;
  for (const JobId& id : jobs->second) {
    const JobRow* job = ctx.shared.mirror.FindJob(id);
    const auto watch = watches_.find(id);
    if (job == nullptr || watch == watches_.end()) continue;
    if (job->state == JobState::kStopping || watch->second.doom) continue;
    const std::vector<Member>& members = job->placement.members;
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i].worker != worker) continue;
      TaskOrder order;
      order.id = MemberTask(id, job->attempt, i);
      if (job->state == JobState::kRunning) {
        order.goal = TaskGoal::kRun;
      } else if (job->state == JobState::kCheckpointing) {
        order.goal = TaskGoal::kCheckpoint;
      } else {
        order.goal = TaskGoal::kPrepare;
        order.accelerators = members[i].accelerators;
        order.cores = job->spec.cores;
        order.memory_mb = job->spec.memory_mb;
        order.declared = job->spec.declared;
        order.payload = job->spec.payload;
        order.checkpoint = MemberCheckpoint(job->checkpoint, i);
      }
      orders.push_back(std::move(order));
    }
  }
  return orders;
}

}  // namespace limeledge
