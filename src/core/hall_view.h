/// @file
/// Free and taken accelerators of one hall, as a planning pass sees them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_HALL_VIEW_H_
#define LIMELEDGE_SRC_CORE_HALL_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/job.h"
#include "core/target.h"
#include "limeledge/base.h"

namespace limeledge {

/// What one member of a gang needs on one worker.
struct MemberShape {
  int accelerators = 0;
  int cores = 0;
  std::int64_t memory_mb = 0;
};

/// The shape of a whole gang.
struct GangShape {
  int members = 1;
  MemberShape member;
};

GangShape ShapeOf(const JobSpec& spec);

/// Number of accelerators in a mask.
int CountBits(std::uint64_t mask);

/// A mask with the lowest `count` bits set. Precondition: 0 <= count <= 64.
std::uint64_t LowBits(int count);

/// Smallest power of two that is not less than `accelerators`.
int CellSize(int accelerators);

/// One worker in a pass.
struct WorkerRoom {
  WorkerId id;
  RackId rack;
  int accelerators = 0;
  /// Accelerators that nothing holds.
  std::uint64_t free = 0;
  int free_cores = 0;
  std::int64_t free_memory_mb = 0;
  /// False for leaving, quarantined and unreachable workers: nothing new.
  bool usable = true;

  int free_count() const { return CountBits(free); }
  /// How many members of this shape fit.
  int Fits(const MemberShape& shape) const;
};

/// How accelerators are chosen inside a worker.
enum class MaskChoice {
  /// The lowest free ones.
  kFirstFree,
  /// The smallest free aligned block, so that large blocks stay whole.
  kAlignedCell,
};

/// The workers of a hall in rack order. A plain value: passes copy it to try
/// placements out. Thread safety: none.
class HallView {
 public:
  HallView() = default;
  explicit HallView(std::vector<WorkerRoom> workers);

  const std::vector<WorkerRoom>& workers() const { return workers_; }
  const WorkerRoom* Find(const WorkerId& id) const;

  /// Takes or gives back what a placement uses. Members on workers that are
  /// not here any more are passed over.
  void Take(const JobSpec& spec, const Placement& placement);
  void GiveBack(const JobSpec& spec, const Placement& placement);

  /// Makes a worker unusable for what follows.
  void Exclude(const WorkerId& id);
  /// Makes every worker usable that is in `other`.
  void RestoreUsable(const HallView& other);

  /// Takes one member's resources from the worker at `index` and returns it.
  /// Precondition: the worker fits the shape.
  Member TakeMember(std::size_t index, const MemberShape& shape,
                    MaskChoice choice);

  /// Free accelerators of usable workers.
  int FreeAccelerators() const;
  int UsableAccelerators() const;

  /// True when a gang of this shape fits into what is free.
  bool CanHold(const GangShape& shape) const;

 private:
  void Change(const JobSpec& spec, const Placement& placement, bool take);

  std::vector<WorkerRoom> workers_;
  std::map<WorkerId, std::size_t> index_;
};

/// How workers are chosen for a gang.
enum class GangFit {
  /// In order, wherever a member fits.
  kFirst,
  /// One rack where possible, and the fullest workers that still fit.
  kBest,
};

/// Places a whole gang into free room, or returns nothing and takes nothing.
std::optional<Placement> PlaceGang(HallView* view, const GangShape& shape,
                                   GangFit fit);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_HALL_VIEW_H_
