/// @file
/// All runners that the scheduler knows, and the looks that keep in touch with
/// them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_FLEET_H_
#define LIMELEDGE_SRC_DISPATCH_FLEET_H_

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/placement.h"
#include "dispatch/run_loss.h"
#include "dispatch/runner.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

/// Timing of what is said to runners.
struct FleetOptions {
  /// Lease on everything that runs on a runner. Outlasts a take-over of the
  /// scheduler (lease of 2 s, half a second of polling, and the reading), and
  /// is short enough for tasks of a runner that is cut off to come back soon.
  Duration run_lease{5000};
  /// The longest lease that a runner takes, whatever it is granted: a call that
  /// was meant for an earlier life, whose clock was far ahead, grants this
  /// much.
  Duration longest_lease{10000};
  /// How long a look waits for an end: renews the lease in good time.
  Duration busy_wait{1000};
  Duration idle_wait{2000};
  /// The same while the stop of a run in doubt is under way, which alone can
  /// settle it: it is settled later by at most this, and the runner is not
  /// looked at hundreds of times a second.
  Duration doubt_wait{100};
  /// Ends that are not stored yet are waited for this long before the lease is
  /// renewed without telling them as known.
  Duration unstored_end_wait{700};
  /// Ends are told as known to a life that was heard so lately: less than any
  /// runner takes to start again, and several times what a write takes.
  Duration tell_ends_within{100};
  /// First pause after a look that got no answer; doubles up to the second.
  Duration retry_pause{200};
  Duration longest_retry_pause{1000};
  /// A runner whose entry lapsed while the store was away is still given work
  /// for this long after the store's return: such entries come back within 2 s.
  Duration unlisted_grace{2500};
  /// The store was away when the list could not be read for this long; less
  /// than the three heartbeats of 1.5 s after which an entry lapses.
  Duration longest_list_gap{2500};
  /// A runner whose entry goes while the store is there leaves without having
  /// said so: it serves on for the drain time (2 s or more) and then ends.
  Duration unannounced_stay{2000};
  /// Leases are not renewed when this node's own right was not confirmed for
  /// so long: longer than usual outages of the store.
  Duration longest_unconfirmed{10000};
  /// A new scheduler leaves alone for so long what it can neither reach nor
  /// rule out: the last one may renew for `longest_unconfirmed` after its last
  /// write, a lease on a slow clock lasts 5.3 s, and an order under way half a
  /// second more. The 1.3 s that the take-over waited are a margin.
  Duration inherited_lease{15800};
  /// The same for a runner that is not even listed, which counts as gone: a
  /// lease on a slow clock, and an order under way.
  Duration inherited_lease_unlisted{6500};
  /// Runners that are looked at for the first time at once: a new scheduler
  /// that opened hundreds of connections together would not come to renew its
  /// own lease on a small machine.
  int first_polls = 24;
  /// A new scheduler waits this long for first answers before it counts on the
  /// room that it sees: many times what 350 runners take.
  Duration first_answers{500};
  /// Changes of the list of runners are waited for this long, so that a list
  /// without changes is confirmed about every second.
  Duration list_interval{1000};
  /// Changes are asked for no sooner after the last ones, however many there
  /// are. A runner that is taken away at short notice tells so two seconds
  /// before: read once a second, the list told of it 0.6 s before on average.
  Duration list_pause{100};
  /// Rooms count as known while the list was read within this. A room that
  /// shrank counts for starts 4.5 s later at the least (3 s of contact and a
  /// heartbeat of 1.5 s), and a start may leave 1.5 s after its check.
  Duration longest_room_age{2800};
  /// The list is read whole this often, whatever its changes told: what a
  /// change that was missed can do ends by that.
  Duration whole_list_interval{10000};
  /// A task that may crash its runners is told from others by running alone for
  /// so long.
  Duration probation = LossRules().probation;
  /// The same while none was read yet: a new scheduler can do nothing before.
  Duration first_list_pause{250};
};

/// Registry of runners.
///
/// Thread safety: none; use it from one thread.
class Fleet {
 public:
  explicit Fleet(FleetOptions options) : options_(options) {}

  const FleetOptions& options() const { return options_; }
  std::map<RunnerId, std::unique_ptr<Runner>>& runners() { return runners_; }
  const std::map<RunnerId, std::unique_ptr<Runner>>& runners() const {
    return runners_;
  }
  /// Null if that life is not the present one. What the caller changes about
  /// the runner's looks is taken in by the next `Poll`.
  Runner* Find(const IncarnationId& incarnation);
  /// The present life of a runner; null if there is none. The same holds.
  Runner* FindPresent(const RunnerId& id);
  /// Finds the present life of a runner on which an earlier scheduler started a
  /// run, or adds one that is not listed and may hold a lease of that one.
  Runner* FindOrInherit(const IncarnationId& incarnation, TimePoint now);
  /// Notes an answer of the runner that carried its clock.
  void HandleAnswer(Runner* runner, TimePoint now, std::int64_t clock_ms) const;
  /// Puts the life `start_time` in the place of `before`, which is over and
  /// must not be used any more.
  Runner* StartIncarnation(Runner* before, StartTime start_time, TimePoint now);

  /// Reads the list of runners when that is due; waits as long for it as
  /// `patience` says.
  void List(Context& ctx, const StoreTimeout& patience);
  /// Takes in the list; one that could not be read changes nothing.
  void Handle(Context& ctx, const RunnersListed& answer);
  /// True once a list was read.
  bool listed_once() const { return listed_once_; }
  /// When `List` has something to do next.
  TimePoint next_list_at() const {
    return list_under_way_ ? kNever : next_list_at_;
  }

