/// @file
/// Division and health of runner slots.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/slot_table.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "limeledge/rendezvous.h"

namespace limeledge {

namespace {

/// Failures in a row after which a runner is avoided.
constexpr int kAvoidAfter = 2;
constexpr Duration kFirstAvoid{500};
constexpr int kMostDoublings = 5;
/// Weight of the newest service time in the mean.
constexpr double kNewest = 0.1;

}  // namespace

void SlotTable::Update(TimePoint now, const InstanceId& self,
                       const std::vector<InstanceId>& members,
                       const std::map<RunnerId, RunnerInfo>& runners,
                       Duration rest) {
  for (auto it = runners_.begin(); it != runners_.end();) {
    const bool gone = runners.count(it->first) == 0 && it->second.in_use == 0;
    if (runners.count(it->first) == 0) it->second.info.leaving = true;
    it = gone ? runners_.erase(it) : std::next(it);
  }
  for (const auto& [id, info] : runners) {
    const bool first = runners_.count(id) == 0;
    RunnerState& state = runners_[id];
    state.info = info;
    const int owned = CountOwned(info, self, members);
    // Alone, nobody else can have owned it.
    const bool shared = members.size() > 1 || !first;
    if (owned > state.owned && shared) {
      const int still = now < state.rest_until ? state.resting : 0;
      state.resting = still + owned - state.owned;
      state.rest_until = now + rest;
    }
    state.owned = owned;
    state.resting = std::min(state.resting, owned);
  }
}

std::optional<RunnerId> SlotTable::Pick(TimePoint now,
                                        const std::set<RunnerId>& tried) const {
  const RunnerState* best = nullptr;
  for (const auto& [id, state] : runners_) {
    if (!MayUse(now, state) || tried.count(id) != 0) continue;
    const bool better =
        best == nullptr || state.free(now) > best->free(now) ||
        (state.free(now) == best->free(now) && state.mean_ms < best->mean_ms);
    if (better) best = &state;
  }
  if (best == nullptr) return std::nullopt;
  return best->info.id;
}

void SlotTable::OnSent(const RunnerId& runner) { ++runners_[runner].in_use; }

bool SlotTable::OnReply(TimePoint now, const RunnerId& runner,
                        RunnerOutcome outcome, Duration took) {
  const auto it = runners_.find(runner);
  if (it == runners_.end()) return false;
  RunnerState& state = it->second;
  state.in_use = std::max(0, state.in_use - 1);
  if (outcome == RunnerOutcome::kAnswered) {
    state.failures_in_a_row = 0;
    const double ms = static_cast<double>(took.ms());
    state.mean_ms = state.mean_ms == 0
                        ? ms
                        : state.mean_ms + kNewest * (ms - state.mean_ms);
    return false;
  }
  ++state.failures_in_a_row;
  if (state.failures_in_a_row < kAvoidAfter) return false;
  const int doublings =
      std::min(state.failures_in_a_row - kAvoidAfter, kMostDoublings);
  state.avoid_until = now + kFirstAvoid * (std::int64_t{1} << doublings);
  return state.failures_in_a_row == kAvoidAfter;
}

void SlotTable::MarkLeaving(const RunnerId& runner) {
  const auto it = runners_.find(runner);
  if (it != runners_.end()) it->second.heard_leaving = true;
}

int SlotTable::LiveRunners() const {
  int live = 0;
  for (const auto& [id, state] : runners_) {
    if (!state.info.leaving && !state.heard_leaving) ++live;
  }
  return live;
}

int SlotTable::FreeSlots(TimePoint now) const {
  int free = 0;
  for (const auto& [id, state] : runners_) {
    if (MayUse(now, state)) free += state.free(now);
  }
  return free;
}

int SlotTable::OwnedSlots() const {
  int owned = 0;
  for (const auto& [id, state] : runners_) {
    if (!state.info.leaving && !state.heard_leaving) owned += state.owned;
  }
  return owned;
}

double SlotTable::MeanServiceMs() const {
  double sum = 0;
  int count = 0;
  for (const auto& [id, state] : runners_) {
    if (state.mean_ms <= 0) continue;
    sum += state.mean_ms;
    ++count;
  }
  return count == 0 ? 0 : sum / count;
}

std::vector<RunnerId> SlotTable::Leaving() const {
  std::vector<RunnerId> leaving;
  for (const auto& [id, state] : runners_) {
    if (state.info.leaving || state.heard_leaving) leaving.push_back(id);
  }
  return leaving;
}

int SlotTable::CountOwned(const RunnerInfo& runner, const InstanceId& self,
                          const std::vector<InstanceId>& members) const {
  const int slots = std::min(runner.slots, runner.connections);
  if (division_ == SlotDivision::kByRunner) {
    const InstanceId owner =
        RendezvousOwner(absl::StrCat("runner/", runner.id.value()), members);
    return owner == self ? slots : 0;
  }
  int owned = 0;
  for (int slot = 0; slot < slots; ++slot) {
    const std::string key =
        absl::StrCat("runner/", runner.id.value(), "/", slot);
    if (RendezvousOwner(key, members) == self) ++owned;
  }
  return owned;
}

bool SlotTable::MayUse(TimePoint now, const RunnerState& runner) {
  if (runner.info.leaving || runner.heard_leaving) return false;
  if (runner.free(now) <= 0 || now < runner.avoid_until) return false;
  const bool probing = runner.failures_in_a_row >= kAvoidAfter;
  return !probing || runner.in_use == 0;
}

}  // namespace limeledge
