/// @file
/// The catalog that every emulated system uses: queues, a service, a workspace
/// and its key.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_EMULATOR_EMULATED_CATALOG_H_
#define LIMELEDGE_SRC_EMULATOR_EMULATED_CATALOG_H_

#include <string>
#include <vector>

#include "dispatch/catalog.h"
#include "dispatch/incarnation.h"
#include "dispatch/job_spec.h"

namespace limeledge::emulator {

/// Host and API key that simulated callers use.
inline constexpr char kHost[] = "jobs.example";
inline constexpr char kKey[] = "key-1";

/// Priority of the queue whose steps need tickets of the advice service.
inline constexpr int kAdvisedPriority = 2;

/// Default number of attempts that each queue allows per task.
inline constexpr int kMaxAttempts = 3;

/// Returns the path prefix of the queue with this priority. Thread-safe.
const char* PrefixOf(int priority);

/// Returns a ticket that lets tasks of the step start on that incarnation of a
/// runner before `until`. Thread-safe.
std::string MakeTicket(const dispatch::StepName& step,
                       const dispatch::IncarnationId& incarnation,
                       TimePoint until);
/// Returns true if the ticket lets tasks of the step start on the incarnation
/// at that time. Thread-safe.
bool IsTicketValid(const std::string& ticket, const dispatch::StepName& step,
                   const dispatch::IncarnationId& incarnation, TimePoint at);
/// Returns true if the ticket was issued for the step and the incarnation,
/// whether or not it has expired. Thread-safe.
bool IsTicketFor(const std::string& ticket, const dispatch::StepName& step,
                 const dispatch::IncarnationId& incarnation);

/// Returns the API key of the callers of a workspace. Thread-safe.
std::string KeyOf(const WorkspaceId& workspace);

/// Returns a catalog with one queue of each priority, one service and one
/// workspace. Each queue allows `attempts` attempts per task. `unguaranteed`
/// are further workspaces, without a guarantee. Thread-safe.
dispatch::Catalog MakeCatalog(
    int attempts = kMaxAttempts,
    const std::vector<WorkspaceId>& unguaranteed = {});

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_SRC_EMULATOR_EMULATED_CATALOG_H_
