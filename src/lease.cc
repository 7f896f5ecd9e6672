/// @file
/// Implementation of lease timing.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/lease.h"

namespace limeledge {

void HeldLease::Renewed(TimePoint sent_at) {
  start_ = sent_at;
  held_ = true;
}

void WatchedLease::Observe(TimePoint now, Revision version) {
  if (seen_ && version == version_) return;
  version_ = version;
  since_ = now;
  seen_ = true;
}

}  // namespace limeledge
