/// @file
/// All runners known to the scheduler, and the polls that keep their leases and
/// state up to date.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_FLEET_H_
#define LIMELEDGE_SRC_DISPATCH_FLEET_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/placement.h"
#include "dispatch/run_loss.h"
#include "dispatch/runner.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

/// Timing of polls, leases and the runner list.
struct FleetOptions {
  /// Lease on all runs of a runner. It outlasts a take-over of the scheduler (a
  /// lease of 2 s, half a second of polling, and loading the state), and is
  /// short enough for the tasks of an unreachable runner to be restarted soon.
  Duration run_lease{5000};
  /// The longest lease that a runner accepts, whatever it is granted. A call
  /// meant for an earlier incarnation whose clock was far ahead grants this
  /// much.
  Duration longest_lease{10000};
  /// How long a call without an answer may still be carried out, whatever lease
  /// end it names: at most twelve seconds, plus a margin for clock skew.
  Duration late_call_window{12500};
  /// How long a poll waits for a run to end; short enough to renew the lease in
  /// time. `busy_wait` is for runners with runs, `idle_wait` for the others.
  Duration busy_wait{1000};
  Duration idle_wait{2000};
  /// The wait while a stop is under way for a run whose start got no answer,
  /// since only the stop can resolve it. It delays the resolution by at most
  /// this, and without it the runner would be polled hundreds of times a
  /// second.
  Duration unconfirmed_run_wait{100};
  /// How long a poll is put off while end reports are not stored; after that
  /// the lease is renewed without acknowledging them.
  Duration unstored_end_wait{700};
  /// End reports are acknowledged only to an incarnation that answered within
  /// this time. It is less than any runner needs to restart, and several times
  /// the duration of a write.
  Duration max_acknowledgement_delay{100};
  /// Pause after the first poll without an answer; it grows up to
  /// `longest_retry_pause`.
  Duration retry_pause{200};
  Duration longest_retry_pause{1000};
  /// A runner whose entry expired while the store was unavailable still gets
  /// work for this long after the store's return, since such entries come back
  /// within 2 s.
  Duration unlisted_grace{2500};
  /// The store counts as having been unavailable if the list could not be read
  /// for this long. Less than the three heartbeats of 1.5 s after which an
  /// entry expires.
  Duration max_list_gap{2500};
  /// A runner whose entry is removed while the store is available leaves
  /// without announcement: it keeps running for its drain time (2 s or more)
  /// and then ends.
  Duration unannounced_drain_time{2000};
  /// Leases are not renewed if this node's own lease on scheduling was not
  /// confirmed for this long. Longer than usual outages of the store.
  Duration longest_unconfirmed{10000};
  /// A new scheduler does not touch a run of a previous one for this long if it
  /// can neither reach its runner nor rule the run out. Any previous scheduler
  /// may renew for `longest_unconfirmed` after its last write, a lease on a
  /// slow clock lasts 5.3 s, and an order in flight adds half a second. A call
  /// that reaches a later incarnation grants more, which is not covered. That
  /// the runner is not listed, or refuses connections, rules nothing out: it
  /// may be partitioned together with a previous scheduler.
  Duration previous_scheduler_lease{15800};
  /// Maximum number of first polls in flight. A new scheduler that opened
  /// hundreds of connections at once would fail to renew its own lease on a
  /// small machine.
  int max_first_polls = 24;
  /// A new scheduler waits this long for first answers before it relies on the
  /// free capacity that it sees. Many times what 350 runners need.
  Duration first_answers{500};
  /// A request for changes of the runner list waits this long, so that an
  /// unchanged list is confirmed about once a second.
  Duration list_interval{1000};
  /// Minimum pause between requests for changes, unless there may be more
  /// already. A runner that is taken away at short notice announces it two
  /// seconds before; with one read per second the announcement would be seen
  /// late.
  Duration list_pause{100};
  /// Capacities count as known if the list was read within this time. A
  /// capacity that shrank affects starts 4.5 s later at the earliest (3 s of
  /// contact and a heartbeat of 1.5 s), and a start may be sent 1.5 s after its
  /// check.
  Duration max_capacity_age{2800};
  /// The whole list is read this often, which limits the effect of a missed
  /// change.
  Duration whole_list_interval{10000};
  /// How long a task that may crash its runners runs alone, so that a crash can
  /// be attributed to it.
  Duration probation = LossRules().probation;
  /// The list is outdated if no answer to a later request was handled for this
  /// long. Longer than the two requests in which an unchanged list is
  /// confirmed, and shorter than the time that a runner which leaves may still
  /// get work where there are so many that answers are handled late.
  Duration max_list_age{2500};
  /// Replaces `list_interval` after a failed read while no list was read at
  /// all, since a new scheduler can do nothing before.
  Duration first_list_pause{250};
};

/// The known runners, and the schedule of their polls.
///
/// Thread safety: none; use it from one thread.
class Fleet {
 public:
  explicit Fleet(FleetOptions options) : options_(options) {}

