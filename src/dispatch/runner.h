/// @file
/// One incarnation of a runner as the scheduler sees it: its runs, its free
/// capacity, and when its lease expires at the latest.
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

#include "dispatch/fencing_token.h"
#include "dispatch/incarnation.h"
#include "dispatch/job_spec.h"
#include "dispatch/late_orders.h"
#include "dispatch/runner_lease.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// A runner's entry in the runner list. The list lags: the entry may describe
/// an incarnation that is over, or one that has not answered any call so far.
struct RunnerInfo {
  RunnerId id;
  StartTime start_time;

  IncarnationId incarnation() const { return {id, start_time}; }

  ServiceId service;
  std::string address;
  HallId hall;
  Resources room;
  /// All labels, including the rack label.
  std::set<std::string> labels;
  std::string rack;
  bool draining = false;
  /// While the runner drains: the minimum time until it leaves.
  Duration leaves_in;
};

/// The phase of a run on a runner.
enum class RunPhase {
  /// Decided by the scheduler but not stored.
  kPlanned,
  /// Stored; its start is queued and was never sent.
  kStored,
  /// The start was sent and its answer is pending.
  kStarting,
  /// The runner refused the start because it is a newer incarnation.
  kRefused,
  /// The start got no answer and may still be carried out.
  kUnconfirmed,
  /// Stored by a previous scheduler; the runner has not answered this one so
  /// far.
  kInherited,
  kRunning,
};

/// Matches the answer to a poll with that poll.
using PollNumber = Number<struct PollNumberTag>;

/// True if no start of a run in that phase was ever sent.
inline bool WasNeverSent(RunPhase phase) {
  return phase == RunPhase::kPlanned || phase == RunPhase::kStored;
}

/// True if no run in that phase ever began.
inline bool NeverBegan(RunPhase phase) {
  return WasNeverSent(phase) || phase == RunPhase::kRefused;
}

/// State of a stop order for a run. Orders to one runner are sent one at a
/// time, so a stop is not sent again while an earlier one may still take
/// effect.
class StopRequest {
 public:
  /// True if the stop may be sent: first, or again `retry_after` after a stop
  /// that had no effect.
  bool IsDue(TimePoint now, Duration retry_after) const;
  /// Queues the stop if it is due.
  void Request(TimePoint now, Duration retry_after);
  /// True while the stop is queued.
  bool queued() const { return queued_; }
  /// Records that the stop was sent.
  void Sent(TimePoint now);
  /// Records the end of the call. A stop without an answer is due again at
  /// once.
  void Answered(bool obeyed);
  bool in_flight() const { return in_flight_; }
  /// True while the stop is queued or its answer is pending.
  bool open() const { return queued_ || in_flight_; }
  /// When the stop was sent last; nothing if it was not, or had no effect.
  std::optional<TimePoint> sent_at() const { return sent_at_; }

 private:
  bool queued_ = false;
  bool in_flight_ = false;
  std::optional<TimePoint> sent_at_;
};

/// The answer to the start of a run.
struct StartAnswer {
  TimePoint at;
  /// The clock of the incarnation that carried the start out; 0 if the answer
  /// did not tell.
  std::int64_t clock_ms = 0;
};