  /// Sends every look that is due. `may_renew`: this node's right to schedule
  /// is fresh enough to renew leases. `all_runs_known`: runners hold no other
  /// runs than those that are noted.
  void Poll(Context& ctx, Epoch epoch, bool may_renew, bool all_runs_known);
  /// The next moment at which `List` or `Poll` has something to do.
  TimePoint next_at() const;

  /// Where orders for the runner go.
  static OrderTarget TargetOf(const Runner& runner, Epoch epoch);
  /// Runners that may be given work now, but for those in halls that are to be
  /// emptied.
  std::vector<Candidate> Candidates(
      TimePoint now, const std::set<HallId>& drained_halls = {}) const;
  /// False while a new scheduler waits for its first answers from runners: the
  /// room that it sees then is only a part of what there is.
  bool KnowsFreeCapacity(TimePoint now) const;
  /// True while the list was read lately enough to tell how large rooms are.
  bool KnowsCapacities(TimePoint now) const {
    return now - rooms_read_at_ <= options_.longest_room_age;
  }
  /// The process stood still: a list that was under way tells of the time when
  /// it was asked for.
  void HandleProcessPause() { list_is_old_ = list_under_way_; }
  /// Drops runners that are gone and hold nothing.
  void RemoveGone(Context& ctx);

 private:
  /// The longest lease that an earlier scheduler may have granted. A runner
  /// that keeps its id takes a late call to the life before, whose clock was
  /// far ahead, for the most that it takes.
  Duration EarlierLeaseOf(const Runner& runner) const;
  /// True if entries that are missing may only have lapsed.
  bool MayHaveLapsed(TimePoint now) const;
  /// Decides when the list is read again after a reading that came to nothing.
  void MissList(TimePoint now);
  /// Notes when and as of which revision the list was read.
  void NoteListRead(TimePoint now, const RunnersListed& answer);
  /// Runners whose entries an answer tells to be gone or unreadable.
  std::set<RunnerId> GoneBy(const RunnersListed& answer) const;
  /// Logs entries that cannot be read, each runner once.
  void NoteUnreadable(Context& ctx, const RunnersListed& answer);
  /// Lets what was believed of slow runners fade, once an interval.
  void FadeSlowness(TimePoint now);
  /// Logs how the list differs from the last one, if it does.
  void TellList(Context& ctx, std::size_t known_before);
  /// Takes in one entry of the list.
  void TakeEntry(Context& ctx, const RunnerInfo& info);
  /// Finds the runner of an entry, or adds it.
  Runner* FindOrAdd(Context& ctx, const RunnerInfo& info);
  /// Takes in that a runner's entry tells of another life. The list lags, so
  /// that this may be an earlier one: a look that leaves now tells.
  void TakeHint(Context& ctx, Runner* runner, StartTime start_time);
  /// Takes in that a runner's entry is gone.
  void Unlist(Context& ctx, Runner* runner);
  /// Notes that the runner's next look may be due at another time than before.
  void Touch(Runner* runner);
  /// Takes in what changed about the touched runners.
  void ScheduleTouched();
  /// Files the runner's next look under its time.
  void Schedule(Runner* runner);
  /// Forgets the runner's next look.
  void Unschedule(Runner* runner);
  /// The runner's object is about to go.
  void ForgetLooks(Runner* runner);
  /// Runners that are to be looked at now; those that never answered a look go
  /// last.
  std::vector<Runner*> DueRunners(TimePoint now) const;
  /// Looks at a runner, which is reachable or not yet heard.
  void LookAt(Context& ctx, Runner* runner, Epoch epoch, bool may_renew,
              bool all_runs_known);
  bool MayLookForTheFirstTime() const {
    return first_looks_ < options_.first_polls;
  }
  bool MayWork(const Runner& runner, TimePoint now) const;
  /// When the runner's next look is due; `kNever` while one is under way.
  TimePoint LookDueAt(const Runner& runner) const;
  Duration WaitFor(const Runner& runner) const;

  /// Looks by the time at which they are due.
  struct DueBefore {
    using Entry = std::pair<TimePoint, Runner*>;
    bool operator()(const Entry& a, const Entry& b) const {
      if (a.first != b.first) return a.first < b.first;
      return a.second->id() < b.second->id();
    }
  };
  using LookTimes = std::set<std::pair<TimePoint, Runner*>, DueBefore>;

  FleetOptions options_;
  std::map<RunnerId, std::unique_ptr<Runner>> runners_;
  /// Of runners that were heard, and of those that were not. Each event would
  /// go through the whole fleet without them, which took a third of the
  /// scheduler's time at 1,100 runners.
  LookTimes polls_;
  LookTimes first_look_times_;
  std::vector<Runner*> touched_;
  /// First looks that are under way.
  int first_looks_ = 0;
  PollNumber newest_look_;
  TimePoint next_list_at_;
  bool list_under_way_ = false;
  /// Readings in a row that came to nothing.
  int list_misses_ = 0;
  bool listed_once_ = false;
  /// Changes after this revision are asked for; 0 while the whole list is.
  Revision list_revision_;
  TimePoint next_whole_list_at_;
  TimePoint next_fade_at_;
  TimePoint first_listed_at_;
  /// Runners that are known and were not listed last.
  std::size_t missing_ = 0;
  TimePoint last_listed_at_;
  TimePoint list_sent_at_;
  bool list_is_old_ = false;
  /// As of when the list tells how large rooms are.
  TimePoint rooms_read_at_;
  /// Runners whose unreadable entries were told of.
  std::set<RunnerId> unreadable_;
  /// When the list was read again after the store had been away.
  TimePoint store_back_at_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_FLEET_H_
