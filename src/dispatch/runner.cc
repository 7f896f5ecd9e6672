/// @file
/// Bookkeeping for one runner.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/runner.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace limeledge::dispatch {

namespace {

// Weight of the latest measurement of the pace, and bounds on one measurement.
constexpr double kPaceWeight = 0.4;
constexpr double kMinPace = 0.25;
constexpr double kMaxPace = 12;
// With this weight the usual pace of a runner settles after about twenty
// measurements. Ratios beyond the limit are ignored: they come from a temporary
// slowness or from tasks that cannot be compared.
constexpr double kUsualPaceWeight = 0.08;
constexpr double kUnusualPace = 2.2;
// Fraction of the (logarithmic) slowness that is kept each second, so that a
// runner that gets no work is tried again after some seconds.
constexpr double kSlownessKept = 0.93;

// A broken runner fails its runs within some hundredths of a second; a run that
// was healthy for this long shows that the runner works again.
constexpr Duration kHealthyFor{500};

constexpr int kFullPercent = 100;
// The remaining time of a run without progress is at least its expected
// duration divided by this.
constexpr int kMinRemainingDivisor = 4;

}  // namespace

std::string ToString(StartTime start_time) {
  return IsReported(start_time) ? std::to_string(start_time.value()) : "";
}

bool StopRequest::IsDue(TimePoint now, Duration retry_after) const {
  if (in_flight_) return false;
  return !sent_at_.has_value() || now - *sent_at_ >= retry_after;
}

void StopRequest::Request(TimePoint now, Duration retry_after) {
  if (IsDue(now, retry_after)) queued_ = true;
}

void StopRequest::Sent(TimePoint now) {
  queued_ = false;
  in_flight_ = true;
  sent_at_ = now;
}

void StopRequest::Answered(bool obeyed) {
  in_flight_ = false;
  if (!obeyed) sent_at_.reset();
}

void RecordSave(int percent, const std::string& checkpoint, TimePoint now,
                Run* run) {
  const bool resumed = !run->checkpoint.empty();
  if (resumed && run->percent == 0) run->saved_percent = percent;
  if (checkpoint.empty() || checkpoint == run->checkpoint) return;
  run->checkpoint = checkpoint;
  run->saved_at = now;
  run->saved_percent = percent;
}

bool IsClockOfOtherIncarnation(const Run& run, std::int64_t clock_ms) {
  return clock_ms > 0 && clock_ms < run.clock_ms_at_send;
}

bool WasBegunByOtherIncarnation(const Run& run) {
  return run.start_answer.has_value() &&
         IsClockOfOtherIncarnation(run, run.start_answer->clock_ms);
}

std::optional<Duration> TimeLeft(const Run& run, TimePoint now) {
  if (run.lasting) return std::nullopt;
  if (run.phase != RunPhase::kRunning) return run.expected;
  const Duration elapsed = now - run.started_at;
  if (run.percent > 0) {
    // The percentage dates from the poll that reported it.
    const Duration reported_after = run.progressed_at - run.started_at;
    const Duration whole = reported_after * kFullPercent / run.percent;
    return std::max(whole - elapsed, Duration(0));
  }
  return std::max(run.expected - elapsed, run.expected / kMinRemainingDivisor);
}

std::optional<Duration> TimeUntilSilence(const Run& run,
                                         TimePoint silent_since) {
  if (!run.sent_at.has_value()) return std::nullopt;
  // The start itself may have been the first call without an answer.
  return std::max(Duration(0), silent_since - *run.sent_at);
}

std::optional<Duration> AgeOfLatestAnswer(const Runner& runner, TimePoint now) {
  if (!runner.heard()) return std::nullopt;
  return now - runner.heard_at();
}

