/// @file
/// The policies that come with limeledge: fifo, backfill and cells.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/placement_policy.h"

namespace limeledge {

namespace {

/// First come, first served, first fit, no reservation. Kept as a baseline.
class FifoPolicy : public PlacementPolicy {
 public:
  std::string_view name() const override { return "fifo"; }
  std::string_view summary() const override {
    return "first come, first served, first fit, no reservation (baseline)";
  }

  OrderKey Key(const QueuedJob& job) const override {
    return {0, 0, job.job->submitted_ms};
  }

  std::optional<Placement> Fit(HallView* view,
                               const QueuedJob& job) const override {
    return PlaceGang(view, ShapeOf(job.job->spec), GangFit::kFirst);
  }

  bool MayTry(const QueuedJob&, const Overtaking& state) const override {
    return !state.behind_blocked;
  }

  bool Reserves(const QueuedJob&) const override { return false; }
  bool MayReclaim(const QueuedJob&) const override { return false; }

  bool MayUseReserved(const QueuedJob&, const Overtaking&) const override {
    return false;
  }
};

/// First come, first served, with a reservation for the first job that does
/// not fit; later ones overtake it when they are expected to end in time.
/// Kept as a baseline.
class BackfillPolicy : public PlacementPolicy {
 public:
  std::string_view name() const override { return "backfill"; }
  std::string_view summary() const override {
    return "first come, first served, with a reservation for the first job "
           "that does not fit (baseline)";
  }

  OrderKey Key(const QueuedJob& job) const override {
    return {0, 0, job.job->submitted_ms};
  }

  std::optional<Placement> Fit(HallView* view,
                               const QueuedJob& job) const override {
    return PlaceGang(view, ShapeOf(job.job->spec), GangFit::kFirst);
  }

  bool MayTry(const QueuedJob&, const Overtaking&) const override {
    return true;
  }

  bool Reserves(const QueuedJob&) const override { return true; }
  bool MayReclaim(const QueuedJob&) const override { return false; }

  bool MayUseReserved(const QueuedJob& job,
                      const Overtaking& state) const override {
    return state.has_reservation && job.expected <= state.reservation_in;
  }
};

/// The default: classes by priority, shares between workspaces, the tightest
/// cells first, and a reservation for jobs that have waited long.
class CellsPolicy : public PlacementPolicy {
 public:
  std::string_view name() const override { return "cells"; }
  std::string_view summary() const override {
    return "by class and share, into the tightest cells, with reservations for "
           "jobs that waited long (default)";
  }

  OrderKey Key(const QueuedJob& job) const override {
    if (IsAged(job)) return {kAgedTier, 0, job.job->submitted_ms};
    return {job.settings.priority, job.share, job.job->submitted_ms};
  }

  std::optional<Placement> Fit(HallView* view,
                               const QueuedJob& job) const override {
    return PlaceGang(view, ShapeOf(job.job->spec), GangFit::kBest);
  }

  bool MayTry(const QueuedJob&, const Overtaking&) const override {
    return true;
  }

  bool Reserves(const QueuedJob& job) const override { return IsAged(job); }
  bool MayReclaim(const QueuedJob& job) const override { return IsAged(job); }

  bool MayUseReserved(const QueuedJob& job,
                      const Overtaking& state) const override {
    return state.has_reservation && job.expected <= state.reservation_in;
  }

 private:
  static constexpr int kAgedTier = -1;

  static bool IsAged(const QueuedJob& job) {
    return job.waited >= job.settings.reserve_after;
  }
};

}  // namespace

const std::vector<const PlacementPolicy*>& AllPlacementPolicies() {
  static const CellsPolicy cells;
  static const FifoPolicy fifo;
  static const BackfillPolicy backfill;
  static const std::vector<const PlacementPolicy*> all = {&cells, &fifo,
                                                          &backfill};
  return all;
}

const PlacementPolicy* FindPlacementPolicy(std::string_view name) {
  for (const PlacementPolicy* policy : AllPlacementPolicies()) {
    if (policy->name() == name) return policy;
  }
  return nullptr;
}

}  // namespace limeledge
