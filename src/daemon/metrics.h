/// @file
/// The metrics page.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_METRICS_H_
#define LIMELEDGE_SRC_DAEMON_METRICS_H_

#include <string>

#include "core/effect.h"

namespace limeledge {

/// Returns the snapshot in the Prometheus text format. Safe from any thread.
std::string FormatMetrics(const MetricsSnapshot& snapshot);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_METRICS_H_
