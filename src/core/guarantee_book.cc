/// @file
/// Packs jobs into virtual cells, and virtual cells into workers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/guarantee_book.h"

#include <algorithm>
#include <functional>

namespace limeledge {

namespace {

/// Index of the smallest cell that holds `size`, or the number of cells.
std::size_t TightestCell(const std::vector<int>& cells, int size) {
  std::size_t best = cells.size();
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (cells[i] < size) continue;
    if (best == cells.size() || cells[i] < cells[best]) best = i;
  }
  return best;
}

/// Takes every member from `cells`; false when one does not fit.
bool TakeMembers(std::vector<int>* cells, const GangShape& shape) {
  for (int i = 0; i < shape.members; ++i) {
    const std::size_t cell = TightestCell(*cells, shape.member.accelerators);
    if (cell == cells->size()) return false;
    (*cells)[cell] -= shape.member.accelerators;
  }
  return true;
}

}  // namespace

GuaranteeBook::GuaranteeBook(const Settings& settings, const HallId& hall) {
  for (const auto& [id, workspace] : settings.workspaces) {
    for (const Guarantee& guarantee : workspace.guarantees) {
      if (guarantee.hall != hall) continue;
      std::vector<int>& cells = cells_[id];
      cells.insert(cells.end(), static_cast<std::size_t>(guarantee.members),
                   guarantee.accelerators);
    }
  }
}

bool GuaranteeBook::Fits(const WorkspaceId& workspace,
                         const GangShape& shape) const {
  const auto it = cells_.find(workspace);
  if (it == cells_.end()) return false;
  std::vector<int> cells = it->second;
  return TakeMembers(&cells, shape);
}

bool GuaranteeBook::Use(const WorkspaceId& workspace, const GangShape& shape) {
  const auto it = cells_.find(workspace);
  if (it == cells_.end()) return false;
  std::vector<int> cells = it->second;
  if (!TakeMembers(&cells, shape)) return false;
  it->second = std::move(cells);
  return true;
}

std::vector<int> GuaranteeBook::UnusedCells() const {
  std::vector<int> unused;
  for (const auto& [id, cells] : cells_) {
    for (const int size : cells) {
      if (size > 0) unused.push_back(size);
    }
  }
  std::sort(unused.begin(), unused.end(), std::greater<>());
  return unused;
}

int GuaranteeBook::Unused(const WorkspaceId& workspace) const {
  const auto it = cells_.find(workspace);
  if (it == cells_.end()) return 0;
  int sum = 0;
  for (const int size : it->second) sum += size;
  return sum;
}

bool PackCells(const std::vector<int>& cells, std::vector<int>* free) {
  std::size_t first = 0;
  int last_size = 0;
  for (const int size : cells) {
    if (size != last_size) first = 0;
    last_size = size;
    while (first < free->size() && (*free)[first] < size) ++first;
    if (first == free->size()) return false;
    (*free)[first] -= size;
  }
  return true;
}

}  // namespace limeledge
