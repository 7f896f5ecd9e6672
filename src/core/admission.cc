/// @file
/// Admission of jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/admission.h"

#include <algorithm>
#include <limits>

#include "absl/strings/str_cat.h"
#include "core/guarantee_book.h"

namespace limeledge {

namespace {

/// Accelerators of a hall that its active jobs hold or ask for.
int Demand(const Shared& shared, const HallId& hall) {
  int demand = 0;
  for (const JobId& id : shared.mirror.ActiveJobs(hall)) {
    const JobRow* job = shared.mirror.FindJob(id);
    demand += std::max(1, job->spec.total_accelerators());
  }
  return demand;
}

/// True when the workspace's guarantee in the hall has room for the job beside
/// the workspace's other active jobs there.
bool IsEntitled(const Shared& shared, const HallId& hall, const JobSpec& spec) {
  GuaranteeBook book(*shared.settings, hall);
  if (book.empty()) return false;
  for (const JobId& id : shared.mirror.ActiveJobs(hall)) {
    const JobRow* job = shared.mirror.FindJob(id);
    if (job->spec.workspace != spec.workspace) continue;
    if (!job->placement.borrowed) book.Use(spec.workspace, ShapeOf(job->spec));
  }
  return book.Fits(spec.workspace, ShapeOf(spec));
}

bool CanHoldInGuarantee(const Settings& settings, const JobSpec& spec) {
  return std::any_of(settings.halls.begin(), settings.halls.end(),
                     [&](const auto& hall) {
                       return GuaranteeBook(settings, hall.first)
                           .Fits(spec.workspace, ShapeOf(spec));
                     });
}

}  // namespace

bool HallCanHold(const HallSettings& hall, const JobSpec& spec) {
  int per_worker = std::numeric_limits<int>::max();
  if (spec.accelerators > 0) {
    per_worker = hall.accelerators_per_worker / spec.accelerators;
  }
  if (spec.cores > 0) {
    per_worker = std::min(per_worker, hall.cores_per_worker / spec.cores);
  }
  if (spec.memory_mb > 0) {
    const std::int64_t by_memory = hall.memory_mb_per_worker / spec.memory_mb;
    per_worker =
        static_cast<int>(std::min<std::int64_t>(per_worker, by_memory));
  }
  const std::int64_t workers = std::int64_t{hall.racks} * hall.workers_per_rack;
  return per_worker > 0 && workers * per_worker >= spec.members;
}

void CheckAdmission(const Settings& settings, const JobSpec& spec,
                    Findings* findings) {
  if (settings.workspaces.count(spec.workspace) == 0) {
    findings->Add("workspace", "no such workspace");
  }
  const auto job_class = settings.classes.find(spec.job_class);
  if (job_class == settings.classes.end()) {
    findings->Add("class", "no such class");
  } else if (job_class->second.kind != ClassKind::kJob) {
    findings->Add("class", "is a class for requests, not for jobs");
  }
  const bool fits = std::any_of(
      settings.halls.begin(), settings.halls.end(),
      [&spec](const auto& hall) { return HallCanHold(hall.second, spec); });
  if (!fits) {
    findings->Add(
        "members",
        absl::StrCat("no hall can ever hold ", spec.members, " members with ",
                     spec.accelerators, " accelerators, ", spec.cores,
                     " cores and ", spec.memory_mb, " MB each"));
  }
  if (!findings->empty()) return;
  const EffectiveSettings effective =
      settings.Effective(spec.workspace, spec.job_class);
  const bool can_make_way = effective.checkpoint || spec.repeatable;
  const bool may_borrow = effective.borrow && can_make_way;
  if (!may_borrow && !CanHoldInGuarantee(settings, spec)) {
    findings->Add("workspace",
                  "the job fits no guarantee of the workspace and may not "
                  "borrow: borrowing is off, or the job can neither be "
                  "checkpointed nor repeated");
  }
}

HallId ChooseHall(const Shared& shared, const JobSpec& spec) {
  HallId best;
  bool best_entitled = false;
  double best_load = 0;
  for (const auto& [id, hall] : shared.settings->halls) {
    if (!HallCanHold(hall, spec)) continue;
    const bool entitled = IsEntitled(shared, id, spec);
    const double load = static_cast<double>(Demand(shared, id)) /
                        std::max(1, hall.accelerators());
    const bool better = best.empty() || (entitled && !best_entitled) ||
                        (entitled == best_entitled && load < best_load);
    if (!better) continue;
    best = id;
    best_entitled = entitled;
    best_load = load;
  }
  return best;
}

}  // namespace limeledge
