/// @file
/// Planning with guarantees, reclaim and reservation.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/planning_pass.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

const PlacementPolicy& PolicyOf(const QueuedJob& job) {
  const PlacementPolicy* policy = FindPlacementPolicy(job.settings.placement);
  return policy != nullptr ? *policy : *FindPlacementPolicy("cells");
}

/// True when the job could give its place back without being lost.
bool CanMakeWay(const QueuedJob& job) {
  return job.settings.checkpoint || job.job->spec.repeatable;
}

/// Gives back what `held` uses, so that a trial can place into it.
void Release(const HeldJob& held, HallView* view) {
  view->GiveBack(held.job->spec, held.job->placement);
}

/// True when the placements share an accelerator or, for jobs without any, a
/// worker.
bool Overlap(const Placement& a, const Placement& b) {
  for (const Member& x : a.members) {
    for (const Member& y : b.members) {
      if (x.worker != y.worker) continue;
      const bool without = x.accelerators == 0 || y.accelerators == 0;
      if (without || (x.accelerators & y.accelerators) != 0) return true;
    }
  }
  return false;
}

}  // namespace

PlanningPass::PlanningPass(PassInput input) : input_(std::move(input)) {}

PassResult PlanningPass::Run() {
  ClassifyHeld();
  at_risk_ = !GuaranteesHold(input_.view, input_.book, {});
  result_.guarantees_at_risk = at_risk_;
  for (QueuedJob& job : input_.queue) {
    job.entitled =
        input_.book.Fits(job.job->spec.workspace, ShapeOf(job.job->spec));
  }
  SortQueue();
  for (const QueuedJob& job : input_.queue) Decide(job);
  return std::move(result_);
}

void PlanningPass::ClassifyHeld() {
  std::vector<std::size_t> order(input_.held.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::stable_sort(
      order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
        return input_.held[a].job->started_ms < input_.held[b].job->started_ms;
      });
  for (const std::size_t index : order) {
    const JobRow& job = *input_.held[index].job;
    const bool covered = !job.placement.borrowed &&
                         input_.book.Use(job.spec.workspace, ShapeOf(job.spec));
    if (!covered) borrowed_.push_back(index);
  }
}

void PlanningPass::SortQueue() {
  std::stable_sort(input_.queue.begin(), input_.queue.end(),
                   [](const QueuedJob& a, const QueuedJob& b) {
                     // Or a borrower would take back what was just reclaimed.
                     if (a.entitled != b.entitled) return a.entitled;
                     return PolicyOf(a).Key(a) < PolicyOf(b).Key(b);
                   });
}

void PlanningPass::Decide(const QueuedJob& job) {
  const PlacementPolicy& policy = PolicyOf(job);
  Overtaking state = overtaking_;
  state.behind_blocked = blocked_[&policy];
  const bool entitled =
      input_.book.Fits(job.job->spec.workspace, ShapeOf(job.job->spec));
  QueuedJob now = job;
  now.entitled = entitled;
  if (!entitled && !job.settings.borrow) {
    Wait(job, "the workspace's guarantee is in use and borrowing is off",
         false);
    return;
  }
  if (!entitled && !CanMakeWay(job)) {
    Wait(job,
         "the workspace's guarantee is in use, and the job can neither be "
         "checkpointed nor repeated, so it may not borrow",
         false);
    return;
  }
  if (!entitled && !policy.MayTry(now, state)) {
    Wait(job, "an earlier job of the same policy waits", false);
    return;
  }
  if (IsKnownMisfit(now, policy)) {
    Wait(job, last_misfit_reason_, false);
    return;
  }
  if (TryStart(now, policy)) return;
  const bool may_reclaim = entitled || policy.MayReclaim(now);
  if (may_reclaim && TryReclaim(now, policy)) return;
  blocked_[&policy] = true;
  Wait(job, WhyNot(now), false);
  NoteMisfit(now, policy);
  if (!overtaking_.has_reservation && policy.Reserves(now)) {
    TryReserve(now, policy);
  }
}

PlanningPass::Misfit PlanningPass::MisfitOf(
    const QueuedJob& job, const PlacementPolicy& policy) const {
  const JobSpec& spec = job.job->spec;
  return {&policy,    spec.members,   spec.accelerators,
          spec.cores, spec.memory_mb, policy.MayUseReserved(job, overtaking_)};
}

bool PlanningPass::IsKnownMisfit(const QueuedJob& job,
                                 const PlacementPolicy& policy) const {
  // Room only shrinks during a pass, so what did not fit does not fit later.
  const bool special = job.entitled || policy.MayReclaim(job) ||
                       (policy.Reserves(job) && !overtaking_.has_reservation);
  return !special && misfits_.count(MisfitOf(job, policy)) != 0;
}

