/// @file
/// The workers that a hall declares.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_PLATFORM_DECLARED_WORKERS_H_
#define LIMELEDGE_SRC_PLATFORM_DECLARED_WORKERS_H_

#include <vector>

#include "core/target.h"
#include "settings/settings.h"

namespace limeledge {

/// Returns the hall's workers without addresses, named HALL-rR-wW in racks
/// named HALL-rR. Safe from any thread.
std::vector<WorkerInfo> DeclaredWorkers(const HallId& id,
                                        const HallSettings& hall);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_PLATFORM_DECLARED_WORKERS_H_
