/// @file
/// Guaranteed shapes of one hall in virtual form.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_GUARANTEE_BOOK_H_
#define LIMELEDGE_SRC_CORE_GUARANTEE_BOOK_H_

#include <map>
#include <vector>

#include "core/hall_view.h"
#include "limeledge/base.h"
#include "settings/settings.h"

namespace limeledge {

/// Virtual cells: every member of every guarantee is a cell that stands for
/// that many accelerators on some worker, not yet on a particular one. A job
/// that fits into its workspace's unused cells is entitled to run; every other
/// job borrows.
///
/// Thread safety: none; a plain value.
class GuaranteeBook {
 public:
  /// Takes the guarantees that `settings` give in `hall`.
  GuaranteeBook(const Settings& settings, const HallId& hall);

  /// True when the shape fits into the workspace's unused cells.
  bool Fits(const WorkspaceId& workspace, const GangShape& shape) const;
  /// Uses cells for the shape; returns false and uses none if it does not fit.
  bool Use(const WorkspaceId& workspace, const GangShape& shape);

  /// Sizes of all unused cells, largest first.
  std::vector<int> UnusedCells() const;
  /// Unused accelerators of one workspace.
  int Unused(const WorkspaceId& workspace) const;
  bool empty() const { return cells_.empty(); }

 private:
  /// Free accelerators of each cell.
  std::map<WorkspaceId, std::vector<int>> cells_;
};

/// Takes cells of these sizes, largest first, out of workers with that many
/// free accelerators; false when they do not all fit. Exact for sizes that
/// divide each other.
bool PackCells(const std::vector<int>& cells, std::vector<int>* free);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_GUARANTEE_BOOK_H_
