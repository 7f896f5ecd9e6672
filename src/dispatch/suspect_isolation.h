/// @file
/// Keeps new runs away from lasting tasks that keep losing their runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_SUSPECT_ISOLATION_H_
#define LIMELEDGE_SRC_DISPATCH_SUSPECT_ISOLATION_H_

#include "dispatch/job_registry.h"
#include "dispatch/placement.h"

namespace limeledge::dispatch {

/// Excludes runners from placement on which a long-running task that has lost
/// runners before may be about to crash another one. A run is isolated until it
/// has outlived the losses of its task, for at most 20 s.
///
/// One runner is excluded for each step, and a quarter of all at most: tasks
/// that were lost together are all suspects and must not take all runners.
///
/// Precondition: the runners of `pool` outlive the call. Thread safety: none;
/// use it from the thread of the scheduler.
void IsolateSuspects(TimePoint now, JobRegistry* jobs, CandidatePool* pool);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_SUSPECT_ISOLATION_H_
