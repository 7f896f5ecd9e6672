/// @file
/// The interface of placement policies.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_PLACEMENT_POLICY_H_
#define LIMELEDGE_SRC_CORE_PLACEMENT_POLICY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/hall_view.h"
#include "core/job.h"
#include "limeledge/clock.h"
#include "settings/settings.h"

namespace limeledge {

/// A waiting job in a planning pass. Pointers live as long as the pass.
struct QueuedJob {
  const JobRow* job = nullptr;
  EffectiveSettings settings;
  Duration waited;
  /// Corrected guess of the run time.
  Duration expected;
  /// Accelerators its workspace holds, divided by the workspace's weight.
  double share = 0;
  /// It fits into the workspace's unused guarantee.
  bool entitled = false;
};

/// Sort key of the queue: smaller goes first, fields in order.
struct OrderKey {
  int tier = 0;
  double share = 0;
  std::int64_t time_ms = 0;

  friend bool operator<(const OrderKey& a, const OrderKey& b) {
    if (a.tier != b.tier) return a.tier < b.tier;
    if (a.share != b.share) return a.share < b.share;
    return a.time_ms < b.time_ms;
  }
};

/// What a policy may know about jobs that were passed over before this one.
struct Overtaking {
  /// A job of the same policy stands before this one and does not fit.
  bool behind_blocked = false;
  /// When the reserved accelerators are expected to be free, from now.
  Duration reservation_in;
  bool has_reservation = false;
};

/// Decides order, cells and waiting rules of jobs. Guarantees and gang rules
/// are kept by the planning pass whatever the policy says.
///
/// Thread safety: implementations are immutable and safe from any thread.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// The name used in settings.
  virtual std::string_view name() const = 0;
  /// One sentence for people.
  virtual std::string_view summary() const = 0;
  virtual OrderKey Key(const QueuedJob& job) const = 0;
  /// Places the whole gang into the free room of `view`, or returns nothing
  /// and leaves `view` as it was.
  virtual std::optional<Placement> Fit(HallView* view,
                                       const QueuedJob& job) const = 0;
  /// True when the job may be tried although others before it wait.
  virtual bool MayTry(const QueuedJob& job, const Overtaking& state) const = 0;
  /// True when a job that does not fit gets accelerators reserved.
  virtual bool Reserves(const QueuedJob& job) const = 0;
  /// True when a job outside its guarantee may make other borrowers leave.
  virtual bool MayReclaim(const QueuedJob& job) const = 0;
  /// True when the job may use reserved accelerators, because it is expected
  /// to be gone by the time they are needed.
  virtual bool MayUseReserved(const QueuedJob& job,
                              const Overtaking& state) const = 0;
};

/// All policies, the default first. They live for ever.
const std::vector<const PlacementPolicy*>& AllPlacementPolicies();

/// Returns the policy of that name, or null. Policies live for ever.
const PlacementPolicy* FindPlacementPolicy(std::string_view name);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_PLACEMENT_POLICY_H_