  /// Records that calls that are foreign to every incarnation (`RunnerLease`)
  /// may arrive up to `at`.
  void AssumeForeignCallsUntil(TimePoint at) {
    foreign_calls_until_ = std::max(foreign_calls_until_.value_or(at), at);
  }
  /// The same for calls of previous schedulers, of which the latest was deposed
  /// at `now` or before.
  void AssumePreviousScheduler(TimePoint now) {
    AssumeForeignCallsUntil(now + options_.longest_unconfirmed +
                            options_.late_call_window);
  }

  const FleetOptions& options() const { return options_; }
  std::map<RunnerId, std::unique_ptr<Runner>>& runners() { return runners_; }
  const std::map<RunnerId, std::unique_ptr<Runner>>& runners() const {
    return runners_;
  }
  /// Finds a runner; null if `id` is not its present incarnation. The next
  /// `Poll` reschedules the runner's poll, so the caller may change its due
  /// time.
  Runner* Find(const IncarnationId& id);
  /// Finds the present incarnation of a runner; null if there is none. The next
  /// `Poll` reschedules its poll, as after `Find`.
  Runner* FindPresent(const RunnerId& id);
  /// Finds the present incarnation of a runner on which a previous scheduler
  /// started a run. A runner that is unknown is added as not listed, with the
  /// address that the scheduler stored, since it may hold a lease of that
  /// scheduler.
  Runner* FindOrInherit(const IncarnationId& incarnation,
                        const std::string& address, TimePoint now);
  /// Records that the incarnation answered a call that outranks all foreign
  /// ones (`RunnerLease`).
  void HandleForeignCallsRejected(Runner* runner, TimePoint now) const;
  /// Replaces `before`, which is over and must not be used any more, by the
  /// incarnation with this start time.
  Runner* StartIncarnation(Runner* before, StartTime start_time, TimePoint now);

  /// Polls the runner at once because another incarnation answered an order,
  /// unless it is being polled for that.
  void HandleOtherIncarnation(TimePoint now, Runner* runner);

  /// Requests the runner list if that is due, with the timeout that
  /// `store_timeout` gives.
  void List(Context& ctx, const StoreTimeout& store_timeout);
  /// Applies the answer; a failed read changes nothing about the runners.
  void Handle(Context& ctx, const RunnersListed& answer);
  /// True once a list was read.
  bool listed_once() const { return listed_once_; }
  /// When `List` has something to do next.
  TimePoint next_list_at() const {
    return list_in_flight_ ? kNever : next_list_at_;
  }

  /// Sends every poll that is due. `may_renew`: this node's lease on scheduling
  /// was confirmed recently enough to renew the runners' leases.
  /// `all_runs_known`: runners hold no other runs than those recorded here.
  void Poll(Context& ctx, Epoch epoch, bool may_renew, bool all_runs_known);
  /// When `List` or `Poll` has something to do next.
  TimePoint next_at() const;

  /// The address and incarnation to which orders for the runner are sent, and
  /// the fencing token that they carry.
  static OrderTarget TargetOf(const Runner& runner, Epoch epoch);
  /// True if calls of a later generation may have been sent to the runner, so
  /// that it rejects those of `generation`.
  bool IsOutdated(const RunnerId& id, FenceGeneration generation) const;
  /// Runners that may get work now, except those in halls that are being
  /// drained.
  std::vector<Candidate> Candidates(
      TimePoint now, const std::set<HallId>& drained_halls = {}) const;
  /// False while a new scheduler waits for first answers from runners and sees
  /// only a part of the free capacity.
  bool KnowsFreeCapacity(TimePoint now) const;
  /// True if the list was read recently enough for its capacities to be relied
  /// on.
  bool KnowsCapacities(TimePoint now) const {
    return now - capacities_read_at_ <= options_.max_capacity_age;
  }
  /// The time whose capacities the list describes.
  TimePoint capacities_read_at() const { return capacities_read_at_; }
  /// Records that the process was paused: the answer to a list request in
  /// flight describes the state at the time of the request.
  void HandleProcessPause() { list_is_outdated_ = list_in_flight_; }
  /// Returns true if all changes of the list up to a short time before `now`
  /// have been applied, as far as there are any: the store was unavailable
  /// until `available_since`, or is available for longer. While it returns
  /// false, nothing must be started: runners may be leaving.
  bool IsListCurrent(TimePoint now, TimePoint available_since) const {
    const TimePoint unseen_since = std::max(list_current_at_, available_since);
    return now - unseen_since <= options_.max_list_age;
  }
  /// All changes of the list up to this time have been applied.
  TimePoint list_current_at() const { return list_current_at_; }
  /// Removes runners that are gone and hold nothing.
  void RemoveGone(Context& ctx);

