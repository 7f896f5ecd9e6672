/// @file
/// A dump of the process's whole state as JSON.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_STATE_DUMP_H_
#define LIMELEDGE_SRC_CORE_STATE_DUMP_H_

#include <string>

#include "core/effect.h"
#include "limeledge/clock.h"

namespace limeledge {

class Reducer;

/// Returns the numbers that the metrics page shows. Call it from the reducer's
/// thread.
MetricsSnapshot TakeMetrics(const Reducer& reducer, TimePoint now);

/// Returns everything that the reducer knows, without tokens or payloads, as
/// JSON text. Call it from the reducer's thread.
std::string DumpState(const Reducer& reducer, TimePoint now);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_STATE_DUMP_H_
