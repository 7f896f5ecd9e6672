/// @file
/// Stand-in for the platform in a soak test: store, operator and runners in one
/// process.
/// process.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_SOAK_PLATFORM_H_
#define LIMELEDGE_SOAK_SOAK_PLATFORM_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "emulator/capacity_history.h"
#include "emulator/promise_oracle.h"
#include "platform/standin/runner_server.h"
#include "platform/standin/store_server.h"
#include "soak/cancel_watch.h"
#include "soak/experiment.h"
#include "soak/fault_log.h"
#include "soak/tcp_proxy.h"

namespace limeledge::soak {

/// Number of attempts that every queue allows for a task.
inline constexpr int kMaxAttempts = 3;
/// Host name of all calls, and the key that is always valid.
inline constexpr char kHost[] = "soak.example";
inline constexpr char kKey[] = "standing-key";
/// Path prefixes of the queues for ordinary and urgent jobs.
inline constexpr char kOrdinaryPrefix[] = "/recompute/";
inline constexpr char kUrgentPrefix[] = "/validate/";
/// Accelerators guaranteed to the only workspace for urgent jobs.
inline constexpr int kGuaranteedAccelerators = 16;

/// Number of parts of the full capacity of a runner.
inline constexpr int kWholeRoom = 4;

/// Returns the route that a configuration version adds; the second version
/// after it drops the route.
std::string ProbePrefix(std::int64_t version);

/// A configuration version, and when it was written.
struct ConfigWrite {
  std::int64_t version = 0;
  TimePoint at;
};

/// Runs the stand-in platform; the oracle observes all orders to runners.
///
/// Thread safety: all methods from any thread, except `Start` and `Stop`.
class SoakPlatform : public standin::RunnerObserver {
 public:
  /// `faults` must outlive this object.
  SoakPlatform(const Experiment& experiment, const FaultLog* faults);
  ~SoakPlatform() override;

  /// Starts serving. Fails with `kUnavailable`.
  absl::Status Start();
  void Stop();
  Endpoint store_endpoint() const { return store_endpoint_; }
  standin::StoreServer& store() { return store_; }

  // Operator actions.
  /// Writes the next configuration version.
  void WriteConfig();
  ConfigWrite newest_config() const;

  // Runners, by their index from 0.
  int runners() const { return static_cast<int>(places_.size()); }
  TcpProxy& runner_link(int place) { return places_[place]->link; }
  /// Crashes the runner; nothing responds at its address until `ReviveRunner`.
  void KillRunner(int place);
  /// Crashes the runner together with its machine: open connections go silent,
  /// and the next incarnation gets the calls on connections that were opened
  /// while it was down.
  void KillRunnerSilently(int place);
  /// Starts a new incarnation at the same address.
  void ReviveRunner(int place);
  void DrainRunner(int place, Duration leaves_in);
  bool IsLeaving(int place) const;
  /// The runner no longer reaches the store, so that its entry expires. It
  /// keeps running.
  void CutOffStore(int place);
  /// The runner reaches the store again.
  void RejoinStore(int place);
  /// Another writer replaces the address in the runner's entry by that of the
  /// next runner that is up. Does nothing if there is none.
  void OverwriteEntry(int place);
  /// The entry names the runner's own address again.
  void RestoreEntry(int place);
  /// Another writer adds an entry, under an id of its own, with the address of
  /// the runner. Does nothing if the runner is down.
  void AddAlias(int place);
  void RemoveAlias(int place);
  /// Immediately starts a new incarnation in place of a runner that is leaving.
  void ReplaceLeaving();
  void SetSlowness(int place, double factor);
  /// Sets the runner's capacity to this many of `kWholeRoom` parts.
  void ShareRoom(int place, int parts);
  void SetFailing(int place, bool failing);

