/// @file
/// Checks the runs and starts of cancelled jobs against their time bounds.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/cancel_watch.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace limeledge::soak {

namespace {

/// A run must be seen as ended within this time after the acknowledgement.
constexpr Duration kRunBound = CancelWatch::kCancelBound +
                               CancelWatch::kStopTime +
                               CancelWatch::kSampleSlack;

std::string Describe(const RunPlace& place, int run) {
  return absl::StrCat(ToString(place.second), " (run ", run, ") on ",
                      place.first.value());
}

}  // namespace

bool CancelWatch::IsCalm(TimePoint from, TimePoint to) const {
  return faults_->IsSteady(from - kDisturbed, to);
}

bool CancelWatch::IsCalmForStarts(TimePoint from, TimePoint to) const {
  return IsCalm(from, to) && !faults_->MayOrdersComeLate(from, to);
}

void CancelWatch::RecordCancellation(const JobId& job, TimePoint at) {
  const bool first = cancelled_.emplace(job, CancelledJob{at}).second;
  if (first) ++times_.acknowledged;
}

void CancelWatch::RecordStart(const RunPlace& place, int run, TimePoint at) {
  StartedRun& started = started_[place];
  if (started.run >= run) return;
  started = {run, at};
  const auto found = cancelled_.find(place.second.job);
  if (found == cancelled_.end()) return;
  const CancelledJob& job = found->second;
  const Duration after = at - job.at;
  const bool calm = IsCalmForStarts(job.at, at);
  times_.last_start = std::max(times_.last_start, after);
  if (calm) times_.last_start_calm = std::max(times_.last_start_calm, after);
  const bool in_time =
      after <= kCancelBound || !IsCalmForStarts(at - kCancelBound, at);
  if (in_time && !job.settled) return;
  violate_(absl::StrCat("start of ", Describe(place, run), " ", after.ms(),
                        " ms after its job's cancel was acknowledged"));
}

TimePoint CancelWatch::DueFrom(const CancelledJob& job,
                               const StartedRun& run) const {
  const bool late = run.at > job.at && !IsCalmForStarts(run.at, run.at);
  return late ? run.at + kDisturbed : job.at;
}

void CancelWatch::CheckRun(const RunPlace& place, const CancelledJob& job,
                           TimePoint now) {
  StartedRun& run = started_[place];
  const Duration after = now - job.at;
  times_.last_run = std::max(times_.last_run, after);
  if (IsCalmForStarts(job.at, now)) {
    times_.last_run_calm = std::max(times_.last_run_calm, after);
  }
  const bool in_time =
      now - DueFrom(job, run) <= kRunBound || !IsCalm(now - kRunBound, now);
  if (in_time || run.reported) return;
  run.reported = true;
  violate_(absl::StrCat(Describe(place, run.run), " still runs ", after.ms(),
                        " ms after its job's cancel was acknowledged, ",
                        (now - run.at).ms(), " ms after its start"));
}

void CancelWatch::Settle(TimePoint now) {
  if (!IsCalmForStarts(now - kRunBound, now)) return;
  for (auto& [id, job] : cancelled_) {
    if (now - job.at > kRunBound) job.settled = true;
  }
}

void CancelWatch::NoteRunning(const std::vector<RunPlace>& running,
                              TimePoint now) {
  for (const RunPlace& place : running) {
    const auto found = cancelled_.find(place.second.job);
    if (found != cancelled_.end()) CheckRun(place, found->second, now);
  }
  Settle(now);
}

}  // namespace limeledge::soak
