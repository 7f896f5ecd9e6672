/// @file
/// Packs guarantees into the declared workers of halls.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "settings/guarantee_check.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

/// A guarantee and its workspace.
struct WorkspaceGuarantee {
  WorkspaceId workspace;
  const Guarantee* guarantee;
};

/// Returns the size of the smallest cell with at least `accelerators`
/// accelerators. Cell sizes are powers of two.
int CellSize(int accelerators) {
  int size = 1;
  while (size < accelerators) size *= 2;
  return size;
}

/// Tracks the free accelerators of a hall's workers while guarantees are packed
/// into them. Guarantees must be added largest first, because cells are nested.
class HallPacker {
 public:
  explicit HallPacker(const HallSettings& hall)
      : hall_(hall),
        free_(static_cast<std::size_t>(hall.racks) *
                  static_cast<std::size_t>(hall.workers_per_rack),
              hall.accelerators_per_worker) {}

  /// Packs all members of the guarantee, into one rack if possible. Returns
  /// false and packs nothing if they do not fit.
  bool Add(const Guarantee& guarantee) {
    const int cell = std::min(
        CellSize(guarantee.accelerators),
        std::max(guarantee.accelerators, hall_.accelerators_per_worker));
    for (int rack = 0; rack < hall_.racks; ++rack) {
      const std::size_t first =
          static_cast<std::size_t>(rack) *
          static_cast<std::size_t>(hall_.workers_per_rack);
      const std::size_t last =
          first + static_cast<std::size_t>(hall_.workers_per_rack);
      if (AllocateFrom(first, last, guarantee.members, cell)) return true;
    }
    return AllocateFrom(0, free_.size(), guarantee.members, cell);
  }

 private:
  /// Allocates one cell per member on the workers [first, last). Returns false
  /// and allocates nothing if they do not fit.
  bool AllocateFrom(std::size_t first, std::size_t last, int members,
                    int cell) {
    std::vector<int> remaining = free_;
    int unplaced = members;
    for (std::size_t i = first; i < last && unplaced > 0; ++i) {
      const int placed = std::min(unplaced, remaining[i] / cell);
      remaining[i] -= placed * cell;
      unplaced -= placed;
    }
    if (unplaced > 0) return false;
    free_ = std::move(remaining);
    return true;
  }

  HallSettings hall_;
  /// Free accelerators of each worker, rack by rack.
  std::vector<int> free_;
};

/// Returns the guarantees of all workspaces in a hall, largest members first.
std::vector<WorkspaceGuarantee> GuaranteesOf(const Settings& settings,
                                             const HallId& hall) {
  std::vector<WorkspaceGuarantee> in_hall;
  for (const auto& [id, workspace] : settings.workspaces) {
    for (const Guarantee& guarantee : workspace.guarantees) {
      if (guarantee.hall == hall) in_hall.push_back({id, &guarantee});
    }
  }
  std::stable_sort(
      in_hall.begin(), in_hall.end(),
      [](const WorkspaceGuarantee& a, const WorkspaceGuarantee& b) {
        return a.guarantee->accelerators > b.guarantee->accelerators;
      });
  return in_hall;
}

}  // namespace

void CheckGuarantees(const Settings& settings, const YamlLocations& locations,
                     Findings* findings) {
  for (const auto& [id, hall] : settings.halls) {
    HallPacker packer(hall);
    for (const WorkspaceGuarantee& item : GuaranteesOf(settings, id)) {
      if (packer.Add(*item.guarantee)) continue;
      locations.Add(
          absl::StrCat("workspaces/", item.workspace.value(), "/guarantees/",
                       item.guarantee->name),
          absl::StrCat(item.guarantee->members, " x ",
                       item.guarantee->accelerators,
                       " accelerators do not fit into hall ", id.value(),
                       " together with the other guarantees (the hall has ",
                       hall.accelerators(), " in total)"),
          findings);
    }
  }
}

}  // namespace limeledge
