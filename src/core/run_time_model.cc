/// @file
/// Run time correction.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace limeledge {

namespace {

constexpr Duration kUndeclared{600000};
/// Weight of the newest job once enough have been seen.
constexpr double kNewest = 0.1;

Duration Declared(const JobSpec& spec) {
  return spec.declared > Duration(0) ? spec.declared : kUndeclared;
}

}  // namespace

void RunTimeModel::Observe(const JobSpec& spec, Duration ran) {
  const double real = static_cast<double>(std::max<std::int64_t>(1, ran.ms()));
  const double declared = static_cast<double>(Declared(spec).ms());
  Ratio& ratio = ratios_[{spec.workspace, spec.job_class}];
  ++ratio.count;
  const double weight = std::max(kNewest, 1.0 / ratio.count);
  ratio.mean_log += weight * (std::log(real / declared) - ratio.mean_log);
}

Duration RunTimeModel::Expect(const JobSpec& spec) const {
  const auto it = ratios_.find({spec.workspace, spec.job_class});
  const double factor =
      it == ratios_.end() ? 1.0 : std::exp(it->second.mean_log);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(Declared(spec).ms()) * factor));
}

}  // namespace limeledge
