/// @file
/// Room bookkeeping and gang fitting.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/hall_view.h"

#include <algorithm>
#include <bitset>
#include <limits>
#include <utility>

namespace limeledge {

namespace {

constexpr int kMaskBits = 64;

std::uint64_t FirstFreeMask(std::uint64_t free, int count) {
  std::uint64_t mask = 0;
  for (int bit = 0; bit < kMaskBits && count > 0; ++bit) {
    const std::uint64_t one = std::uint64_t{1} << bit;
    if ((free & one) == 0) continue;
    mask |= one;
    --count;
  }
  return mask;
}

/// Free accelerators in the aligned block of `size` that starts at `first`.
std::uint64_t Block(int first, int size) { return LowBits(size) << first; }

/// Looks for the aligned block of the member's cell size whose enclosing
/// blocks are already the most broken up.
std::uint64_t AlignedMask(const WorkerRoom& room, int count) {
  const int cell = CellSize(count);
  std::uint64_t best = 0;
  int best_buddy_free = std::numeric_limits<int>::max();
  for (int first = 0; first + cell <= room.accelerators; first += cell) {
    const std::uint64_t block = Block(first, cell);
    if ((room.free & block) != block) continue;
    // A parent block with fewer free accelerators loses less.
    int buddy_free = 0;
    for (int size = cell * 2; size <= room.accelerators; size *= 2) {
      const std::uint64_t parent = Block(first / size * size, size);
      buddy_free += CountBits(room.free & parent);
    }
    if (buddy_free >= best_buddy_free) continue;
    best_buddy_free = buddy_free;
    best = FirstFreeMask(block, count);
  }
  return best != 0 ? best : FirstFreeMask(room.free, count);
}

/// A range of workers in one rack.
struct RackRange {
  std::size_t first;
  std::size_t last;
};

std::vector<RackRange> Racks(const HallView& view) {
  std::vector<RackRange> racks;
  const std::vector<WorkerRoom>& workers = view.workers();
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (racks.empty() || workers[i].rack != workers[racks.back().first].rack) {
      racks.push_back({i, i});
    }
    racks.back().last = i + 1;
  }
  return racks;
}

int FitsIn(const HallView& view, const RackRange& range,
           const MemberShape& shape) {
  int fits = 0;
  for (std::size_t i = range.first; i < range.last; ++i) {
    fits += view.workers()[i].Fits(shape);
  }
  return fits;
}

int FreeIn(const HallView& view, const RackRange& range) {
  int free = 0;
  for (std::size_t i = range.first; i < range.last; ++i) {
    const WorkerRoom& room = view.workers()[i];
    if (room.usable) free += room.free_count();
  }
  return free;
}

/// Worker indexes of a range, those with the least free room first.
std::vector<std::size_t> FullestFirst(const HallView& view,
                                      const RackRange& range) {
  std::vector<std::size_t> order;
  for (std::size_t i = range.first; i < range.last; ++i) order.push_back(i);
  std::stable_sort(
      order.begin(), order.end(), [&view](std::size_t a, std::size_t b) {
        return view.workers()[a].free_count() < view.workers()[b].free_count();
      });
  return order;
}

Placement TakeInOrder(HallView* view, const std::vector<std::size_t>& order,
                      const GangShape& shape, MaskChoice choice) {
  Placement placement;
  int left = shape.members;
  for (const std::size_t index : order) {
    int fits = std::min(left, view->workers()[index].Fits(shape.member));
    for (; fits > 0; --fits, --left) {
      placement.members.push_back(
          view->TakeMember(index, shape.member, choice));
    }
    if (left == 0) break;
  }
  return placement;
}

std::optional<Placement> PlaceFirst(HallView* view, const GangShape& shape) {
  std::vector<std::size_t> order(view->workers().size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  return TakeInOrder(view, order, shape, MaskChoice::kFirstFree);
}

std::optional<Placement> PlaceBest(HallView* view, const GangShape& shape) {
  std::optional<RackRange> best;
  int best_free = 0;
  std::vector<RackRange> racks = Racks(*view);
  for (const RackRange& range : racks) {
    if (FitsIn(*view, range, shape.member) < shape.members) continue;
    const int free = FreeIn(*view, range);
    if (best.has_value() && free >= best_free) continue;
    best = range;
    best_free = free;
  }
  if (best.has_value()) {
    return TakeInOrder(view, FullestFirst(*view, *best), shape,
                       MaskChoice::kAlignedCell);
  }
  // No rack holds the gang: use as few racks as possible.
  std::stable_sort(
      racks.begin(), racks.end(), [&](const RackRange& a, const RackRange& b) {
        return FitsIn(*view, a, shape.member) > FitsIn(*view, b, shape.member);
      });
  std::vector<std::size_t> order;
  for (const RackRange& range : racks) {
    const std::vector<std::size_t> in_rack = FullestFirst(*view, range);
    order.insert(order.end(), in_rack.begin(), in_rack.end());
  }
  return TakeInOrder(view, order, shape, MaskChoice::kAlignedCell);
}

}  // namespace

GangShape ShapeOf(const JobSpec& spec) {
  return {spec.members, {spec.accelerators, spec.cores, spec.memory_mb}};
}

int CountBits(std::uint64_t mask) {
  return static_cast<int>(std::bitset<kMaskBits>(mask).count());
}

std::uint64_t LowBits(int count) {
  if (count >= kMaskBits) return ~std::uint64_t{0};
  return (std::uint64_t{1} << count) - 1;
}

int CellSize(int accelerators) {
  int size = 1;
  while (size < accelerators) size *= 2;
  return size;
}

int WorkerRoom::Fits(const MemberShape& shape) const {
  if (!usable) return 0;
  int fits = std::numeric_limits<int>::max();
  if (shape.accelerators > 0) fits = free_count() / shape.accelerators;
  if (shape.cores > 0) fits = std::min(fits, free_cores / shape.cores);
  if (shape.memory_mb > 0) {
    const std::int64_t by_memory = free_memory_mb / shape.memory_mb;
    fits = static_cast<int>(std::min<std::int64_t>(fits, by_memory));
  }
  return std::max(0, fits);
}

HallView::HallView(std::vector<WorkerRoom> workers)
    : workers_(std::move(workers)) {
  std::sort(workers_.begin(), workers_.end(),
            [](const WorkerRoom& a, const WorkerRoom& b) {
              if (a.rack != b.rack) return a.rack < b.rack;
              return a.id < b.id;
            });
  for (std::size_t i = 0; i < workers_.size(); ++i) index_[workers_[i].id] = i;
}

const WorkerRoom* HallView::Find(const WorkerId& id) const {
  const auto it = index_.find(id);
  return it == index_.end() ? nullptr : &workers_[it->second];
}

void HallView::Take(const JobSpec& spec, const Placement& placement) {
  Change(spec, placement, true);
}

void HallView::GiveBack(const JobSpec& spec, const Placement& placement) {
  Change(spec, placement, false);
}

void HallView::Exclude(const WorkerId& id) {
  const auto it = index_.find(id);
  if (it != index_.end()) workers_[it->second].usable = false;
}

void HallView::RestoreUsable(const HallView& other) {
  for (WorkerRoom& room : workers_) {
    const WorkerRoom* original = other.Find(room.id);
    if (original != nullptr) room.usable = original->usable;
  }
}

Member HallView::TakeMember(std::size_t index, const MemberShape& shape,
                            MaskChoice choice) {
  WorkerRoom& room = workers_[index];
  const std::uint64_t mask = choice == MaskChoice::kAlignedCell
                                 ? AlignedMask(room, shape.accelerators)
                                 : FirstFreeMask(room.free, shape.accelerators);
  room.free &= ~mask;
  room.free_cores -= shape.cores;
  room.free_memory_mb -= shape.memory_mb;
  return {room.id, mask};
}

int HallView::FreeAccelerators() const {
  int free = 0;
  for (const WorkerRoom& room : workers_) {
    if (room.usable) free += room.free_count();
  }
  return free;
}

int HallView::UsableAccelerators() const {
  int all = 0;
  for (const WorkerRoom& room : workers_) {
    if (room.usable) all += room.accelerators;
  }
  return all;
}

bool HallView::CanHold(const GangShape& shape) const {
  int left = shape.members;
  for (const WorkerRoom& room : workers_) {
    left -= std::min(left, room.Fits(shape.member));
    if (left == 0) return true;
  }
  return false;
}

void HallView::Change(const JobSpec& spec, const Placement& placement,
                      bool take) {
  for (const Member& member : placement.members) {
    const auto it = index_.find(member.worker);
    if (it == index_.end()) continue;
    WorkerRoom& room = workers_[it->second];
    const int sign = take ? -1 : 1;
    if (take) {
      room.free &= ~member.accelerators;
    } else {
      room.free |= member.accelerators & LowBits(room.accelerators);
    }
    room.free_cores += sign * spec.cores;
    room.free_memory_mb += sign * spec.memory_mb;
  }
}

std::optional<Placement> PlaceGang(HallView* view, const GangShape& shape,
                                   GangFit fit) {
  if (!view->CanHold(shape)) return std::nullopt;
  return fit == GangFit::kBest ? PlaceBest(view, shape)
                               : PlaceFirst(view, shape);
}

}  // namespace limeledge
