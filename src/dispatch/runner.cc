/// @file
/// Bookkeeping of one runner.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/runner.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace limeledge::dispatch {

namespace {

// A runner's steady clock may be 2% slow; one part more for rounding.
constexpr std::int64_t kSlowClockPercent = 103;
// Timers at the runner fire a little late.
constexpr Duration kLapseMargin{150};
// Weight of the newest pace, and bounds on what one measure may say.
constexpr double kPaceWeight = 0.4;
constexpr double kLeastPace = 0.25;
constexpr double kMostPace = 12;
// Some twenty measures tell a runner's usual pace; one that is further off
// than this tells of a passing slowness, or of an unlike task.
constexpr double kUsualPaceWeight = 0.08;
constexpr double kUnusualPace = 2.2;
// What is kept of a suspicion from one second to the next, so that a runner
// that gets no work is tried again after some seconds.
constexpr double kSuspicionKept = 0.93;

// A runner that fails all that it starts does so within some hundredths of a
// second; a run that was well for this long shows that it does not any more.
constexpr Duration kWellFor{500};

constexpr int kAllDone = 100;
// A run without progress is never expected to end sooner than in this part of
// its whole time.
constexpr int kLeastShareLeft = 4;

Duration OnSlowClock(std::int64_t ms) {
  return Duration(ms * kSlowClockPercent / 100) + kLapseMargin;
}

}  // namespace

std::string ToString(StartTime start_time) {
  return IsReported(start_time) ? std::to_string(start_time.value()) : "";
}

bool StopRequest::IsDue(TimePoint now, Duration patience) const {
  if (in_flight_) return false;
  return !sent_at_.has_value() || now - *sent_at_ >= patience;
}

void StopRequest::Request(TimePoint now, Duration patience) {
  if (IsDue(now, patience)) wanted_ = true;
}

void StopRequest::Sent(TimePoint now) {
  wanted_ = false;
  in_flight_ = true;
  sent_at_ = now;
}

void StopRequest::Answered(bool obeyed) {
  in_flight_ = false;
  if (!obeyed) sent_at_.reset();
}

Duration TimeLeft(const Run& run, TimePoint now) {
  if (run.phase != RunPhase::kRunning) return run.expected;
  const Duration elapsed = now - run.started_at;
  if (run.percent > 0) {
    // The share is as old as the look that told it.
    const Duration told_after = run.progressed_at - run.started_at;
    const Duration whole = told_after * kAllDone / run.percent;
    return std::max(whole - elapsed, Duration(0));
  }
  return std::max(run.expected - elapsed, run.expected / kLeastShareLeft);
}

std::optional<Duration> TimeUntilSilence(const Run& run,
                                         TimePoint silent_since) {
  if (!run.sent_at.has_value()) return std::nullopt;
  // The order itself may be what got no answer first.
  return std::max(Duration(0), silent_since - *run.sent_at);
}

bool IsOfEarlierIncarnation(const Runner& runner, const Run& run) {
  return run.phase == RunPhase::kInherited &&
         IsReported(run.stored_incarnation) &&
         run.stored_incarnation != runner.incarnation().start_time;
}

bool IsOnProbation(const Run& run, Duration probation, TimePoint now) {
  if (!run.suspect) return false;
  return run.phase != RunPhase::kRunning || now - run.started_at < probation;
}

void Runner::Update(const RunnerInfo& info, TimePoint now) {
  listed_ = true;
  if (!(info.room == info_.room)) {
    free_room_ += info.room;
    free_room_ -= info_.room;
  }
  info_ = info;
  if (!IsOwn(info)) return;
  if (info.draining) {
    MarkLeaving(now, info.leaves_in);
  } else {
    drains_since_.reset();
  }
}

std::unique_ptr<Runner> Runner::Next(StartTime start_time, TimePoint now) {
  auto next = std::make_unique<Runner>(info_);
  next->life_.start_time = start_time;
  next->lives_ = lives_ + 1;
  next->listed_ = listed_;
  next->unlisted_at_ = unlisted_at_;
  next->late_orders = std::move(late_orders);
  // What the entry tells of another life is old.
  next->hinted = info_.start_time;
  if (next->IsOwn(info_) && info_.draining) {
    next->MarkLeaving(now, info_.leaves_in);
  }
  return next;
}

void Runner::FadeSlowness() {
  slowness_ = std::pow(slowness_, kSuspicionKept);
  slowness_before_ = std::pow(slowness_before_, kSuspicionKept);
}

void Runner::Unlist(TimePoint now) {
  listed_ = false;
  unlisted_at_ = now;
}

void Runner::MarkLeaving(TimePoint now, Duration leaves_in) {
  if (drains_since_.has_value()) return;
  drains_since_ = now;
  leaves_at = now + leaves_in;
}

void Runner::RecordPace(double ratio, const JobId& job) {
  if (job != pace_job_) {
    pace_job_ = job;
    slowness_before_ = slowness_;
  }
  const double bounded = std::clamp(ratio, kLeastPace, kMostPace);
  slowness_ =
      std::pow(slowness_, 1 - kPaceWeight) * std::pow(bounded, kPaceWeight);
}

bool Runner::IsSlowExcluding(const JobId& job) const {
  const double slowness = job == pace_job_ ? slowness_before_ : slowness_;
  return slowness >= kSlowRunner;
}