/// A run that takes capacity on a runner.
struct Run {
  int number = 0;
  /// For runs stored by a previous scheduler: the incarnation on which the run
  /// was started, if it was reported. A run of an earlier incarnation is over
  /// unless the present one lists it.
  StartTime stored_incarnation;
  Resources need;
  /// The run goes on until it is stopped or fails.
  bool lasting = false;
  RunPhase phase = RunPhase::kPlanned;
  /// The run must end; its stop was sent or still has to be.
  bool stopping = false;
  StopRequest stop;
  /// The runner confirmed the stop, so a run that has not begun will not begin.
  bool stop_answered = false;
  /// When its start was sent; empty if it was not sent, or was sent by a
  /// previous scheduler.
  std::optional<TimePoint> sent_at;
  /// The latest reading of the incarnation's clock when the start was sent; 0
  /// if there was none.
  std::int64_t clock_ms_at_send = 0;
  /// The end of the lease that the start grants, on the clock of the
  /// incarnation that it was sent to; 0 if it was not sent.
  std::int64_t until_ms = 0;
  /// Set once the start was carried out.
  std::optional<StartAnswer> start_answer;
  /// When the latest answer about the run arrived.
  TimePoint answered_at;
  /// Expected duration of the whole run.
  Duration expected;
  /// Factor in `expected` for the lasting pace of the run's runners.
  double expected_pace = 1;
  TimePoint assigned_at;
  TimePoint started_at;
  int percent = 0;
  /// When `percent` last changed.
  TimePoint progressed_at;
  /// Where the latest measurement of the run's pace began.
  TimePoint pace_measured_from;
  int pace_percent = 0;
  /// Projected duration over the expected one at the latest measurement of the
  /// pace, the lowest such value so far, and how many percent each measured; 0
  /// if there is none. Kept only while moves are decided by gain.
  double pace_ratio = 0;
  int pace_ratio_percent = 0;
  double best_pace_ratio = 0;
  int best_pace_percent = 0;
  TimePoint pace_measured_at;
  /// The expected duration at that measurement was confirmed by runs of the
  /// step on other runners.
  bool pace_compared = false;
  /// The latest checkpoint that the run reported, or that it resumed from.
  std::string checkpoint;
  /// When that checkpoint was reported first, and the progress then, in
  /// percent. The time is that of the start, and the progress the first that
  /// was reported, while the run has saved nothing itself.
  TimePoint saved_at;
  int saved_percent = 0;
  /// It was logged that a move of the run was considered and not made.
  bool move_declined = false;
  /// The run started from the beginning and near its data.
  bool began_near_data = false;
  /// Its duration can be used for estimates, and was not so far.
  bool usable_for_estimates = false;
  /// The run is independent of others, so that its duration measures the
  /// lasting speed of its runner.
  bool measures_runner = false;
  /// Progress at which the speed was last measured.
  int speed_percent = 0;
  /// Whether and how the run shares the runner's processors with other runs.
  Sharing sharing = Sharing::kNone;
  /// Its task may have crashed runners before.
  bool suspect = false;
  /// The run was lost with an earlier incarnation. Its start may still arrive
  /// and is being cancelled.
  bool counted_as_lost = false;
};

/// A runner whose runs take this many times as long as expected counts as slow.
/// Tasks of one step differ by a factor of two; runners that become slow take
/// four times as long or more.
inline constexpr double kSlowRunnerRatio = 2.2;

/// A run that no task needs any more, and that a runner lists or may still
/// begin.
struct OrphanedRun {
  StopRequest stop;
  /// The capacity that the run takes on the runner.
  Resources need;
  /// Its start was sent to an earlier incarnation and may arrive late. The
  /// entry is kept until the runner rejects such calls.
  bool may_start_late = false;
};

/// Calls that grant a lease and that the next incarnation of a runner may have
/// carried out in place of this one, for logs.
struct UnattributedGrants {
  /// Starts that were answered since this incarnation last answered a poll. The
  /// answer to a start does not name the incarnation.
  int starts_answered = 0;
  /// Those of them that another incarnation answered
  /// (`IsClockOfOtherIncarnation`).
  int starts_answered_by_another = 0;
  /// When it was noticed that a poll got no answer, of the latest such poll to
  /// any incarnation under this id.
  std::optional<TimePoint> poll_unanswered_at;
};

/// Records that a running run reported this progress and checkpoint at `now`.
/// Precondition: `run->percent` is still the progress reported before.
/// Thread-safe for different runs.
void RecordSave(int percent, const std::string& checkpoint, TimePoint now,
                Run* run);

