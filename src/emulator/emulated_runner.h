/// @file
/// Simulated runners that execute tasks under leases in virtual time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_EMULATOR_EMULATED_RUNNER_H_
#define LIMELEDGE_SRC_EMULATOR_EMULATED_RUNNER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/effect.h"
#include "dispatch/event.h"

namespace limeledge::emulator {

/// How a task actually behaves, as opposed to its caller's estimate.
struct TaskTruth {
  Duration work{1000};
  dispatch::Resources need;
  bool saves_progress = false;
  /// Number of members of the task's gang; 0 if it belongs to none.
  int gang_size = 0;
  /// The task reports 100 percent while it is at work.
  bool lasting = false;
  /// Share of the tasks, or of the gangs, that take `tail_factor` times as much
  /// work. The name of the task decides which, so every run of it is alike.
  double tail_share = 0;
  double tail_factor = 1;
  /// Every run fails once it has finished its work.
  bool always_fails = false;
  /// Every runner that executes the task crashes once it has done this much of
  /// the work.
  std::optional<Duration> crashes_after;
  /// Index of the only task of the step that crashes its runners; -1 if all do.
  int crashing_index = -1;
};

/// Limits and times that all runners share.
struct RunnerBounds {
  Duration longest_lease{10000};
  Duration stop_time{300};
  Duration gang_wait{3000};
  Duration save_interval{1000};
  /// If not 0, a lease lasts this long from the arrival of its order, whatever
  /// expiry time the order names.
  Duration lease_from_arrival;
  /// Members of a gang advance at the pace of the slowest of their runners.
  /// Otherwise each advances by itself, and the first one that is done ends the
  /// gang.
  bool gangs_in_step = false;
  /// Runners refuse starts that exceed their capacity.
  bool guards_room = true;
};

/// Identifies a run by its task and its number within the task.
struct RunName {
  dispatch::TaskName task;
  int number = 0;

  friend bool operator<(const RunName& a, const RunName& b) {
    return std::tie(a.task, a.number) < std::tie(b.task, b.number);
  }
};

class GangRegistry;

/// One incarnation of a runner.
///
/// Thread safety: none; callers lock.
class EmulatedRunner {
 public:
  using Truth = std::function<TaskTruth(const dispatch::TaskName&)>;

  /// The runner's own clock starts at `created_at`.
  EmulatedRunner(dispatch::RunnerInfo info, RunnerBounds bounds, Truth truth,
                 GangRegistry* gang_registry, TimePoint created_at);
  ~EmulatedRunner();
  EmulatedRunner(const EmulatedRunner&) = delete;
  EmulatedRunner& operator=(const EmulatedRunner&) = delete;

  const dispatch::RunnerInfo& info() const { return info_; }
  dispatch::RunnerInfo& info() { return info_; }

  /// Advances work, stops and leases to `now`. Call it before every other
  /// method, with non-decreasing times.
  void AdvanceTo(TimePoint now);
  /// The earliest time at which a run or the lease may end without an order.
  TimePoint next_at() const;

  dispatch::StartRunCompleted Start(const dispatch::StartRun& order);
  dispatch::StopRunCompleted Stop(const dispatch::StopRun& order);
  dispatch::RunnerPolled Poll(const dispatch::PollRunner& poll);
  /// Records that a scheduler gets the answer to a poll.
  void RecordContact() {
    if (!first_contact_at_.has_value()) first_contact_at_ = now_;
  }
  /// True if the first of these answers was given longer ago than `time`.
  bool KnownForLongerThan(Duration time) const {
    return first_contact_at_.has_value() && now_ - *first_contact_at_ > time;
  }
  /// True if a poll that waits for new ends would be answered now.
  bool HasNewEnds(std::int64_t acknowledged) const;

  /// Returns the ends that were acknowledged although this incarnation never
  /// reported them. Each one is returned once.
  std::vector<dispatch::ReportedEnd> TakeUnreportedEnds();

  /// True if the runner's lease has expired at some time since the run ended.
  bool LeaseExpiredSince(std::int64_t end) const;

  /// Multiplies the duration of work by `factor` for good, in addition to
  /// `SetSlowness`. Precondition: no run is active.
  void SetPace(double factor) { pace_ = factor; }
  /// Factor by which work takes longer at present.
  double pace() const { return pace_ * slowness_; }
  /// Multiplies the duration of work by `factor` from now on.
  void SetSlowness(double factor) { slowness_ = factor; }
  /// While set, every run fails once its work is done.
  void SetFailing(bool failing) { failing_ = failing; }
  /// While set, every run that starts fails immediately.
  void SetBroken(bool broken) { broken_ = broken; }

  /// Capacity that all active runs use, including those that are stopping.
  dispatch::Resources UsedCapacity() const;

