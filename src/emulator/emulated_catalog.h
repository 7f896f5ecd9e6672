/// @file
/// The queues, the workspace and its key in every emulated system.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_EMULATOR_EMULATED_CATALOG_H_
#define LIMELEDGE_SRC_EMULATOR_EMULATED_CATALOG_H_

#include <string>

#include "dispatch/catalog.h"
#include "dispatch/incarnation.h"
#include "dispatch/job_spec.h"

namespace limeledge::emulator {

/// Host that callers call, and the key that they show.
inline constexpr char kHost[] = "jobs.example";
inline constexpr char kKey[] = "key-1";

/// Priority of the queue whose steps need tickets.
inline constexpr int kAdvisedPriority = 2;

/// Attempts that each queue gives a task, where nothing else is asked for.
inline constexpr int kMaxAttempts = 3;

/// The path prefix of the queue of a priority. Thread-safe.
const char* PrefixOf(int priority);

/// The ticket with which tasks of the step start on that life of a runner until
/// that moment. Thread-safe.
std::string MakeTicket(const dispatch::StepName& step,
                       const dispatch::IncarnationId& incarnation,
                       TimePoint until);
/// True if the ticket lets tasks of the step start there at a moment.
/// Thread-safe.
bool IsTicketValid(const std::string& ticket, const dispatch::StepName& step,
                   const dispatch::IncarnationId& incarnation, TimePoint at);
/// True if the ticket is one for that life, whenever. Thread-safe.
bool IsTicketFor(const std::string& ticket, const dispatch::StepName& step,
                 const dispatch::IncarnationId& incarnation);

/// One queue of each priority, which gives each task so many attempts, one
/// service and one workspace. Thread-safe.
dispatch::Catalog MakeCatalog(int attempts = kMaxAttempts);

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_SRC_EMULATOR_EMULATED_CATALOG_H_
