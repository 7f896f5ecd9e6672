/// @file
/// The platform of a soak: store, operator and runners in this process.
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

/// Attempts that every queue gives a task.
inline constexpr int kMaxAttempts = 3;
/// What all calls name, and the key that always holds.
inline constexpr char kHost[] = "soak.example";
inline constexpr char kKey[] = "standing-key";
/// Prefixes of the queues of ordinary and urgent jobs.
inline constexpr char kOrdinaryPrefix[] = "/recompute/";
inline constexpr char kUrgentPrefix[] = "/validate/";
/// Accelerators that belong to the one workspace for urgent jobs.
inline constexpr int kGuaranteedAccelerators = 16;

/// Parts that a whole room has.
inline constexpr int kWholeRoom = 4;

/// The route that a version of the configuration brings; the version after the
/// next one drops it.
std::string ProbePrefix(std::int64_t version);

/// When a version of the configuration was written.
struct ConfigWrite {
  std::int64_t version = 0;
  TimePoint at;
};

/// Sees all that runners are told, through the oracle.
///
/// Thread safety: all methods from any thread but for `Start` and `Stop`.
class SoakPlatform : public standin::RunnerObserver {
 public:
  /// `faults` outlives this object.
  SoakPlatform(const Experiment& experiment, const FaultLog* faults);
  ~SoakPlatform() override;

  /// Begins to serve. Fails with `kUnavailable`.
  absl::Status Start();
  void Stop();
  Endpoint store_endpoint() const { return store_endpoint_; }
  standin::StoreServer& store() { return store_; }

  // The operator.
  /// Writes the next version of the configuration.
  void WriteConfig();
  ConfigWrite newest_config() const;

  // Runners, by their place from 0.
  int runners() const { return static_cast<int>(places_.size()); }
  TcpProxy& runner_link(int place) { return places_[place]->link; }
  /// The runner ends without a word; nothing answers until `ReviveRunner`.
  void KillRunner(int place);
  /// Another life comes at the same address.
  void ReviveRunner(int place);
  void DrainRunner(int place, Duration leaves_in);
  bool IsLeaving(int place) const;
  /// Another life comes at once where a runner is leaving.
  void ReplaceLeaving();
  void SetSlowness(int place, double factor);
  /// The runner's room becomes so many of `kWholeRoom` parts.
  void ShareRoom(int place, int parts);
  void SetFailing(int place, bool failing);

  // Jobs.
  /// Begins to watch a job before it is sent.
  void Watch(const dispatch::JobSpec& spec,
             const std::vector<emulator::TaskTruth>& truths);
  /// Calls `use` with the oracle under its lock.
  template <typename Use>
  auto WithOracle(Use use) {
    const std::lock_guard<std::mutex> lock(shed_.mutex);
    return use(oracle_);
  }
  /// A caller was told that the job is cancelled.
  void RecordCancellation(const JobId& job);
  /// How long cancelled jobs ran.
  CancelTimes cancel_times();
  /// Adds a promise that was broken, for the report.
  void Violate(const std::string& what);
  /// When the first task of a job started; 0 if none did.
  TimePoint FirstStart(const JobId& job);
  int starts() const { return starts_; }
  /// Longest time between two starts, or an end of the time and a start.
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
  /// A machine: its runner's present life, and the link to it.
  struct Place {
    TcpProxy link;
    int port = 0;
    int incarnation = 0;
    /// Null while the runner is down.
    std::unique_ptr<standin::RunnerServer> server;
  };
  /// A place whose runner a task crashed.
  struct Crashed {
    int place = 0;
    TimePoint since;
  };
  /// A life that ended without a word: its entry goes a while later.
  struct Silent {
    RunnerId id;
    TimePoint since;
  };

  void StartLife(int place);
  void Beat();
  /// Looks at all that runs.
  void Sample();
  /// Ends runners that tasks crashed, and brings them back later.
  void TendCrashed();
  /// Notes what ran on a runner that crashes. Precondition: the shed's lock is
  /// held.
  void RecordRunnerCrash(standin::RunnerServer* server);
  std::string EncodeConfig(std::int64_t version) const;

  bool checks_times_;
  const FaultLog* faults_;
  Endpoint store_endpoint_;
  standin::StoreServer store_;
  standin::SharedRunnerState shed_;
  emulator::PromiseOracle oracle_;
  /// Under the shed's lock, as the oracle.
  CancelWatch cancels_;
  SteadyClock clock_;
  /// Guards the places and the configuration; taken before the shed's lock.
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<Place>> places_;
  std::vector<Silent> silent_;
  /// Of the thread of beats.
  std::vector<Crashed> crashed_;
  bool guards_room_;
  bool keeps_ids_;
  /// Under the shed's lock.
  emulator::CapacityHistory rooms_;
  ConfigWrite newest_config_;
  /// Runners that said that they leave, and when; under the shed's lock.
  std::map<RunnerId, TimePoint> draining_;
  std::map<JobId, TimePoint> first_starts_;
  /// Of all starts, rising; under the shed's lock.
  std::vector<TimePoint> start_times_;
  std::atomic<int> starts_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread beats_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_SOAK_PLATFORM_H_
