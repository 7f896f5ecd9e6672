/// @file
/// Decisions on submits.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/admission.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "absl/strings/str_cat.h"
#include "dispatch/job.h"
#include "limeledge/rendezvous.h"

namespace limeledge::dispatch {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;

Resources Multiplied(const Resources& need, int count) {
  return {need.cpu_millis * count, need.memory_mb * count,
          need.accelerators * count};
}

std::optional<Refusal> JudgeCapacity(const JobSpec& spec,
                                     const ServiceCapacity& capacity) {
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    Refusal refusal;
    if (!step.room().Fits(capacity.largest)) {
      refusal.reason = RefusalReason::kStepTooLarge;
      refusal.message = absl::StrCat("can never run: step ", i,
                                     " needs more than any runner has");
      return refusal;
    }
    if (step.gang && !Multiplied(step.room(), step.count).Fits(capacity.sum)) {
      refusal.reason = RefusalReason::kGangTooLarge;
      refusal.message =
          absl::StrCat("can never run: the gang of step ", i,
                       " needs more than all runners have together");
      return refusal;
    }
    const bool label_missing = !step.required_label.empty() &&
                               capacity.has_all_labels &&
                               capacity.labels.count(step.required_label) == 0;
    if (label_missing) {
      refusal.reason = RefusalReason::kNoRunnerWithLabel;
      refusal.message = absl::StrCat(
          "can never run: no runner has the label that step ", i, " needs");
      return refusal;
    }
  }
  return std::nullopt;
}

/// True if a task or a gang of the job may begin at once.
bool FitsFreeCapacity(const JobSpec& spec, const QueueWait& wait) {
  return std::any_of(spec.steps.begin(), spec.steps.end(),
                     [&wait](const StepSpec& step) {
                       if (!step.after.empty()) return false;
                       const int together = step.gang ? step.count : 1;
                       return step.room().Fits(wait.largest_free) &&
                              Multiplied(step.room(), together).Fits(wait.free);
                     });
}

/// True if the job fits into the guarantee of its workspace. What the
/// workspace uses of it is not counted: it may become free at any moment.
bool FitsGuarantee(const JobSpec& spec, const Catalog& catalog) {
  const auto found = catalog.workspaces.find(spec.workspace);
  return found != catalog.workspaces.end() &&
         found->second.guaranteed_accelerators > 0 &&
         PeakAccelerators(spec) <= found->second.guaranteed_accelerators;
}

/// The longest wait for a resource that the job needs.
Duration LongestWait(const JobSpec& spec,
                     const std::array<Duration, kResourceKinds>& waits) {
  Duration longest;
  for (const StepSpec& step : spec.steps) {
    const auto need = AmountsOf(step.room());
    for (std::size_t i = 0; i < kResourceKinds; ++i) {
      if (need[i] > 0) longest = std::max(longest, waits[i]);
    }
  }
  return longest;
}

}  // namespace

const char* ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kStepTooLarge:
      return "step too large";
    case RefusalReason::kGangTooLarge:
      return "gang too large";
    case RefusalReason::kNoRunnerWithLabel:
      return "no runner with the label";
    case RefusalReason::kPastUse:
      return "too late to be of use";
  }
  return "";
}

bool Admission::IsUsable(TimePoint now, std::int64_t wall_ms,
                         const KnownSummary& known) const {
  if (options_.use == AdmissionUse::kOff || known.summary == nullptr) {
    return false;
  }
  if (now - known.written_after >= options_.max_age) return false;
  // A write may have been composed long before it was applied. Wall clocks that
  // differ by more than the limit only prevent refusals.
  const std::int64_t age = wall_ms - known.summary->confirmed_wall_ms;
  return std::abs(age) < options_.max_age.ms();
}

std::optional<Refusal> Admission::Judge(TimePoint now, std::int64_t wall_ms,
                                        const JobSpec& spec,
                                        const Catalog& catalog,
                                        const KnownSummary& known) const {
  if (!IsUsable(now, wall_ms, known)) return std::nullopt;
  const auto service = known.summary->services.find(spec.policy.service);
  if (service == known.summary->services.end()) return std::nullopt;
  std::optional<Refusal> refusal = JudgeCapacity(spec, service->second);
  const bool starts_later =
      spec.recurrence.times > 0 && spec.recurrence.first_wall_ms > wall_ms;
  const bool judges_load =
      !refusal.has_value() && !starts_later && MayRefuseForLoad(spec, catalog);
  if (judges_load) refusal = JudgeLoad(now, spec, catalog, *known.summary);
  if (refusal.has_value()) {
    refusal->valid_until = known.written_after + options_.max_age;
  }
  return refusal;
}