/// True if an answer with this clock to the run's start comes from another
/// incarnation than the one that it was sent to: clocks start anew in each
/// incarnation and never run back. Thread-safe.
bool IsClockOfOtherIncarnation(const Run& run, std::int64_t clock_ms);

/// True if the answer to the run's start shows that another incarnation began
/// the run. Thread-safe.
bool WasBegunByOtherIncarnation(const Run& run);

/// Estimates the remaining time of a run, from its progress if it reported any;
/// empty if the run does not end by itself. Thread-safe.
std::optional<Duration> TimeLeft(const Run& run, TimePoint now);

/// How long a run had been under way at `silent_since`, when its runner was
/// found to be silent; empty if this scheduler did not send the start. This is
/// an upper limit: after a pause of the process a silence is found late. When
/// the runner last answered gives a lower limit. Thread-safe.
std::optional<Duration> TimeUntilSilence(const Run& run,
                                         TimePoint silent_since);

class Runner;

/// How long ago the runner last answered this scheduler; empty if it has not.
/// Thread-safe.
std::optional<Duration> AgeOfLatestAnswer(const Runner& runner, TimePoint now);

/// How many milliseconds before `now` something was, for logs; empty if it
/// never was. Thread-safe.
std::string MsSince(std::optional<TimePoint> at, TimePoint now);

/// True if a previous scheduler stored the run for another incarnation of the
/// runner. Thread-safe.
bool IsOfEarlierIncarnation(const Runner& runner, const Run& run);

/// True if the run's task may crash its runners and the run has not been
/// healthy for `probation` so far. Thread-safe.
bool IsOnProbation(const Run& run, Duration probation, TimePoint now);

/// The position of a runner's next poll in the schedule of `Fleet`.
struct ScheduledPoll {
  /// When the poll is due; empty if none is scheduled.
  std::optional<TimePoint> due_at;
  /// The runner has not answered any call so far.
  bool first = false;
  /// The runner's first poll is in flight.
  bool in_flight_as_first = false;
  /// The fleet must compute the due time again.
  bool needs_reschedule = false;
};

/// One incarnation of a runner. Pure bookkeeping: it sends nothing. All state
/// of an incarnation is dropped with its object, except for what `Next` hands
/// over.
///
/// Thread safety: none; use it from one thread.
class Runner {
 public:
  /// Creates the incarnation that a list entry describes; it has not answered
  /// any call so far.
  explicit Runner(RunnerInfo info)
      : info_(std::move(info)), incarnation_(info_.incarnation()) {}

  /// Creates the next incarnation under the same id. It takes over the list
  /// entry, the address, the incarnation count, the late orders and when a poll
  /// got no answer.
  std::unique_ptr<Runner> Next(StartTime start_time, TimePoint now);

  const RunnerInfo& info() const { return info_; }
  const RunnerId& id() const { return info_.id; }
  const IncarnationId& incarnation() const { return incarnation_; }
  /// Number of incarnations seen under this id, including this one.
  int incarnations() const { return incarnation_count_; }
  const std::string& rack() const { return info_.rack; }

  /// Where the runner is called: where it answered, or where its entry says if
  /// it has not answered so far. An entry may name the address of another
  /// runner, so the two are called in turn while the runner is silent.
  const std::string& address() const;
  /// Where the runner answered last; empty if it has not answered.
  const std::string& known_address() const { return known_address_; }
  /// Records that the runner answered a call to this address, or that it
  /// answered a previous scheduler there.
  void RecordAddress(const std::string& address) { known_address_ = address; }
  /// True if the runner has answered at this address. Another runner that
  /// answers there now shows that this one has ended. What a previous scheduler
  /// stored does not count if the runner's entry contradicts it.
  bool HasAnsweredAt(const std::string& address) const {
    if (address.empty() || address != known_address_) return false;
    return heard_ || !listed_ || address == info_.address;
  }

