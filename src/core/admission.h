/// @file
/// Whether a job can ever run, and in which hall it waits.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_ADMISSION_H_
#define LIMELEDGE_SRC_CORE_ADMISSION_H_

#include <string>

#include "core/context.h"
#include "core/job.h"
#include "limeledge/finding.h"
#include "settings/settings.h"

namespace limeledge {

/// Adds a finding for everything that keeps the job from ever running: its
/// shape fits no hall, or its workspace may not run it. Safe from any thread.
void CheckAdmission(const Settings& settings, const JobSpec& spec,
                    Findings* findings);

/// True when the empty hall could hold the job.
bool HallCanHold(const HallSettings& hall, const JobSpec& spec);

/// Chooses the hall in which the job waits: one where its workspace has unused
/// guarantee for it, else the one with the most room per accelerator asked
/// for. Precondition: `CheckAdmission` found nothing.
HallId ChooseHall(const Shared& shared, const JobSpec& spec);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_ADMISSION_H_