void PlanningPass::NoteMisfit(const QueuedJob& job,
                              const PlacementPolicy& policy) {
  misfits_.insert(MisfitOf(job, policy));
  last_misfit_reason_ = result_.waits.back().reason;
}

bool PlanningPass::TryStart(const QueuedJob& job,
                            const PlacementPolicy& policy) {
  if (TryFree(job, policy, &input_.view)) return true;
  if (!unreserved_.has_value()) return false;
  if (!policy.MayUseReserved(job, overtaking_)) return false;
  HallView view = *unreserved_;
  if (!TryFree(job, policy, &view)) return false;
  const PlannedStart& start = result_.starts.back();
  input_.view.Take(job.job->spec, start.placement);
  return true;
}

bool PlanningPass::TryFree(const QueuedJob& job, const PlacementPolicy& policy,
                           HallView* view) {
  HallView trial = *view;
  for (const WorkerId& worker : job.job->avoid) trial.Exclude(worker);
  std::optional<Placement> placement = policy.Fit(&trial, job);
  trial.RestoreUsable(*view);
  const bool again = !placement.has_value() && !job.job->avoid.empty();
  if (again) placement = policy.Fit(&trial, job);
  if (!placement.has_value()) return false;
  GuaranteeBook book = BookAfter(job);
  const bool keeps =
      !job.entitled || at_risk_ || GuaranteesHold(trial, book, {});
  if (!keeps) return false;
  placement->borrowed = !job.entitled;
  *view = std::move(trial);
  input_.book = std::move(book);
  if (placement->borrowed) borrowed_starts_.push_back({job.job, *placement});
  if (unreserved_.has_value() && view != &*unreserved_) {
    unreserved_->Take(job.job->spec, *placement);
  }
  result_.starts.push_back({job.job->spec.id, *std::move(placement)});
  return true;
}

bool PlanningPass::TryReclaim(const QueuedJob& job,
                              const PlacementPolicy& policy) {
  Reclaim reclaim;
  const bool found = FitByVictims(job, policy, &reclaim) ||
                     (job.entitled && FitByPacking(job, &reclaim));
  if (!found) return false;
  for (const std::size_t index : reclaim.victims) {
    if (!input_.held[index].leaving) {
      result_.victims.push_back(input_.held[index].job->spec.id);
    }
    borrowed_.erase(std::find(borrowed_.begin(), borrowed_.end(), index));
  }
  // The accelerators are kept for this job: nobody after it may take them.
  input_.book = BookAfter(job);
  input_.view.Take(job.job->spec, reclaim.placement);
  if (unreserved_.has_value()) {
    unreserved_->Take(job.job->spec, reclaim.placement);
  }
  Wait(job,
       absl::StrCat("accelerators are being reclaimed for it from ",
                    reclaim.victims.size(), " borrowed placements"),
       true);
  return true;
}

bool PlanningPass::FitByVictims(const QueuedJob& job,
                                const PlacementPolicy& policy,
                                Reclaim* reclaim) const {
  // Those that already make way come first, then the ones begun last, so that
  // every pass comes to the same choice and little work is lost.
  std::vector<std::size_t> order = borrowed_;
  std::stable_sort(order.begin(), order.end(),
                   [this](std::size_t a, std::size_t b) {
                     const HeldJob& x = input_.held[a];
                     const HeldJob& y = input_.held[b];
                     if (x.leaving != y.leaving) return x.leaving;
                     return x.job->started_ms > y.job->started_ms;
                   });
  HallView released = input_.view;
  for (const std::size_t index : order) {
    Release(input_.held[index], &released);
    reclaim->victims.push_back(index);
    HallView trial = released;
    std::optional<Placement> placement = policy.Fit(&trial, job);
    if (!placement.has_value()) continue;
    reclaim->placement = *std::move(placement);
    SpareVictims(job, policy, reclaim);
    if (ReclaimHolds(job, *reclaim)) return true;
  }
  reclaim->victims.clear();
  return false;
}

