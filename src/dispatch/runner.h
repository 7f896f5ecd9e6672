/// @file
/// One life of a runner as the scheduler knows it: what runs there, how much
/// room is left, and until when its lease may last.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_RUNNER_H_
#define LIMELEDGE_SRC_DISPATCH_RUNNER_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/incarnation.h"
#include "dispatch/job_spec.h"
#include "dispatch/late_orders.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// What a runner says of itself in the list of runners. The list lags: its
/// entry may tell of a life that is over, or of one that nobody has heard yet.
struct RunnerInfo {
  RunnerId id;
  StartTime start_time;

  IncarnationId incarnation() const { return {id, start_time}; }

  ServiceId service;
  std::string address;
  HallId hall;
  Resources room;
  /// All labels, the rack's among them.
  std::set<std::string> labels;
  std::string rack;
  bool draining = false;
  /// While it drains: the least time until it leaves.
  Duration leaves_in;
};

/// Where a run on a runner stands.
enum class RunPhase {
  /// Decided on, not yet stored.
  kPlanned,
  /// Stored; the start waits for its turn and was never sent.
  kStored,
  /// The start is under way.
  kStarting,
  /// The runner's next life refused the start.
  kRefused,
  /// The start got no answer; it may still be carried out.
  kUnconfirmed,
  /// Stored by an earlier scheduler; the runner was not heard yet.
  kInherited,
  kRunning,
};

/// Matches the answer to a look with the look.
using PollNumber = Number<struct LookNumberTag>;

/// True if no start of a run in that phase was ever sent.
inline bool WasNeverSent(RunPhase phase) {
  return phase == RunPhase::kPlanned || phase == RunPhase::kStored;
}

/// True if no run in that phase ever began.
inline bool NeverBegan(RunPhase phase) {
  return WasNeverSent(phase) || phase == RunPhase::kRefused;
}

/// A run's stop on its way, so that it is not sent again in vain: orders to one
/// runner wait for each other.
class StopRequest {
 public:
  /// True if the stop may be sent, again after `patience` without effect.
  bool IsDue(TimePoint now, Duration patience) const;
  /// Has the stop sent when its turn comes, if it is due.
  void Request(TimePoint now, Duration patience);
  /// The stop waits for its turn.
  bool queued() const { return wanted_; }
  /// Notes that the stop is sent.
  void Sent(TimePoint now);
  /// Notes that the stop was answered. Without an answer it is due again.
  void Answered(bool obeyed);
  bool in_flight() const { return in_flight_; }
  /// The stop waits for its turn or for its answer.
  bool open() const { return wanted_ || in_flight_; }

 private:
  bool wanted_ = false;
  bool in_flight_ = false;
  std::optional<TimePoint> sent_at_;
};

/// A run that takes room on a runner.
struct Run {
  int number = 0;
  /// Stored by an earlier scheduler: the life that it was started on, if it was
  /// told. An earlier life's run is over unless this one lists it.
  StartTime stored_incarnation;
  Resources need;
  RunPhase phase = RunPhase::kPlanned;
  /// The run shall end; its stop was or is still to be sent.
  bool stopping = false;
  StopRequest stop;
  /// The runner obeyed the stop: a run that was not there will not come.
  bool stop_answered = false;
  /// When its start was sent; nothing if an earlier scheduler sent it, or
  /// nobody did yet.
  std::optional<TimePoint> sent_at;
  /// When the newest answer about the run came.
  TimePoint answered_at;
  /// Expected length of the whole run.
  Duration expected;
  TimePoint assigned_at;
  TimePoint started_at;
  int percent = 0;
  /// When `percent` last changed.
  TimePoint progressed_at;
  /// Where the newest measure of the run's pace began.
  TimePoint pace_measured_from;
  int pace_percent = 0;
  /// The run began from nothing, near its data: its time can be learnt from.
  bool usable_for_estimates = false;
  /// What the run shares its runner's processors with, and how.
  Sharing sharing = Sharing::kNone;
  /// Its task may be what crashed runners before.
  bool suspect = false;
  /// It went with an earlier life; its start may still come, and is ruled out.
  bool counted_as_lost = false;
};

/// A runner that takes this much longer than expected counts as slow: tasks of
/// a step differ by a factor of two, runners that turn slow take four times as
/// long and more.
inline constexpr double kSlowRunner = 2.2;

/// A run that nobody waits for, and that a runner lists or may still begin.
struct OrphanedRun {
  StopRequest stop;
  /// What it takes of the runner's room.
  Resources need;
  /// Its start was sent to a life before and may come late; it is kept until
  /// the runner has obeyed the stop, which rules it out.
  bool may_start_late = false;
};

/// How long the run will still take, by its progress where it shows any. Safe
/// from any thread.
Duration TimeLeft(const Run& run, TimePoint now);

/// How long the run was under way when its runner, silent since `silent_since`,
/// was last heard; nothing if its start was not sent from here. Safe from any
/// thread.
std::optional<Duration> TimeUntilSilence(const Run& run,
                                         TimePoint silent_since);

class Runner;

