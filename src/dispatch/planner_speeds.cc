/// @file
/// Lasting speeds of runners in a planning pass: which runners are reserved for
/// urgent work, and how steps rank them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>
#include <vector>

#include "dispatch/planner_pass.h"

namespace limeledge::dispatch {

namespace {

// A runner whose log pace is known less well than this is worth a measurement.
constexpr double kUnmeasuredDeviation = 0.2;
// A step that reaches its objective less probably than this on an average
// runner is placed so that it ends before it is worthless.
constexpr double kMinOnTimeChance = 0.1;

// Number of urgent gangs of the usual size for which a rack keeps fast runners.
constexpr double kGangsPerRack = 2;
// Weight of one pass in the usual size of urgent gangs.
constexpr double kGangSizeWeight = 0.05;

// A reserved runner stays reserved until another one is faster by this log
// pace. A runner that is reserved anew is usually full of other work for
// seconds.
constexpr double kKeptPace = 0.15;

// The middle of the grid of log paces is an average runner.
constexpr std::size_t kAverageBin = kPaceBins / 2;

}  // namespace

std::size_t Planner::Pass::ReservedPerRack() {
  double sum = 0;
  int gangs = 0;
  for (const PendingStep& pending : pending_steps_) {
    if (pending.policy.priority != 0 || !pending.spec->gang) continue;
    sum += static_cast<double>(pending.spec->need.accelerators *
                               pending.spec->count);
    ++gangs;
  }
  double& usual = planner_.urgent_gang_accelerators_;
  if (gangs > 0) usual += kGangSizeWeight * (sum / gangs - usual);
  std::int64_t most = 1;
  for (const Candidate& candidate : pool_.candidates()) {
    most = std::max(most, candidate.runner->info().room.accelerators);
  }
  const double runners = kGangsPerRack * usual / static_cast<double>(most);
  return static_cast<std::size_t>(std::max(1.0, std::ceil(runners)));
}

void Planner::Pass::ReserveFastRunners() {
  using RankedRunner = std::pair<double, Candidate*>;
  std::vector<std::vector<RankedRunner>> racks(pool_.rack_count());
  for (Candidate& candidate : pool_.candidates()) {
    candidate.reserved = false;
    // A runner that is probably fast but may be slow is not reserved.
    double pace = candidate.log_pace + DeviationOf(*candidate.pace);
    if (planner_.reserved_runners_.count(candidate.runner->id()) != 0) {
      pace -= kKeptPace;
    }
    racks[candidate.rack_number].emplace_back(pace, &candidate);
  }
  // Ranks racks by the slowest of the runners that are reserved there.
  const std::size_t per_rack = ReservedPerRack();
  std::vector<std::pair<double, std::size_t>> order;
  for (std::size_t rack = 0; rack < racks.size(); ++rack) {
    std::sort(racks[rack].begin(), racks[rack].end());
    if (racks[rack].size() > per_rack) racks[rack].resize(per_rack);
    if (!racks[rack].empty()) {
      order.emplace_back(racks[rack].back().first, rack);
    }
  }
  std::sort(order.begin(), order.end());
  auto left = std::llround(options_.urgent_share *
                           static_cast<double>(pool_.candidates().size()));
  urgent_total_ = Resources();
  planner_.reserved_runners_.clear();
  for (const auto& [pace, rack] : order) {
    for (const auto& [runner_pace, candidate] : racks[rack]) {
      if (left-- <= 0) return;
      candidate->reserved = true;
      planner_.reserved_runners_.insert(candidate->runner->id());
      urgent_total_ += candidate->runner->info().room;
    }
  }
}

void Planner::Pass::SetPaces() {
  if (speeds_ == nullptr) return;
  for (Candidate& candidate : pool_.candidates()) {
    const Runner& runner = *candidate.runner;
    candidate.pace = &speeds_->PaceOf(runner.incarnation());
    candidate.log_pace = MeanOf(*candidate.pace);
    const bool under_way = std::any_of(
        runner.runs().begin(), runner.runs().end(),
        [](const auto& entry) { return entry.second.measures_runner; });
    candidate.unmeasured =
        !under_way && DeviationOf(*candidate.pace) > kUnmeasuredDeviation;
  }
  ReserveFastRunners();
}

PacePreference Planner::Pass::PacePreferenceOf(
    const PendingStep& pending) const {
  const RunnerSpeeds::Prediction prediction =
      speeds_->Predict(pending.job->spec().queue, pending.spec->estimate);
  const std::int64_t left =
      pending.latest_start_wall_ms - wall_ms_ + ExpectedTimeNear(pending).ms();
  const auto slack_of = [&prediction](std::int64_t ms) {
    return std::log(static_cast<double>(std::max<std::int64_t>(1, ms))) -
           prediction.log_ms;
  };
  OnTimeChance on_time(slack_of(left), prediction.deviation);
  if (on_time.AtBin(kAverageBin) < kMinOnTimeChance) {
    const std::int64_t objective =
        pending.rank.deadline_wall_ms - pending.from_wall_ms;
    on_time = OnTimeChance(
        slack_of(left + objective * (options_.worthless_after - 1)),
        prediction.deviation);
  }
  PacePreference preference{on_time};
  const bool urgent = pending.policy.priority == 0;
  preference.has_slack = !urgent;
  preference.measures_runners = !urgent && !pending.spec->gang &&
                                pending.spec->preemptible() &&
                                !pending.IsAnySuspect();
  return preference;
}

double Planner::Pass::PaceOn(const std::vector<Candidate*>& candidates) const {
  if (speeds_ == nullptr) return 1;
  SlowestPace slowest;
  for (const Candidate* candidate : candidates) slowest.Add(*candidate->pace);
  return std::exp(MeanOf(slowest.Distribution()));
}

}  // namespace limeledge::dispatch
