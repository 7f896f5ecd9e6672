/// @file
/// Reports late batches.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/reducer_load.h"

#include <algorithm>
#include <string>
#include <utility>

namespace limeledge::dispatch {

namespace {

constexpr Duration kReportInterval{1000};
// An urgent job within its guarantee goes through half a dozen batches, one
// after the other, and a stop, within some three seconds.
constexpr Duration kLateEvent{100};

}  // namespace

void ReducerLoad::Record(const BatchTime& batch) {
  longest_wait_ = std::max(longest_wait_, batch.waited);
  longest_batch_ = std::max(longest_batch_, batch.taken);
  ++batches_;
  events_ += static_cast<std::int64_t>(batch.events);
}

void ReducerLoad::Report(Context& ctx, const PlanningUse& use) {
  if (ctx.now() < next_report_at_) return;
  next_report_at_ = ctx.now() + kReportInterval;
  const PlanningUse before = std::exchange(reported_use_, use);
  const Duration waited = std::exchange(longest_wait_, Duration(0));
  const Duration taken = std::exchange(longest_batch_, Duration(0));
  const std::int64_t batches = std::exchange(batches_, 0);
  const std::int64_t events = std::exchange(events_, 0);
  if (waited < kLateEvent) return;
  ctx.Log(LogId::kReducerLate,
          {{"waited_ms", std::to_string(waited.ms())},
           {"batch_ms", std::to_string(taken.ms())},
           {"batches", std::to_string(batches)},
           {"events", std::to_string(events)},
           {"passes", std::to_string(use.passes - before.passes)},
           {"steps", std::to_string(use.steps - before.steps)},
           {"looks", std::to_string(use.looks - before.looks)}});
}

}  // namespace limeledge::dispatch