void Runner::RecordUsualPace(double ratio) {
  if (ratio > kUnusualPace || ratio < 1 / kUnusualPace) return;
  usual_pace_ += kUsualPaceWeight * (std::log(ratio) - usual_pace_);
}

double Runner::usual_pace() const { return std::exp(usual_pace_); }

Run* Runner::FindRun(const TaskName& name, int number) {
  const auto found = runs_.find(name);
  if (found == runs_.end()) return nullptr;
  return found->second.number == number ? &found->second : nullptr;
}

void Runner::Add(const TaskName& name, const Run& run) {
  runs_[name] = run;
  free_room_ -= run.need;
  ++sharing_[run.sharing];
}

void Runner::Remove(const TaskName& name) {
  const auto found = runs_.find(name);
  if (found == runs_.end()) return;
  free_room_ += found->second.need;
  --sharing_[found->second.sharing];
  runs_.erase(found);
}

bool Runner::MayFailImmediately(TimePoint now) const {
  if (!failed_immediately || now >= suspect_until) return false;
  return std::none_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
    const Run& run = entry.second;
    return run.phase == RunPhase::kRunning && run.started_at > failed_at &&
           now - run.started_at >= kWellFor;
  });
}

bool Runner::HasProbeRun() const {
  return std::any_of(runs_.begin(), runs_.end(), [this](const auto& entry) {
    return entry.second.assigned_at > failed_at && !entry.second.stopping;
  });
}

bool Runner::HasCapacityFor(const Run& run) const {
  Resources used = run.need;
  for (const auto& [name, other] : runs_) {
    if (!NeverBegan(other.phase)) used += other.need;
  }
  for (const auto& [key, other] : unwanted_) used += other.need;
  return used.Fits(info_.room);
}

OrphanedRun& Runner::AddOrphan(const RunKey& key, const Resources& need) {
  const auto [it, added] = unwanted_.emplace(key, OrphanedRun());
  if (added) {
    it->second.need = need;
    free_room_ -= need;
  }
  return it->second;
}

void Runner::RemoveOrphansExcept(const std::set<RunKey>& there) {
  for (auto it = unwanted_.begin(); it != unwanted_.end();) {
    const bool over = there.count(it->first) == 0 &&
                      !it->second.may_start_late &&
                      !it->second.stop.in_flight();
    if (over) free_room_ += it->second.need;
    it = over ? unwanted_.erase(it) : std::next(it);
  }
}

int Runner::CountSharing(Sharing sharing) const {
  const auto found = sharing_.find(sharing);
  return found == sharing_.end() ? 0 : found->second;
}

void Runner::Heard(TimePoint now, std::int64_t clock_ms) {
  if (!heard_) obeys_since_ = now;
  heard_ = true;
  misses_ = 0;
  silent_since_.reset();
  heard_at_ = now;
  heard_clock_ms_ = clock_ms;
}

void Runner::RecordMiss(TimePoint now) {
  ++misses_;
  if (!silent_since_.has_value()) silent_since_ = now;
}

std::int64_t Runner::AcknowledgedEnd() const {
  std::int64_t newest = newest_end;
  for (const auto* open : {&unstored_ends, &held_ends_}) {
    if (!open->empty()) newest = std::min(newest, *open->begin() - 1);
  }
  return newest;
}

TimePoint Runner::DeferAcknowledgement(std::int64_t number, TimePoint now,
                                       Duration lease) {
  held_ends_.insert(number);
  const Duration longest = OnSlowClock(lease.ms());
  // Its clock may have stood still, and a call that is on its way may grant.
  const TimePoint newest_grant = std::max(now, late_orders.grants_until());
  no_grant_until_ =
      std::max({no_grant_until_, lease_expires_at(), newest_grant + longest});
  return no_grant_until_;
}

void Runner::ReleaseDeferredAcknowledgements(TimePoint now) {
  if (MayGrantLease(now)) held_ends_.clear();
}

bool Runner::LeftAsAnnounced() const {
  // One that never answered may have gone in any way.
  if (!heard_ || !drains_since_.has_value()) return false;
  return !silent_since_.has_value() || *drains_since_ <= *silent_since_;
}

void Runner::NoteEarlierLease(Duration length) {
  lease_over_at_ =
      std::max(lease_over_at_, obeys_since_ + OnSlowClock(length.ms()));
}

void Runner::BoundEarlierLease(Duration longest) {
  inherited_until_ =
      std::min(inherited_until_, obeys_since_ + OnSlowClock(longest.ms()));
}

void Runner::RecordLateGrant(TimePoint granted_at, Duration longest) {
  const TimePoint at = std::max(granted_at, late_orders.grants_until());
  if (at == TimePoint()) return;
  lease_over_at_ = std::max(lease_over_at_, at + OnSlowClock(longest.ms()));
}

std::int64_t Runner::GrantLease(TimePoint now, Duration length) {
  const std::int64_t until =
      heard_clock_ms_ + (now - heard_at_).ms() + length.ms();
  const TimePoint over = heard_at_ + OnSlowClock(until - heard_clock_ms_);
  lease_over_at_ = std::max(lease_over_at_, over);
  return until;
}

}  // namespace limeledge::dispatch
