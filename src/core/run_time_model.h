/// @file
/// Corrects declared run times by what was seen of each class.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_RUN_TIME_MODEL_H_
#define LIMELEDGE_SRC_CORE_RUN_TIME_MODEL_H_

#include <map>

#include "core/counters.h"
#include "core/job.h"
#include "limeledge/clock.h"

namespace limeledge {

/// Keeps the mean ratio of real to declared run time by workspace and class.
///
/// Thread safety: none; a plain value.
class RunTimeModel {
 public:
  /// Notes a job that ran to its end.
  void Observe(const JobSpec& spec, Duration ran);
  /// Expected whole run time of a job; a default where nothing is declared.
  Duration Expect(const JobSpec& spec) const;

 private:
  struct Ratio {
    double mean_log = 0;
    int count = 0;
  };
  std::map<WorkKey, Ratio> ratios_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_RUN_TIME_MODEL_H_
