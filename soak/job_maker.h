/// @file
/// Jobs that a soak hands in, drawn from a seed.
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

/// A job with all that its caller sends.
struct DraftJob {
  dispatch::JobSpec spec;
  std::vector<emulator::TaskTruth> truths;
  /// The queue's path prefix and the id.
  std::string path;
  std::string body;
  bool urgent = false;
  /// Its caller goes away at the first refusal, and never comes back: it must
  /// not run then.
  bool gives_up = false;
};

/// Makes jobs: the same seed gives the same jobs.
///
/// Thread safety: none; use it from one thread.
class JobMaker {
 public:
  JobMaker(const Experiment& experiment, std::uint64_t seed);

  /// A job of any sort.
  DraftJob Make();
  /// A gang in the urgent queue.
  DraftJob MakeUrgentGang(int members, int accelerators);
  /// Single tasks in the ordinary queue.
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
