/// @file
/// Checks that all guarantees of a hall fit into it together.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_SETTINGS_GUARANTEE_CHECK_H_
#define LIMELEDGE_SRC_SETTINGS_GUARANTEE_CHECK_H_

#include "limeledge/finding.h"
#include "settings/settings.h"
#include "settings/yaml_node.h"

namespace limeledge {

/// Adds a finding for every guarantee that cannot be packed, together with
/// those before it, into the declared workers of its hall. Members of one
/// guarantee stay in one rack when a rack can hold them. Safe from any thread.
void CheckGuarantees(const Settings& settings, const YamlPlaces& places,
                     Findings* findings);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_SETTINGS_GUARANTEE_CHECK_H_
