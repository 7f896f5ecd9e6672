/// @file
/// One pass over the waiting jobs of a hall.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_PLANNING_PASS_H_
#define LIMELEDGE_SRC_CORE_PLANNING_PASS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/guarantee_book.h"
#include "core/hall_view.h"
#include "core/job.h"
#include "core/placement_policy.h"
#include "limeledge/clock.h"
#include "settings/settings.h"

namespace limeledge {

/// A job that holds accelerators. Pointers live as long as the pass.
struct HeldJob {
  const JobRow* job = nullptr;
  /// Guess of how much longer it runs.
  Duration remaining;
  /// It is already being asked to make way.
  bool leaving = false;
};

struct PassInput {
  /// Free room: everything held is taken already.
  HallView view;
  std::vector<HeldJob> held;
  std::vector<QueuedJob> queue;
  GuaranteeBook book;
};

struct PlannedStart {
  JobId job;
  Placement placement;
};

struct PlannedWait {
  JobId job;
  /// Why, in words.
  std::string reason;
  /// Entitled, and waiting only for borrowed placements to make way.
  bool reclaiming = false;
};

struct PassResult {
  std::vector<PlannedStart> starts;
  /// Borrowed placements that have to make way.
  std::vector<JobId> victims;
  std::vector<PlannedWait> waits;
  /// Some unused guarantee cannot be packed even if every borrower left, as
  /// when workers are lost.
  bool guarantees_at_risk = false;
};

/// Chooses starts and victims. Whatever the policies say, it keeps: every
/// unused guarantee can be packed into free and reclaimable accelerators
/// (unless lost workers broke that before), and an entitled job that does not
/// fit gets borrowed accelerators back.
///
/// Thread safety: none; use one object for one pass.
class PlanningPass {
 public:
  explicit PlanningPass(PassInput input);

  /// Precondition: called once.
  PassResult Run();

 private:
  /// A placement that needs borrowers to leave.
  struct Reclaim {
    Placement placement;
    /// Indexes into `input_.held`.
    std::vector<std::size_t> victims;
  };
  /// A placement chosen in this pass that can be reclaimed later.
  struct BorrowedStart {
    const JobRow* job;
    Placement placement;
  };

  /// A shape that did not fit for a borrower in this pass.
  using Misfit =
      std::tuple<const PlacementPolicy*, int, int, int, std::int64_t, bool>;

  Misfit MisfitOf(const QueuedJob& job, const PlacementPolicy& policy) const;
  bool IsKnownMisfit(const QueuedJob& job, const PlacementPolicy& policy) const;
  void NoteMisfit(const QueuedJob& job, const PlacementPolicy& policy);
  void ClassifyHeld();
  void SortQueue();
  void Decide(const QueuedJob& job);
  bool TryStart(const QueuedJob& job, const PlacementPolicy& policy);
  bool TryFree(const QueuedJob& job, const PlacementPolicy& policy,
               HallView* view);
  bool TryReclaim(const QueuedJob& job, const PlacementPolicy& policy);
  bool FitByVictims(const QueuedJob& job, const PlacementPolicy& policy,
                    Reclaim* reclaim) const;
  void SpareVictims(const QueuedJob& job, const PlacementPolicy& policy,
                    Reclaim* reclaim) const;
  bool FitByPacking(const QueuedJob& job, Reclaim* reclaim) const;
  bool ReclaimHolds(const QueuedJob& job, const Reclaim& reclaim) const;
  GuaranteeBook BookAfter(const QueuedJob& job) const;
  void TryReserve(const QueuedJob& job, const PlacementPolicy& policy);
  /// True when `book` can be packed into `view` after every borrower but
  /// `kept` has left.
  bool GuaranteesHold(const HallView& view, const GuaranteeBook& book,
                      const std::vector<std::size_t>& kept) const;
  void Wait(const QueuedJob& job, std::string reason, bool reclaiming);
  std::string WhyNot(const QueuedJob& job) const;

  PassInput input_;
  PassResult result_;
  /// Indexes into `input_.held` of placements that can be reclaimed.
  std::vector<std::size_t> borrowed_;
  std::vector<BorrowedStart> borrowed_starts_;
  /// Room without the reservation taken out, for jobs that may use it.
  std::optional<HallView> unreserved_;
  Overtaking overtaking_;
  std::map<const PlacementPolicy*, bool> blocked_;
  std::set<Misfit> misfits_;
  std::string last_misfit_reason_;
  bool at_risk_ = false;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_PLANNING_PASS_H_
