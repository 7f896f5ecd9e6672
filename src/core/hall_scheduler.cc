/// @file
/// Planning passes of one hall.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/hall_scheduler.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/admission.h"

namespace limeledge {

namespace {

/// Passes without a change come this often, for what depends on time alone.
constexpr Duration kIdlePass{1000};
/// A job that cannot start here for this long may move to a hall with room.
constexpr Duration kMoveAfter{3000};
/// Reasons are written for people: seldom, and few at a time.
constexpr Duration kReasonInterval{1000};
constexpr Duration kReasonAfter{2000};
constexpr Duration kReasonAgain{10000};
constexpr int kReasonsAtOnce = 4;
constexpr char kNoShadow[] = "none";

/// Free accelerators that no member of the shape can use.
int Stranded(const HallView& view, const MemberShape& shape) {
  int stranded = 0;
  for (const WorkerRoom& room : view.workers()) {
    if (!room.usable) continue;
    stranded += room.free_count() - room.Fits(shape) * shape.accelerators;
  }
  return stranded;
}

bool HasShadow(const PassInput& input) {
  return std::any_of(input.queue.begin(), input.queue.end(),
                     [](const QueuedJob& job) {
                       return job.settings.shadow_placement != kNoShadow;
                     });
}

std::set<JobId> StartsOf(const PassResult& result) {
  std::set<JobId> starts;
  for (const PlannedStart& start : result.starts) starts.insert(start.job);
  return starts;
}

}  // namespace

void HallScheduler::BeginEpoch() {
  waiters_.clear();
  admission_due_ = true;
  due_ = true;
}

void HallScheduler::OnSettingsChanged() {
  due_ = true;
  admission_due_ = true;
}

void HallScheduler::Run(Context& ctx, const HallRight& right,
                        GangKeeper* keeper, TransitionWriter* writer) {
  if (!due_ && ctx.now - planned_at_ < kIdlePass) return;
  due_ = false;
  planned_at_ = ctx.now;
  if (admission_due_) EndImpossible(ctx, right, writer);
  PassInput input = BuildInput(ctx, *keeper, *writer);
  MeasureRoom(input);
  ForgetOthers(input);
  if (input.queue.empty()) return;
  std::optional<PassInput> shadow;
  if (HasShadow(input)) shadow = input;
  const PassResult result = PlanningPass(std::move(input)).Run();
  if (shadow.has_value()) RunShadow(ctx, *std::move(shadow), result);
  room_.guarantees_at_risk = result.guarantees_at_risk;
  for (const PlannedStart& start : result.starts) {
    Start(ctx, right, start, keeper, writer);
  }
  for (const JobId& victim : result.victims) keeper->Reclaim(ctx, victim);
  for (const PlannedWait& wait : result.waits) {
    NoteWait(ctx, wait);
    const JobRow* job = ctx.shared.mirror.FindJob(wait.job);
    if (job != nullptr && !wait.reclaiming) {
      MaybeMove(ctx, right, *job, writer);
    }
  }
  WriteReasons(ctx, right, writer);
}

void HallScheduler::RunShadow(Context& ctx, PassInput input,
                              const PassResult& result) {
  std::set<JobId> shadowed;
  for (QueuedJob& job : input.queue) {
    if (job.settings.shadow_placement == kNoShadow) continue;
    job.settings.placement = job.settings.shadow_placement;
    shadowed.insert(job.job->spec.id);
  }
  const std::set<JobId> wanted = StartsOf(PlanningPass(std::move(input)).Run());
  const std::set<JobId> real = StartsOf(result);
  Counters& counters = ctx.shared.counters;
  for (const JobId& id : shadowed) {
    const bool same = wanted.count(id) == real.count(id);
    ++(same ? counters.shadow_agreed : counters.shadow_differed);
    if (same) continue;
    ctx.Log(LogId::kShadowDiffered,
            {{"job", id.value()},
             {"shadow", wanted.count(id) != 0 ? "starts it" : "waits"}});
  }
}

std::string HallScheduler::WhyWaiting(const JobId& job) const {
  const auto it = waiters_.find(job);
  return it == waiters_.end() ? "" : it->second.why;
}

PassInput HallScheduler::BuildInput(Context& ctx, const GangKeeper& keeper,
                                    const TransitionWriter& writer) {
  PassInput input{BuildView(ctx, keeper),
                  {},
                  {},
                  GuaranteeBook(*ctx.shared.settings, hall_)};
  for (const JobId& id : ctx.shared.mirror.ActiveJobs(hall_)) {
    const JobRow* job = ctx.shared.mirror.FindJob(id);
    const auto pending = writer.pending().find(id);
    const bool starts = pending != writer.pending().end() &&
                        pending->second.state == JobState::kStarting;
    if (HoldsPlacement(job->state)) {
      AddHeld(ctx, *job, keeper, &input);
    } else if (starts) {
      AddHeld(ctx, pending->second, keeper, &input);
    } else if (!writer.Busy(id) && !job->cancel_requested) {
      AddQueued(ctx, *job, keeper, &input);
    }
  }
  AddShares(&input);
  return input;
}

HallView HallScheduler::BuildView(const Context& ctx,
                                  const GangKeeper& keeper) const {
  std::vector<WorkerRoom> rooms;
  for (const auto& [id, worker] : ctx.shared.workers) {
    if (worker.hall != hall_) continue;
    WorkerRoom room;
    room.id = id;
    room.rack = worker.rack;
    room.accelerators = worker.accelerators;
    room.free = LowBits(worker.accelerators);
    room.free_cores = worker.cores;
    room.free_memory_mb = worker.memory_mb;
    room.usable = keeper.MayPlace(ctx.now, worker);
    rooms.push_back(std::move(room));
  }
  return HallView(std::move(rooms));
}

void HallScheduler::AddHeld(const Context& ctx, const JobRow& job,
                            const GangKeeper& keeper, PassInput* input) const {
  const Duration expected = keeper.run_times().Expect(job.spec);
  const Duration ran = job.state == JobState::kStarting
                           ? Duration()
                           : Duration(ctx.wall_ms - job.started_ms);
  HeldJob held;
  held.job = &job;
  // A job that outlived its guess is expected to run as long again.
  held.remaining = ran < expected ? expected - ran : ran;
  held.leaving = keeper.IsReclaiming(job.spec.id) ||
                 job.state == JobState::kCheckpointing ||
                 job.state == JobState::kStopping;
  input->view.Take(job.spec, job.placement);
  input->held.push_back(held);
}

void HallScheduler::AddQueued(const Context& ctx, const JobRow& job,
                              const GangKeeper& keeper, PassInput* input) {
  const auto [it, is_new] = waiters_.try_emplace(job.spec.id);
  if (is_new) it->second.since = ctx.now;
  QueuedJob queued;
  queued.job = &job;
  queued.settings =
      ctx.shared.settings->Effective(job.spec.workspace, job.spec.job_class);
  queued.waited =
      Duration(std::max<std::int64_t>(0, ctx.wall_ms - job.waiting_since_ms));
  queued.expected = keeper.run_times().Expect(job.spec);
  input->queue.push_back(std::move(queued));
}

void HallScheduler::AddShares(PassInput* input) {
  std::map<WorkspaceId, int> used;
  for (const HeldJob& held : input->held) {
    used[held.job->spec.workspace] += held.job->spec.total_accelerators();
  }
  for (QueuedJob& job : input->queue) {
    const auto it = used.find(job.job->spec.workspace);
    if (it == used.end()) continue;
    job.share = static_cast<double>(it->second) / job.settings.weight;
  }
}

void HallScheduler::Start(Context& ctx, const HallRight& right,
                          const PlannedStart& start, GangKeeper* keeper,
                          TransitionWriter* writer) {
  const JobRow* job = ctx.shared.mirror.FindJob(start.job);
  if (job == nullptr || writer->Busy(start.job)) return;
  const auto waiter = waiters_.find(start.job);
  if (waiter != waiters_.end() && waiter->second.reclaiming) {
    ctx.shared.counters.reclaim_time.Add(ctx.now -
                                         waiter->second.reclaim_since);
  }
  ctx.shared.counters.job_wait_time.Add(
      Duration(std::max<std::int64_t>(0, ctx.wall_ms - job->waiting_since_ms)));
  JobRow next = *job;
  next.state = JobState::kStarting;
  ++next.attempt;
  next.placement = start.placement;
  next.epoch = right.record.epoch;
  next.reason.clear();
  keeper->OnPlaced(ctx, next.placement);
  waiters_.erase(start.job);
  writer->Push(ctx, right, std::move(next), WritePriority::kJobs);
}

void HallScheduler::NoteWait(Context& ctx, const PlannedWait& wait) {
  const auto it = waiters_.find(wait.job);
  if (it == waiters_.end()) return;
  Waiter& waiter = it->second;
  waiter.why = wait.reason;
  if (wait.reclaiming && !waiter.reclaiming) waiter.reclaim_since = ctx.now;
  waiter.reclaiming = wait.reclaiming;
}

void HallScheduler::WriteReasons(Context& ctx, const HallRight& right,
                                 TransitionWriter* writer) {
  if (ctx.now - reasons_at_ < kReasonInterval) return;
  reasons_at_ = ctx.now;
  int left = kReasonsAtOnce;
  for (auto& [id, waiter] : waiters_) {
    const JobRow* job = ctx.shared.mirror.FindJob(id);
    const bool due = ctx.now - waiter.since >= kReasonAfter &&
                     (waiter.written_at == TimePoint() ||
                      ctx.now - waiter.written_at >= kReasonAgain);
    if (job == nullptr || !due || writer->Busy(id)) continue;
    if (job->state != JobState::kWaiting || job->reason == waiter.why) continue;
    waiter.written_at = ctx.now;
    JobRow next = *job;
    next.reason = waiter.why;
    writer->Push(ctx, right, std::move(next), WritePriority::kBookkeeping);
    if (--left == 0) return;
  }
}

bool HallScheduler::MaybeMove(Context& ctx, const HallRight& right,
                              const JobRow& job, TransitionWriter* writer) {
  const auto waiter = waiters_.find(job.spec.id);
  if (waiter == waiters_.end() || writer->Busy(job.spec.id)) return false;
  if (ctx.now - waiter->second.since < kMoveAfter) return false;
  for (const auto& [hall, digest] : ctx.shared.halls) {
    const bool has_room =
        digest.waiting_jobs == 0 &&
        digest.free_accelerators >= job.spec.total_accelerators() &&
        digest.largest_free >= job.spec.accelerators;
    if (hall == hall_ || !has_room) continue;
    JobRow next = job;
    next.hall = hall;
    next.reason.clear();
    ctx.Log(LogId::kJobMoved, {{"job", job.spec.id.value()},
                               {"from", hall_.value()},
                               {"to", hall.value()}});
    waiters_.erase(waiter);
    writer->Push(ctx, right, std::move(next), WritePriority::kJobs);
    // One job at a time, until the other hall tells its new room.
    ctx.shared.halls.erase(hall);
    return true;
  }
  return false;
}

void HallScheduler::EndImpossible(Context& ctx, const HallRight& right,
                                  TransitionWriter* writer) {
  admission_due_ = false;
  for (const JobId& id : ctx.shared.mirror.ActiveJobs(hall_)) {
    const JobRow* job = ctx.shared.mirror.FindJob(id);
    if (job->state != JobState::kWaiting || writer->Busy(id)) continue;
    Findings findings("settings");
    CheckAdmission(*ctx.shared.settings, job->spec, &findings);
    if (findings.empty()) continue;
    JobRow next = *job;
    next.state = JobState::kImpossible;
    next.reason = findings.all().front().message;
    next.ended_ms = ctx.wall_ms;
    writer->Push(ctx, right, std::move(next), WritePriority::kJobs);
  }
}

void HallScheduler::MeasureRoom(const PassInput& input) {
  room_.free_accelerators = input.view.FreeAccelerators();
  room_.usable_accelerators = input.view.UsableAccelerators();
  room_.waiting_jobs = static_cast<int>(input.queue.size());
  room_.largest_free = 0;
  for (const WorkerRoom& worker : input.view.workers()) {
    if (worker.usable) {
      room_.largest_free = std::max(room_.largest_free, worker.free_count());
    }
  }
  const JobRow* largest = nullptr;
  for (const QueuedJob& queued : input.queue) {
    const bool larger =
        largest == nullptr || queued.job->spec.total_accelerators() >
                                  largest->spec.total_accelerators();
    if (larger) largest = queued.job;
  }
  room_.stranded_accelerators =
      largest == nullptr ? 0
                         : Stranded(input.view, ShapeOf(largest->spec).member);
}

void HallScheduler::ForgetOthers(const PassInput& input) {
  std::set<JobId> queued;
  for (const QueuedJob& job : input.queue) queued.insert(job.job->spec.id);
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    it = queued.count(it->first) == 0 ? waiters_.erase(it) : std::next(it);
  }
}

}  // namespace limeledge
