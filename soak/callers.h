/// @file
/// Callers of a soak: what they send, and what they hold answers against.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_CALLERS_H_
#define LIMELEDGE_SOAK_CALLERS_H_

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/balancer.h"
#include "soak/config_prober.h"
#include "soak/job_maker.h"
#include "soak/node_client.h"
#include "soak/node_process.h"
#include "soak/soak_platform.h"

namespace limeledge::soak {

/// Numbers of one run, for its report.
struct CallerCounts {
  std::atomic<int> submitted = 0;
  std::atomic<int> accepted = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> unknown = 0;
  std::atomic<int> queries = 0;
  std::atomic<int> held_calls = 0;
};

/// One call that handed a job in and was answered.
struct SubmitTiming {
  TimePoint at;
  Duration took;
};

/// Threads that hand jobs in, ask for them and cancel them, at nodes that the
/// balancer takes for ready, and report what breaks a promise.
///
/// Thread safety: `Start` and `Stop` from one thread; the rest from any.
class Callers {
 public:
  /// All that is given outlives this object.
  Callers(const Experiment& experiment, std::uint64_t seed,
          SoakPlatform* platform, Nodes* nodes, const FaultLog* faults);
  ~Callers();

  void Start();
  /// Ends the threads that make load; nothing new is handed in.
  void Stop();

  /// Hands a job in until it is taken or was refused too often. Returns true
  /// if it was accepted.
  bool Submit(const DraftJob& job);
  /// The job's state; "gone" if there is none, empty without an answer.
  std::string StateOf(const std::string& path);

  /// Paths of all jobs that were sent.
  std::map<JobId, std::string> paths();
  const CallerCounts& counts() const { return counts_; }
  std::vector<SubmitTiming> timings();

 private:
  // What the threads do until `Stop`.
  void Balance();
  void ProbeConfig();
  void MakeLoad(std::uint64_t seed);
  /// Opens connections, and sends on them only after a while.
  void HoldConnections(std::uint64_t seed);

  /// Hands jobs in one after the other, and does with all of them what their
  /// caller may do.
  void Live(const std::vector<DraftJob>& jobs, JobMaker* maker);
  /// Cancels a job, again until that is answered.
  void Cancel(const DraftJob& job);
  /// Sends a call with a key that never held.
  void CheckKey(JobMaker* maker);
  /// Hands an accepted job in again.
  void CheckSentAgain(const DraftJob& job);

  /// Notes a job that is about to be sent.
  void NoteSent(const DraftJob& job);
  /// Notes an answer that accepted a job.
  void NoteAccepted(TimePoint sent_at);
  /// Calls the node that the balancer picks.
  NodeReply Call(const std::string& method, const std::string& path,
                 const std::string& body, const std::string& key);
  void Sleep(Duration time);

  Experiment experiment_;
  std::uint64_t seed_;
  SoakPlatform* platform_;
  NodeClient client_;
  Balancer balancer_;
  ConfigProber prober_;
  SteadyClock clock_;
  std::atomic<bool> stopping_ = false;
  CallerCounts counts_;
  /// Guards the paths and the timings.
  std::mutex mutex_;
  std::map<JobId, std::string> paths_;
  std::vector<SubmitTiming> timings_;
  std::vector<std::thread> threads_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_CALLERS_H_