bool Admission::MayRefuseForLoad(const JobSpec& spec,
                                 const Catalog& catalog) const {
  const QueuePolicy& policy = spec.policy;
  const bool has_objective = policy.stretch > 0 && policy.slack > Duration(0);
  const bool has_guarantees = std::any_of(
      catalog.workspaces.begin(), catalog.workspaces.end(),
      [](const auto& e) { return e.second.guaranteed_accelerators > 0; });
  const bool enabled = options_.use == AdmissionUse::kOn || has_guarantees;
  const bool long_running =
      std::any_of(spec.steps.begin(), spec.steps.end(),
                  [](const StepSpec& step) { return step.long_running; });
  return enabled && has_objective && !long_running &&
         !FitsGuarantee(spec, catalog);
}

std::optional<Refusal> Admission::JudgeLoad(
    TimePoint now, const JobSpec& spec, const Catalog& catalog,
    const CapacitySummary& summary) const {
  const auto found = summary.waits.find(spec.queue);
  if (found == summary.waits.end()) return std::nullopt;
  const QueueWait& wait = found->second;
  if (FitsFreeCapacity(spec, wait)) return std::nullopt;
  const auto path = static_cast<double>(Job(spec).critical_path().ms());
  const double stretch = spec.policy.stretch;
  const Duration slack = spec.policy.slack * kUsefulObjectives;
  // The run time counts in the objective and in the job's end. The objective
  // grows faster with it, so a long run is the case in favor of the job.
  const double multiple = std::max(0.0, kUsefulObjectives * stretch - 1);
  const double factor = std::max(1.0, wait.estimate_factor);
  const Duration bearable =
      Duration(std::llround(multiple * path * factor)) + slack;
  const Duration earliest = LongestWait(spec, wait.earliest);
  if (earliest <= bearable) return std::nullopt;
  Refusal refusal;
  refusal.reason = RefusalReason::kPastUse;
  refusal.earliest = earliest;
  refusal.bearable = bearable;
  refusal.message = "not run: it would end too late to be of use";
  const Duration useful =
      Duration(std::llround(kUsefulObjectives * stretch * path)) + slack;
  refusal.retry_after =
      RetryAfter(now, spec, catalog, summary, LongestWait(spec, wait.expected),
                 bearable, useful);
  return refusal;
}

std::optional<Duration> Admission::RetryAfter(
    TimePoint now, const JobSpec& spec, const Catalog& catalog,
    const CapacitySummary& summary, Duration expected, Duration bearable,
    Duration useful) const {
  // From then on the forecast expects a wait that the job can bear.
  Duration begin = expected - bearable;
  // Less urgent callers return after the work of more urgent queues is done.
  for (const auto& [id, wait] : summary.waits) {
    const Queue* queue = catalog.Find(id);
    const bool more_urgent = queue != nullptr &&
                             queue->policy.service == spec.policy.service &&
                             queue->policy.priority < spec.policy.priority;
    if (more_urgent) begin = std::max(begin, LongestWait(spec, wait.expected));
  }
  // The last whole second at which the job is of use.
  const Duration last(useful.ms() / kMsPerSecond * kMsPerSecond);
  begin = std::max(begin, Duration(kMsPerSecond));
  if (begin > last) return std::nullopt;
  const auto recent = static_cast<std::int64_t>(std::count_if(
      refusals_.begin(), refusals_.end(), [this, now](TimePoint at) {
        return now - at < options_.refusal_window;
      }));
  const Duration spread = std::min({options_.spread_per_refusal * recent,
                                    options_.max_spread, last - begin});
  const std::uint64_t hash =
      RendezvousWeight("retry", InstanceId(spec.id.value()));
  const auto range = static_cast<std::uint64_t>(spread.ms() + 1);
  const std::int64_t ms = begin.ms() + static_cast<std::int64_t>(hash % range);
  return Duration((ms + kMsPerSecond - 1) / kMsPerSecond * kMsPerSecond);
}

void Admission::RecordRefusal(TimePoint now) {
  refusals_.push_back(now);
  while (now - refusals_.front() >= options_.refusal_window) {
    refusals_.pop_front();
  }
}

}  // namespace limeledge::dispatch