 private:
  /// The longest lease that a foreign call may have granted. On a runner that
  /// keeps its id, it may have been sent to an earlier incarnation, whose clock
  /// was far ahead; it then grants the longest lease that the runner accepts.
  Duration LongestForeignLease(const Runner& runner) const;
  /// Makes calls to runners that are found or restart from now on outrank all
  /// calls that were sent before.
  void RaiseFenceGeneration();
  /// True if missing entries may only have expired during an outage of the
  /// store.
  bool MayHaveExpired(TimePoint now) const;
  /// Adds a runner that is not known so far.
  Runner* Add(const RunnerInfo& info);
  /// Decides when the list is read again after a failed read.
  void HandleFailedListRead(TimePoint now);
  /// Records when and as of which revision the list was read.
  void RecordListRead(TimePoint now, const RunnersListed& answer);
  /// Runners whose entries were removed or are unreadable according to the
  /// answer.
  std::set<RunnerId> RemovedBy(const RunnersListed& answer) const;
  /// Logs unreadable entries, once for each runner.
  void LogUnreadable(Context& ctx, const RunnersListed& answer);
  /// Lets the slowness of runners fade, once per list interval.
  void FadeSlowness(TimePoint now);
  /// Logs how the list differs from the previous one, if it does.
  void LogListChanges(Context& ctx, std::size_t known_before);
  /// Applies one entry of the list.
  void ApplyEntry(Context& ctx, const RunnerInfo& info);
  /// Finds the runner of an entry, or adds it.
  Runner* FindOrAdd(Context& ctx, const RunnerInfo& info);
  /// Polls the runner at once because its entry describes another incarnation.
  /// The list lags, so that may be an earlier one; the poll shows which
  /// incarnation is present.
  void PollForNewIncarnation(Context& ctx, Runner* runner, StartTime started);
  /// Polls the runner at once, whether or not a poll is in flight, because its
  /// incarnation may be over.
  static void PollForRestart(TimePoint now, Runner* runner);
  /// Records that a runner's entry is gone.
  void Unlist(Context& ctx, Runner* runner);
  /// Records that the due time of the runner's next poll may have changed.
  void MarkForReschedule(Runner* runner);
  /// Updates the schedule for all runners whose due time may have changed.
  void RescheduleMarked();
  /// Enters the runner's next poll in the schedule.
  void Schedule(Runner* runner);
  /// Removes the runner's next poll from the schedule.
  void Unschedule(Runner* runner);
  /// Drops all references to a runner whose object is about to be destroyed.
  void DropReferences(Runner* runner);
  /// Runners to be polled now; those that were polled but never answered are
  /// last.
  std::vector<Runner*> DueRunners(TimePoint now) const;
  /// Polls a runner.
  void SendPoll(Context& ctx, Runner* runner, Epoch epoch, bool may_renew,
                bool all_runs_known);
  bool HasFreeFirstPollSlot() const {
    return first_polls_in_flight_ < options_.max_first_polls;
  }
  bool AcceptsWork(const Runner& runner, TimePoint now) const;
  /// When the runner's next poll is due; `kNever` while one is in flight.
  TimePoint PollDueAt(const Runner& runner) const;
  Duration PollWaitFor(const Runner& runner) const;

  /// Orders polls by their due time.
  struct ByDueTime {
    using Entry = std::pair<TimePoint, Runner*>;
    bool operator()(const Entry& a, const Entry& b) const {
      if (a.first != b.first) return a.first < b.first;
      return a.second->id() < b.second->id();
    }
  };
  using PollTimes = std::set<std::pair<TimePoint, Runner*>, ByDueTime>;

  FleetOptions options_;
  std::map<RunnerId, std::unique_ptr<Runner>> runners_;
  /// Calls of previous schedulers, and calls to runners that were removed, may
  /// arrive up to this time; empty if there are none.
  std::optional<TimePoint> foreign_calls_until_;
  /// Due polls of runners that have answered before, and of those that have
  /// not. Without these sets every event would iterate over all runners, which
  /// took a third of the scheduler's time with 1,100 runners.
  PollTimes poll_times_;
  PollTimes first_poll_times_;
  std::vector<Runner*> to_reschedule_;
  /// First polls in flight.
  int first_polls_in_flight_ = 0;
  PollNumber latest_poll_;
  /// Shared by all runners, so that a runner that is removed and added again
  /// gets no lower generation than before.
  FenceGeneration fence_generation_;
  TimePoint next_list_at_;
  bool list_in_flight_ = false;
  /// Consecutive reads that failed.
  int failed_list_reads_ = 0;
  bool listed_once_ = false;
  /// Changes after this revision are requested; 0 requests the whole list.
  Revision list_revision_;
  TimePoint next_whole_list_at_;
  TimePoint next_fade_at_;
  TimePoint first_listed_at_;
  /// Known runners that are not in the latest list.
  std::size_t missing_ = 0;
  TimePoint last_listed_at_;
  TimePoint list_sent_at_;
  TimePoint list_current_at_;
  /// Changes that were read since the list was last current.
  std::size_t changes_behind_ = 0;
  bool list_is_outdated_ = false;
  /// The time whose capacities the list describes.
  TimePoint capacities_read_at_;
  /// Runners whose unreadable entries were logged.
  std::set<RunnerId> unreadable_;
  /// When the list was first read again after the store had been unavailable.
  TimePoint store_available_since_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_FLEET_H_