/// True if an earlier scheduler stored the run for another life of the runner.
/// Safe from any thread.
bool IsOfEarlierIncarnation(const Runner& runner, const Run& run);

/// True if the run's task may crash its runners, and the run was not well for
/// `probation` yet. Safe from any thread.
bool IsOnProbation(const Run& run, Duration probation, TimePoint now);

/// Where the fleet has a runner's next look.
struct FiledLook {
  /// When it is due; nothing if none is.
  std::optional<TimePoint> at;
  /// The runner was not heard yet.
  bool first = false;
  /// A first look is under way.
  bool under_way_as_first = false;
  /// The fleet is to file it anew.
  bool touched = false;
};

/// One life of a runner. Pure bookkeeping: it sends nothing. All that is known
/// of a life goes with its object; only what `Next` names outlives it.
///
/// Thread safety: none; use it from one thread.
class Runner {
 public:
  /// The life of which an entry tells; none was heard yet.
  explicit Runner(RunnerInfo info)
      : info_(std::move(info)), life_(info_.incarnation()) {}

  /// The life that follows this one under its id: at the same place, of which
  /// it keeps the entry, the number of lives and the orders that may come late.
  std::unique_ptr<Runner> Next(StartTime start_time, TimePoint now);

  const RunnerInfo& info() const { return info_; }
  const RunnerId& id() const { return info_.id; }
  const IncarnationId& incarnation() const { return life_; }
  /// Lives that were seen under this id, this one included.
  int incarnations() const { return lives_; }
  const std::string& rack() const { return info_.rack; }

  /// Takes over what the list says now.
  void Update(const RunnerInfo& info, TimePoint now);
  /// The runner is no longer listed.
  void Unlist(TimePoint now);
  bool listed() const { return listed_; }
  TimePoint unlisted_at() const { return unlisted_at_; }
  /// Notes that the runner leaves, `leaves_in` from now at the earliest,
  /// though its entry did not say so.
  void MarkLeaving(TimePoint now, Duration leaves_in);
  /// When the runner was first seen to leave; nothing while it does not.
  std::optional<TimePoint> draining_since() const { return drains_since_; }

  std::map<TaskName, Run>& runs() { return runs_; }
  const std::map<TaskName, Run>& runs() const { return runs_; }
  /// The run of that number of the task; null if there is none.
  Run* FindRun(const TaskName& name, int number);
  void Add(const TaskName& name, const Run& run);
  void Remove(const TaskName& name);
  /// Runs here that share the processors in that way.
  int CountSharing(Sharing sharing) const;
  /// Room that no run takes; negative where the room shrank under them.
  const Resources& free_capacity() const { return free_room_; }
  /// True if the run fits beside all that may be there now: what was started or
  /// may still come, what is being stopped, and what nobody waits for.
  bool HasCapacityFor(const Run& run) const;

  /// Notes an answer of this life that carried the runner's clock.
  void Heard(TimePoint now, std::int64_t clock_ms);
  /// Notes a call that got no answer.
  void RecordMiss(TimePoint now);
  bool heard() const { return heard_; }
  /// When the newest answer came.
  TimePoint heard_at() const { return heard_at_; }
  /// True if the newest call was answered.
  bool reachable() const { return heard_ && misses_ == 0; }
  int misses() const { return misses_; }
  /// When the first of the calls that got no answer since then ended; nothing
  /// while the newest call was answered.
  std::optional<TimePoint> silent_since() const { return silent_since_; }
  /// True if the runner was known to leave before it fell silent.
  bool LeftAsAnnounced() const;

  /// The end of a lease of `length` from now on the runner's clock; notes that
  /// it may be granted. Precondition: `heard()`.
  std::int64_t GrantLease(TimePoint now, Duration length);
  /// From this moment no lease that was granted can last.
  TimePoint lease_expires_at() const {
    return std::max(lease_over_at_, inherited_until_);
  }
  /// An earlier scheduler, which the runner obeyed until it was first heard,
  /// may have granted a lease of `length` just before. Precondition: `heard()`.
  void NoteEarlierLease(Duration length);
  /// Calls that were meant for an earlier life may have granted, or may still
  /// grant, all of `longest`: up to their latest arrival, or at `granted_at`.
  void RecordLateGrant(TimePoint granted_at, Duration longest);
  /// An earlier scheduler, which the runner may still obey, may grant a lease
  /// up to `at`.
  void LeaseMayLastUntil(TimePoint at) { inherited_until_ = at; }
  /// The same, now that the runner was heard and obeys that one no more: what
  /// it granted lasted `longest` at most. Precondition: `heard()`.
  void BoundEarlierLease(Duration longest);

  // Orders: starts and stops, one at a time. What waits is kept here and
  // chosen when its turn comes, by what is known then.
  bool order_in_flight = false;
  /// Stored runs whose start waits for its turn; some may be gone since.
  std::deque<std::pair<TaskName, int>> waiting_starts;

  /// Orders that got no answer, from any life under this id.
  LateOrders late_orders;

