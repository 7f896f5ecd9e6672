/// @file
/// Forecast of waits by aggregates, and the summary of capacity.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/capacity_forecast.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace limeledge::dispatch {

namespace {

/// True if any amount in `now` is smaller than in `before`.
bool HasLess(const Resources& now, const Resources& before) {
  return !before.Fits(now);
}

}  // namespace

std::array<std::int64_t, kResourceKinds> AmountsOf(const Resources& resources) {
  return {resources.cpu_millis, resources.memory_mb, resources.accelerators};
}

Resources Largest(const Resources& a, const Resources& b) {
  return {std::max(a.cpu_millis, b.cpu_millis),
          std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}

void CapacitySnapshot::AddRunner(const ServiceId& service,
                                 const Resources& room,
                                 const std::set<std::string>& labels,
                                 const UsedByPriority& used) {
  Service& totals = services_[service];
  totals.largest = Largest(totals.largest, room);
  totals.sum += room;
  totals.labels.insert(labels.begin(), labels.end());
  totals.runners.emplace_back(room, used);
}

void CapacitySnapshot::AddWork(const ServiceId& service, int priority,
                               const Resources& need, int tasks, Duration left,
                               double deviation) {
  Work& work = services_[service].work[priority];
  const auto amounts = AmountsOf(need);
  const auto ms = static_cast<double>(std::max<std::int64_t>(0, left.ms()));
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    const double area = static_cast<double>(amounts[i]) * ms;
    const double error = area * std::expm1(deviation);
    work.area[i] += area * tasks;
    work.variance[i] += error * error * tasks;
  }
}

CapacitySnapshot::Free CapacitySnapshot::Service::FreeFor(int priority) const {
  Free free;
  for (const auto& [room, used] : runners) {
    Resources left = room;
    for (const auto& [used_by, resources] : used) {
      if (used_by <= priority) left -= resources;
    }
    // A runner whose capacity shrank below what its runs take has none free.
    left = Largest(left, Resources());
    free.sum += left;
    free.largest = Largest(free.largest, left);
  }
  return free;
}

bool CapacityForecast::Observe(TimePoint now, const ServiceId& id,
                               const CapacitySnapshot::Service& service) {
  const auto [found, is_new] = known_.try_emplace(id);
  Known& known = found->second;
  const bool lost_label = std::any_of(known.labels.begin(), known.labels.end(),
                                      [&](const std::string& label) {
                                        return service.labels.count(label) == 0;
                                      });
  const bool shrank = HasLess(service.sum, known.sum) ||
                      HasLess(service.largest, known.largest) || lost_label;
  if (is_new || shrank) known.stable_since = now;
  known.sum = service.sum;
  known.largest = service.largest;
  if (is_new || lost_label || service.labels.size() != known.labels.size()) {
    known.labels.clear();
    for (const std::string_view label : service.labels) {
      known.labels.emplace(label);
    }
  }
  return now - known.stable_since >= options_.stable_time;
}

ServiceCapacity CapacityForecast::Describe(const Known& known,
                                           std::size_t* label_bytes) {
  ServiceCapacity capacity;
  capacity.largest = known.largest;
  capacity.sum = known.sum;
  std::size_t bytes = 0;
  // Quotes and a comma around each label.
  constexpr std::size_t kSeparators = 3;
  for (const std::string& label : known.labels) {
    bytes += label.size() + kSeparators;
  }
  capacity.has_all_labels = bytes <= *label_bytes;
  // Nothing can be decided with a part of the labels.
  if (!capacity.has_all_labels) return capacity;
  capacity.labels = known.labels;
  *label_bytes -= bytes;
  return capacity;
}

