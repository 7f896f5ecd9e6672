/// @file
/// Sets weights and times of the scheduler by name, for experiments and
/// ablations.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_TUNING_H_
#define LIMELEDGE_SRC_DISPATCH_TUNING_H_

#include <string>
#include <vector>

#include "dispatch/node.h"
#include "limeledge/finding.h"

namespace limeledge::dispatch {

/// Sets one option from "NAME=VALUE"; times are in milliseconds. If the setting
/// is invalid, adds the reason to `findings` and changes nothing. Thread-safe.
void Tune(const std::string& setting, NodeOptions* options, Findings* findings);

/// Returns all tunable options with their values in `options`, each as
/// "NAME=VALUE". Thread-safe.
std::vector<std::string> ListTuning(const NodeOptions& options);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_TUNING_H_
