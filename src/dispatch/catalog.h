/// @file
/// The operator's configuration as the dispatcher uses it: queues, services and
/// workspaces.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_CATALOG_H_
#define LIMELEDGE_SRC_DISPATCH_CATALOG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

using QueueId = Id<struct QueueIdTag>;
using ServiceId = Id<struct ServiceIdTag>;
/// Catalog versions increase monotonically but need not be consecutive.
using CatalogVersion = Number<struct CatalogVersionTag>;

/// Scheduling policy of a queue.
struct QueuePolicy {
  ServiceId service;
  /// 0 is the most urgent; such jobs may preempt others.
  int priority = 0;
  /// Number of failed runs of a task after which its job fails.
  int max_attempts = 1;
  /// The time allowed for a job is `stretch` times the critical path of its
  /// steps, plus `slack`.
  double stretch = 1;
  Duration slack;
  /// Steps need a ticket from the advice service to start, and only some
  /// runners may run them.
  bool needs_advice = false;
  /// Time that the advice service takes for a request, and for each runner in
  /// it; 0 if it is not known.
  Duration advice_time;
  Duration advice_time_per_runner;
};

/// A queue to which jobs are submitted.
struct Queue {
  QueueId id;
  std::string host;
  std::string path_prefix;
  /// Calls need no API key.
  bool is_public = false;
  QueuePolicy policy;
};

/// A service that a group of runners provides.
struct Service {
  /// The service's runners refuse tasks that exceed their capacity.
  bool enforces_capacity = false;
};

/// A workspace and its guaranteed accelerators.
struct Workspace {
  WorkspaceId id;
  std::int64_t guaranteed_accelerators = 0;
};

/// One version of the operator's configuration.
///
/// Thread safety: a plain value.
struct Catalog {
  CatalogVersion version;
  std::vector<Queue> queues;
  std::map<ServiceId, Service> services;
  std::map<WorkspaceId, Workspace> workspaces;
  std::map<std::string, WorkspaceId> workspace_by_key;
  /// Halls whose runners get no new tasks. They change without a new version.
  std::set<HallId> drained_halls;

  /// Returns the queue on `host` with the longest path prefix that matches
  /// `path`; null if there is none.
  const Queue* Match(const std::string& host, const std::string& path) const;
  /// Returns null if there is no such queue.
  const Queue* Find(const QueueId& id) const;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_CATALOG_H_