QueueWait CapacityForecast::WaitOf(
    const QueueInput& queue, const CapacitySnapshot::Service& service) const {
  QueueWait wait;
  wait.estimate_factor = queue.estimate_factor;
  const auto capacity = AmountsOf(service.sum);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (capacity[i] <= 0) continue;
    double area = 0;
    double variance = 0;
    for (const auto& [priority, work] : service.work) {
      if (priority > queue.policy.priority) break;
      area += work.area[i];
      variance += work.variance[i];
    }
    const double common = area * std::expm1(options_.common_deviation);
    const double deviation = std::sqrt(variance + common * common);
    const auto amount = static_cast<double>(capacity[i]);
    const double earliest =
        std::max(0.0, area - options_.deviations * deviation) / amount;
    wait.expected[i] = Duration(std::llround(area / amount));
    wait.earliest[i] = Duration(std::llround(std::floor(earliest)));
  }
  return wait;
}

void CapacityForecast::SetFree(TimePoint now, const QueueInput& queue,
                               const CapacitySnapshot::Service& service,
                               QueueWait* wait) {
  std::deque<FreeSample>& samples = free_[queue.id];
  const CapacitySnapshot::Free free = service.FreeFor(queue.policy.priority);
  samples.push_back({now, free.sum, free.largest});
  while (now - samples.front().at > options_.stable_time) samples.pop_front();
  for (const FreeSample& sample : samples) {
    wait->free = Largest(wait->free, sample.sum);
    wait->largest_free = Largest(wait->largest_free, sample.largest);
  }
}

void CapacityForecast::Update(TimePoint now, const CapacitySnapshot& snapshot,
                              Duration list_age,
                              const std::vector<QueueInput>& queues) {
  // A list that was not confirmed may miss changes that happened since.
  if (list_age > options_.max_list_age) {
    Reset();
    return;
  }
  summary_ = CapacitySummary();
  std::vector<std::pair<std::int64_t, ServiceId>> by_size;
  for (const auto& [id, service] : snapshot.services_) {
    if (service.runners.empty()) continue;
    const bool stable = Observe(now, id, service);
    if (!stable || id.value().size() > options_.max_name_bytes) continue;
    by_size.emplace_back(-service.sum.cpu_millis, id);
  }
  // A service that lost all its runners is unknown when they come back.
  for (auto it = known_.begin(); it != known_.end();) {
    const auto found = snapshot.services_.find(it->first);
    const bool has_runners =
        found != snapshot.services_.end() && !found->second.runners.empty();
    it = has_runners ? std::next(it) : known_.erase(it);
  }
  std::sort(by_size.begin(), by_size.end());
  if (by_size.size() > options_.max_services) {
    by_size.resize(options_.max_services);
  }
  std::size_t label_bytes = options_.max_label_bytes;
  for (const auto& [size, id] : by_size) {
    summary_.services[id] = Describe(known_.at(id), &label_bytes);
  }
  std::vector<std::tuple<int, QueueId, QueueWait>> waits;
  for (const QueueInput& queue : queues) {
    if (summary_.services.count(queue.policy.service) == 0) continue;
    const CapacitySnapshot::Service& service =
        snapshot.services_.at(queue.policy.service);
    QueueWait wait = WaitOf(queue, service);
    // Even a job that takes no time at all ends in time after a shorter wait.
    const Duration bearable = queue.policy.slack * kUsefulObjectives;
    const bool is_short = std::any_of(
        wait.earliest.begin(), wait.earliest.end(),
        [bearable](Duration earliest) { return earliest > bearable; });
    if (!is_short || queue.id.value().size() > options_.max_name_bytes) {
      // Free capacity need not be known before the wait is past use for the
      // whole window.
      free_.erase(queue.id);
      continue;
    }
    SetFree(now, queue, service, &wait);
    const bool observed =
        now - free_[queue.id].front().at + options_.interval >=
        options_.stable_time;
    if (observed) waits.emplace_back(queue.policy.priority, queue.id, wait);
  }
  std::sort(waits.begin(), waits.end(), [](const auto& a, const auto& b) {
    return std::tie(std::get<0>(a), std::get<1>(a)) <
           std::tie(std::get<0>(b), std::get<1>(b));
  });
  if (waits.size() > options_.max_waits) waits.resize(options_.max_waits);
  for (auto& [priority, id, wait] : waits) summary_.waits[id] = wait;
}

}  // namespace limeledge::dispatch