  /// Applies the present entry of the runner list.
  void Update(const RunnerInfo& info, TimePoint now);
  /// Records that the runner is no longer in the list.
  void Unlist(TimePoint now);
  bool listed() const { return listed_; }
  TimePoint unlisted_at() const { return unlisted_at_; }
  /// Records that the runner leaves, `leaves_in` from now at the earliest,
  /// whether or not its entry says so.
  void MarkLeaving(TimePoint now, Duration leaves_in);
  /// When the runner was first seen to be leaving; empty unless it is leaving.
  std::optional<TimePoint> draining_since() const { return draining_since_; }

  std::map<TaskName, Run>& runs() { return runs_; }
  const std::map<TaskName, Run>& runs() const { return runs_; }
  /// Finds the task's run with this number; null if there is none.
  Run* FindRun(const TaskName& name, int number);
  void Add(const TaskName& name, const Run& run);
  void Remove(const TaskName& name);
  /// Number of runs here that share the processors in this way.
  int CountSharing(Sharing sharing) const;
  /// Capacity that no run takes; negative where the capacity shrank below what
  /// the runs take.
  const Resources& free_capacity() const { return free_capacity_; }
  /// True if the run fits beside everything that may occupy the runner: runs
  /// that began or may still begin, runs that are being stopped, and orphaned
  /// runs.
  bool HasCapacityFor(const Run& run) const;

  /// Records an answer of this incarnation that carried the runner's clock.
  void RecordAnswer(TimePoint now, std::int64_t clock_ms);
  /// Records a call without an answer.
  void RecordMiss(TimePoint now);
  bool heard() const { return heard_; }
  /// The runner's clock in the latest answer; 0 if there was none.
  std::int64_t heard_clock_ms() const { return heard_clock_ms_; }
  /// The runner's clock in its first answer to this scheduler. It starts near
  /// zero with each incarnation. Precondition: `heard()`.
  std::int64_t first_clock_ms() const { return first_clock_ms_; }
  /// When the latest answer arrived.
  TimePoint heard_at() const { return heard_at_; }
  /// True if the latest call was answered.
  bool reachable() const { return heard_ && misses_ == 0; }
  int misses() const { return misses_; }
  /// When the first unanswered call since the latest answer ended; empty if the
  /// latest call was answered.
  std::optional<TimePoint> silent_since() const { return silent_since_; }
  /// True if the runner was known to be leaving before it became silent.
  bool LeftAsAnnounced() const;

  /// Returns the end of a lease of `length` from now, on the runner's clock,
  /// and records that the lease may be granted. Precondition: `heard()`.
  std::int64_t GrantLease(TimePoint now, Duration length);
  /// Until when the incarnation may hold a lease, whoever granted it.
  const RunnerLease& lease() const { return lease_; }
  /// How long a lease may still last; 0 if all have expired.
  Duration LeaseLeft(TimePoint now) const {
    return std::max(Duration(0), lease_.expires_at() - now);
  }
  /// Records that calls that are foreign to the incarnation (`RunnerLease`) may
  /// still arrive, and that leases that they grant expire at `at` at the
  /// latest.
  void AssumeForeignLeaseUntil(TimePoint at, LeaseBasis basis) {
    lease_.AssumeForeignUntil(at, basis);
  }
  /// Records an answer with this clock to the start of a run. Whichever
  /// incarnation gave it holds a lease up to the end that the start named, but
  /// for `longest` at most.
  void RecordStartAnswer(TimePoint now, const Run& run, std::int64_t clock_ms,
                         Duration longest);
  /// Records that a poll that grants a lease got no answer that will be
  /// handled.
  void RecordUnansweredPoll(TimePoint now) { grants_.poll_unanswered_at = now; }
  const UnattributedGrants& unattributed_grants() const { return grants_; }

