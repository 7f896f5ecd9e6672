/// @file
/// Runners that run tasks under leases, by the clock that they are given.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_EMULATOR_EMULATED_RUNNER_H_
#define LIMELEDGE_SRC_EMULATOR_EMULATED_RUNNER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/effect.h"
#include "dispatch/event.h"

namespace limeledge::emulator {

/// How a task really behaves, whatever its caller guessed.
struct TaskTruth {
  Duration work{1000};
  dispatch::Resources need;
  bool saves_progress = false;
  /// 0 for a task that is no member of a gang.
  int gang_size = 0;
  /// Every run fails when it is done with its work.
  bool always_fails = false;
  /// Every runner that runs it crashes once so much of it is worked.
  std::optional<Duration> crashes_after;
  /// Only the step's task of this index crashes its runners; -1 for all.
  int crashing_index = -1;
};

/// Bounds that hold on all runners.
struct RunnerBounds {
  Duration longest_lease{10000};
  Duration stop_time{300};
  Duration gang_wait{3000};
  Duration save_interval{1000};
  /// If not 0, a lease counts for this long from when its order arrives,
  /// whatever end the order names.
  Duration lease_from_arrival;
  /// Runners refuse what does not fit into their room.
  bool guards_room = true;
};

/// One run of a task. Runs of a task are told apart by their numbers.
struct RunName {
  dispatch::TaskName task;
  int number = 0;

  friend bool operator<(const RunName& a, const RunName& b) {
    return std::tie(a.task, a.number) < std::tie(b.task, b.number);
  }
};

/// What runners share: the truth of tasks, and who is there of each gang.
class GangRegistry;

/// One life of a runner.
///
/// Thread safety: none; callers lock.
class EmulatedRunner {
 public:
  using Truth = std::function<TaskTruth(const dispatch::TaskName&)>;

  /// Its own clock counts from `began`.
  EmulatedRunner(dispatch::RunnerInfo info, RunnerBounds bounds, Truth truth,
                 GangRegistry* gang_registry, TimePoint created_at);
  ~EmulatedRunner();
  EmulatedRunner(const EmulatedRunner&) = delete;
  EmulatedRunner& operator=(const EmulatedRunner&) = delete;

  const dispatch::RunnerInfo& info() const { return info_; }
  dispatch::RunnerInfo& info() { return info_; }

  /// Lets work, stops and leases go on until `now`. Call it before every other
  /// method, with times that do not go back.
  void AdvanceTo(TimePoint now);
  /// The next moment at which something ends by itself.
  TimePoint next_at() const;

  dispatch::StartRunCompleted Start(const dispatch::StartRun& order);
  dispatch::StopRunCompleted Stop(const dispatch::StopRun& order);
  dispatch::RunnerPolled Poll(const dispatch::PollRunner& poll);
  /// True if this life was first looked at longer ago than `time`.
  bool PolledForLongerThan(Duration time) const {
    return first_poll_at_.has_value() && now_ - *first_poll_at_ > time;
  }
  /// True if a look that waits for an end would be answered now.
  bool HasNewEnds(std::int64_t acknowledged) const;

  /// Ends that this life was told are known, though it never listed them; each
  /// is handed out once.
  std::vector<dispatch::ReportedEnd> TakeUnreportedEnds();

  /// True if the runner's lease was over at some time since it listed the end.
  bool LeaseExpiredSince(std::int64_t end) const;

  /// Tasks take so many times as long from now on.
  void SetSlowness(double factor) { slowness_ = factor; }
  /// Every run fails from now on, once its work is done.
  void SetFailing(bool failing) { failing_ = failing; }
  /// Every run that begins from now on fails at once.
  void SetBroken(bool broken) { broken_ = broken; }

  /// What all runs that have not ended take, those that are being stopped
  /// included.
  dispatch::Resources UsedCapacity() const;

  /// The task that crashed this life; nothing while it lives. A life that
  /// crashed does nothing more, and is to be removed.
  const std::optional<dispatch::TaskName>& crashed_by() const {
    return crashed_by_;
  }
  /// Work of the runs here that is not saved, in core-milliseconds, but for
  /// that of one task.
  double UnsavedWorkExcept(const dispatch::TaskName& name) const;

  /// Calls `visit` for each run that has not ended.
  void ForEachRun(
      const std::function<void(const dispatch::TaskName&, int)>& visit) const;

  /// Called by the board: another member ended, or all members are done.
  void EndMember(const dispatch::TaskName& name, int run, dispatch::RunEnd end);

 private:
  struct ActiveRun {
    int number = 0;
    TaskTruth truth;
    TimePoint started_at;
    double worked_ms = 0;
    std::string checkpoint;
    double saved_ms = 0;
    /// It fails as soon as it works.
    bool broken = false;
    /// The run is being stopped and ends then.
    bool stopping = false;
    TimePoint stops_at;
  };

  std::int64_t clock_ms() const;
  bool AcceptsEpoch(Epoch epoch);
  /// Begins the run if nothing is against it.
  dispatch::OrderOutcome ExecuteStart(const dispatch::StartRun& order);
  void BeginRun(const dispatch::StartRun& order, const TaskTruth& truth);
  void ExtendLease(std::int64_t until_ms);
  /// Forgets the ends up to that number.
  void ForgetEnds(std::int64_t acknowledged);
  void UpdateLeaseState();
  void AdvanceRun(const dispatch::TaskName& name, ActiveRun* run,
                  Duration step);
  void End(const dispatch::TaskName& name, dispatch::RunEnd end);
  void SaveCheckpoint(const dispatch::TaskName& name, ActiveRun* run);

  dispatch::RunnerInfo info_;
  RunnerBounds bounds_;
  Truth truth_;
  GangRegistry* gang_registry_;
  TimePoint created_at_;
  TimePoint now_;
  std::optional<TimePoint> first_poll_at_;
  Epoch fence_;
  std::int64_t lease_until_ms_ = 0;
  double slowness_ = 1;
  bool failing_ = false;
  bool broken_ = false;
  std::int64_t last_end_ = 0;
  std::map<dispatch::TaskName, ActiveRun> runs_;
  /// The newest run of each task that ended here or may not begin any more.
  std::map<dispatch::TaskName, int> newest_closed_run_;
  std::vector<dispatch::ReportedEnd> ended_;
  /// The newest end that was listed in an answer.
  std::int64_t newest_reported_ = 0;
  std::vector<dispatch::ReportedEnd> unreported_;
  /// Times that the lease ran out, and their number at each end.
  int lease_expirations_ = 0;
  bool lease_expired_ = false;
  std::map<std::int64_t, int> expirations_at_end_;
  std::optional<dispatch::TaskName> crashed_by_;
};

/// Brings the members of a gang's run together.
///
/// Thread safety: none; callers lock.
class GangRegistry {
 public:
  void Join(const dispatch::TaskName& name, int run, EmulatedRunner* runner);
  /// Takes a member away; the others end by it.
  void Leave(const dispatch::TaskName& name, int run, dispatch::RunEnd end);
  /// Members of the run that are there.
  int CountMembers(const dispatch::TaskName& name, int run) const;

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
