/// @file
/// Checks that the guarantees in each hall fit into the hall's capacity.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_SETTINGS_GUARANTEE_CHECK_H_
#define LIMELEDGE_SRC_SETTINGS_GUARANTEE_CHECK_H_

#include "limeledge/finding.h"
#include "settings/settings.h"
#include "settings/yaml_node.h"

namespace limeledge {

/// Packs the guarantees of each hall into its declared workers, largest first,
/// and adds a finding for every guarantee that does not fit beside those packed
/// before it. The members of a guarantee are packed into one rack if possible.
/// `locations` gives the positions of the findings. Safe from any thread.
void CheckGuarantees(const Settings& settings, const YamlLocations& locations,
                     Findings* findings);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_SETTINGS_GUARANTEE_CHECK_H_
