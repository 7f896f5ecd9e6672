/// @file
/// Makes the catalog of emulated systems.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "emulator/emulated_catalog.h"

namespace limeledge::emulator {

namespace {

constexpr char kPrefix[] = "/queue/";
constexpr char kUrgentPrefix[] = "/urgent/";
constexpr char kAdvisedPrefix[] = "/advised/";

dispatch::Queue MakeQueue(const char* name, const char* prefix, int priority) {
  dispatch::Queue queue;
  queue.id = dispatch::QueueId(name);
  queue.host = kHost;
  queue.path_prefix = prefix;
  queue.policy.service = dispatch::ServiceId("compute");
  queue.policy.priority = priority;
  queue.policy.max_attempts = kMaxAttempts;
  queue.policy.stretch = 3;
  queue.policy.slack = Duration(1000);
  return queue;
}

}  // namespace

const char* PrefixOf(int priority) {
  if (priority == 0) return kUrgentPrefix;
  return priority == kAdvisedPriority ? kAdvisedPrefix : kPrefix;
}

dispatch::Catalog MakeCatalog() {
  dispatch::Catalog catalog;
  catalog.version = dispatch::CatalogVersion(1);
  catalog.queues.push_back(MakeQueue("patient", kPrefix, 1));
  catalog.queues.push_back(MakeQueue("urgent", kUrgentPrefix, 0));
  catalog.queues.push_back(
      MakeQueue("advised", kAdvisedPrefix, kAdvisedPriority));
  catalog.queues.back().policy.needs_advice = true;
  catalog.services[dispatch::ServiceId("compute")] = {true};
  dispatch::Workspace workspace;
  workspace.id = WorkspaceId("roads");
  workspace.guaranteed_accelerators = 16;
  catalog.workspaces[workspace.id] = workspace;
  catalog.workspace_by_key[kKey] = workspace.id;
  return catalog;
}

}  // namespace limeledge::emulator