  /// The generation of the fencing tokens of calls to this incarnation, higher
  /// than that of all calls to earlier incarnations.
  FenceGeneration fence_generation;
  /// False until this incarnation has answered a call of that generation and of
  /// this scheduler. Until then it may carry out calls that were sent to
  /// earlier incarnations, and those of previous schedulers.
  bool rejects_foreign_calls() const {
    return foreign_calls_rejected_at_.has_value();
  }
  /// When that answer arrived; empty until then.
  std::optional<TimePoint> foreign_calls_rejected_at() const {
    return foreign_calls_rejected_at_;
  }
  /// Records that it answered one at `now`. Starts that were sent to earlier
  /// incarnations have either begun, and are reported, or never will. The
  /// latest foreign call, which may have granted a lease of `longest`, arrived
  /// at `latest` or before; `latest` is empty if there was no such call.
  void RecordForeignCallsRejected(TimePoint now,
                                  std::optional<TimePoint> latest,
                                  Duration longest);

  // Orders are starts and stops. One is in flight at a time, or the starts of
  // one gang. Queued orders are kept here, and the next one is chosen when it
  // can be sent, from the state at that time.
  int orders_in_flight = 0;
  /// The run of a gang whose starts are in flight.
  std::optional<std::pair<StepName, int>> gang_in_flight;
  /// Stored runs whose start is queued; some of them may be gone by now.
  std::deque<std::pair<TaskName, int>> waiting_starts;

  /// Orders without an answer, sent to any incarnation under this id.
  LateOrders late_orders;