void PlanningPass::SpareVictims(const QueuedJob& job,
                                const PlacementPolicy& policy,
                                Reclaim* reclaim) const {
  std::vector<std::size_t>& victims = reclaim->victims;
  for (std::size_t i = victims.size(); i-- > 0;) {
    if (input_.held[victims[i]].leaving) continue;
    HallView without = input_.view;
    for (std::size_t k = 0; k < victims.size(); ++k) {
      if (k != i) Release(input_.held[victims[k]], &without);
    }
    std::optional<Placement> smaller = policy.Fit(&without, job);
    if (!smaller.has_value()) continue;
    reclaim->placement = *std::move(smaller);
    victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

bool PlanningPass::FitByPacking(const QueuedJob& job, Reclaim* reclaim) const {
  // Pack the job's members together with every other unused guarantee into
  // the hall as it is without borrowers; where its members land they may run.
  HallView released = input_.view;
  for (const std::size_t index : borrowed_) {
    Release(input_.held[index], &released);
  }
  const MemberShape shape = ShapeOf(job.job->spec).member;
  std::vector<int> free;
  for (const WorkerRoom& room : released.workers()) {
    free.push_back(room.usable ? room.free_count() : 0);
  }
  const std::vector<int> others = BookAfter(job).UnusedCells();
  std::vector<int> larger;
  for (const int size : others) {
    if (size > shape.accelerators) larger.push_back(size);
  }
  if (!PackCells(larger, &free)) return false;
  Placement placement;
  for (std::size_t i = 0; i < free.size(); ++i) {
    const WorkerRoom& room = released.workers()[i];
    int fits =
        std::min(room.Fits(shape), free[i] / std::max(1, shape.accelerators));
    while (fits-- > 0 &&
           static_cast<int>(placement.members.size()) < job.job->spec.members) {
      placement.members.push_back(
          released.TakeMember(i, shape, MaskChoice::kAlignedCell));
    }
  }
  if (static_cast<int>(placement.members.size()) < job.job->spec.members) {
    return false;
  }
  reclaim->placement = std::move(placement);
  for (const std::size_t index : borrowed_) {
    if (Overlap(input_.held[index].job->placement, reclaim->placement)) {
      reclaim->victims.push_back(index);
    }
  }
  return at_risk_ || ReclaimHolds(job, *reclaim);
}

bool PlanningPass::ReclaimHolds(const QueuedJob& job,
                                const Reclaim& reclaim) const {
  if (at_risk_) return true;
  HallView view = input_.view;
  for (const std::size_t index : reclaim.victims) {
    Release(input_.held[index], &view);
  }
  view.Take(job.job->spec, reclaim.placement);
  return GuaranteesHold(view, BookAfter(job), reclaim.victims);
}

GuaranteeBook PlanningPass::BookAfter(const QueuedJob& job) const {
  GuaranteeBook book = input_.book;
  if (job.entitled) {
    book.Use(job.job->spec.workspace, ShapeOf(job.job->spec));
  }
  return book;
}

void PlanningPass::TryReserve(const QueuedJob& job,
                              const PlacementPolicy& policy) {
  std::vector<std::size_t> order(input_.held.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::stable_sort(order.begin(), order.end(),
                   [this](std::size_t a, std::size_t b) {
                     return input_.held[a].remaining < input_.held[b].remaining;
                   });
  HallView released = input_.view;
  Duration free_in;
  for (const std::size_t index : order) {
    Release(input_.held[index], &released);
    free_in = std::max(free_in, input_.held[index].remaining);
    HallView trial = released;
    const std::optional<Placement> placement = policy.Fit(&trial, job);
    if (!placement.has_value()) continue;
    unreserved_ = input_.view;
    input_.view.Take(job.job->spec, *placement);
    overtaking_.has_reservation = true;
    overtaking_.reservation_in = free_in;
    result_.waits.back().reason = absl::StrCat(
        "accelerators are reserved for it and expected to be "
        "free in ",
        free_in.ms() / 1000, " s");
    return;
  }
}

bool PlanningPass::GuaranteesHold(const HallView& view,
                                  const GuaranteeBook& book,
                                  const std::vector<std::size_t>& kept) const {
  if (book.empty()) return true;
  HallView released = view;
  for (const std::size_t index : borrowed_) {
    if (std::find(kept.begin(), kept.end(), index) != kept.end()) continue;
    Release(input_.held[index], &released);
  }
  for (const BorrowedStart& start : borrowed_starts_) {
    released.GiveBack(start.job->spec, start.placement);
  }
  std::vector<int> free;
  free.reserve(released.workers().size());
  for (const WorkerRoom& room : released.workers()) {
    if (room.usable) free.push_back(room.free_count());
  }
  return PackCells(book.UnusedCells(), &free);
}

void PlanningPass::Wait(const QueuedJob& job, std::string reason,
                        bool reclaiming) {
  result_.waits.push_back({job.job->spec.id, std::move(reason), reclaiming});
}

std::string PlanningPass::WhyNot(const QueuedJob& job) const {
  const GangShape shape = ShapeOf(job.job->spec);
  const int free = input_.view.FreeAccelerators();
  if (free < job.job->spec.total_accelerators()) {
    return absl::StrCat("needs ", job.job->spec.total_accelerators(),
                        " accelerators, ", free, " are free");
  }
  if (!input_.view.CanHold(shape)) {
    return absl::StrCat(free, " accelerators are free, but not ",
                        shape.member.accelerators, " on each of ",
                        shape.members,
                        " workers with cores and memory beside them");
  }
  return "starting it would leave another workspace's guarantee without room";
}

}  // namespace limeledge