  /// The task that crashed this incarnation, if any. After a crash the runner
  /// does nothing more; the owner has to remove it.
  const std::optional<dispatch::TaskName>& crashed_by() const {
    return crashed_by_;
  }
  /// Work since the last checkpoint of all active runs but those of one task,
  /// in core-milliseconds.
  double UnsavedWorkExcept(const dispatch::TaskName& name) const;

  /// The runner's clock now.
  std::int64_t clock_ms() const;

  /// Calls `visit` for each active run.
  void ForEachRun(
      const std::function<void(const dispatch::TaskName&, int)>& visit) const;

  /// Ends a run because another member of its gang ended. Called by the gang
  /// registry.
  void EndMember(const dispatch::TaskName& name, int run, dispatch::RunEnd end);
  /// Lets a run stand still until `until`, and end as broken then, because it
  /// has lost contact to its gang. Called by the gang registry.
  void LoseGang(const dispatch::TaskName& name, int run, TimePoint until);

 private:
  struct ActiveRun {
    int number = 0;
    TaskTruth truth;
    TimePoint started_at;
    double worked_ms = 0;
    std::string checkpoint;
    double saved_ms = 0;
    /// The run fails as soon as it does work.
    bool broken = false;
    /// The run is being stopped and ends at `stops_at`.
    bool stopping = false;
    TimePoint stops_at;
    /// When the run ends because it has lost contact to its gang.
    std::optional<TimePoint> breaks_at;
  };

  /// Factor by which the work of this run takes longer at present.
  double PaceOf(const dispatch::TaskName& name, const ActiveRun& run) const;
  /// The progress that the run reports.
  static int PercentOf(const ActiveRun& run);
  bool AcceptsToken(const dispatch::FencingToken& token);
  /// Starts the run, or returns why it is refused.
  dispatch::OrderOutcome ExecuteStart(const dispatch::StartRun& order);
  void BeginRun(const dispatch::StartRun& order, const TaskTruth& truth);
  void ExtendLease(std::int64_t until_ms);
  /// Drops the ends up to and including that number.
  void ForgetEnds(std::int64_t acknowledged);
  void UpdateLeaseState();
  void AdvanceRun(const dispatch::TaskName& name, ActiveRun* run,
                  Duration step);
  void End(const dispatch::TaskName& name, dispatch::RunEnd end);
  void Save(const dispatch::TaskName& name, ActiveRun* run);

  dispatch::RunnerInfo info_;
  RunnerBounds bounds_;
  Truth truth_;
  GangRegistry* gang_registry_;
  TimePoint created_at_;
  TimePoint now_;
  std::optional<TimePoint> first_contact_at_;
  dispatch::FencingToken fence_;
  std::int64_t lease_until_ms_ = 0;
  double pace_ = 1;
  double slowness_ = 1;
  bool failing_ = false;
  bool broken_ = false;
  std::int64_t last_end_ = 0;
  std::map<dispatch::TaskName, ActiveRun> runs_;
  /// Per task, the newest run that ended here or was cancelled before it
  /// started. Starts up to that run are refused.
  std::map<dispatch::TaskName, int> newest_closed_run_;
  std::vector<dispatch::ReportedEnd> ended_;
  /// Number of the newest end that a poll response contained.
  std::int64_t newest_reported_ = 0;
  std::vector<dispatch::ReportedEnd> unreported_;
  /// How often the lease has expired, in total and when each end occurred.
  int lease_expirations_ = 0;
  bool lease_expired_ = false;
  std::map<std::int64_t, int> expirations_at_end_;
  std::optional<dispatch::TaskName> crashed_by_;
};

/// Tracks which members of each gang run are present on their runners.
///
/// Thread safety: none; callers lock.
class GangRegistry {
 public:
  void Join(const dispatch::TaskName& name, int run, EmulatedRunner* runner);
  /// Removes a member, which ends the runs of all other members.
  void Leave(const dispatch::TaskName& name, int run, dispatch::RunEnd end);
  /// Separates the runners in `separated` from the others. The runs of gangs on
  /// both sides end as broken: at once outside, and at `noticed_at` on the
  /// separated runners.
  void Split(const std::set<RunnerId>& separated, TimePoint noticed_at);
  /// Number of members of the run that are present.
  int CountMembers(const dispatch::TaskName& name, int run) const;
  /// The largest factor by which work takes longer on a member's runner; 1 if
  /// no member is present.
  double SlowestPaceOf(const dispatch::TaskName& name, int run) const;

 private:
  struct Member {
    dispatch::TaskName name;
    EmulatedRunner* runner = nullptr;
  };
  using GangKey = std::pair<dispatch::TaskName, int>;
  static GangKey MakeKey(const dispatch::TaskName& name, int run);
  std::map<GangKey, std::vector<Member>> gangs_;
};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_SRC_EMULATOR_EMULATED_RUNNER_H_
