/// @file
/// The selection of urgent steps by deadline.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/on_time_selection.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

#include "dispatch/workspace_shares.h"

namespace limeledge::dispatch {

namespace {

// Bounds the time of a planning pass under a backlog: the selection takes time
// proportional to the square of the number of steps.
constexpr std::size_t kMaxSteps = 64;
// Large steps would always be the ones deferred otherwise.
constexpr int kSparingInterval = 3;

struct EndsLater {
  bool operator()(const RoomRelease& a, const RoomRelease& b) const {
    return b.at < a.at;
  }
};

using Releases =
    std::priority_queue<RoomRelease, std::vector<RoomRelease>, EndsLater>;

/// Starts the steps one after the other, each as soon as it fits, and returns
/// the index of the first one that starts too late or never; nothing if all are
/// in time.
std::optional<std::size_t> FindFirstMiss(
    TimePoint now, const ServiceRoom& room,
    const std::vector<const UrgentStep*>& steps) {
  Releases releases(EndsLater(), room.releases);
  Resources free = room.free;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const UrgentStep& step = *steps[i];
    // What goes first is placed whether or not it fits, and takes its room.
    if (step.goes_first) {
      free -= step.need;
      releases.push({now + step.time, step.need});
      continue;
    }
    while (!step.need.Fits(free)) {
      if (releases.empty()) return i;
      now = std::max(now, releases.top().at);
      free += releases.top().room;
      releases.pop();
    }
    if (now > step.latest_start) return i;
    free -= step.need;
    releases.push({now + step.time, step.need});
  }
  return std::nullopt;
}

double AreaOf(const UrgentStep& step, const ServiceRoom& room) {
  return DominantFraction(step.need, room.all) *
         static_cast<double>(step.time.ms());
}

}  // namespace

const char* ToString(DeferReason reason) {
  switch (reason) {
    case DeferReason::kLargest:
      return "not all can be in time, and it takes the most for the longest";
    case DeferReason::kLargestSpared:
      return "not all can be in time, and every third is not the largest";
  }
  return "";
}

Duration OnTimeSelection::DeferredFor(const StepName& step,
                                      TimePoint now) const {
  const auto found = deferred_since_.find(step);
  return found == deferred_since_.end() ? Duration(0) : now - found->second;
}

void OnTimeSelection::ForgetOthers(const std::vector<UrgentStep>& steps) {
  if (deferred_since_.empty() && spared_.empty()) return;
  std::set<StepName> waiting;
  for (const UrgentStep& step : steps) waiting.insert(step.name);
  for (auto it = deferred_since_.begin(); it != deferred_since_.end();) {
    it = waiting.count(it->first) != 0 ? std::next(it)
                                       : deferred_since_.erase(it);
  }
  for (auto it = spared_.begin(); it != spared_.end();) {
    it = waiting.count(*it) != 0 ? std::next(it) : spared_.erase(it);
  }
}

std::vector<Deferral> OnTimeSelection::Select(
    TimePoint now, const std::vector<UrgentStep>& steps,
    const std::map<ServiceId, ServiceRoom>& rooms) {
  ForgetOthers(steps);
  deferred_.clear();
  std::vector<Deferral> deferrals;
  std::map<ServiceId, std::vector<const UrgentStep*>> by_service;
  for (const UrgentStep& step : steps) {
    if (!step.goes_first && now > step.latest_start) continue;
    by_service[step.service].push_back(&step);
  }
  for (auto& [service, in_service] : by_service) {
    const auto room = rooms.find(service);
    if (room == rooms.end()) continue;
    std::sort(in_service.begin(), in_service.end(),
              [](const UrgentStep* a, const UrgentStep* b) {
                return std::tuple(!a->goes_first, a->deadline, a->name) <
                       std::tuple(!b->goes_first, b->deadline, b->name);
              });
    if (in_service.size() > kMaxSteps) in_service.resize(kMaxSteps);
    SelectIn(now, room->second, std::move(in_service), &deferrals);
  }
  return deferrals;
}

void OnTimeSelection::SelectIn(TimePoint now, const ServiceRoom& room,
                               std::vector<const UrgentStep*> steps,
                               std::vector<Deferral>* deferrals) {
  while (const std::optional<std::size_t> miss =
             FindFirstMiss(now, room, steps)) {
    const std::size_t index =
        ChooseDeferred(now, room, steps, *miss + 1, deferrals);
    deferred_.insert(steps[index]->name);
    steps.erase(steps.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

std::size_t OnTimeSelection::ChooseDeferred(
    TimePoint now, const ServiceRoom& room,
    const std::vector<const UrgentStep*>& steps, std::size_t count,
    std::vector<Deferral>* deferrals) {
  std::vector<std::pair<double, std::size_t>> largest_first;
  for (std::size_t i = 0; i < count; ++i) {
    const UrgentStep& step = *steps[i];
    if (step.goes_first || spared_.count(step.name) != 0) continue;
    largest_first.emplace_back(-AreaOf(step, room), i);
  }
  // Only spared steps are left: the one that misses is deferred nevertheless.
  if (largest_first.empty()) largest_first.emplace_back(0, count - 1);
  std::sort(largest_first.begin(), largest_first.end());
  std::size_t index = largest_first.front().second;
  if (deferred_since_.count(steps[index]->name) != 0) return index;
  ++deferrals_;
  DeferReason reason = DeferReason::kLargest;
  if (deferrals_ % kSparingInterval == 0 && largest_first.size() > 1) {
    spared_.insert(steps[index]->name);
    index = largest_first[1].second;
    reason = DeferReason::kLargestSpared;
  }
  if (deferred_since_.emplace(steps[index]->name, now).second) {
    deferrals->push_back({steps[index]->name, reason});
  }
  return index;
}

}  // namespace limeledge::dispatch