  // The exchange of what runs there.
  bool poll_in_flight = false;
  /// The newest look; answers to others are dropped.
  PollNumber poll_number;
  /// It grants a lease.
  bool poll_grants_lease = false;
  /// A birth that the entry told, for which the runner was looked at.
  StartTime hinted;
  /// How the fleet has filed the next look.
  FiledLook filed_look;
  TimePoint poll_sent_at;
  TimePoint next_poll_at;
  /// Up to which end it tells the runner that all are known, and what the
  /// runner was told so and answered.
  std::int64_t poll_acknowledges = 0;
  std::int64_t delivered_acknowledgement = 0;
  /// Newest end that was taken in.
  std::int64_t newest_end = 0;
  /// Newest end by a lease that ran out: it ran out after all ends before.
  std::int64_t newest_expired_end = 0;
  /// Ends that were taken in and are not stored yet.
  std::set<std::int64_t> unstored_ends;
  /// Ends up to this number need not be told again: they are stored, and none
  /// is held.
  std::int64_t AcknowledgedEnd() const;
  bool AllEndsAreAcknowledged() const {
    return unstored_ends.empty() && held_ends_.empty();
  }
  /// Runs that were taken for over though no end of them was told. This life
  /// may tell one yet.
  std::set<RunKey> presumed_over;
  /// Keeps an end from being told as known until this life's lease has surely
  /// run out since: `lease` is the longest that is granted. Until then nothing
  /// may be granted. Returns when that is.
  TimePoint DeferAcknowledgement(std::int64_t number, TimePoint now,
                                 Duration lease);
  /// Lets ends be told as known again once the lease has run out.
  void ReleaseDeferredAcknowledgements(TimePoint now);
  /// False while the lease is to run out.
  bool MayGrantLease(TimePoint now) const { return now >= no_grant_until_; }
  /// Runs that the runner listed and that nobody waits for.
  std::map<RunKey, OrphanedRun>& orphans() { return unwanted_; }
  /// Notes a run that nobody waits for; it takes `need` until it is forgotten.
  OrphanedRun& AddOrphan(const RunKey& key, const Resources& need);
  /// Forgets those that are not among `there` any more.
  void RemoveOrphansExcept(const std::set<RunKey>& there);
  /// Nothing is placed here before this moment.
  TimePoint backoff_until;
  /// A run failed here, and none was done since: others are used first until
  /// then.
  TimePoint suspect_until;
  /// When the newest run that failed here ended.
  TimePoint failed_at;
  /// It failed as soon as it had begun, and none was done since.
  bool failed_immediately = false;
  /// True while it may still fail all that it starts: no run that began since
  /// has been well for long enough to tell.
  bool MayFailImmediately(TimePoint now) const;
  /// True if a run that was assigned since tries that.
  bool HasProbeRun() const;
  /// Runs that failed one after the other: quickly, or of different jobs.
  int consecutive_failures = 0;
  JobId last_failed_job;
  /// When the runner leaves at the earliest, while it drains.
  TimePoint leaves_at;
  /// Takes in that the pace of a run of `job` made it take `ratio` times as
  /// long as expected.
  void RecordPace(double ratio, const JobId& job);
  /// Time of runs here against their expected time; 1 for as expected.
  double slowness() const { return slowness_; }
  /// Lets a suspicion of slowness fade by what a second does to it.
  void FadeSlowness();
  bool IsSlow() const { return slowness_ >= kSlowRunner; }
  /// True if the runner counts as slow by what other jobs showed. A run whose
  /// length was guessed too short is as slow anywhere.
  bool IsSlowExcluding(const JobId& job) const;
  /// Takes in that a run here takes `ratio` times as long as its step's runs
  /// elsewhere.
  void RecordUsualPace(double ratio);
  /// How much longer runs usually take here than elsewhere, slowly learnt.
  double usual_pace() const;
  /// All that ran in this life is over.
  bool ended = false;

 private:
  /// True if an entry's word on leaving is this life's.
  bool IsOwn(const RunnerInfo& info) const {
    return !IsReported(info.start_time) || info.start_time == life_.start_time;
  }

  RunnerInfo info_;
  IncarnationId life_;
  int lives_ = 1;
  bool listed_ = true;
  TimePoint unlisted_at_;
  std::optional<TimePoint> drains_since_;
  std::map<TaskName, Run> runs_;
  std::map<RunKey, OrphanedRun> unwanted_;
  Resources free_room_ = info_.room;
  std::map<Sharing, int> sharing_;
  double slowness_ = 1;
  /// The job whose runs told the newest paces, and the slowness before them.
  JobId pace_job_;
  double slowness_before_ = 1;
  /// Logarithm of the usual pace.
  double usual_pace_ = 0;
  bool heard_ = false;
  /// When the runner was first heard, and so obeys no earlier scheduler.
  TimePoint obeys_since_;
  int misses_ = 0;
  std::optional<TimePoint> silent_since_;
  TimePoint heard_at_;
  std::int64_t heard_clock_ms_ = 0;
  /// What was granted from here, or may have been to the life before.
  TimePoint lease_over_at_;
  /// What an earlier scheduler may have granted.
  TimePoint inherited_until_;
  std::set<std::int64_t> held_ends_;
  TimePoint no_grant_until_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_RUNNER_H_
