/// @file
/// Decides whether a submitted job is refused because it can never run, or
/// because it would end too late to be of use.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_ADMISSION_H_
#define LIMELEDGE_SRC_DISPATCH_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "dispatch/capacity_forecast.h"
#include "dispatch/catalog.h"
#include "dispatch/job_spec.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// When submits are refused.
enum class AdmissionUse {
  /// Jobs that can never run are refused. Jobs that would end too late are
  /// refused only if the configuration names guarantees and the objective of
  /// their queue.
  kAuto,
  /// As `kAuto`, but guarantees need not be configured.
  kOn,
  /// No submit is refused, and no summary is published.
  kOff,
};

/// Limits of the decision.
struct AdmissionOptions {
  /// Off by default: the forecast still counts work of equal priority that the
  /// planner would place later, and a label may be missing only for a while.
  AdmissionUse use = AdmissionUse::kOff;
  /// Maximum age of the summary, by both clocks.
  Duration max_age{3000};
  /// Refusals of this last time widen the interval over which refused callers
  /// return.
  Duration refusal_window{5000};
  /// Added to that interval for each refusal. A node that refuses ten callers
  /// per second thus spreads them so that one returns per 200 ms.
  Duration spread_per_refusal{200};
  /// Upper limit of the interval.
  Duration max_spread{30000};
};

enum class RefusalReason {
  /// A step needs more of a resource than any runner has.
  kStepTooLarge,
  /// A gang needs more of a resource than all runners have together.
  kGangTooLarge,
  /// No runner has the label that a step needs.
  kNoRunnerWithLabel,
  /// The job would end too late to be of use.
  kPastUse,
};

/// Short name for logs and metrics.
const char* ToString(RefusalReason reason);

struct Refusal {
  RefusalReason reason = RefusalReason::kPastUse;
  /// What the caller is told.
  std::string message;
  /// From then on the summary that led to the refusal is too old.
  TimePoint valid_until;
  /// For `kPastUse`: lower bound of the job's wait, and the longest wait after
  /// which it would still be of use.
  Duration earliest;
  Duration bearable;
  /// For `kPastUse`: when to come back; not set if the job would be of no use
  /// by then.
  std::optional<Duration> retry_after;
};

/// A summary, and how old it may be.
struct KnownSummary {
  /// Null if there is none.
  const CapacitySummary* summary = nullptr;
  /// The summary was written after this moment.
  TimePoint written_after;
};

/// Decides on submits. Pure apart from the count of recent refusals.
///
/// Thread safety: none; use it from one thread.
class Admission {
 public:
  explicit Admission(AdmissionOptions options = {}) : options_(options) {}

  /// Returns why the job is refused, or nothing if it is accepted. `spec` has
  /// its queue, workspace and policy set. Does not count the refusal.
  std::optional<Refusal> Judge(TimePoint now, std::int64_t wall_ms,
                               const JobSpec& spec, const Catalog& catalog,
                               const KnownSummary& known) const;
  /// Counts a refusal for load that was sent to its caller.
  void RecordRefusal(TimePoint now);

 private:
  bool IsUsable(TimePoint now, std::int64_t wall_ms,
                const KnownSummary& known) const;
  /// True if the configuration allows refusals for load in the job's queue.
  bool MayRefuseForLoad(const JobSpec& spec, const Catalog& catalog) const;
  std::optional<Refusal> JudgeLoad(TimePoint now, const JobSpec& spec,
                                   const Catalog& catalog,
                                   const CapacitySummary& summary) const;
  std::optional<Duration> RetryAfter(TimePoint now, const JobSpec& spec,
                                     const Catalog& catalog,
                                     const CapacitySummary& summary,
                                     Duration expected, Duration bearable,
                                     Duration useful) const;

  AdmissionOptions options_;
  /// When recent refusals were sent.
  std::deque<TimePoint> refusals_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_ADMISSION_H_
