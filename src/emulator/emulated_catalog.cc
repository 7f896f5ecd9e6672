/// @file
/// Builds the catalog of emulated systems, and issues and checks tickets.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "emulator/emulated_catalog.h"

#include <cstdint>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace limeledge::emulator {

namespace {

constexpr char kPrefix[] = "/queue/";
constexpr char kUrgentPrefix[] = "/urgent/";
constexpr char kAdvisedPrefix[] = "/advised/";
// Separates a ticket's step and incarnation from its expiry time.
constexpr char kTicketSeparator[] = " until ";

dispatch::Queue MakeQueue(const char* name, const char* prefix, int priority) {
  dispatch::Queue queue;
  queue.id = dispatch::QueueId(name);
  queue.host = kHost;
  queue.path_prefix = prefix;
  queue.policy.service = dispatch::ServiceId("compute");
  queue.policy.priority = priority;
  queue.policy.stretch = 3;
  queue.policy.slack = Duration(1000);
  return queue;
}

std::string TicketPrefix(const dispatch::StepName& step,
                         const dispatch::IncarnationId& incarnation) {
  return absl::StrCat(ToString(step), " at ", incarnation.runner.value(), "@",
                      incarnation.start_time.value(), kTicketSeparator);
}

}  // namespace

const char* PrefixOf(int priority) {
  if (priority == 0) return kUrgentPrefix;
  return priority == kAdvisedPriority ? kAdvisedPrefix : kPrefix;
}

std::string MakeTicket(const dispatch::StepName& step,
                       const dispatch::IncarnationId& incarnation,
                       TimePoint until) {
  return absl::StrCat(TicketPrefix(step, incarnation), until.ms());
}

bool IsTicketValid(const std::string& ticket, const dispatch::StepName& step,
                   const dispatch::IncarnationId& incarnation, TimePoint at) {
  const std::string start = TicketPrefix(step, incarnation);
  std::int64_t until = 0;
  if (!absl::StartsWith(ticket, start)) return false;
  if (!absl::SimpleAtoi(ticket.substr(start.size()), &until)) return false;
  return at.ms() < until;
}

bool IsTicketFor(const std::string& ticket, const dispatch::StepName& step,
                 const dispatch::IncarnationId& incarnation) {
  return absl::StartsWith(ticket, TicketPrefix(step, incarnation));
}

std::string KeyOf(const WorkspaceId& workspace) {
  return absl::StrCat("key-of-", workspace.value());
}

dispatch::Catalog MakeCatalog(int attempts,
                              const std::vector<WorkspaceId>& unguaranteed) {
  dispatch::Catalog catalog;
  catalog.version = dispatch::CatalogVersion(1);
  catalog.queues.push_back(MakeQueue("patient", kPrefix, 1));
  catalog.queues.push_back(MakeQueue("urgent", kUrgentPrefix, 0));
  catalog.queues.push_back(
      MakeQueue("advised", kAdvisedPrefix, kAdvisedPriority));
  catalog.queues.back().policy.needs_advice = true;
  for (dispatch::Queue& queue : catalog.queues) {
    queue.policy.max_attempts = attempts;
  }
  catalog.services[dispatch::ServiceId("compute")] = {true};
  dispatch::Workspace workspace;
  workspace.id = WorkspaceId("roads");
  workspace.guaranteed_accelerators = 16;
  catalog.workspaces[workspace.id] = workspace;
  catalog.workspace_by_key[kKey] = workspace.id;
  for (const WorkspaceId& id : unguaranteed) {
    catalog.workspaces[id].id = id;
    catalog.workspace_by_key[KeyOf(id)] = id;
  }
  return catalog;
}

}  // namespace limeledge::emulator