std::string MsSince(std::optional<TimePoint> at, TimePoint now) {
  return at.has_value() ? std::to_string((now - *at).ms()) : "";
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

const std::string& Runner::address() const {
  const bool calls_entry = listed_ && misses_ % 2 == 1;
  return known_address_.empty() || calls_entry ? info_.address : known_address_;
}

void Runner::Update(const RunnerInfo& info, TimePoint now) {
  listed_ = true;
  if (!(info.room == info_.room)) {
    free_capacity_ += info.room;
    free_capacity_ -= info_.room;
  }
  info_ = info;
  if (!DescribesThisIncarnation(info)) return;
  if (info.draining) {
    MarkLeaving(now, info.leaves_in);
  } else {
    draining_since_.reset();
  }
}

std::unique_ptr<Runner> Runner::Next(StartTime start_time, TimePoint now) {
  auto next = std::make_unique<Runner>(info_);
  next->incarnation_.start_time = start_time;
  next->incarnation_count_ = incarnation_count_ + 1;
  next->known_address_ = known_address_;
  next->listed_ = listed_;
  next->unlisted_at_ = unlisted_at_;
  next->late_orders = std::move(late_orders);
  next->grants_.poll_unanswered_at = grants_.poll_unanswered_at;
  // An entry that describes another incarnation is outdated.
  next->hinted_start_time = info_.start_time;
  if (next->DescribesThisIncarnation(info_) && info_.draining) {
    next->MarkLeaving(now, info_.leaves_in);
  }
  return next;
}

void Runner::FadeSlowness() {
  slowness_ = std::pow(slowness_, kSlownessKept);
  slowness_before_ = std::pow(slowness_before_, kSlownessKept);
}

void Runner::Unlist(TimePoint now) {
  listed_ = false;
  unlisted_at_ = now;
}

void Runner::MarkLeaving(TimePoint now, Duration leaves_in) {
  if (draining_since_.has_value()) return;
  draining_since_ = now;
  leaves_at = now + leaves_in;
}

void Runner::RecordPace(double ratio, const JobId& job) {
  if (job != pace_job_) {
    pace_job_ = job;
    slowness_before_ = slowness_;
  }
  const double bounded = std::clamp(ratio, kMinPace, kMaxPace);
  slowness_ =
      std::pow(slowness_, 1 - kPaceWeight) * std::pow(bounded, kPaceWeight);
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
  free_capacity_ -= run.need;
  ++sharing_[run.sharing];
}

void Runner::Remove(const TaskName& name) {
  const auto found = runs_.find(name);
  if (found == runs_.end()) return;
  free_capacity_ += found->second.need;
  --sharing_[found->second.sharing];
  runs_.erase(found);
}

bool Runner::MayFailImmediately(TimePoint now) const {
  if (!failed_immediately || now >= suspect_until) return false;
  return std::none_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
    const Run& run = entry.second;
    return run.phase == RunPhase::kRunning && run.started_at > failed_at &&
           now - run.started_at >= kHealthyFor;
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
  for (const auto& [key, other] : orphans_) used += other.need;
  return used.Fits(info_.room);
}

OrphanedRun& Runner::AddOrphan(const RunKey& key, const Resources& need) {
  const auto [it, added] = orphans_.emplace(key, OrphanedRun());
  if (added) {
    it->second.need = need;
    free_capacity_ -= need;
  }
  return it->second;
}

void Runner::RemoveOrphansExcept(const std::set<RunKey>& there) {
  for (auto it = orphans_.begin(); it != orphans_.end();) {
    const bool over = there.count(it->first) == 0 &&
                      !it->second.may_start_late &&
                      !it->second.stop.in_flight();
    if (over) free_capacity_ += it->second.need;
    it = over ? orphans_.erase(it) : std::next(it);
  }
}

void Runner::RecordForeignCallsRejected(TimePoint now,
                                        std::optional<TimePoint> latest,
                                        Duration longest) {
  if (rejects_foreign_calls()) return;
  foreign_calls_rejected_at_ = now;
  if (latest.has_value()) lease_.BoundForeign(*latest, longest);
  for (auto& [key, orphan] : orphans_) orphan.may_start_late = false;
}

int Runner::CountSharing(Sharing sharing) const {
  const auto found = sharing_.find(sharing);
  return found == sharing_.end() ? 0 : found->second;
}

void Runner::RecordAnswer(TimePoint now, std::int64_t clock_ms) {
  if (!heard_) first_clock_ms_ = clock_ms;
  heard_ = true;
  grants_.starts_answered = 0;
  grants_.starts_answered_by_another = 0;
  misses_ = 0;
  silent_since_.reset();
  heard_at_ = now;
  heard_clock_ms_ = clock_ms;
}

void Runner::RecordStartAnswer(TimePoint now, const Run& run,
                               std::int64_t clock_ms, Duration longest) {
  ++grants_.starts_answered;
  if (IsClockOfOtherIncarnation(run, clock_ms)) {
    ++grants_.starts_answered_by_another;
  }
  if (clock_ms <= 0 || run.until_ms <= clock_ms) return;
  const Duration left = std::min(Duration(run.until_ms - clock_ms), longest);
  lease_.RecordGrant(now + OnSlowClock(left));
}

void Runner::RecordMiss(TimePoint now) {
  ++misses_;
  if (!silent_since_.has_value()) silent_since_ = now;
}

std::int64_t Runner::AcknowledgedEnd() const {
  std::int64_t newest = newest_end;
  for (const auto* open : {&unstored_ends, &deferred_ends_}) {
    if (!open->empty()) newest = std::min(newest, *open->begin() - 1);
  }
  return newest;
}

TimePoint Runner::DeferAcknowledgement(std::int64_t number, TimePoint now,
                                       Duration lease) {
  deferred_ends_.insert(number);
  const Duration longest = OnSlowClock(lease);
  // The runner's clock may have stopped for a while, and a call in flight may
  // still grant a lease.
  const TimePoint newest_grant = std::max(now, late_orders.grants_until());
  no_grant_until_ =
      std::max({no_grant_until_, lease_.expires_at(), newest_grant + longest});
  return no_grant_until_;
}

void Runner::ReleaseDeferredAcknowledgements(TimePoint now) {
  if (MayGrantLease(now)) deferred_ends_.clear();
}

bool Runner::LeftAsAnnounced() const {
  // A runner that never answered may have ended for any reason.
  if (!heard_ || !draining_since_.has_value()) return false;
  return !silent_since_.has_value() || *draining_since_ <= *silent_since_;
}

std::int64_t Runner::GrantLease(TimePoint now, Duration length) {
  const std::int64_t until =
      heard_clock_ms_ + (now - heard_at_).ms() + length.ms();
  lease_.RecordGrant(heard_at_ +
                     OnSlowClock(Duration(until - heard_clock_ms_)));
  return until;
}

}  // namespace limeledge::dispatch
