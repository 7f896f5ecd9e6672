/// @file
/// Forecasts when a new job could begin, and summarizes what the runners can
/// serve at all.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_CAPACITY_FORECAST_H_
#define LIMELEDGE_SRC_DISPATCH_CAPACITY_FORECAST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "dispatch/catalog.h"
#include "dispatch/job_spec.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// Cores, memory and accelerators, in this order.
inline constexpr std::size_t kResourceKinds = 3;
/// A job that ends later than this many times its objective is of no use.
inline constexpr int kUsefulObjectives = 3;
/// Returns the three amounts of `resources`. Thread-safe.
std::array<std::int64_t, kResourceKinds> AmountsOf(const Resources& resources);
/// Returns the larger amount of each resource. Thread-safe.
Resources Largest(const Resources& a, const Resources& b);

/// What the listed runners of a service can serve at all.
struct ServiceCapacity {
  /// The largest amount of each resource on any one runner.
  Resources largest;
  /// The sum over all runners.
  Resources sum;
  std::set<std::string> labels;
  /// False if labels were omitted to bound the size of the summary. An omitted
  /// label must not lead to refusals.
  bool has_all_labels = true;
};

/// How long a new job of a queue waits for capacity.
struct QueueWait {
  /// Lower bound of the wait for each resource, two standard deviations below
  /// the expected wait.
  std::array<Duration, kResourceKinds> earliest;
  std::array<Duration, kResourceKinds> expected;
  /// Capacity that was not taken by work of this priority or a more urgent one
  /// at some time of the last seconds: on all runners, and the largest amounts
  /// on one runner. Work that fits into it may begin at once.
  Resources free;
  Resources largest_free;
  /// Run times rarely exceed this multiple of the caller's estimate.
  double estimate_factor = 1;
};

/// What the scheduler tells all nodes about capacity. A service or queue that
/// is missing is not known to be short of anything.
struct CapacitySummary {
  /// Wall-clock time at which the list of runners was last confirmed.
  std::int64_t confirmed_wall_ms = 0;
  std::map<ServiceId, ServiceCapacity> services;
  std::map<QueueId, QueueWait> waits;
};

/// Limits of the forecast.
struct CapacityForecastOptions {
  /// How often the forecast is made.
  Duration interval{1000};
  /// Capacity counts as known if it has not shrunk for this long. Entries that
  /// expired during an outage of the store come back within 2 s.
  Duration stable_time{5000};
  /// The list of runners must have been read within this time.
  Duration max_list_age{2800};
  /// Factor by which the callers' estimates of one queue may all be off in the
  /// same direction, as the standard deviation of the logarithm: 1.2.
  double common_deviation = 0.18;
  /// The same for a single estimate of a queue without observed runs: 1.6.
  double single_deviation = 0.47;
  /// Number of standard deviations to spare.
  double deviations = 2;
  /// Maximum bytes of all labels, and of each name of a service or queue. Keeps
  /// the summary below about 1 KB.
  std::size_t max_label_bytes = 320;
  std::size_t max_name_bytes = 48;
  /// Maximum number of services and of queues in the summary; the largest
  /// services and the most urgent queues come first.
  std::size_t max_services = 2;
  std::size_t max_waits = 3;
};

/// Capacity and work of one moment, added up by service and priority.
///
/// Thread safety: none; use it from one thread.
class CapacitySnapshot {
 public:
  /// Resources that runs of one priority take on a runner.
  using UsedByPriority = std::vector<std::pair<int, Resources>>;
  /// Priority of runs that no job displaces, such as long-running ones.
  static constexpr int kNeverDisplaced = -1;

  /// Adds a listed runner. `labels` must outlive the snapshot.
  void AddRunner(const ServiceId& service, const Resources& room,
                 const std::set<std::string>& labels,
                 const UsedByPriority& used);
  /// Adds work that is to be done before new work of the same priority:
  /// `tasks` tasks that each take `need` for `left`. `deviation` is the
  /// standard deviation of the logarithm of `left`.
  void AddWork(const ServiceId& service, int priority, const Resources& need,
               int tasks, Duration left, double deviation);

 private:
  friend class CapacityForecast;
  /// Sums of resource-milliseconds, and of the squares of their deviations.
  struct Work {
    std::array<double, kResourceKinds> area{};
    std::array<double, kResourceKinds> variance{};
  };
  struct Free {
    Resources sum;
    Resources largest;
  };
  struct Service {
    Resources largest;
    Resources sum;
    std::unordered_set<std::string_view> labels;
    std::map<int, Work> work;
    /// The resources that runs of each priority take, runner by runner.
    std::vector<std::pair<Resources, UsedByPriority>> runners;

    /// Free capacity as work of that priority sees it.
    Free FreeFor(int priority) const;
  };

  std::map<ServiceId, Service> services_;
};

/// Computes the summary from a snapshot, and remembers how capacity changed.
///
/// The wait is a lower bound by aggregates: all work that goes first, divided
/// by the capacity of the service. It assumes that running work ends when
/// expected, that less urgent runs are displaced at once, and that capacity is
/// used without gaps. It is therefore never longer than what a simulation of
/// the planner would give, and costs one pass over runners and runs.
///
/// Thread safety: none; use it from one thread.
class CapacityForecast {
 public:
  explicit CapacityForecast(CapacityForecastOptions options = {})
      : options_(options) {}

  const CapacityForecastOptions& options() const { return options_; }

  /// A queue for which waits are computed.
  struct QueueInput {
    QueueId id;
    QueuePolicy policy;
    /// Run times rarely exceed this multiple of the caller's estimate.
    double estimate_factor = 1;
  };

  /// Records the present capacity. Call it at every `interval`, also while the
  /// capacity is not known. `list_age`: time since the list of runners was last
  /// confirmed.
  void Update(TimePoint now, const CapacitySnapshot& snapshot,
              Duration list_age, const std::vector<QueueInput>& queues);
  /// The summary as of the last update; `confirmed_wall_ms` is not set. Empty
  /// while capacity is not known.
  const CapacitySummary& summary() const { return summary_; }
  /// Discards all history, since capacity was not observed without
  /// interruption.
  void Reset() { *this = CapacityForecast(options_); }

 private:
  /// The capacity of a service as of the last update.
  struct Known {
    Resources largest;
    Resources sum;
    std::set<std::string> labels;
    /// When the capacity was first known or last shrank.
    TimePoint stable_since;
  };
  struct FreeSample {
    TimePoint at;
    Resources sum;
    Resources largest;
  };

  /// Updates what is known about a service. True if it is stable.
  bool Observe(TimePoint now, const ServiceId& id,
               const CapacitySnapshot::Service& service);
  /// Describes a service. `label_bytes` is what labels may still take, and is
  /// reduced by what these take.
  static ServiceCapacity Describe(const Known& known, std::size_t* label_bytes);
  /// The wait of the queue's jobs, without the free capacity.
  QueueWait WaitOf(const QueueInput& queue,
                   const CapacitySnapshot::Service& service) const;
  /// Sets the free capacity to the largest of the last seconds.
  void SetFree(TimePoint now, const QueueInput& queue,
               const CapacitySnapshot::Service& service, QueueWait* wait);

  CapacityForecastOptions options_;
  std::map<ServiceId, Known> known_;
  std::map<QueueId, std::deque<FreeSample>> free_;
  CapacitySummary summary_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_CAPACITY_FORECAST_H_