  // Polls: what runs on the runner, and which runs ended there.
  bool poll_in_flight = false;
  /// Number of the latest poll; answers to earlier polls are dropped.
  PollNumber poll_number;
  /// True if the latest poll grants a lease.
  bool poll_grants_lease = false;
  /// Start time from the list entry because of which the runner was polled at
  /// once.
  StartTime hinted_start_time;
  /// True from that entry, or from the answer of another incarnation to an
  /// order, until a poll was answered: this incarnation may be over.
  bool may_have_restarted = false;
  /// Position of the next poll in the schedule of `Fleet`.
  ScheduledPoll scheduled_poll;
  TimePoint poll_sent_at;
  TimePoint next_poll_at;
  /// The latest poll, and the polls that the runner has answered, acknowledge
  /// end reports up to these numbers.
  std::int64_t poll_acknowledges = 0;
  std::int64_t delivered_acknowledgement = 0;
  /// Number of the latest end report that was processed.
  std::int64_t newest_end = 0;
  /// Number of the latest end report of a run whose lease expired; the lease
  /// expired after all earlier ends.
  std::int64_t newest_expired_end = 0;
  /// End reports that were processed but are not stored so far.
  std::set<std::int64_t> unstored_ends;
  /// The runner need not repeat end reports up to this number: they are stored,
  /// and no acknowledgement up to it is deferred.
  std::int64_t AcknowledgedEnd() const;
  bool AllEndsAreAcknowledged() const {
    return unstored_ends.empty() && deferred_ends_.empty();
  }
  /// Runs that were presumed over although no end was reported for them. This
  /// incarnation may still report one.
  std::set<RunKey> presumed_over;
  /// Defers the acknowledgement of an end report until the lease of this
  /// incarnation, granted for `lease` at most, has certainly expired. Until
  /// then no lease may be granted. Returns when that is.
  TimePoint DeferAcknowledgement(std::int64_t number, TimePoint now,
                                 Duration lease);
  /// Allows the deferred acknowledgements once the lease has expired.
  void ReleaseDeferredAcknowledgements(TimePoint now);
  /// False while a deferred acknowledgement waits for the lease to expire.
  bool MayGrantLease(TimePoint now) const { return now >= no_grant_until_; }
  /// Runs that the runner listed, or may still begin, and that no task needs.
  std::map<RunKey, OrphanedRun>& orphans() { return orphans_; }
  /// Adds an orphaned run, which takes `need` until it is removed.
  OrphanedRun& AddOrphan(const RunKey& key, const Resources& need);
  /// Removes the orphaned runs that are not in `there`, except those that may
  /// start late or have a stop in flight.
  void RemoveOrphansExcept(const std::set<RunKey>& there);
  /// No task is placed here before this moment.
  TimePoint backoff_until;
  /// A run failed here and none has succeeded since; until this moment other
  /// runners are preferred.
  TimePoint suspect_until;
  /// When the latest failed run ended here.
  TimePoint failed_at;
  /// That run failed immediately after its start, and none has succeeded since.
  bool failed_immediately = false;
  /// True while the runner may still fail every run that it starts: no run that
  /// began after the failure has been healthy for long enough to rule it out.
  bool MayFailImmediately(TimePoint now) const;
  /// True if a run that was assigned after the failure probes the runner.
  bool HasProbeRun() const;
  /// Consecutive failures that were quick or of different jobs.
  int consecutive_failures = 0;
  JobId last_failed_job;
  /// When the runner leaves at the earliest, while it drains.
  TimePoint leaves_at;
  /// Updates the slowness with a measurement: at its present pace a run of
  /// `job` takes `ratio` times as long as expected.
  void RecordPace(double ratio, const JobId& job);
  /// Actual durations of runs here relative to expected ones; 1 means as
  /// expected.
  double slowness() const { return slowness_; }
  /// Moves the slowness one step towards normal; called once per list interval.
  void FadeSlowness();
  bool IsSlow() const { return slowness_ >= kSlowRunnerRatio; }
  /// True if the runner counts as slow because of other jobs than `job`. A run
  /// whose duration was estimated too short is as slow on every runner.
  bool IsSlowExcluding(const JobId& job) const {
    return SlownessExcluding(job) >= kSlowRunnerRatio;
  }
  /// The slowness without the latest measurements if they are from `job`.
  double SlownessExcluding(const JobId& job) const {
    return job == pace_job_ ? slowness_before_ : slowness_;
  }
  /// Since when the runs here have taken much longer than expected; nothing if
  /// they do not. Kept only while moves are decided by gain.
  std::optional<TimePoint> slow_since;
  /// Updates the usual pace: a run here takes `ratio` times as long as the runs
  /// of its step on other runners.
  void RecordUsualPace(double ratio);
  /// Durations of runs here relative to other runners, as a long-term average.
  double usual_pace() const;
  /// All runs of this incarnation are over.
  bool ended = false;

 private:
  /// True if what the entry says about draining applies to this incarnation.
  bool DescribesThisIncarnation(const RunnerInfo& info) const {
    return !IsReported(info.start_time) ||
           info.start_time == incarnation_.start_time;
  }

  RunnerInfo info_;
  std::string known_address_;
  IncarnationId incarnation_;
  int incarnation_count_ = 1;
  bool listed_ = true;
  TimePoint unlisted_at_;
  std::optional<TimePoint> draining_since_;
  std::map<TaskName, Run> runs_;
  std::map<RunKey, OrphanedRun> orphans_;
  Resources free_capacity_ = info_.room;
  std::map<Sharing, int> sharing_;
  double slowness_ = 1;
  /// The job that the latest measurements of the pace are from, and the
  /// slowness before them.
  JobId pace_job_;
  double slowness_before_ = 1;
  /// Logarithm of the usual pace.
  double usual_pace_ = 0;
  bool heard_ = false;
  std::optional<TimePoint> foreign_calls_rejected_at_;
  int misses_ = 0;
  std::optional<TimePoint> silent_since_;
  TimePoint heard_at_;
  std::int64_t heard_clock_ms_ = 0;
  std::int64_t first_clock_ms_ = 0;
  RunnerLease lease_;
  UnattributedGrants grants_;
  std::set<std::int64_t> deferred_ends_;
  TimePoint no_grant_until_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_RUNNER_H_
