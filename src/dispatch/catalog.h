/// @file
/// The operator's configuration as the dispatcher uses it: queues, services
/// and workspaces.
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
/// Versions of the catalog only rise; they need not be consecutive.
using CatalogVersion = Number<struct CatalogVersionTag>;

/// How a queue's jobs are treated.
struct QueuePolicy {
  ServiceId service;
  /// 0 goes first and may displace others.
  int priority = 0;
  /// Runs of a task that may fail before its job has failed.
  int max_attempts = 1;
  /// The time a job may take is `stretch` times its longest chain of work,
  /// plus `slack`.
  double stretch = 1;
  Duration slack;
  /// Only some runners may run its steps, and starts need a ticket.
  bool needs_advice = false;
};

/// Where jobs of one kind are handed in.
struct Queue {
  QueueId id;
  std::string host;
  std::string path_prefix;
  /// Calls need no key.
  bool is_public = false;
  QueuePolicy policy;
};

/// What a group of runners does.
struct Service {
  /// The service's runners refuse what does not fit by themselves.
  bool enforces_capacity = false;
};

/// A workspace and the accelerators that are its own at any time.
struct Workspace {
  WorkspaceId id;
  std::int64_t guaranteed_accelerators = 0;
};

/// Everything an operator configures, as one version.
///
/// Thread safety: a plain value.
struct Catalog {
  CatalogVersion version;
  std::vector<Queue> queues;
  std::map<ServiceId, Service> services;
  std::map<WorkspaceId, Workspace> workspaces;
  std::map<std::string, WorkspaceId> workspace_by_key;
  /// Halls whose runners are to be given nothing. They change without a new
  /// version.
  std::set<HallId> drained_halls;

  /// The queue with the longest prefix that `path` begins with on `host`; null
  /// if there is none.
  const Queue* Match(const std::string& host, const std::string& path) const;
  /// Null if there is no such queue.
  const Queue* Find(const QueueId& id) const;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_CATALOG_H_
