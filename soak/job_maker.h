/// @file
/// Generates the jobs of a soak test from a seed.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_JOB_MAKER_H_
#define LIMELEDGE_SOAK_JOB_MAKER_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "dispatch/job_spec.h"
#include "emulator/emulated_runner.h"
#include "soak/experiment.h"

namespace limeledge::soak {

/// A job together with everything that its caller sends.
struct DraftJob {
  dispatch::JobSpec spec;
  std::vector<emulator::TaskTruth> truths;
  /// Path prefix of the queue, followed by the job's id.
  std::string path;
  std::string body;
  bool urgent = false;
  /// The caller gives up at the first refusal and does not retry; a refused job
  /// must not run.
  bool gives_up = false;
};

/// Generates jobs; the same seed gives the same jobs.
///
/// Thread safety: none; use it from one thread.
class JobMaker {
 public:
  JobMaker(const Experiment& experiment, std::uint64_t seed);

  /// Returns a job of a random kind.
  DraftJob Make();
  /// Returns a gang job for the urgent queue.
  DraftJob MakeUrgentGang(int members, int accelerators);
  /// Returns a job of single tasks for the ordinary queue.
  DraftJob MakeFiller(int tasks, int accelerators, Duration work);

  bool Chance(double share);
  std::int64_t Pick(std::int64_t least, std::int64_t most);

 private:
  DraftJob Finish(dispatch::StepSpec step, emulator::TaskTruth truth, int steps,
                  bool urgent);

  const Experiment experiment_;
  std::mt19937_64 random_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_JOB_MAKER_H_