  // Jobs.
  /// Starts tracking a job, before it is submitted.
  void Watch(const dispatch::JobSpec& spec,
             const std::vector<emulator::TaskTruth>& truths);
  /// Calls `use` with the oracle while holding its lock.
  template <typename Use>
  auto WithOracle(Use use) {
    const std::lock_guard<std::mutex> lock(shed_.mutex);
    return use(oracle_);
  }
  /// Records that a cancel was acknowledged to a caller.
  void RecordCancellation(const JobId& job);
  /// Returns how long cancelled jobs kept running.
  CancelTimes cancel_times();
  /// Records a violated invariant for the report.
  void Violate(const std::string& what);
  /// Returns the start time of the first task of a job; 0 if none started.
  TimePoint FirstStart(const JobId& job);
  int starts() const { return starts_; }
  /// Returns the longest time without a start between `from` and `to`.
  Duration LongestTimeWithoutStart(TimePoint from, TimePoint to);

  void OnStart(const emulator::EmulatedRunner& runner,
               const dispatch::StartRun& order) override;
  void OnPoll(const emulator::EmulatedRunner& runner,
              const dispatch::PollRunner& poll,
              const dispatch::RunnerPolled& answer) override;
  void OnUnread(const std::vector<dispatch::ReportedEnd>& ends) override {
    oracle_.RecordUnreportedEnds(ends);
  }

 private:
  /// A machine: the current incarnation of its runner, and the link to it.
  struct Place {
    TcpProxy link;
    int port = 0;
    int incarnation = 0;
    /// Its heartbeats do not reach the store.
    bool cut_off = false;
    /// Address that another writer put into its entry; empty if none did.
    std::string overwritten_address;
    /// There is another entry with its address.
    bool has_alias = false;
    /// Null while the runner is down.
    std::unique_ptr<standin::RunnerServer> server;
  };
  /// A machine whose runner was crashed by a task.
  struct Crashed {
    int place = 0;
    TimePoint since;
  };
  /// An incarnation that ended or was cut off without notice; its entry is
  /// removed later.
  struct Silent {
    RunnerId id;
    TimePoint since;
  };

  void StartLife(int place);
  /// Crashes the runner, if there is one; `down` applies to its link until
  /// `ReviveRunner`.
  void EndLife(int place, const LinkFault& down);
  void Beat();
  /// Writes the entry of a runner that reaches the store. Precondition: the
  /// place has a runner.
  void WriteEntry(const Place& place);
  /// Keeps the entry under this id from being removed.
  void DropSilent(const RunnerId& id);
  /// Samples all tasks that run.
  void Sample();
  /// Stops runners that tasks crashed, and restarts them later.
  void TendCrashed();
  /// Records the runs on a runner that crashes. Precondition: the lock of the
  /// shared runner state is held.
  void RecordRunnerCrash(standin::RunnerServer* server);
  std::string EncodeConfig(std::int64_t version) const;

  bool checks_times_;
  const FaultLog* faults_;
  Endpoint store_endpoint_;
  standin::StoreServer store_;
  standin::SharedRunnerState shed_;
  emulator::PromiseOracle oracle_;
  /// Guarded by the lock of the shared runner state, as the oracle is.
  CancelWatch cancels_;
  SteadyClock clock_;
  /// Guards the machines and the configuration; acquired before the lock of the
  /// shared runner state.
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<Place>> places_;
  std::vector<Silent> silent_;
  /// Used only by the thread `beats_`.
  std::vector<Crashed> crashed_;
  bool guards_room_;
  bool keeps_ids_;
  /// Guarded by the lock of the shared runner state.
  emulator::CapacityHistory rooms_;
  ConfigWrite newest_config_;
  /// Runners that announced that they leave, and when; guarded by the lock of
  /// the shared runner state.
  std::map<RunnerId, TimePoint> draining_;
  std::map<JobId, TimePoint> first_starts_;
  /// Times of all starts in ascending order; guarded by the lock of the shared
  /// runner state.
  std::vector<TimePoint> start_times_;
  std::atomic<int> starts_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread beats_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_SOAK_PLATFORM_H_
